#ifndef BUCKTHORNSHUNT_PORTS_BACKEND_H
#define BUCKTHORNSHUNT_PORTS_BACKEND_H

#include "kernel/call_control.h"
#include "net/http_client.h"
#include "ports/backend_calls.h"

#include <functional>
#include <variant>

namespace buckthornshunt {

/// Backend servers reached over HTTP.
struct HttpBackends
{
  HttpClient* mClient = nullptr;
};

/// Simulated backend servers within this process, for tests.
struct InProcessBackends
{
  std::function<Task<
    Expected<BackendReply>>(Endpoint, BackendCall, TimePoint, CallControl*)>
    mCall;
};

using Backends = std::variant<HttpBackends, InProcessBackends>;

/// Makes one call to a server. ConnectFailure means that nothing reached the
/// server; after any other failure, the server may have started the work.
Task<Expected<BackendReply>>
CallBackend(Backends& aBackends,
            Endpoint aServer,
            BackendCall aCall,
            TimePoint aDeadline,
            CallControl* aControl = nullptr);

} // namespace buckthornshunt

#endif
