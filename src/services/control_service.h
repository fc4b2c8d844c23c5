#ifndef BUCKTHORNSHUNT_SERVICES_CONTROL_SERVICE_H
#define BUCKTHORNSHUNT_SERVICES_CONTROL_SERVICE_H

#include "decide/cost.h"
#include "decide/ownership.h"
#include "decide/pool_plan.h"
#include "kernel/kernel.h"
#include "ports/platform_calls.h"
#include "wire/row_codec.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornshunt {

class ConfigService;
class MemberService;
class TableService;

/// An ownership row and the revision that an update of it must expect.
struct VersionedVm
{
  VmOwnership mRow;
  Revision mRevision{};
};

/// Keeps the pools of this node's data centre at their budgets while the node
/// leads it. Each step is a compare-and-set on the rows that it read, so that
/// two concurrent controllers do no harm.
class ControlService
{
public:
  static constexpr std::string_view kName = "control";

  explicit ControlService(Kernel& aKernel);

  leaf::result<void> Start();
  Task<void> Stop();

  /// True while this node holds the controller's role, by its own knowledge.
  bool IsLeader() const { return mIsLeader; }

  /// Starts an operator's move of a VM of this data centre; needn't be called
  /// on the leader.
  Task<Expected<VmOwnership>> Move(std::string aVm,
                                   std::string aPool,
                                   TimePoint aDeadline);

  /// Starts to take a VM out of service for maintenance.
  Task<Expected<VmOwnership>> TakeOutOfService(std::string aVm,
                                               TimePoint aDeadline);

  /// Returns a VM from maintenance to its pool.
  Task<Expected<VmOwnership>> ReturnToService(std::string aVm,
                                              TimePoint aDeadline);

  /// VMs of the data centre with their rows, from this node's copy.
  std::vector<FleetVm> Fleet() const;

  std::vector<PoolAvailability> Standings() const;

  /// Reads the data centre's ledger from the platform.
  Task<Expected<std::vector<LedgerEntry>>> ReadLedger(TimePoint aDeadline);

private:
  Task<void> RunController();
  Task<bool> RenewLeadership();
  Task<void> RunStep();
  Task<void> UpdateVmList();
  Task<void> ReconcileVm(VersionedVm aVm);
  Task<void> FinishMoves();
  Task<void> FinishMoveIfAcknowledged(VersionedVm aVm);
  Task<void> Execute(PoolAction aAction);
  struct ActionExecutor;
  Task<void> Unregister(NodeRecord aNode);
  Task<Expected<Revision>> WriteRow(VmOwnership aNext,
                                    Revision aExpected,
                                    CommitRows aMore,
                                    TimePoint aDeadline);
  std::vector<VersionedVm> OwnershipRows() const;
  std::optional<VersionedVm> FindOwnershipRow(std::string_view aVm) const;
  std::vector<LeaveAck> AcksOf(std::string_view aVm) const;
  std::vector<std::string> TimedOutNodes() const;
  TimePoint CallDeadline();

  Kernel& mKernel;
  TableService* mTable = nullptr;
  MemberService* mMembers = nullptr;
  ConfigService* mConfig = nullptr;
  std::string mDataCentre;
  bool mIsLeader = false;
  /// Role's row as last observed, and when it was first observed so.
  std::uint64_t mObservedRenewals = 0;
  Incarnation mObservedHolder{};
  TimePoint mObservedAt;
  std::optional<VmList> mVmList;
  TimePoint mVmListTime;
  std::map<std::string, TimePoint, std::less<>> mVmMissingSince;
  std::map<std::string, TimePoint, std::less<>> mNodeMissingSince;
  TaskGroup mTasks;
};

} // namespace buckthornshunt

#endif
