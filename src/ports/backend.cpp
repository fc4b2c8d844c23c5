#include "ports/backend.h"

#include "wire/backend_codec.h"

namespace buckthornshunt {

namespace {

struct CallVisitor
{
  Endpoint mServer;
  BackendCall mCall;
  TimePoint mDeadline;
  CallControl* mControl;

  Task<Expected<BackendReply>> operator()(HttpBackends& aBackends)
  {
    HttpRequest request = EncodeBackendCall(mCall);
    auto reply = co_await aBackends.mClient->Exchange(
      mServer, std::move(request), mDeadline, mControl);
    if (!Ok(reply)) {
      co_return std::get<Failure>(std::move(reply));
    }
    co_return DecodeBackendReply(
      mCall, mServer, std::get<HttpReply>(std::move(reply)));
  }
  Task<Expected<BackendReply>> operator()(InProcessBackends& aBackends)
  {
    auto reply = co_await aBackends.mCall(mServer, mCall, mDeadline, mControl);
    co_return reply;
  }
};

} // namespace

Task<Expected<BackendReply>>
CallBackend(Backends& aBackends,
            Endpoint aServer,
            BackendCall aCall,
            TimePoint aDeadline,
            CallControl* aControl)
{
  CallVisitor visitor{
    std::move(aServer), std::move(aCall), aDeadline, aControl
  };
  auto reply = co_await std::visit(visitor, aBackends);
  co_return reply;
}

} // namespace buckthornshunt
