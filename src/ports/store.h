#ifndef BUCKTHORNSHUNT_PORTS_STORE_H
#define BUCKTHORNSHUNT_PORTS_STORE_H

#include "ports/store_calls.h"

#include "platform/store_client.h"

#include <functional>
#include <variant>

namespace buckthornshunt {

/// A simulated store within this process, for tests.
struct InProcessStore
{
  std::function<Task<Expected<StoreReply>>(StoreCall, TimePoint)> mCall;
};

using Store = std::variant<platform::StoreClient, InProcessStore>;

/// Makes one call. StoreUnavailable means that the call had no effect; after
/// any other failure, it may have taken effect.
Task<Expected<StoreReply>>
CallStore(Store& aStore, StoreCall aCall, TimePoint aDeadline);

/// Makes a call and returns its reply as Reply; fails with ProtocolFailure if
/// the reply has another type.
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
