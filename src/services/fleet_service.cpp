#include "services/fleet_service.h"

#include "decide/fleet_cells.h"
#include "kernel/log.h"
#include "platform/directory_codec.h"
#include "services/cell_service.h"
#include "services/directory_service.h"
#include "services/owner_service.h"
#include "services/relay_service.h"
#include "wire/cell_codec.h"
#include "wire/fleet_codec.h"

#include <algorithm>

namespace buckthornshunt {

namespace {

constexpr std::string_view kPart = "fleet";
constexpr std::string_view kFleetTable = "fleet";
constexpr std::string_view kIntentsKey = "intents";
constexpr std::string_view kWavePrefix = "wave/";
/// Name of the list of VMs in the log of malformed entries.
constexpr std::string_view kVmTable = "vms";

constexpr Duration kCheckInterval = std::chrono::milliseconds(500);
constexpr Duration kRenewInterval = std::chrono::milliseconds(500);
constexpr Duration kSyncInterval = std::chrono::milliseconds(200);
constexpr Duration kSyncTimeout = std::chrono::milliseconds(900);
constexpr Duration kPlanInterval = std::chrono::milliseconds(100);
/// Delay before a plan, so that reports which arrive together share it.
constexpr Duration kPlanBatchDelay = std::chrono::milliseconds(25);
constexpr Duration kViewLogInterval = std::chrono::seconds(1);
/// About the age of the platform's list of VMs.
constexpr Duration kListInterval = std::chrono::milliseconds(500);
constexpr Duration kListTimeout = std::chrono::milliseconds(1500);
constexpr Duration kVmOrderTimeout = std::chrono::milliseconds(1200);
constexpr Duration kVmOrderRetryInterval = std::chrono::milliseconds(250);
/// Random addition to the claim delay, so that equal nodes don't all claim the
/// fleet at the same moment.
constexpr std::uint64_t kClaimJitterMs = 200;
/// How long a new fleet waits for the list of VMs to choose its layout by; a
/// fleet that can't list its VMs stays undivided.
constexpr Duration kLayoutTimeout = std::chrono::seconds(10);
/// An order that the platform has confirmed shows in the list by then.
constexpr Duration kConfirmedOrderTimeout = std::chrono::seconds(12);

RowName
FleetRowName(std::string_view aKey)
{
  return { std::string(kFleetTable),
           std::string(kFleetCell),
           std::string(aKey) };
}

} // namespace

FleetService::FleetService(Kernel& aKernel, FleetPorts aPorts)
  : mKernel(aKernel)
  , mClock(aKernel.GetClock())
  , mPorts(aPorts)
  , mTasks(aKernel.Context(), &aKernel.Groups())
  , mOwnerTasks(aKernel.Context(), &aKernel.Groups())
  , mPlanDue(aKernel.Context())
  , mSyncDue(aKernel.Context())
  , mPersistDue(aKernel.Context())
  , mPersisted(aKernel.Context())
  , mMalformed(aKernel.GetMetrics(), kPart)
{
}

leaf::result<void>
FleetService::Start()
{
  BOOST_LEAF_ASSIGN(mDirectory,
                    mKernel.Find<DirectoryService>(DirectoryService::kName));
  BOOST_LEAF_ASSIGN(mOwners, mKernel.Find<OwnerService>(OwnerService::kName));
  BOOST_LEAF_ASSIGN(mRelay, mKernel.Find<RelayService>(RelayService::kName));
  BOOST_LEAF_ASSIGN(mCells, mKernel.Find<CellService>(CellService::kName));
  mRelay->RegisterHandler("fleet", [this](Json aBody, TimePoint aDeadline) {
    return OnSync(std::move(aBody), aDeadline);
  });
  if (mPorts.mMachines != nullptr) {
    mTasks.Spawn("watch", WatchOwner());
  }
  return {};
}

// WatchOwner releases the cell. It isn't cancelled before the deadline, since a
// cancelled claim may have taken effect, and nobody would release the cell
// then.
Task<void>
FleetService::Drain(TimePoint aDeadline)
{
  Watchdog watchdog(mClock, aDeadline, [this] { mTasks.CancelAll(); });
  mPersisted.NotifyAll();
  co_await mTasks.Join();
}

Task<void>
FleetService::Stop()
{
  mTasks.CancelAll();
  mOwnerTasks.CancelAll();
  co_await mTasks.Join();
  co_await mOwnerTasks.Join();
}

// --- Ownership

Task<void>
FleetService::WatchOwner()
{
  while (!mKernel.IsStopping()) {
    const OwnerObservation* sighting = mOwners->LastSeen(kFleetCell);
    bool free = mOwners->HasBeenRead(kFleetCell) &&
                (sighting == nullptr ||
                 EvaluateOwnership(*sighting, mOwners->Self(), mClock.Now()) ==
                   OwnershipState::Free);
    if (free) {
      auto jitterMs =
        static_cast<std::int64_t>(mKernel.Random() % kClaimJitterMs);
      co_await mClock.Sleep(ClaimDelay(mOwners->Self().mCapacity, 0) +
                            std::chrono::milliseconds(jitterMs));
      sighting = mOwners->LastSeen(kFleetCell);
      std::optional<OwnerObservation> before;
      if (sighting != nullptr) {
        before = *sighting;
      }
      free =
        !before || EvaluateOwnership(*before, mOwners->Self(), mClock.Now()) ==
                     OwnershipState::Free;
      std::optional<ClaimResult> claim;
      if (free && !mKernel.IsStopping()) {
        std::optional<OwnerObservation> seen;
        claim = co_await ClaimCell(mKernel,
                                   *mPorts.mStore,
                                   std::string(kFleetCell),
                                   mOwners->Self(),
                                   before,
                                   seen);
        if (seen) {
          mOwners->ObserveRow(kFleetCell, seen->mRow, seen->mRevision);
        }
      }
      if (claim) {
        mOwners->ObserveRow(kFleetCell, claim->mRow, claim->mRevision);
        co_await RunAsOwner(std::move(*claim));
      }
    }
    TimePoint deadline = mClock.Now() + kCheckInterval;
    co_await WaitUntil(mOwners->Changed(), mClock, deadline);
  }
}

// Does the work of the fleet's owner until the lease is lost or, if the node
// stops, released.
Task<void>
FleetService::RunAsOwner(ClaimResult aClaim)
{
  DirectoryService::WorkerSubscription workers =
    mDirectory->SubscribeToWorkers();
  mView = FleetView{};
  mFollowedCells.clear();
  mVmsByName.clear();
  mLease = std::make_unique<CellLease>(mKernel,
                                       *mPorts.mStore,
                                       kFleetCell,
                                       std::move(aClaim.mRow),
                                       aClaim.mRevision,
                                       aClaim.mSentAt);
  mOwnedSince = mClock.Now();
  mPreviousOwners = mLease->Row().mTerm - 1;
  LogInfo(
    kPart, "taken over term={} token={}", mLease->Row().mTerm, mLease->Token());
  bool loaded = false;
  auto isOwner = [this] { return !mLease->Lost() && !mKernel.IsStopping(); };
  while (!loaded && isOwner()) {
    loaded = co_await LoadRows();
    if (loaded) {
      loaded = co_await LoadLayout();
    }
    if (!loaded) {
      co_await mClock.Sleep(kVmOrderRetryInterval);
    }
  }
  if (isOwner()) {
    mOwnerTasks.Spawn("renew", RenewLoop());
    mOwnerTasks.Spawn("list", ListLoop());
    mOwnerTasks.Spawn("plan", PlanLoop());
  }
  while (isOwner()) {
    co_await WaitUntil(mPersisted, mClock, mClock.Now() + kCheckInterval);
  }
  mOwnerTasks.CancelAll();
  co_await mOwnerTasks.Join();
  if (!mLease->Lost()) {
    ConditionalCommit nothing;
    bool released = co_await mLease->Commit(std::move(nothing), true);
    LogInfo(kPart,
            "released={} term={} token={}",
            released ? 1 : 0,
            mLease->Row().mTerm,
            mLease->Token());
  }
}

Task<bool>
FleetService::LoadRows()
{
  ScanRows scan{ std::string(kFleetTable), std::string(kFleetCell), "" };
  TimePoint deadline = mClock.Now() + kListTimeout;
  auto reply =
    co_await CallStoreFor<RowScanPage>(*mPorts.mStore, scan, deadline);
  if (!Ok(reply)) {
    co_return false;
  }
  for (const StoredRow& row : std::get<RowScanPage>(reply).mRows) {
    std::string_view key = row.mName.mKey;
    if (key == kIntentsKey) {
      auto intents =
        ToExpected<IntentMap>([&] { return DecodeIntents(row.mValue); });
      // What was ordered shows in the list of VMs.
      if (!Ok(intents)) {
        mMalformed.Record(
          kFleetTable, key, Describe(std::get<Failure>(intents)));
        continue;
      }
      for (auto& [vm, intent] : std::get<IntentMap>(intents)) {
        // The order may or may not have been executed; it is sent again once
        // the VM is found to be empty.
        intent.mCreatedAt = mOwnedSince;
        mView.mHeldVms.insert(vm);
        mView.mIntents.insert_or_assign(vm, intent);
      }
    } else if (key.starts_with(kWavePrefix)) {
      auto wave =
        ToExpected<StoredWave>([&] { return DecodeStoredWave(row.mValue); });
      if (!Ok(wave)) {
        mMalformed.Record(kFleetTable, key, Describe(std::get<Failure>(wave)));
        continue;
      }
      const StoredWave& storedWave = std::get<StoredWave>(wave);
      WaveProgress& progress = mView.mWaves[storedWave.mNumber];
      progress.mMaintainedVms.insert(storedWave.mDone.begin(),
                                     storedWave.mDone.end());
      progress.mCompleted = storedWave.mCompleted;
      if (storedWave.mSeen.mMillis > 0) {
        std::int64_t age = mClock.WallNow().mMillis - storedWave.mSeen.mMillis;
        progress.mFirstSeen = mClock.Now() - std::chrono::milliseconds(
                                               std::max<std::int64_t>(age, 0));
      }
    }
  }
  LogInfo(kPart,
          "loaded orders={} waves={}",
          mView.mIntents.size(),
          mView.mWaves.size());
  co_return true;
}

// Read after the claim, so that no other owner of the fleet can store a layout
// later.
Task<bool>
FleetService::LoadLayout()
{
  ScanRows scan{ std::string(kCellTable), std::string(kFleetCell), "" };
  TimePoint deadline = mClock.Now() + kListTimeout;
  auto reply =
    co_await CallStoreFor<RowScanPage>(*mPorts.mStore, scan, deadline);
  if (!Ok(reply)) {
    co_return false;
  }
  mMayChooseLayout = true;
  for (const StoredRow& row : std::get<RowScanPage>(reply).mRows) {
    mMayChooseLayout = mMayChooseLayout && row.mName.mKey != kLayoutKey;
  }
  co_return true;
}

// A fleet whose cells have had owners before it had a layout is undivided:
// their rows are those of whole pools.
std::optional<FleetLayout>
FleetService::NewLayout() const
{
  auto config = mDirectory->Config();
  if (!mMayChooseLayout || !config) {
    return std::nullopt;
  }
  for (const WorkerPoolConfig& pool : config->mPools) {
    mOwners->Watch(pool.mName);
    if (!mOwners->HasBeenRead(pool.mName)) {
      return std::nullopt;
    }
    if (mOwners->LastSeen(pool.mName) != nullptr) {
      return FleetLayout{};
    }
  }
  bool listed = !mView.mVms.empty();
  if (!listed && mClock.Now() < mOwnedSince + kLayoutTimeout) {
    return std::nullopt;
  }
  return ChooseLayout(mView.mVms.size());
}

WallTime
FleetService::ToWallTime(TimePoint aTime) const
{
  std::int64_t age = ToMillis(mClock.Now() - aTime);
  return { mClock.WallNow().mMillis - age };
}

Task<void>
FleetService::RenewLoop()
{
  while (!mLease->Lost()) {
    TimePoint deadline = mClock.Now() + kRenewInterval;
    bool persist = co_await mPersistDue.WaitAndReset(mClock, deadline);
    ConditionalCommit rows;
    if (persist) {
      IntentMap ordered;
      for (const auto& [vm, intent] : mView.mIntents) {
        if (intent.mOrdered) {
          ordered.emplace(vm, intent);
        }
      }
      rows.mPuts.push_back(
        { FleetRowName(kIntentsKey), EncodeIntents(ordered) });
      for (const auto& [number, wave] : mView.mWaves) {
        std::string key = platform::WaveStatusKey(number);
        StoredWave stored{ number,
                           { wave.mMaintainedVms.begin(),
                             wave.mMaintainedVms.end() },
                           wave.mCompleted,
                           ToWallTime(wave.mFirstSeen) };
        rows.mPuts.push_back({ FleetRowName(key), EncodeStoredWave(stored) });
        RowName status{ std::string(platform::kStatusTable), "", key };
        rows.mPuts.push_back(
          { std::move(status),
            platform::EncodeWaveStatus(number, wave.mCompleted) });
      }
    }
    std::optional<FleetLayout> layout = NewLayout();
    if (layout) {
      RowName name{ std::string(kCellTable),
                    std::string(kFleetCell),
                    std::string(kLayoutKey) };
      rows.mPuts.push_back({ std::move(name), EncodeLayout(*layout) });
    }
    std::uint64_t state = mRequestedState;
    bool ok = co_await mLease->Commit(std::move(rows), false);
    if (ok && persist) {
      mPersistedState = state;
    }
    if (ok && layout) {
      mMayChooseLayout = false;
      mOwners->ObserveLayout(*layout);
    }
    mPersisted.NotifyAll();
  }
}

// Waits until the current state is stored; false if the cell is lost first.
Task<bool>
FleetService::Persist()
{
  std::uint64_t state = ++mRequestedState;
  mPersistDue.Set();
  while (!mLease->Lost() && mPersistedState < state) {
    TimePoint deadline = mClock.Now() + kCheckInterval;
    co_await WaitUntil(mPersisted, mClock, deadline);
  }
  co_return mPersistedState >= state;
}

// --- State of VMs and pools

Task<void>
FleetService::ListLoop()
{
  while (!mLease->Lost()) {
    std::vector<PoolVm> vms;
    std::string page;
    bool ok = true;
    bool more = true;
    bool hasUnnamedVms = false;
    TimePoint requested = mClock.Now();
    while (ok && more) {
      TimePoint deadline = mClock.Now() + kListTimeout;
      MachineCall call = ListPoolVms{ page };
      auto reply =
        co_await CallMachines(*mPorts.mMachines, std::move(call), deadline);
      const MachineReply* machineReply =
        Ok(reply) ? &std::get<MachineReply>(reply) : nullptr;
      const auto* list = machineReply != nullptr
                           ? std::get_if<PoolVmPage>(machineReply)
                           : nullptr;
      ok = list != nullptr;
      if (ok) {
        RecordMalformedVms(*list);
        hasUnnamedVms =
          hasUnnamedVms || std::any_of(list->mMalformed.begin(),
                                       list->mMalformed.end(),
                                       [](const MalformedEntry& aEntry) {
                                         return aEntry.mKey.empty();
                                       });
        vms.insert(vms.end(), list->mVms.begin(), list->mVms.end());
        page = list->mNextPageToken;
        more = !page.empty();
      } else if (!Ok(reply)) {
        LogWarn(kPart,
                "listing VMs failed, retrying outcome={}",
                FailureName(std::get<Failure>(reply)));
      }
    }
    if (ok) {
      LogVmChanges(vms);
      SetVms(std::move(vms));
      mView.mHasUnnamedVms = hasUnnamedVms;
      mListRequestedAt = requested;
      if (mMayChooseLayout) {
        mPersistDue.Set();
      }
      RemoveSettledIntents();
    }
    co_await mClock.Sleep(kListInterval);
  }
}

void
FleetService::SetVms(std::vector<PoolVm> aVms)
{
  mView.mVms = std::move(aVms);
  mVmsByName.clear();
  for (const PoolVm& vm : mView.mVms) {
    mVmsByName.emplace(vm.mVm, &vm);
  }
}

// Null if the list doesn't name the VM.
const PoolVm*
FleetService::FindVm(std::string_view aName) const
{
  auto it = mVmsByName.find(aName);
  return it == mVmsByName.end() ? nullptr : it->second;
}

void
FleetService::RecordMalformedVms(const PoolVmPage& aPage)
{
  for (const PoolVm& vm : aPage.mVms) {
    if (vm.mState != PoolVmState::Unknown) {
      mMalformed.Clear(kVmTable, vm.mVm);
    }
  }
  for (const MalformedEntry& entry : aPage.mMalformed) {
    mMalformed.Record(kVmTable, entry.mKey, entry.mReason);
  }
}

// The first list is the baseline, so it isn't logged.
void
FleetService::LogVmChanges(std::span<const PoolVm> aVms) const
{
  std::map<std::string_view, const PoolVm*> before;
  for (const PoolVm& vm : mView.mVms) {
    before.emplace(vm.mVm, &vm);
  }
  for (const PoolVm& vm : aVms) {
    auto it = before.find(vm.mVm);
    bool changed = it == before.end() || it->second->mState != vm.mState ||
                   it->second->mPool != vm.mPool ||
                   it->second->mWorker != vm.mWorker;
    if (changed && !before.empty()) {
      LogInfo(kPart,
              "vm={} pool={} state={} worker={}",
              vm.mVm,
              vm.mPool,
              ToString(vm.mState),
              vm.mWorker);
    }
  }
}

// Removes orders whose VM is up again. An order stays stored for the duty
// lease, so that a new owner doesn't order the same VM too soon.
void
FleetService::RemoveSettledIntents()
{
  std::vector<std::string> removable;
  for (const auto& [vm, intent] : mView.mIntents) {
    if (!intent.mConfirmed) {
      continue;
    }
    const PoolVm* at = FindVm(vm);
    bool unlisted = at == nullptr;
    bool settled =
      !unlisted && at->mState == PoolVmState::Up &&
      (intent.mTargetPool.empty() || at->mPool == intent.mTargetPool);
    bool timedOut =
      mListRequestedAt > intent.mConfirmedAt + kConfirmedOrderTimeout;
    bool pastDutyLease =
      mListRequestedAt > intent.mConfirmedAt + mPorts.mDutyLease;
    if (pastDutyLease && (unlisted || settled || timedOut)) {
      removable.push_back(vm);
    }
  }
  for (const std::string& vm : removable) {
    mView.mIntents.erase(vm);
    mView.mHeldVms.erase(vm);
  }
  if (!removable.empty()) {
    ++mRequestedState;
    mPersistDue.Set();
  }
}

void
FleetService::UpdateWaves()
{
  for (const auto& [number, order] : mDirectory->Waves()) {
    auto [it, added] = mView.mWaves.try_emplace(number);
    bool orderMissing = !it->second.mOrder;
    it->second.mOrder = order;
    // An earlier owner may have seen the wave before this node did.
    TimePoint seen = mDirectory->WaveSeenAt(number);
    bool known = it->second.mFirstSeen != TimePoint{};
    it->second.mFirstSeen =
      known ? std::min(it->second.mFirstSeen, seen) : seen;
    if (added || orderMissing) {
      ++mRequestedState;
      mPersistDue.Set();
    }
  }
}

// Every cell of a shard gets all sealed workers of the shard: a worker's pool
// may not be known here yet, and a cell ignores unknown workers.
FleetSync
FleetService::MakeSync(const CellId& aCell) const
{
  FleetSync sync;
  sync.mCell = aCell.mName;
  sync.mToken = mLease->Token();
  for (const auto& [vm, intent] : mView.mIntents) {
    const PoolVm* at = FindVm(vm);
    bool incoming = at != nullptr && intent.mTargetPool == aCell.mPool &&
                    mView.mLayout.ShardOf(vm) == aCell.mShard &&
                    (at->mPool != aCell.mPool || at->mState != PoolVmState::Up);
    sync.mIncomingCores += incoming ? CoresOf(*at) : 0;
  }
  sync.mSealed = WorkersToSeal(mView, aCell.mShard, mListRequestedAt);
  auto use = mView.mUsages.find(aCell.mName);
  if (use == mView.mUsages.end()) {
    return sync;
  }
  TimePoint now = mClock.Now();
  for (const auto& [id, worker] : use->second.mWorkers) {
    std::optional<WorkerIncarnation> incarnation =
      mDirectory->FindIncarnation(id);
    if (!incarnation && worker.mUnlisted) {
      // The directory drops workers late, so the incarnation is old enough for
      // any list of VMs to reflect it.
      incarnation = { worker.mUnlisted->mVm,
                      worker.mUnlisted->mIncarnationStart,
                      TimePoint{} };
    }
    if (!incarnation) {
      continue;
    }
    auto intent = mView.mIntents.find(incarnation->mVm);
    if (intent != mView.mIntents.end() &&
        MoveProvesWorkerEnded(id, aCell.mPool, *incarnation, intent->second)) {
      sync.mMoved.emplace(id, incarnation->mId);
      continue;
    }
    const PoolVm* at = FindVm(incarnation->mVm);
    if (ListProvesWorkerEnded(
          id, aCell.mPool, *incarnation, at, mListRequestedAt, now)) {
      sync.mEnded.emplace(id, incarnation->mId);
    }
  }
  return sync;
}

Task<void>
FleetService::SyncLoop(CellId aCell)
{
  while (!mLease->Lost()) {
    bool updated = co_await SyncCell(aCell);
    if (updated) {
      mPlanDue.Set();
    }
    co_await WaitUntil(mSyncDue, mClock, mClock.Now() + kSyncInterval);
  }
}

Task<bool>
FleetService::SyncCell(const CellId& aCell)
{
  Json body = FleetSyncToJson(MakeSync(aCell));
  TimePoint deadline = mClock.Now() + kSyncTimeout;
  const OwnerObservation* sighting = mOwners->LastSeen(aCell.mName);
  Json answer;
  if (mCells->Find(aCell.mName)) {
    answer = co_await OnSync(std::move(body), deadline);
  } else if (sighting != nullptr && !sighting->mRow.mReleased) {
    Endpoint peer = sighting->mRow.mPeerEndpoint;
    auto reply =
      co_await mRelay->Call(peer, "fleet", std::move(body), deadline);
    if (Ok(reply)) {
      answer = std::get<Json>(std::move(reply));
    }
  }
  auto use = ToExpected<PoolUsage>([&] { return PoolUsageFromJson(answer); });
  if (!Ok(use)) {
    co_return false;
  }
  PoolUsage poolUse = std::get<PoolUsage>(std::move(use));
  poolUse.mReportedAt = mClock.Now();
  mView.mUsages.insert_or_assign(aCell.mName, std::move(poolUse));
  co_return true;
}

// Runs at the cell's owner: seals the workers that the fleet's owner lists.
Task<Json>
FleetService::OnSync(Json aBody, TimePoint aDeadline)
{
  auto sync = ToExpected<FleetSync>([&] { return FleetSyncFromJson(aBody); });
  if (!Ok(sync)) {
    LogWarn(
      kPart, "malformed sync ignored: {}", Describe(std::get<Failure>(sync)));
    co_return Json();
  }
  FleetSync fleetSync = std::get<FleetSync>(std::move(sync));
  std::shared_ptr<CellRuntime> runtime = mCells->Find(fleetSync.mCell);
  bool usable = runtime && runtime->Loaded() && runtime->HoldsLease() &&
                fleetSync.mToken >= mHighestFleetToken;
  if (!usable) {
    co_return Json();
  }
  mHighestFleetToken = fleetSync.mToken;
  for (const auto& [id, incarnation] : fleetSync.mEnded) {
    runtime->MarkWorkerGone(id, incarnation);
  }
  for (const auto& [id, incarnation] : fleetSync.mMoved) {
    runtime->MarkWorkerMoved(id, incarnation);
  }
  runtime->State().SetIncomingCores(fleetSync.mIncomingCores);
  bool sealed = co_await runtime->SealWorkers(fleetSync.mSealed, aDeadline);
  PoolUsage use = runtime->State().Use(mClock.Now());
  for (auto& [id, worker] : use.mWorkers) {
    worker.mSealed = worker.mSealed && sealed;
  }
  co_return PoolUsageToJson(use);
}

// --- Planning and orders

Task<void>
FleetService::PlanLoop()
{
  while (!mLease->Lost()) {
    auto config = mDirectory->Config();
    std::optional<FleetLayout> layout = mOwners->Layout();
    if (config && layout && !mView.mVms.empty()) {
      mView.mPoolConfigs = config->mPools;
      mView.mLayout = *layout;
      UpdateCells(*config);
    }
    UpdateWaves();
    LogView();
    if (mLease->IsValid() && layout && !mView.mVms.empty()) {
      mView.mNow = mClock.Now();
      if (!HoldsInheritedVms()) {
        mView.mHeldVms.clear();
      }
      ApplyPlan(PlanFleet(mView));
    }
    TimePoint deadline = mClock.Now() + kPlanInterval;
    co_await mPlanDue.WaitAndReset(mClock, deadline);
    co_await mClock.Sleep(kPlanBatchDelay);
  }
}

// Finds the cells that may have runs, and follows them. A pool without a queue
// has a cell too if its queues have moved or their routes were removed, maybe
// under an earlier owner of the fleet; only the owner row shows it. The list of
// VMs names pools that the configuration no longer has.
void
FleetService::UpdateCells(const WorkloadConfig& aConfig)
{
  std::set<std::string_view> poolsWithQueue;
  std::set<std::string_view> configured;
  std::set<std::string_view> pools;
  for (const QueueConfig& queue : aConfig.mQueues) {
    poolsWithQueue.insert(queue.mPool);
    pools.insert(queue.mPool);
  }
  for (const WorkerPoolConfig& pool : aConfig.mPools) {
    configured.insert(pool.mName);
    pools.insert(pool.mName);
  }
  for (const PoolVm& vm : mView.mVms) {
    pools.insert(vm.mPool);
  }
  mView.mCells.clear();
  for (std::string_view pool : pools) {
    for (std::uint32_t shard = 0; shard < mView.mLayout.mShards; ++shard) {
      CellId cell = MakeCellId(mView.mLayout, pool, shard);
      mOwners->Watch(cell.mName);
      CellEvidence evidence{ poolsWithQueue.contains(pool),
                             configured.contains(pool),
                             mOwners->HasBeenRead(cell.mName),
                             mOwners->LastSeen(cell.mName) };
      if (!MayHaveRuns(evidence, mPorts.mMaxRunLeaseDuration, mClock.Now())) {
        continue;
      }
      mView.mCells.insert(cell.mName);
      if (mFollowedCells.insert(cell.mName).second) {
        mOwnerTasks.Spawn("sync", SyncLoop(std::move(cell)));
      }
    }
  }
}

// Logs the input of the plan once a second.
void
FleetService::LogView()
{
  TimePoint now = mClock.Now();
  if (now < mViewLoggedAt + kViewLogInterval) {
    return;
  }
  mViewLoggedAt = now;
  std::map<std::string, int, std::less<>> vms;
  for (const PoolVm& vm : mView.mVms) {
    std::uint32_t shard = mView.mLayout.ShardOf(vm.mVm);
    vms[mView.mLayout.CellName(vm.mPool, shard)] +=
      vm.mState == PoolVmState::Up ? 1 : 0;
  }
  for (const auto& [cell, use] : mView.mUsages) {
    LogInfo(kPart,
            "pool={} vms={} asked={} asked_mean={} busy_cores={} "
            "waiting_cores={} lasting_cores={} missing_vms={} "
            "report_age_ms={}",
            cell,
            vms[cell],
            use.mForecastDemandCores,
            use.mMeanDemandCores,
            use.mBusyCores,
            use.mWaitingCores,
            use.mLongRunningCores,
            use.mMissingVms,
            ToMillis(now - use.mReportedAt));
  }
}

void
FleetService::ApplyPlan(const FleetPlan& aChange)
{
  for (const std::string& vm : aChange.mCancelledIntents) {
    LogInfo(kPart, "vm={} intent dropped", vm);
    mView.mIntents.erase(vm);
  }
  for (const auto& [vm, planned] : aChange.mNewIntents) {
    LogInfo(kPart,
            "vm={} worker={} intent to={} wave={}",
            vm,
            planned.mWorker,
            planned.mTargetPool,
            planned.mWave);
    mView.mIntents.insert_or_assign(vm, planned);
  }
  if (!aChange.mNewIntents.empty()) {
    mSyncDue.NotifyAll();
  }
  for (const std::string& vm : aChange.mReadyVms) {
    mView.mIntents[vm].mOrdered = true;
    mOwnerTasks.Spawn("carry out", ExecuteOrder(vm));
  }
  for (std::uint64_t number : aChange.mCompletedWaves) {
    LogInfo(kPart, "wave {} completed", number);
    mView.mWaves[number].mCompleted = true;
    ++mRequestedState;
    mPersistDue.Set();
  }
}

// An earlier owner's orders show in the list of VMs after a delay. Until then,
// VMs that it may have ordered get no order, and no VM is taken down for
// maintenance, since those that are down already can't be counted.
bool
FleetService::MayOrder(std::string_view aVm, const FleetIntent& aIntent) const
{
  bool free = aIntent.mWave == 0 && !mView.mHeldVms.contains(aVm);
  return free || !HoldsInheritedVms();
}

bool
FleetService::HoldsInheritedVms() const
{
  return mPreviousOwners > 0 &&
         mClock.Now() <= mOwnedSince + mPorts.mDutyLease + kCheckInterval;
}

// Sends one order until its outcome is known. It is stored first, so that a new
// owner repeats it instead of sending a different one.
Task<void>
FleetService::ExecuteOrder(std::string aVm)
{
  bool persisted = co_await Persist();
  FleetIntent intent = mView.mIntents[aVm];
  while (persisted && !mLease->Lost()) {
    if (!mLease->IsValid() || !MayOrder(aVm, intent)) {
      co_await mClock.Sleep(kVmOrderRetryInterval);
      continue;
    }
    FencingToken token{ mLease->Token() };
    MachineCall call =
      MaintainVm{ aVm, intent.mWave, mOwners->Self().mNode, token };
    if (intent.mWave == 0) {
      call =
        MoveVmToPool{ aVm, intent.mTargetPool, mOwners->Self().mNode, token };
    }
    // The platform may not check fencing tokens of VM orders, so none is sent
    // after the lease.
    TimePoint deadline =
      std::min(mClock.Now() + kVmOrderTimeout, mLease->Expiry());
    auto reply = co_await CallMachines(*mPorts.mMachines, call, deadline);
    const MachineReply* machineReply =
      Ok(reply) ? &std::get<MachineReply>(reply) : nullptr;
    const auto* refused = machineReply != nullptr
                            ? std::get_if<MachineOperationRefused>(machineReply)
                            : nullptr;
    std::string outcome =
      machineReply == nullptr
        ? std::string(FailureName(std::get<Failure>(reply)))
      : refused == nullptr
        ? "done"
        : FormatText("refused_{}", static_cast<int>(refused->mReason));
    LogInfo(kPart,
            "vm={} order to={} wave={} token={} outcome={}",
            aVm,
            intent.mTargetPool,
            intent.mWave,
            ToNumber(token),
            outcome);
    if (machineReply == nullptr) {
      co_await mClock.Sleep(kVmOrderRetryInterval);
      continue;
    }
    if (refused != nullptr && refused->mReason == MachineRefusal::Fenced) {
      mLease->MarkLost("a higher fencing token was used for a VM");
      co_return;
    }
    FleetIntent& current = mView.mIntents[aVm];
    if (refused != nullptr && refused->mReason != MachineRefusal::NotInWave) {
      mView.mIntents.erase(aVm);
    } else {
      current.mConfirmed = true;
      current.mConfirmedAt = mClock.Now();
      mSyncDue.NotifyAll();
    }
    if (intent.mWave != 0 &&
        (refused == nullptr || refused->mReason == MachineRefusal::NotInWave)) {
      mView.mWaves[intent.mWave].mMaintainedVms.insert(aVm);
    }
    ++mRequestedState;
    mPersistDue.Set();
    co_return;
  }
}

} // namespace buckthornshunt
