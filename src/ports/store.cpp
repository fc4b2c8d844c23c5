#include "ports/store.h"

namespace buckthornshunt {

namespace {

struct StoreCaller
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
  return std::visit(StoreCaller{ std::move(aCall), aDeadline }, aStore);
}

} // namespace buckthornshunt
