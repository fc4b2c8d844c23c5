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

OwnershipState
EvaluateOwnership(const OwnerObservation& aObservation,
                  const LocalNode& aLocal,
                  TimePoint aNow)
{
  const OwnerRow& row = aObservation.mRow;
  bool predecessor = row.mNode == aLocal.mNode &&
                     row.mPeerEndpoint == aLocal.mPeerEndpoint &&
                     row.mIncarnation != aLocal.mIncarnation;
  bool expired = aNow > aObservation.mUnchangedSince + kTakeoverTimeout;
  return row.mReleased || predecessor || expired ? OwnershipState::Free
                                                 : OwnershipState::Held;
}

} // namespace buckthornshunt
