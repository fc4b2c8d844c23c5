#include "decide/ownership.h"

#include <algorithm>

namespace buckthornshunt {

namespace {

// Every change of a row increments its epoch, so that an acknowledgement of an
// earlier leave never counts for a later one.
VmOwnership
WithState(const VmOwnership& aRow, VmState aState, WallTime aNow)
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
    return leaf::new_error(Failure(StateConflict{ "cannot move VM " + aRow.mVm +
                                                  "; its state is " + state }));
  }
  if (aRow.mPool == aNextPool) {
    return leaf::new_error(Failure(StateConflict{
      "VM " + aRow.mVm + " already belongs to pool " + aRow.mPool }));
  }
  VmOwnership next = WithState(aRow, VmState::Leaving, aNow);
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

// There is no timeout: a paused or partitioned node blocks the move until it
// acknowledges or the platform reports that its VM has ended.
bool
IsFenced(const VmOwnership& aRow,
         std::span<const NodeRecord> aNodes,
         std::span<const LeaveAck> aAcks,
         std::span<const std::string> aEndedNodes)
{
  return std::all_of(
    aNodes.begin(), aNodes.end(), [&](const NodeRecord& aNode) {
      bool ended =
        std::find(aEndedNodes.begin(), aEndedNodes.end(), aNode.mNode) !=
        aEndedNodes.end();
      return ended || Acknowledged(aRow, aNode, aAcks);
    });
}

VmOwnership
FinishMove(const VmOwnership& aRow, WallTime aNow)
{
  if (aRow.mNextPool.empty()) {
    return WithState(aRow, VmState::Maintenance, aNow);
  }
  VmOwnership next = WithState(aRow, VmState::Serving, aNow);
  next.mPool = aRow.mNextPool;
  next.mNextPool.clear();
  return next;
}

leaf::result<VmOwnership>
BeginMaintenance(const VmOwnership& aRow, WallTime aNow)
{
  if (aRow.mState != VmState::Serving) {
    std::string state(ToString(aRow.mState));
    return leaf::new_error(Failure(StateConflict{
      "cannot maintain VM " + aRow.mVm + "; its state is " + state }));
  }
  VmOwnership next = WithState(aRow, VmState::Leaving, aNow);
  next.mInMaintenance = true;
  return next;
}

VmOwnership
FinishMaintenance(const VmOwnership& aRow, WallTime aNow)
{
  VmOwnership next = WithState(aRow, VmState::Serving, aNow);
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
  return WithState(aRow, VmState::Draining, aNow);
}

VmOwnership
MarkMissing(const VmOwnership& aRow,
            Duration aMissingFor,
            const MissingVmTimeouts& aTimeouts,
            WallTime aNow)
{
  bool retired = aMissingFor >= aTimeouts.mRetirementTimeout;
  bool lost = aMissingFor >= aTimeouts.mLostTimeout;
  if (retired && aRow.mState != VmState::Retired) {
    return WithState(aRow, VmState::Retired, aNow);
  }
  if (lost && aRow.mState != VmState::Retired && aRow.mState != VmState::Lost) {
    return WithState(aRow, VmState::Lost, aNow);
  }
  return aRow;
}

// Cancels the move that the VM was in when it was lost.
VmOwnership
MarkFound(const VmOwnership& aRow, WallTime aNow)
{
  if (aRow.mState != VmState::Lost) {
    return aRow;
  }
  // A VM that was lost in maintenance must still be verified.
  VmState state = aRow.mInMaintenance ? VmState::Maintenance : VmState::Serving;
  VmOwnership next = WithState(aRow, state, aNow);
  next.mNextPool.clear();
  return next;
}

} // namespace buckthornshunt
