#ifndef BUCKTHORNSHUNT_PORTS_PLATFORM_H
#define BUCKTHORNSHUNT_PORTS_PLATFORM_H

#include "net/http_client.h"
#include "ports/platform_calls.h"

#include <functional>
#include <variant>

namespace buckthornshunt {

/// The platform's service, reached over HTTP.
struct HttpPlatform
{
  HttpClient* mClient = nullptr;
  Endpoint mEndpoint;
};

/// A simulated platform within this process, for tests.
struct InProcessPlatform
{
  std::function<Task<Expected<PlatformReply>>(PlatformCall, TimePoint)> mCall;
};

using Platform = std::variant<HttpPlatform, InProcessPlatform>;

/// Makes one call. StoreUnavailable means that the call never reached the
/// platform, so a commit had no effect; CommitConflict and NotFound are replies
/// of the platform; after any other failure, the call may have taken effect.
Task<Expected<PlatformReply>>
CallPlatform(Platform& aPlatform, PlatformCall aCall, TimePoint aDeadline);

} // namespace buckthornshunt

#endif
