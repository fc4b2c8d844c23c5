#include "decide/pool_queue.h"

#include <algorithm>

namespace buckthornshunt {

namespace {

// Part of the slots that waiting long work gets before short work, in
// percent; it keeps long work from starving.
constexpr int kLongFloorPercent = 50;

constexpr Duration kShortestRetryAfter = std::chrono::milliseconds(100);
constexpr Duration kLongestRetryAfter = std::chrono::seconds(30);

} // namespace

bool
PoolQueue::Push(WaitId aId, Lane aLane)
{
  if (mPlaces.size() >= mLimit) {
    return false;
  }
  std::list<WaitId>& lane = mLanes[static_cast<std::size_t>(aLane)];
  lane.push_back(aId);
  mPlaces.emplace(aId, Place{ aLane, std::prev(lane.end()) });
  return true;
}

void
PoolQueue::Remove(WaitId aId)
{
  auto it = mPlaces.find(aId);
  if (it == mPlaces.end()) {
    return;
  }
  mLanes[static_cast<std::size_t>(it->second.mLane)].erase(it->second.mAt);
  mPlaces.erase(it);
}

std::optional<Lane>
PoolQueue::NextLane(const PoolServers& aServers) const
{
  bool shortRoom = aServers.HasRoom(WorkClass::Short);
  if (Size(Lane::Urgent) > 0 && shortRoom) {
    return Lane::Urgent;
  }
  bool longReady = Size(Lane::Long) > 0 && aServers.HasRoom(WorkClass::Long);
  int floor = aServers.TotalSlots() * kLongFloorPercent / 100;
  if (longReady && aServers.LongInFlight() < floor) {
    return Lane::Long;
  }
  if (Size(Lane::Short) > 0 && shortRoom) {
    return Lane::Short;
  }
  return longReady ? std::optional(Lane::Long) : std::nullopt;
}

WaitId
PoolQueue::Pop(Lane aLane)
{
  std::list<WaitId>& lane = mLanes[static_cast<std::size_t>(aLane)];
  WaitId id = lane.front();
  lane.pop_front();
  mPlaces.erase(id);
  return id;
}

Duration
EstimateWait(const LoadEstimate& aLoad)
{
  if (aLoad.mSlots <= 0) {
    return kLongestRetryAfter;
  }
  return aLoad.mMeanRun * static_cast<std::int64_t>(aLoad.mWaiting) /
         aLoad.mSlots;
}

Duration
RetryAfter(Duration aWait, double aRandom)
{
  double spread = 0.5 + aRandom;
  auto after = std::chrono::duration_cast<Duration>(aWait * spread);
  return std::clamp(after, kShortestRetryAfter, kLongestRetryAfter);
}

} // namespace buckthornshunt
