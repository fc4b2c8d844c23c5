#include "decide/cell_owner.h"

#include <algorithm>

namespace buckthornshunt {

namespace {

/// Divided by a node's cores and link rate: a quarter of a core waits 200 ms, a
/// link of 10 Mbit/s another 200 ms. The owner of a pool of 80 workers writes
/// some 25 Mbit/s at peak demand.
constexpr double kClaimDelayMsCores = 50;
constexpr double kClaimDelayMsMbps = 2000;
/// Keeps the delay of small nodes below the time to detect a lost owner.
constexpr double kMaxClaimDelayMs = 900;
/// Minimum gain in claim delay for a handoff, which pauses the cell for about
/// twice as long.
constexpr Duration kMinHandoffGain = std::chrono::milliseconds(150);
/// Added for each cell that the node owns, so that cells spread over nodes.
constexpr Duration kClaimDelayPerCell = std::chrono::milliseconds(250);

/// Commits that a lease covers, and pauses between them.
constexpr int kCommitsPerLease = 4;
constexpr Duration kLeasePauses = std::chrono::milliseconds(800);
/// Clocks are off by 2 % at most, on both sides.
constexpr int kDriftDivisor = 25;

} // namespace

Duration
ClaimDelay(const NodeCapacity& aCapacity, std::size_t aCells)
{
  double ms = kClaimDelayMsCores / aCapacity.mCores +
              kClaimDelayMsMbps / aCapacity.mLinkMbps;
  auto size = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double, std::milli>(std::min(ms, kMaxClaimDelayMs)));
  return size + kClaimDelayPerCell * static_cast<int>(aCells);
}

bool
IsHandoffWorthwhile(Duration aDelay, Duration aOwnerDelay)
{
  return aDelay + kMinHandoffGain <= aOwnerDelay;
}

bool
ShouldRequestHandoff(Duration aDelay, const OwnerRow& aRow)
{
  return !aRow.mReleased && IsHandoffWorthwhile(aDelay, aRow.mClaimDelay);
}

// Commits follow one another, so that one lease covers the commit in progress,
// the next one and a lost attempt of it.
Duration
LeaseFor(Duration aCommitTime)
{
  return std::clamp(kLeasePauses + kCommitsPerLease * aCommitTime,
                    kOwnerLeaseDuration,
                    kMaxOwnerLease);
}

// The allowance is that of the shortest lease, and the clock's error grows with
// the lease.
Duration
TakeoverTimeout(const OwnerRow& aRow)
{
  Duration longer =
    std::clamp(aRow.mLease, kOwnerLeaseDuration, kMaxOwnerLease) -
    kOwnerLeaseDuration;
  return kTakeoverTimeout + longer + longer / kDriftDivisor;
}

OwnershipState
EvaluateOwnership(const OwnerObservation& aObservation,
                  const LocalNode& aLocal,
                  TimePoint aNow)
{
  const OwnerRow& row = aObservation.mRow;
  bool predecessor = row.mNode == aLocal.mNode &&
                     row.mPeerEndpoint == aLocal.mPeerEndpoint &&
                     row.mIncarnation != aLocal.mIncarnation;
  bool expired = aNow > aObservation.mUnchangedSince + TakeoverTimeout(row);
  return row.mReleased || predecessor || expired ? OwnershipState::Free
                                                 : OwnershipState::Held;
}

} // namespace buckthornshunt
