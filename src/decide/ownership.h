#ifndef BUCKTHORNSHUNT_DECIDE_OWNERSHIP_H
#define BUCKTHORNSHUNT_DECIDE_OWNERSHIP_H

#include "buckthornshunt/config.h"
#include "buckthornshunt/failure.h"
#include "buckthornshunt/types.h"

#include <boost/leaf/result.hpp>

#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace buckthornshunt {

namespace leaf = boost::leaf;

/// Registration of an entry VM's daemon; only registered nodes dispatch.
struct NodeRecord
{
  std::string mNode;
  std::string mDataCentre;
  Incarnation mIncarnation{};
  Endpoint mPeerEndpoint;
  WallTime mSince;

  friend bool operator==(const NodeRecord&, const NodeRecord&) = default;
};

/// A node's word that it sends nothing more to a leaving VM and that nothing
/// it sent there still runs.
struct LeaveAck
{
  std::string mVm;
  std::string mNode;
  Incarnation mIncarnation{};
  Epoch mEpoch{};

  friend bool operator==(const LeaveAck&, const LeaveAck&) = default;
};

/// True if a node may send work for a pool to a VM with that row.
bool
MayDispatch(const VmOwnership& aRow, std::string_view aPool);

/// First step of a move: the VM still counts to its pool, but gets no new
/// work. Fails with StateConflict unless the VM serves another pool.
leaf::result<VmOwnership>
BeginMove(const VmOwnership& aRow, std::string_view aNextPool, WallTime aNow);

/// True once every node that could send work to the VM has acknowledged the
/// leave at this epoch, or is gone for good.
bool
IsFenced(const VmOwnership& aRow,
         std::span<const NodeRecord> aNodes,
         std::span<const LeaveAck> aAcks,
         std::span<const std::string> aEndedNodes);

/// Last step of a leave: the VM serves the next pool, or is out of service if
/// it left for maintenance.
VmOwnership
FinishMove(const VmOwnership& aRow, WallTime aNow);

/// First step of maintenance, fenced like a move.
leaf::result<VmOwnership>
BeginMaintenance(const VmOwnership& aRow, WallTime aNow);

/// Row of a VM that is back in service after maintenance.
VmOwnership
FinishMaintenance(const VmOwnership& aRow, WallTime aNow);

/// First ownership of a VM that no pool has owned.
VmOwnership
Adopt(const VmListing& aVm, std::string_view aPool, WallTime aNow);

/// Row of a VM that the platform is about to take away.
VmOwnership
MarkDraining(const VmOwnership& aRow, WallTime aNow);

/// The VM's state after a look at the platform's list.
struct MissingVmTimeouts
{
  /// A VM that is missing from the list for this long counts as lost.
  Duration mLostTimeout = std::chrono::seconds(10);
  /// A VM that is missing for this long has ended and leaves the fleet.
  Duration mRetirementTimeout = std::chrono::minutes(10);
};

/// Row that a VM missing for aMissingFor should have.
VmOwnership
MarkMissing(const VmOwnership& aRow,
            Duration aMissingFor,
            const MissingVmTimeouts& aTimeouts,
            WallTime aNow);

/// Row that a lost VM has once it is listed again.
VmOwnership
MarkFound(const VmOwnership& aRow, WallTime aNow);

} // namespace buckthornshunt

#endif
