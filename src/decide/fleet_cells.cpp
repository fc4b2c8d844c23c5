#include "decide/fleet_cells.h"

namespace buckthornshunt {

namespace {

/// Clocks are off by 2 % at most, on both sides; beside it, for late answers.
constexpr int kDriftDivisor = 25;
constexpr Duration kLeaseGracePeriod = std::chrono::milliseconds(200);

} // namespace

// Jobs stay in the cell that accepted them, whatever becomes of their queue, so
// that a queue is no condition. No node claims the cells of a pool that the
// configuration doesn't name: what their last owner left running ends with its
// lease.
bool
MayHaveRuns(const CellEvidence& aEvidence,
            Duration aMaxRunLease,
            TimePoint aNow)
{
  if (aEvidence.mHasQueue || !aEvidence.mRowRead) {
    return true;
  }
  const OwnerObservation* owner = aEvidence.mOwner;
  if (owner == nullptr || aEvidence.mConfigured) {
    return owner != nullptr;
  }
  Duration lease =
    aMaxRunLease + aMaxRunLease / kDriftDivisor + kLeaseGracePeriod;
  return aNow <= owner->mUnchangedSince + TakeoverTimeout(owner->mRow) + lease;
}

} // namespace buckthornshunt
