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

/// A node's acknowledgement that it sends nothing more to a leaving VM and that
/// nothing it sent there still runs.
struct LeaveAck
{
  std::string mVm;
  std::string mNode;
  Incarnation mIncarnation{};
  Epoch mEpoch{};

  friend bool operator==(const LeaveAck&, const LeaveAck&) = default;
};

/// True if nodes may send work for aPool to the VM of that row.
bool
MayDispatch(const VmOwnership& aRow, std::string_view aPool);

/// First step of a move: the VM still belongs to its pool, but gets no new
/// work. Fails with StateConflict unless the VM serves another pool.
leaf::result<VmOwnership>
BeginMove(const VmOwnership& aRow, std::string_view aNextPool, WallTime aNow);

/// True once every node that could send work to the VM has acknowledged the
/// leave at the row's epoch or is in aEndedNodes, the nodes whose VM has ended.
bool
IsFenced(const VmOwnership& aRow,
         std::span<const NodeRecord> aNodes,
         std::span<const LeaveAck> aAcks,
         std::span<const std::string> aEndedNodes);

/// Last step of a move: the VM serves the next pool, or is in maintenance if it
/// left for that.
VmOwnership
FinishMove(const VmOwnership& aRow, WallTime aNow);

/// First step of maintenance, fenced like a move. Fails with StateConflict
/// unless the VM is serving.
leaf::result<VmOwnership>
BeginMaintenance(const VmOwnership& aRow, WallTime aNow);

/// Row of a VM that serves again after maintenance.
VmOwnership
FinishMaintenance(const VmOwnership& aRow, WallTime aNow);

/// First row of a VM that no pool has owned.
VmOwnership
Adopt(const VmListing& aVm, std::string_view aPool, WallTime aNow);

/// Row of a VM that the platform is about to remove; unchanged unless the VM is
/// serving.
VmOwnership
MarkDraining(const VmOwnership& aRow, WallTime aNow);

/// Timeouts for a VM that is missing from the platform's list.
struct MissingVmTimeouts
{
  /// Time after which the VM counts as lost.
  Duration mLostTimeout = std::chrono::seconds(10);
  /// Time after which the VM has ended and leaves the fleet.
  Duration mRetirementTimeout = std::chrono::minutes(10);
};

/// Row of a VM that has been missing for aMissingFor.
VmOwnership
MarkMissing(const VmOwnership& aRow,
            Duration aMissingFor,
            const MissingVmTimeouts& aTimeouts,
            WallTime aNow);

/// Row of a VM that is listed; unchanged unless the VM was lost.
VmOwnership
MarkFound(const VmOwnership& aRow, WallTime aNow);

} // namespace buckthornshunt

#endif
