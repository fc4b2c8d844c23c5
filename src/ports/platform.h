#ifndef BUCKTHORNSHUNT_PORTS_PLATFORM_H
#define BUCKTHORNSHUNT_PORTS_PLATFORM_H

#include "net/http_client.h"
#include "ports/platform_calls.h"

#include <functional>
#include <variant>

namespace buckthornshunt {

/// The platform, met over HTTP.
struct HttpPlatform
{
  HttpClient* mClient = nullptr;
  Endpoint mEndpoint;
};

/// A stand-in of the platform within this process, for tests.
struct InProcessPlatform
{
  std::function<Task<Expected<PlatformReply>>(PlatformCall, TimePoint)> mCall;
};

using Platform = std::variant<HttpPlatform, InProcessPlatform>;

/// Makes one call. StoreUnavailable says that the call never reached the
/// platform, so a commit had no effect; CommitConflict and NotFound are the
/// platform's answers; any other failure leaves open what it did.
Task<Expected<PlatformReply>>
CallPlatform(Platform& aPlatform, PlatformCall aCall, TimePoint aDeadline);

} // namespace buckthornshunt

#endif
