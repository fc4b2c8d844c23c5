#include "services/control_service.h"

#include "kernel/log.h"
#include "services/config_service.h"
#include "services/member_service.h"
#include "services/table_service.h"

#include <algorithm>

namespace buckthornshunt {

namespace {

constexpr std::string_view kPart = "control";
constexpr Duration kStepInterval = std::chrono::seconds(1);
constexpr Duration kCallTimeout = std::chrono::seconds(2);
constexpr Duration kListInterval = std::chrono::seconds(2);

/// The holder renews the role at this interval; another node takes it over
/// after this time without a renewal.
constexpr Duration kRenewInterval = std::chrono::seconds(5);
constexpr Duration kRoleLeaseDuration = std::chrono::seconds(15);

/// A node that the platform hasn't listed for this long counts as ended.
constexpr Duration kMissingNodeTimeout = std::chrono::seconds(30);

constexpr MissingVmTimeouts kSightingRule{};

} // namespace

ControlService::ControlService(Kernel& aKernel)
  : mKernel(aKernel)
  , mTasks(aKernel.Context(), &aKernel.Groups())
{
}

leaf::result<void>
ControlService::Start()
{
  BOOST_LEAF_ASSIGN(mTable, mKernel.Find<TableService>(TableService::kName));
  BOOST_LEAF_ASSIGN(mMembers,
                    mKernel.Find<MemberService>(MemberService::kName));
  BOOST_LEAF_ASSIGN(mConfig, mKernel.Find<ConfigService>(ConfigService::kName));
  mDataCentre = mMembers->Self().mDataCentre;
  mTasks.Spawn("control lead", RunController());
  return {};
}

Task<void>
ControlService::Stop()
{
  mTasks.CancelAll();
  co_await mTasks.Join();
}

TimePoint
ControlService::CallDeadline()
{
  return mKernel.GetClock().Now() + kCallTimeout;
}

Task<void>
ControlService::RunController()
{
  Clock& clock = mKernel.GetClock();
  TimePoint renewAt = clock.Now();
  while (true) {
    if (clock.Now() >= renewAt) {
      bool leading = co_await RenewLeadership();
      if (leading != mIsLeader) {
        LogInfo(kPart,
                leading ? "became the leader of {}"
                        : "no longer the leader of {}",
                mDataCentre);
      }
      mIsLeader = leading;
      renewAt = clock.Now() + kRenewInterval;
    }
    if (mIsLeader && mConfig->Current()) {
      co_await RunStep();
    }
    co_await clock.Sleep(kStepInterval);
  }
}

// Renews the role if this node holds it, or takes it over once its holder has
// stopped renewing it. The time without a renewal is measured on this node's
// own clock. Two concurrent holders are harmless.
Task<bool>
ControlService::RenewLeadership()
{
  Clock& clock = mKernel.GetClock();
  const NodeIdentity& self = mMembers->Self();
  std::string key = RoleKey(mDataCentre);
  auto read = co_await mTable->Read(key, CallDeadline());
  if (!Ok(read)) {
    co_return false;
  }
  const std::optional<Row>& row = std::get<RowRead>(read).mRow;
  RoleLease next{ self.mNode, self.mIncarnation, 1 };
  Revision expected{};
  if (row) {
    expected = row->mRevision;
    auto decoded =
      ToExpected<RoleLease>([&] { return DecodeRole(row->mValue); });
    if (!Ok(decoded)) {
      co_return false;
    }
    const RoleLease& current = std::get<RoleLease>(decoded);
    bool renewed = current.mIncarnation != mObservedHolder ||
                   current.mRenewals != mObservedRenewals;
    if (renewed) {
      mObservedHolder = current.mIncarnation;
      mObservedRenewals = current.mRenewals;
      mObservedAt = clock.Now();
    }
    bool own = current.mIncarnation == self.mIncarnation;
    if (!own && clock.Now() - mObservedAt < kRoleLeaseDuration) {
      co_return false;
    }
    next.mRenewals = current.mRenewals + 1;
  }
  CommitRows commit;
  commit.mWrites.push_back({ key, EncodeRole(next), expected, false });
  auto written = co_await mTable->Commit(std::move(commit), CallDeadline());
  co_return Ok(written);
}

std::vector<VersionedVm>
ControlService::OwnershipRows() const
{
  std::vector<VersionedVm> rows;
  mTable->View().ForEach(VmPrefix(mDataCentre), [&](const Row& aRow) {
    auto row = ToExpected<VmOwnership>([&] { return DecodeVm(aRow.mValue); });
    if (Ok(row)) {
      rows.push_back({ std::get<VmOwnership>(std::move(row)), aRow.mRevision });
    }
  });
  return rows;
}

std::optional<VersionedVm>
ControlService::FindOwnershipRow(std::string_view aVm) const
{
  const Row* row = mTable->View().Find(VmKey(mDataCentre, aVm));
  if (row == nullptr) {
    return std::nullopt;
  }
  auto vm = ToExpected<VmOwnership>([&] { return DecodeVm(row->mValue); });
  if (!Ok(vm)) {
    return std::nullopt;
  }
  return VersionedVm{ std::get<VmOwnership>(std::move(vm)), row->mRevision };
}

std::vector<LeaveAck>
ControlService::AcksOf(std::string_view aVm) const
{
  std::vector<LeaveAck> acks;
  mTable->View().ForEach(AckPrefix(mDataCentre, aVm), [&](const Row& aRow) {
    auto ack = ToExpected<LeaveAck>([&] { return DecodeAck(aRow.mValue); });
    if (Ok(ack)) {
      acks.push_back(std::get<LeaveAck>(std::move(ack)));
    }
  });
  return acks;
}

std::vector<FleetVm>
ControlService::Fleet() const
{
  std::vector<FleetVm> fleet;
  std::map<std::string, VmListing, std::less<>> listed;
  if (mVmList) {
    for (const VmListing& vm : mVmList->mWorkers) {
      if (vm.mDataCentre == mDataCentre) {
        listed.emplace(vm.mVm, vm);
      }
    }
  }
  for (VersionedVm& current : OwnershipRows()) {
    VmOwnership& row = current.mRow;
    if (row.mState == VmState::Retired) {
      listed.erase(row.mVm);
      continue;
    }
    auto it = listed.find(row.mVm);
    VmListing listing{ row.mVm, mDataCentre, row.mRack, row.mEndpoint, false };
    if (it != listed.end()) {
      listing = it->second;
      listed.erase(it);
    }
    fleet.push_back({ std::move(listing), true, std::move(row) });
  }
  for (auto& [name, listing] : listed) {
    fleet.push_back({ std::move(listing), false, {} });
  }
  return fleet;
}

std::vector<PoolAvailability>
ControlService::Standings() const
{
  if (!mConfig->Current()) {
    return {};
  }
  return AssessPools(*mConfig->Current(), Fleet());
}

Task<Expected<std::vector<LedgerEntry>>>
ControlService::ReadLedger(TimePoint aDeadline)
{
  auto batch = co_await mTable->ReadPrefix(
    LedgerPrefix(mDataCentre), Revision{}, aDeadline);
  if (!Ok(batch)) {
    co_return std::get<Failure>(std::move(batch));
  }
  std::vector<LedgerEntry> ledger;
  for (const Row& row : std::get<RowBatch>(batch).mRows) {
    auto vm = ToExpected<VmOwnership>([&] { return DecodeVm(row.mValue); });
    if (Ok(vm)) {
      ledger.push_back(
        { std::get<VmOwnership>(std::move(vm)), row.mCommitted });
    }
  }
  co_return ledger;
}

// Commits an ownership row together with its copy in the ledger. The expected
// revision of the row guards the step; so does the ledger, which accepts each
// epoch of a VM once.
Task<Expected<Revision>>
ControlService::WriteRow(VmOwnership aNext,
                         Revision aExpected,
                         CommitRows aMore,
                         TimePoint aDeadline)
{
  std::string value = EncodeVm(aNext);
  CommitRows commit;
  commit.mWrites.push_back(
    { VmKey(mDataCentre, aNext.mVm), value, aExpected, false });
  commit.mWrites.push_back(
    { LedgerKey(mDataCentre, aNext), value, Revision{}, false });
  for (RowWrite& write : aMore.mWrites) {
    commit.mWrites.push_back(std::move(write));
  }
  auto written = co_await mTable->Commit(std::move(commit), aDeadline);
  if (Ok(written)) {
    LogInfo(kPart,
            "VM {} is {} in pool {} at epoch {}",
            aNext.mVm,
            ToString(aNext.mState),
            aNext.mPool,
            ToNumber(aNext.mEpoch));
  }
  co_return written;
}

Task<void>
ControlService::RunStep()
{
  co_await UpdateVmList();
  if (!mVmList) {
    co_return;
  }
  for (VersionedVm& vm : OwnershipRows()) {
    co_await ReconcileVm(std::move(vm));
  }
  co_await FinishMoves();
  // Plans only from rows that this node has read back.
  for (PoolAction& action : PlanPools(*mConfig->Current(), Fleet())) {
    co_await Execute(std::move(action));
  }
}

Task<void>
ControlService::UpdateVmList()
{
  Clock& clock = mKernel.GetClock();
  if (mVmList && clock.Now() - mVmListTime < kListInterval) {
    co_return;
  }
  std::string tag = mVmList ? mVmList->mTag : std::string();
  auto list =
    co_await mTable->List(mDataCentre, std::move(tag), CallDeadline());
  if (!Ok(list)) {
    co_return;
  }
  if (!std::get<VmList>(list).mUnchanged) {
    mVmList = std::get<VmList>(std::move(list));
  }
  mVmListTime = clock.Now();
  const auto& entry = mVmList->mEntryVms;
  for (const NodeRecord& node : mMembers->NodesOf(mDataCentre)) {
    if (std::find(entry.begin(), entry.end(), node.mNode) != entry.end()) {
      mNodeMissingSince.erase(node.mNode);
    } else {
      mNodeMissingSince.try_emplace(node.mNode, clock.Now());
    }
  }
  for (const std::string& name : TimedOutNodes()) {
    for (const NodeRecord& node : mMembers->NodesOf(mDataCentre)) {
      if (node.mNode == name) {
        co_await Unregister(node);
      }
    }
  }
}

std::vector<std::string>
ControlService::TimedOutNodes() const
{
  std::vector<std::string> gone;
  for (const auto& [name, since] : mNodeMissingSince) {
    if (mVmListTime - since >= kMissingNodeTimeout) {
      gone.push_back(name);
    }
  }
  return gone;
}

Task<void>
ControlService::Unregister(NodeRecord aNode)
{
  const Row* row = mTable->View().Find(NodeKey(mDataCentre, aNode.mNode));
  if (row == nullptr) {
    co_return;
  }
  CommitRows commit;
  commit.mWrites.push_back({ row->mKey, {}, row->mRevision, true });
  auto written = co_await mTable->Commit(std::move(commit), CallDeadline());
  if (Ok(written)) {
    LogInfo(kPart,
            "unregistered node {}: the platform no longer lists it",
            aNode.mNode);
  }
}

// Reconciles a VM's row with the platform's list: a VM that the platform takes
// away is drained, a missing VM is marked as lost, later as retired.
Task<void>
ControlService::ReconcileVm(VersionedVm aVm)
{
  Clock& clock = mKernel.GetClock();
  const VmOwnership& row = aVm.mRow;
  const auto& workers = mVmList->mWorkers;
  auto it =
    std::find_if(workers.begin(), workers.end(), [&](const VmListing& aListed) {
      return aListed.mVm == row.mVm;
    });
  VmOwnership next = row;
  if (it == workers.end()) {
    TimePoint since =
      mVmMissingSince.try_emplace(row.mVm, clock.Now()).first->second;
    next =
      MarkMissing(row, mVmListTime - since, kSightingRule, clock.WallNow());
  } else {
    mVmMissingSince.erase(row.mVm);
    next = MarkFound(row, clock.WallNow());
    if (it->mLeaving) {
      next = MarkDraining(next, clock.WallNow());
    }
  }
  if (next.mState != row.mState) {
    co_await WriteRow(std::move(next), aVm.mRevision, {}, CallDeadline());
  }
}

Task<void>
ControlService::FinishMoves()
{
  for (VersionedVm& vm : OwnershipRows()) {
    if (vm.mRow.mState == VmState::Leaving) {
      co_await FinishMoveIfAcknowledged(std::move(vm));
    }
  }
}

Task<void>
ControlService::FinishMoveIfAcknowledged(VersionedVm aVm)
{
  const VmOwnership& row = aVm.mRow;
  std::vector<NodeRecord> nodes = mMembers->NodesOf(mDataCentre);
  std::vector<LeaveAck> acks = AcksOf(row.mVm);
  if (!IsFenced(row, nodes, acks, TimedOutNodes())) {
    co_return;
  }
  CommitRows more;
  mTable->View().ForEach(AckPrefix(mDataCentre, row.mVm), [&](const Row& aAck) {
    more.mWrites.push_back({ aAck.mKey, {}, aAck.mRevision, true });
  });
  // A node that registers after the nodes were read has already read the row as
  // Leaving, so it sends nothing to the VM until it reads the next one.
  VmOwnership next = FinishMove(row, mKernel.GetClock().WallNow());
  auto written = co_await WriteRow(
    std::move(next), aVm.mRevision, std::move(more), CallDeadline());
  if (Ok(written)) {
    mKernel.GetMetrics().GetCounter("vm_moves_total").Add();
  }
}

Task<Expected<VmOwnership>>
ControlService::Move(std::string aVm, std::string aPool, TimePoint aDeadline)
{
  std::optional<VersionedVm> current = FindOwnershipRow(aVm);
  if (!current) {
    co_return Failure(NotFound{ "VM " + aVm });
  }
  if (!mConfig->Current() || !mConfig->Current()->mPools.contains(aPool)) {
    co_return Failure(NotFound{ "pool " + aPool });
  }
  WallTime now = mKernel.GetClock().WallNow();
  auto next = ToExpected<VmOwnership>(
    [&] { return BeginMove(current->mRow, aPool, now); });
  if (!Ok(next)) {
    co_return next;
  }
  auto written = co_await WriteRow(
    std::get<VmOwnership>(next), current->mRevision, {}, aDeadline);
  if (!Ok(written)) {
    co_return std::get<Failure>(std::move(written));
  }
  co_return next;
}

Task<Expected<VmOwnership>>
ControlService::TakeOutOfService(std::string aVm, TimePoint aDeadline)
{
  std::optional<VersionedVm> current = FindOwnershipRow(aVm);
  if (!current) {
    co_return Failure(NotFound{ "VM " + aVm });
  }
  WallTime now = mKernel.GetClock().WallNow();
  auto next = ToExpected<VmOwnership>(
    [&] { return BeginMaintenance(current->mRow, now); });
  if (!Ok(next)) {
    co_return next;
  }
  auto written = co_await WriteRow(
    std::get<VmOwnership>(next), current->mRevision, {}, aDeadline);
  if (!Ok(written)) {
    co_return std::get<Failure>(std::move(written));
  }
  co_return next;
}

Task<Expected<VmOwnership>>
ControlService::ReturnToService(std::string aVm, TimePoint aDeadline)
{
  std::optional<VersionedVm> current = FindOwnershipRow(aVm);
  if (!current || current->mRow.mState != VmState::Maintenance) {
    co_return Failure(NotFound{ "VM " + aVm + " in maintenance" });
  }
  VmOwnership next =
    FinishMaintenance(current->mRow, mKernel.GetClock().WallNow());
  auto written = co_await WriteRow(next, current->mRevision, {}, aDeadline);
  if (!Ok(written)) {
    co_return std::get<Failure>(std::move(written));
  }
  co_return next;
}

/// Executes one action of a plan.
struct ControlService::ActionExecutor
{
  ControlService& mService;

  Task<void> operator()(const AdoptVm& aAction) const
  {
    WallTime now = mService.mKernel.GetClock().WallNow();
    for (const VmListing& vm : mService.mVmList->mWorkers) {
      if (vm.mVm == aAction.mVm) {
        VmOwnership row = Adopt(vm, aAction.mPool, now);
        TimePoint deadline = mService.CallDeadline();
        co_await mService.WriteRow(std::move(row), Revision{}, {}, deadline);
        co_return;
      }
    }
  }
  Task<void> operator()(const MoveVm& aAction) const
  {
    TimePoint deadline = mService.CallDeadline();
    co_await mService.Move(aAction.mVm, aAction.mPool, deadline);
  }
};

Task<void>
ControlService::Execute(PoolAction aAction)
{
  ActionExecutor taker{ *this };
  co_await std::visit(taker, aAction);
}

} // namespace buckthornshunt
