#include "ports/store.h"

namespace buckthornshunt {

namespace {

struct StoreCallVisitor
{
  StoreCall mCall;
  TimePoint mDeadline;

  Task<Expected<StoreReply>> operator()(platform::StoreClient& aClient)
  {
    return aClient.Call(std::move(mCall), mDeadline);
  }
  Task<Expected<StoreReply>> operator()(InProcessStore& aStore)
  {
    return aStore.mCall(std::move(mCall), mDeadline);
  }
};

} // namespace

Task<Expected<StoreReply>>
CallStore(Store& aStore, StoreCall aCall, TimePoint aDeadline)
{
  return std::visit(StoreCallVisitor{ std::move(aCall), aDeadline }, aStore);
}

} // namespace buckthornshunt
