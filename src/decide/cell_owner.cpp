#include "decide/cell_owner.h"

namespace buckthornshunt {

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
