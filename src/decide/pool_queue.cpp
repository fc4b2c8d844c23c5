#include "decide/pool_queue.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace buckthornshunt {

namespace {

/// Slots that long work may take whatever short work needs, in percent.
constexpr int kMinLongSlotsPercent = 20;

/// Time over which the demand of short work is averaged.
constexpr double kDemandWindowSeconds = 0.3;

/// Slots up to which long work that is due goes before short work, in percent.
constexpr int kMaxOverdueLongPercent = 50;

/// Wait after which short work goes before long work that is due.
constexpr Duration kShortStartDelay = std::chrono::milliseconds(20);

/// How much longer than in the order of arrival long work may wait.
constexpr int kLongWaitFactor = 2;

constexpr Duration kMinRetryAfter = std::chrono::milliseconds(100);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(30);

} // namespace

void
ShortDemand::Update(int aSlots, TimePoint aNow)
{
  double weight =
    1 - std::exp(-ToSeconds(aNow - mUpdatedAt) / kDemandWindowSeconds);
  mMeanSlots += weight * (aSlots - mMeanSlots);
  mUpdatedAt = aNow;
}

int
ShortDemand::ReservedSlots() const
{
  return static_cast<int>(std::lround(mMeanSlots));
}

bool
PoolQueue::Push(WaitId aId, Lane aLane, TimePoint aStartDeadline)
{
  if (mPositions.size() >= mLimit) {
    return false;
  }
  List& lane = LaneOf(aLane);
  lane.push_back({ aId, aStartDeadline });
  mPositions.emplace(aId, Place{ aLane, std::prev(lane.end()) });
  return true;
}

void
PoolQueue::Remove(WaitId aId)
{
  auto it = mPositions.find(aId);
  if (it == mPositions.end()) {
    return;
  }
  LaneOf(it->second.mLane).erase(it->second.mAt);
  mPositions.erase(it);
}

bool
PoolQueue::IsOverdue(Lane aLane, TimePoint aNow) const
{
  const List& lane = LaneOf(aLane);
  return !lane.empty() && lane.front().mStartDeadline <= aNow;
}

// Long work takes what short work is unlikely to need soon. A slot that it
// took in a short lull would be missing for a long time. Long work that is
// due is served first, so that it can't starve.
std::optional<Lane>
PoolQueue::NextLane(const PoolServers& aServers,
                    const LongWorkLimit& aLimit) const
{
  bool shortHasRoom = aServers.HasRoom(WorkClass::Short);
  if (Size(Lane::Urgent) > 0 && shortHasRoom) {
    return Lane::Urgent;
  }
  bool longReady = Size(Lane::Long) > 0 && aServers.HasRoom(WorkClass::Long);
  int overdueLimit = aServers.TotalSlots() * kMaxOverdueLongPercent / 100;
  bool longOverdue = longReady && IsOverdue(Lane::Long, aLimit.mNow);
  if (longOverdue && !IsOverdue(Lane::Short, aLimit.mNow) &&
      aServers.LongInFlight() < overdueLimit) {
    return Lane::Long;
  }
  if (Size(Lane::Short) > 0 && shortHasRoom) {
    return Lane::Short;
  }
  int limit = aServers.TotalSlots() - aLimit.mReservedSlots;
  int minLong = (aServers.TotalSlots() * kMinLongSlotsPercent + 99) / 100;
  bool allowed = aServers.LongInFlight() < std::max(limit, minLong);
  return longReady && allowed ? std::optional(Lane::Long) : std::nullopt;
}

WaitId
PoolQueue::Pop(Lane aLane)
{
  List& lane = LaneOf(aLane);
  WaitId id = lane.front().mId;
  lane.pop_front();
  mPositions.erase(id);
  return id;
}

Duration
EstimateWait(const LoadEstimate& aLoad)
{
  if (aLoad.mSlots <= 0) {
    return kMaxRetryAfter;
  }
  return aLoad.mMeanRunTime * static_cast<std::int64_t>(aLoad.mWaiting) /
         aLoad.mSlots;
}

TimePoint
ShortStartDeadline(TimePoint aNow)
{
  return aNow + kShortStartDelay;
}

TimePoint
LongStartDeadline(TimePoint aNow, Duration aWait, Duration aLongThreshold)
{
  return aNow + kLongWaitFactor * aWait + aLongThreshold;
}

Duration
RetryAfter(Duration aWait, double aRandom)
{
  double jitter = 0.5 + aRandom;
  auto after = std::chrono::duration_cast<Duration>(aWait * jitter);
  return std::clamp(after, kMinRetryAfter, kMaxRetryAfter);
}

} // namespace buckthornshunt
