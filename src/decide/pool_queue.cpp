#include "decide/pool_queue.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace buckthornshunt {

namespace {

/// Percentage of slots that long work may use whatever short work needs.
constexpr int kMinLongSlotsPercent = 20;

/// Time constant of the mean of short work's demand.
constexpr double kDemandWindowSeconds = 0.3;

/// Percentage of slots up to which overdue long work goes before short work.
constexpr int kMaxOverdueLongPercent = 50;

/// Wait after which short work goes before overdue long work.
constexpr Duration kShortStartDelay = std::chrono::milliseconds(20);

/// Maximum wait of long work relative to service in the order of arrival.
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

// Long work uses only slots that short work is unlikely to need soon: a slot
// taken in a brief lull would stay occupied for a long time. Overdue long work
// goes before short work to prevent starvation.
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
