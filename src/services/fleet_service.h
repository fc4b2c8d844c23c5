#ifndef BUCKTHORNSHUNT_SERVICES_FLEET_SERVICE_H
#define BUCKTHORNSHUNT_SERVICES_FLEET_SERVICE_H

#include "decide/fleet_plan.h"
#include "kernel/kernel.h"
#include "kernel/wait.h"
#include "ports/store.h"
#include "ports/workers.h"
#include "services/cell_lease.h"
#include "wire/fleet_codec.h"

#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <string_view>

namespace buckthornshunt {

class CellService;
class DirectoryService;
class OwnerService;
class RelayService;

/// What the fleet's owner works with.
struct FleetPorts
{
  Store* mStore = nullptr;
  Machines* mMachines = nullptr;
  /// Least time between orders of different owners for one VM.
  Duration mDutyLease = std::chrono::seconds(3);
};

/// Moves VMs between pools and takes them to their maintenance, on the one
/// node that owns the cell of the fleet; tells the cells' owners which workers
/// to empty, and reports their use to the fleet's owner.
class FleetService
{
public:
  static constexpr std::string_view kName = "fleet";

  FleetService(Kernel& aKernel, FleetPorts aPorts);

  leaf::result<void> Start();
  Task<void> Stop();

private:
  Task<void> WatchOwner();
  Task<void> RunAsOwner(ClaimResult aClaim);
  Task<bool> LoadRows();
  WallTime ToWallTime(TimePoint aTime) const;
  Task<void> RenewLoop();
  Task<void> ListLoop();
  Task<void> SyncLoop(std::string aPool);
  Task<bool> SyncPool(const std::string& aPool);
  Task<void> PlanLoop();
  Task<void> ExecuteOrder(std::string aVm);
  Task<bool> Persist();
  Task<Json> OnSync(Json aBody, TimePoint aDeadline);
  void LogVmChanges(std::span<const PoolVm> aVms) const;
  void RemoveSettledIntents();
  void ApplyPlan(const FleetPlan& aChange);
  void UpdateWaves();
  void LogView();
  FleetSync MakeSync(std::string_view aPool) const;
  bool MayOrder(std::string_view aVm, const FleetIntent& aIntent) const;

  Kernel& mKernel;
  Clock& mClock;
  FleetPorts mPorts;
  DirectoryService* mDirectory = nullptr;
  OwnerService* mOwners = nullptr;
  RelayService* mRelay = nullptr;
  CellService* mCells = nullptr;
  TaskGroup mTasks;
  TaskGroup mOwnerTasks;
  bool mStopping = false;
  std::unique_ptr<CellLease> mLease;
  TimePoint mOwnedSince;
  /// Owners of the fleet before this one.
  std::uint32_t mPreviousOwners = 0;
  /// VMs that an earlier owner may have ordered just before.
  std::set<std::string, std::less<>> mInheritedVms;
  FleetView mView;
  /// Changes that want to be recorded, and those that are.
  std::uint64_t mRequestedState = 0;
  std::uint64_t mPersistedState = 0;
  /// When the present list of VMs was asked for.
  TimePoint mListRequestedAt;
  TimePoint mViewLoggedAt;
  AutoResetEvent mPlanDue;
  Event mSyncDue;
  AutoResetEvent mPersistDue;
  Event mPersisted;
  /// Highest token of a fleet owner that this node's cells have heard from.
  std::uint64_t mHighestFleetToken = 0;
};

} // namespace buckthornshunt

#endif
