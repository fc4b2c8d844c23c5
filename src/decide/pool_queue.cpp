#include "decide/pool_queue.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace buckthornshunt {

namespace {

/// Slots that long work may take whatever short work needs, in percent.
constexpr int kLongFloorPercent = 20;

/// Time over which the demand of short work is averaged.
constexpr double kDemandMemorySeconds = 0.3;

/// Slots up to which long work that is due goes before short work, in percent.
constexpr int kDueLongPercent = 50;

/// Wait after which short work goes before long work that is due.
constexpr Duration kShortPatience = std::chrono::milliseconds(20);

/// How much longer than in the order of arrival long work may wait.
constexpr int kLongPatience = 2;

constexpr Duration kShortestRetryAfter = std::chrono::milliseconds(100);
constexpr Duration kLongestRetryAfter = std::chrono::seconds(30);

} // namespace

void
ShortDemand::Update(int aSlots, TimePoint aNow)
{
  double weight = 1 - std::exp(-ToSeconds(aNow - mAt) / kDemandMemorySeconds);
  mMean += weight * (aSlots - mMean);
  mAt = aNow;
}

int
ShortDemand::Reserve() const
{
  return static_cast<int>(std::lround(mMean));
}

bool
PoolQueue::Push(WaitId aId, Lane aLane, TimePoint aDue)
{
  if (mPlaces.size() >= mLimit) {
    return false;
  }
  List& lane = LaneOf(aLane);
  lane.push_back({ aId, aDue });
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
  LaneOf(it->second.mLane).erase(it->second.mAt);
  mPlaces.erase(it);
}

bool
PoolQueue::IsDue(Lane aLane, TimePoint aNow) const
{
  const List& lane = LaneOf(aLane);
  return !lane.empty() && lane.front().mDue <= aNow;
}

// Long work takes what short work is unlikely to need soon. A slot that it
// took in a short lull would be missing for a long time. Long work that is
// due is served first, so that it can't starve.
std::optional<Lane>
PoolQueue::NextLane(const PoolServers& aServers, const LongLimit& aLimit) const
{
  bool shortRoom = aServers.HasRoom(WorkClass::Short);
  if (Size(Lane::Urgent) > 0 && shortRoom) {
    return Lane::Urgent;
  }
  bool longReady = Size(Lane::Long) > 0 && aServers.HasRoom(WorkClass::Long);
  int dueLimit = aServers.TotalSlots() * kDueLongPercent / 100;
  bool longDue = longReady && IsDue(Lane::Long, aLimit.mNow);
  if (longDue && !IsDue(Lane::Short, aLimit.mNow) &&
      aServers.LongInFlight() < dueLimit) {
    return Lane::Long;
  }
  if (Size(Lane::Short) > 0 && shortRoom) {
    return Lane::Short;
  }
  int limit = aServers.TotalSlots() - aLimit.mReserve;
  int floor = (aServers.TotalSlots() * kLongFloorPercent + 99) / 100;
  bool allowed = aServers.LongInFlight() < std::max(limit, floor);
  return longReady && allowed ? std::optional(Lane::Long) : std::nullopt;
}

WaitId
PoolQueue::Pop(Lane aLane)
{
  List& lane = LaneOf(aLane);
  WaitId id = lane.front().mId;
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

TimePoint
DueOfShort(TimePoint aNow)
{
  return aNow + kShortPatience;
}

TimePoint
DueOfLong(TimePoint aNow, Duration aWait, Duration aLongAfter)
{
  return aNow + kLongPatience * aWait + aLongAfter;
}

Duration
RetryAfter(Duration aWait, double aRandom)
{
  double spread = 0.5 + aRandom;
  auto after = std::chrono::duration_cast<Duration>(aWait * spread);
  return std::clamp(after, kShortestRetryAfter, kLongestRetryAfter);
}

} // namespace buckthornshunt
