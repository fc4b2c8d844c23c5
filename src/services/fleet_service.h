#ifndef BUCKTHORNSHUNT_SERVICES_FLEET_SERVICE_H
#define BUCKTHORNSHUNT_SERVICES_FLEET_SERVICE_H

#include "decide/fleet_plan.h"
#include "kernel/entry_log.h"
#include "kernel/kernel.h"
#include "kernel/wait.h"
#include "ports/store.h"
#include "ports/workers.h"
#include "services/cell_lease.h"
#include "wire/fleet_codec.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>

namespace buckthornshunt {

class CellService;
class DirectoryService;
class OwnerService;
class RelayService;

/// External interfaces that the fleet's owner uses.
struct FleetPorts
{
  Store* mStore = nullptr;
  Machines* mMachines = nullptr;
  /// Minimum time between orders for one VM by different owners.
  Duration mDutyLease = std::chrono::seconds(3);
  /// Limit to which workers shorten the leases of runs.
  Duration mMaxRunLeaseDuration = std::chrono::seconds(10);
};

/// Moves VMs between pools and orders their maintenance, on the one node that
/// owns the fleet's cell; sends the cells' owners the workers to drain, and on
/// these reports the pools' use to the fleet's owner. Chooses the fleet's
/// layout if it has none.
class FleetService
{
public:
  static constexpr std::string_view kName = "fleet";

  FleetService(Kernel& aKernel, FleetPorts aPorts);

  leaf::result<void> Start();

  /// Releases the fleet's cell; also one whose claim is still in progress.
  Task<void> Drain(TimePoint aDeadline);
  Task<void> Stop();

private:
  Task<void> WatchOwner();
  Task<void> RunAsOwner(ClaimResult aClaim);
  Task<bool> LoadRows();
  Task<bool> LoadLayout();
  WallTime ToWallTime(TimePoint aTime) const;
  Task<void> RenewLoop();
  Task<void> ListLoop();
  Task<void> SyncLoop(CellId aCell);
  Task<bool> SyncCell(const CellId& aCell);
  Task<void> PlanLoop();
  Task<void> ExecuteOrder(std::string aVm);
  Task<bool> Persist();
  Task<Json> OnSync(Json aBody, TimePoint aDeadline);
  void SetVms(std::vector<PoolVm> aVms);
  const PoolVm* FindVm(std::string_view aName) const;
  void RecordMalformedVms(const PoolVmPage& aPage);
  void LogVmChanges(std::span<const PoolVm> aVms) const;
  void RemoveSettledIntents();
  void ApplyPlan(const FleetPlan& aChange);
  void UpdateWaves();
  void LogView();
  FleetSync MakeSync(const CellId& aCell) const;
  std::optional<FleetLayout> NewLayout() const;
  void UpdateCells(const WorkloadConfig& aConfig);
  bool MayOrder(std::string_view aVm, const FleetIntent& aIntent) const;
  /// Whether VMs in mHeldVms may not be ordered yet.
  bool HoldsInheritedVms() const;

  Kernel& mKernel;
  Clock& mClock;
  FleetPorts mPorts;
  DirectoryService* mDirectory = nullptr;
  OwnerService* mOwners = nullptr;
  RelayService* mRelay = nullptr;
  CellService* mCells = nullptr;
  TaskGroup mTasks;
  TaskGroup mOwnerTasks;
  std::unique_ptr<CellLease> mLease;
  TimePoint mOwnedSince;
  /// Number of owners of the fleet before this one.
  std::uint32_t mPreviousOwners = 0;
  FleetView mView;
  /// Cells that are followed: all that mView has named.
  std::set<std::string, std::less<>> mFollowedCells;
  /// The VMs of mView.
  std::unordered_map<std::string_view, const PoolVm*> mVmsByName;
  /// Versions of the state: the newest, and the last that is stored.
  std::uint64_t mRequestedState = 0;
  std::uint64_t mPersistedState = 0;
  /// The store has no layout, and only this owner may add one.
  bool mMayChooseLayout = false;
  /// When the current list of VMs was requested.
  TimePoint mListRequestedAt;
  TimePoint mViewLoggedAt;
  AutoResetEvent mPlanDue;
  Event mSyncDue;
  AutoResetEvent mPersistDue;
  Event mPersisted;
  /// Highest fencing token of a sync that this node's cells have accepted.
  std::uint64_t mHighestFleetToken = 0;
  MalformedEntryLog mMalformed;
};

} // namespace buckthornshunt

#endif
