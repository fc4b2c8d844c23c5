#include "decide/cell_owner.h"

#include <algorithm>

namespace buckthornshunt {

namespace {

/// Delay of a node of one core, and of one with a link of 1 Mbit/s: a quarter
/// of a core waits 200 ms, a link of 10 Mbit/s another 200 ms. The owner of a
/// pool of 80 workers in its turn writes some 25 Mbit/s.
constexpr double kDelayPerCoreMs = 50;
constexpr double kDelayPerMbpsMs = 2000;
/// A node this small doesn't wait longer than a lost owner is missed anyhow.
constexpr double kLongestDelayMs = 900;
/// Difference in size from which a cell is handed over: it stands still for
/// about twice as long.
constexpr Duration kWorthAsking = std::chrono::milliseconds(150);
/// Delay for each cell that the node owns, so that cells spread.
constexpr Duration kDelayPerCell = std::chrono::milliseconds(250);

} // namespace

Duration
ClaimDelay(const NodePower& aPower, std::size_t aCells)
{
  double ms =
    kDelayPerCoreMs / aPower.mCores + kDelayPerMbpsMs / aPower.mLinkMbps;
  auto size = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double, std::milli>(std::min(ms, kLongestDelayMs)));
  return size + kDelayPerCell * static_cast<int>(aCells);
}

bool
IsBetterOwner(Duration aDelay, const OwnerRow& aRow)
{
  return !aRow.mReleased && aDelay + kWorthAsking <= aRow.mSizeDelay;
}

OwnerStanding
JudgeOwner(const OwnerSighting& aSighting,
           const NodeSelf& aSelf,
           TimePoint aNow)
{
  const OwnerRow& row = aSighting.mRow;
  bool predecessor = row.mNode == aSelf.mNode && row.mPeers == aSelf.mPeers &&
                     row.mIncarnation != aSelf.mIncarnation;
  bool expired = aNow > aSighting.mUnchangedSince + kTakeOverAfter;
  return row.mReleased || predecessor || expired ? OwnerStanding::Free
                                                 : OwnerStanding::Held;
}

} // namespace buckthornshunt
