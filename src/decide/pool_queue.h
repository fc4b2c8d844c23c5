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

constexpr std::size_t kLaneCount = 3;

/// Slots that short work is likely to need soon: the mean of those that it and
/// its queue took lately.
class ShortDemand
{
public:
  /// Tells how many slots short work takes and waits for now.
  void Update(int aSlots, TimePoint aNow);

  /// Slots to be kept from long work.
  int ReservedSlots() const;

private:
  double mMeanSlots = 0;
  TimePoint mUpdatedAt;
};

/// What long work may take now.
struct LongWorkLimit
{
  /// Slots to be kept from it.
  int mReservedSlots = 0;
  TimePoint mNow;
};

/// Requests of one pool that wait for a slot at this node.
class PoolQueue
{
public:
  explicit PoolQueue(std::size_t aLimit)
    : mLimit(aLimit)
  {
  }

  /// Appends to a lane; false if the queue is full. Long work that waits
  /// beyond aDue goes before short work that doesn't.
  bool Push(WaitId aId, Lane aLane, TimePoint aStartDeadline);

  /// Takes a request out, wherever it waits, in constant time.
  void Remove(WaitId aId);

  /// Lane to serve next, given the room at the servers; none if nothing that
  /// waits fits.
  std::optional<Lane> NextLane(const PoolServers& aServers,
                               const LongWorkLimit& aLimit) const;

  /// First request of a lane; the lane must not be empty.
  WaitId Pop(Lane aLane);

  std::size_t Size() const { return mPositions.size(); }
  std::size_t Size(Lane aLane) const { return LaneOf(aLane).size(); }
  void SetLimit(std::size_t aLimit) { mLimit = aLimit; }

private:
  struct Waiting
  {
    WaitId mId;
    TimePoint mStartDeadline;
  };

  using List = std::list<Waiting>;

  struct Place
  {
    Lane mLane;
    List::iterator mAt;
  };

  bool IsOverdue(Lane aLane, TimePoint aNow) const;
  List& LaneOf(Lane aLane) { return mLanes[static_cast<std::size_t>(aLane)]; }
  const List& LaneOf(Lane aLane) const
  {
    return mLanes[static_cast<std::size_t>(aLane)];
  }

  std::size_t mLimit;
  std::array<List, kLaneCount> mLanes;
  std::unordered_map<WaitId, Place> mPositions;
};

/// What is known of the load when a request arrives.
struct LoadEstimate
{
  std::size_t mWaiting = 0;
  int mSlots = 0;
  Duration mMeanRunTime{};
};

/// Time until a request that arrives now gets a slot.
Duration
EstimateWait(const LoadEstimate& aLoad);

/// Time by which a short request should have a slot.
TimePoint
ShortStartDeadline(TimePoint aNow);

/// Time by which a long request must have a slot: twice the wait that it would
/// have if all were served in the order of arrival, and a little more.
TimePoint
LongStartDeadline(TimePoint aNow, Duration aWait, Duration aLongThreshold);

/// Time after which a refused caller should come back: the estimated wait,
/// spread by aRandom of 0 to 1 so that callers don't return together.
Duration
RetryAfter(Duration aWait, double aRandom);

} // namespace buckthornshunt

#endif
