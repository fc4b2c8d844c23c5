#include "ports/platform.h"

#include "wire/platform_codec.h"

namespace buckthornshunt {

namespace {

struct CallVisitor
{
  PlatformCall mCall;
  TimePoint mDeadline;

  Task<Expected<PlatformReply>> operator()(HttpPlatform& aPlatform)
  {
    HttpRequest request = EncodePlatformCall(mCall);
    auto reply = co_await aPlatform.mClient->Exchange(
      aPlatform.mEndpoint, std::move(request), mDeadline);
    if (!Ok(reply)) {
      Failure failure = std::get<Failure>(std::move(reply));
      bool neverSent = std::holds_alternative<ConnectFailure>(failure);
      co_return neverSent ? Failure(StoreUnavailable{}) : failure;
    }
    co_return DecodePlatformReply(mCall, std::get<HttpReply>(reply));
  }
  Task<Expected<PlatformReply>> operator()(InProcessPlatform& aPlatform)
  {
    auto reply = co_await aPlatform.mCall(mCall, mDeadline);
    co_return reply;
  }
};

} // namespace

Task<Expected<PlatformReply>>
CallPlatform(Platform& aPlatform, PlatformCall aCall, TimePoint aDeadline)
{
  CallVisitor visitor{ std::move(aCall), aDeadline };
  auto reply = co_await std::visit(visitor, aPlatform);
  co_return reply;
}

} // namespace buckthornshunt
