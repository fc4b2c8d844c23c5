#ifndef BUCKTHORNSHUNT_DECIDE_POOL_QUEUE_H
#define BUCKTHORNSHUNT_DECIDE_POOL_QUEUE_H

#include "decide/placement.h"

#include <array>
#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>

namespace buckthornshunt {

/// Names a waiting request within its queue.
using WaitId = std::uint64_t;

/// Order of service: urgent work first, then short, then long.
enum class Lane : std::uint8_t
{
  Urgent,
  Short,
  Long
};

constexpr std::size_t kLanes = 3;

/// Requests of one pool that wait for a slot at this node.
class PoolQueue
{
public:
  explicit PoolQueue(std::size_t aLimit)
    : mLimit(aLimit)
  {
  }

  /// Appends to a lane; false if the queue is full.
  bool Push(WaitId aId, Lane aLane);

  /// Takes a request out, wherever it waits, in constant time.
  void Remove(WaitId aId);

  /// Lane to serve next, given the room at the servers; none if nothing that
  /// waits fits.
  std::optional<Lane> NextLane(const PoolServers& aServers) const;

  /// First request of a lane; the lane must not be empty.
  WaitId Pop(Lane aLane);

  std::size_t Size() const { return mPlaces.size(); }
  std::size_t Size(Lane aLane) const
  {
    return mLanes[static_cast<std::size_t>(aLane)].size();
  }
  void SetLimit(std::size_t aLimit) { mLimit = aLimit; }

private:
  struct Place
  {
    Lane mLane;
    std::list<WaitId>::iterator mAt;
  };

  std::size_t mLimit;
  std::array<std::list<WaitId>, kLanes> mLanes;
  std::unordered_map<WaitId, Place> mPlaces;
};

/// What is known of the load when a request arrives.
struct LoadEstimate
{
  std::size_t mWaiting = 0;
  int mSlots = 0;
  Duration mMeanRun{};
};

/// Time until a request that arrives now gets a slot.
Duration
EstimateWait(const LoadEstimate& aLoad);

/// Time after which a refused caller should come back: the estimated wait,
/// spread by aRandom of 0 to 1 so that callers don't return together.
Duration
RetryAfter(Duration aWait, double aRandom);

} // namespace buckthornshunt

#endif
