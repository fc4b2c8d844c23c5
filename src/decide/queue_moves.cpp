#include "decide/queue_moves.h"

#include <unordered_map>

namespace buckthornshunt {

namespace {

/// An owner row lists a queue from the cell's first job of it on. A job that is
/// accepted by an earlier configuration after the row was read is found by this
/// node's memory only, also while the store is unreachable.
constexpr Duration kMoveRetention = std::chrono::minutes(10);

} // namespace

void
QueueMoves::Record(const WorkloadConfig& aBefore,
                   const WorkloadConfig& aAfter,
                   TimePoint aNow)
{
  for (auto& [queue, left] : mLeft) {
    std::erase_if(left, [&](const auto& aPool) {
      return aNow > aPool.second + kMoveRetention;
    });
  }
  std::erase_if(mLeft,
                [](const auto& aEntry) { return aEntry.second.empty(); });
  std::unordered_map<std::string_view, std::string_view> pools;
  pools.reserve(aBefore.mQueues.size());
  for (const QueueConfig& queue : aBefore.mQueues) {
    pools.emplace(queue.mName, queue.mPool);
  }
  for (const QueueConfig& queue : aAfter.mQueues) {
    auto before = pools.find(queue.mName);
    if (before != pools.end() && before->second != queue.mPool) {
      mLeft[queue.mName].insert_or_assign(std::string(before->second), aNow);
    }
  }
}

std::set<std::string>
QueueMoves::EarlierPools(std::string_view aQueue) const
{
  std::set<std::string> pools;
  if (auto it = mLeft.find(aQueue); it != mLeft.end()) {
    for (const auto& [pool, left] : it->second) {
      pools.insert(pool);
    }
  }
  return pools;
}

} // namespace buckthornshunt
