#ifndef BUCKTHORNSHUNT_PORTS_STORE_H
#define BUCKTHORNSHUNT_PORTS_STORE_H

#include "ports/store_calls.h"

#include "platform/store_client.h"

#include <functional>
#include <variant>

namespace buckthornshunt {

/// A store within this process, for tests.
struct InProcessStore
{
  std::function<Task<Expected<StoreReply>>(StoreCall, TimePoint)> mCall;
};

using Store = std::variant<platform::StoreClient, InProcessStore>;

/// Makes one call. StoreUnavailable says that the store did nothing; any other
/// failure leaves open whether it did.
Task<Expected<StoreReply>>
CallStore(Store& aStore, StoreCall aCall, TimePoint aDeadline);

/// Makes a call whose reply is of one kind; another kind is a
/// ProtocolFailure.
template<class Reply>
Task<Expected<Reply>>
CallStoreFor(Store& aStore, StoreCall aCall, TimePoint aDeadline)
{
  auto reply = co_await CallStore(aStore, std::move(aCall), aDeadline);
  if (!Ok(reply)) {
    co_return std::get<Failure>(std::move(reply));
  }
  StoreReply value = std::get<StoreReply>(std::move(reply));
  if (!std::holds_alternative<Reply>(value)) {
    co_return Failure(ProtocolFailure{});
  }
  co_return std::get<Reply>(std::move(value));
}

} // namespace buckthornshunt

#endif
