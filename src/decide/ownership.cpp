#include "decide/ownership.h"

#include <algorithm>

namespace buckthornshunt {

namespace {

// Every change of a row takes a new epoch, so that an acknowledgement of an
// earlier leave never counts for a later one.
VmOwnership
Changed(const VmOwnership& aRow, VmState aState, WallTime aNow)
{
  VmOwnership next = aRow;
  next.mState = aState;
  next.mEpoch = Next(aRow.mEpoch);
  next.mStateSince = aNow;
  return next;
}

} // namespace

bool
MayDispatch(const VmOwnership& aRow, std::string_view aPool)
{
  return aRow.mState == VmState::Serving && aRow.mPool == aPool;
}

leaf::result<VmOwnership>
BeginMove(const VmOwnership& aRow, std::string_view aNextPool, WallTime aNow)
{
  if (aRow.mState != VmState::Serving) {
    std::string state(ToString(aRow.mState));
    return leaf::new_error(
      Failure(StateConflict{ "VM " + aRow.mVm + " is " + state }));
  }
  if (aRow.mPool == aNextPool) {
    return leaf::new_error(Failure(
      StateConflict{ "VM " + aRow.mVm + " already belongs to " + aRow.mPool }));
  }
  VmOwnership next = Changed(aRow, VmState::Leaving, aNow);
  next.mNextPool = aNextPool;
  return next;
}

namespace {

bool
Acknowledged(const VmOwnership& aRow,
             const NodeRecord& aNode,
             std::span<const LeaveAck> aAcks)
{
  return std::any_of(aAcks.begin(), aAcks.end(), [&](const LeaveAck& aAck) {
    return aAck.mVm == aRow.mVm && aAck.mNode == aNode.mNode &&
           aAck.mIncarnation == aNode.mIncarnation &&
           aAck.mEpoch == aRow.mEpoch;
  });
}

} // namespace

// No bound on time takes part: a paused or cut-off node holds the move up
// until it acknowledges or the platform says that its VM has ended.
bool
FenceHolds(const VmOwnership& aRow,
           std::span<const NodeRecord> aNodes,
           std::span<const LeaveAck> aAcks,
           std::span<const std::string> aGoneNodes)
{
  return std::all_of(
    aNodes.begin(), aNodes.end(), [&](const NodeRecord& aNode) {
      bool gone =
        std::find(aGoneNodes.begin(), aGoneNodes.end(), aNode.mNode) !=
        aGoneNodes.end();
      return gone || Acknowledged(aRow, aNode, aAcks);
    });
}

VmOwnership
FinishMove(const VmOwnership& aRow, WallTime aNow)
{
  if (aRow.mNextPool.empty()) {
    return Changed(aRow, VmState::Maintenance, aNow);
  }
  VmOwnership next = Changed(aRow, VmState::Serving, aNow);
  next.mPool = aRow.mNextPool;
  next.mNextPool.clear();
  return next;
}

leaf::result<VmOwnership>
BeginMaintenance(const VmOwnership& aRow, WallTime aNow)
{
  if (aRow.mState != VmState::Serving) {
    std::string state(ToString(aRow.mState));
    return leaf::new_error(
      Failure(StateConflict{ "VM " + aRow.mVm + " is " + state }));
  }
  VmOwnership next = Changed(aRow, VmState::Leaving, aNow);
  next.mInMaintenance = true;
  return next;
}

VmOwnership
FinishMaintenance(const VmOwnership& aRow, WallTime aNow)
{
  VmOwnership next = Changed(aRow, VmState::Serving, aNow);
  next.mLastMaintained = aNow;
  next.mInMaintenance = false;
  return next;
}

VmOwnership
Adopt(const VmListing& aVm, std::string_view aPool, WallTime aNow)
{
  VmOwnership row;
  row.mVm = aVm.mVm;
  row.mRack = aVm.mRack;
  row.mEndpoint = aVm.mEndpoint;
  row.mLastMaintained = aNow;
  row.mPool = aPool;
  row.mEpoch = Epoch{ 1 };
  row.mStateSince = aNow;
  return row;
}

VmOwnership
MarkDraining(const VmOwnership& aRow, WallTime aNow)
{
  if (aRow.mState != VmState::Serving) {
    return aRow;
  }
  return Changed(aRow, VmState::Draining, aNow);
}

VmOwnership
MarkMissing(const VmOwnership& aRow,
            Duration aMissingFor,
            const SightingRule& aRule,
            WallTime aNow)
{
  bool retired = aMissingFor >= aRule.mRetiredAfter;
  bool lost = aMissingFor >= aRule.mLostAfter;
  if (retired && aRow.mState != VmState::Retired) {
    return Changed(aRow, VmState::Retired, aNow);
  }
  if (lost && aRow.mState != VmState::Retired && aRow.mState != VmState::Lost) {
    return Changed(aRow, VmState::Lost, aNow);
  }
  return aRow;
}

// The move that a VM was in when it got lost starts again from its pool.
VmOwnership
MarkSeen(const VmOwnership& aRow, WallTime aNow)
{
  if (aRow.mState != VmState::Lost) {
    return aRow;
  }
  // A VM that got lost in maintenance is still to be verified.
  VmState state = aRow.mInMaintenance ? VmState::Maintenance : VmState::Serving;
  VmOwnership next = Changed(aRow, state, aNow);
  next.mNextPool.clear();
  return next;
}

} // namespace buckthornshunt
