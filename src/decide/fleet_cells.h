#ifndef BUCKTHORNSHUNT_DECIDE_FLEET_CELLS_H
#define BUCKTHORNSHUNT_DECIDE_FLEET_CELLS_H

#include "decide/cell_owner.h"

namespace buckthornshunt {

/// What the fleet's owner knows of a cell whose owner may not have reported.
struct CellEvidence
{
  /// A queue sends its jobs to the cell's pool.
  bool mHasQueue = false;
  /// The configuration names the pool, so that the nodes keep its cells owned.
  bool mConfigured = false;
  /// The cell's owner row has been read, so that a missing one means "never
  /// owned".
  bool mRowRead = false;
  /// The row as last seen; null if none has been.
  const OwnerObservation* mOwner = nullptr;
};

/// Whether the cell may have runs, or start some. aMaxRunLease is the longest
/// lease of a run.
bool
MayHaveRuns(const CellEvidence& aEvidence,
            Duration aMaxRunLease,
            TimePoint aNow);

} // namespace buckthornshunt

#endif
