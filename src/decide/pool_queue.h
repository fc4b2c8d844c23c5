#ifndef BUCKTHORNSHUNT_DECIDE_POOL_QUEUE_H
#define BUCKTHORNSHUNT_DECIDE_POOL_QUEUE_H

#include "decide/placement.h"

#include <array>
#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>

namespace buckthornshunt {

/// Identifies a waiting request within its queue.
using WaitId = std::uint64_t;

/// Priority classes of waiting work, highest first.
enum class Lane : std::uint8_t
{
  Urgent,
  Short,
  Long
};

constexpr std::size_t kLaneCount = 3;

/// Forecasts the slots that short work needs soon: a decaying mean of those
/// that it holds and waits for.
class ShortDemand
{
public:
  /// Records the slots that short work holds and waits for at aNow.
  void Update(int aSlots, TimePoint aNow);

  /// Slots that long work must leave free.
  int ReservedSlots() const;

private:
  double mMeanSlots = 0;
  TimePoint mUpdatedAt;
};

/// Limit on long work at mNow.
struct LongWorkLimit
{
  /// Slots that long work must leave free.
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

  /// Appends to a lane; false if the queue is full. Long work past its
  /// aStartDeadline goes before short work that isn't.
  bool Push(WaitId aId, Lane aLane, TimePoint aStartDeadline);

  /// Removes a request from any lane in constant time; no effect if unknown.
  void Remove(WaitId aId);

  /// Returns the lane to serve next, given the servers' free slots; none if no
  /// waiting request may start.
  std::optional<Lane> NextLane(const PoolServers& aServers,
                               const LongWorkLimit& aLimit) const;

  /// Removes and returns a lane's first request; the lane must not be empty.
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

/// Load at the arrival of a request.
struct LoadEstimate
{
  std::size_t mWaiting = 0;
  int mSlots = 0;
  Duration mMeanRunTime{};
};

/// Estimated time until a request that arrives now gets a slot.
Duration
EstimateWait(const LoadEstimate& aLoad);

/// Time by which a short request should have a slot.
TimePoint
ShortStartDeadline(TimePoint aNow);

/// Time by which a long request must have a slot: twice aWait, its wait if all
/// requests were served in the order of arrival, plus aLongThreshold.
TimePoint
LongStartDeadline(TimePoint aNow, Duration aWait, Duration aLongThreshold);

/// Time after which a rejected caller should retry: the estimated wait with
/// jitter by aRandom in [0, 1], so that callers don't retry at the same time.
Duration
RetryAfter(Duration aWait, double aRandom);

} // namespace buckthornshunt

#endif
