#include "services/fleet_service.h"

#include "kernel/log.h"
#include "platform/directory_codec.h"
#include "services/cell_service.h"
#include "services/directory_service.h"
#include "services/owner_service.h"
#include "services/relay_service.h"
#include "wire/fleet_codec.h"

#include <algorithm>

namespace buckthornshunt {

namespace {

constexpr std::string_view kPart = "fleet";
/// Name of the cell whose owner gives orders for VMs.
constexpr std::string_view kFleetCell = "fleet";
constexpr std::string_view kFleetTable = "fleet";
constexpr std::string_view kIntentsKey = "intents";
constexpr std::string_view kWavePrefix = "wave/";

constexpr Duration kCheckEvery = std::chrono::milliseconds(500);
constexpr Duration kRenewEvery = std::chrono::milliseconds(500);
constexpr Duration kSyncEvery = std::chrono::milliseconds(200);
constexpr Duration kSyncTimeout = std::chrono::milliseconds(900);
constexpr Duration kPlanEvery = std::chrono::milliseconds(100);
constexpr Duration kViewLogEvery = std::chrono::seconds(1);
/// The list of VMs lags behind by about as much.
constexpr Duration kListEvery = std::chrono::milliseconds(500);
constexpr Duration kListTimeout = std::chrono::milliseconds(1500);
constexpr Duration kDutyTimeout = std::chrono::milliseconds(1200);
constexpr Duration kDutyRetry = std::chrono::milliseconds(250);
/// Keeps equal nodes from claiming the fleet all at the same moment.
constexpr std::uint64_t kHesitationSpreadMs = 200;
/// An order that the platform has confirmed shows in the list by then.
constexpr Duration kSettled = std::chrono::seconds(12);

RowName
FleetRow(std::string_view aKey)
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
  , mDuties(aKernel.Context(), &aKernel.Groups())
  , mPlanDue(aKernel.Context())
  , mSyncDue(aKernel.Context())
  , mRecord(aKernel.Context())
  , mRecorded(aKernel.Context())
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
  mRelay->Handle("fleet", [this](Json aBody, TimePoint aDeadline) {
    return OnSync(std::move(aBody), aDeadline);
  });
  if (mPorts.mMachines != nullptr) {
    mTasks.Spawn("watch", WatchOwner());
  }
  return {};
}

Task<void>
FleetService::Stop()
{
  mStopping = true;
  mTasks.CancelAll();
  mDuties.CancelAll();
  co_await mTasks.Join();
  co_await mDuties.Join();
  if (mTenure && !mTenure->Lost()) {
    ConditionalCommit nothing;
    co_await mTenure->Commit(std::move(nothing), true);
  }
}

// --- Ownership

Task<void>
FleetService::WatchOwner()
{
  while (!mStopping) {
    mOwners->Watch(kFleetCell);
    const OwnerObservation* sighting = mOwners->Sighting(kFleetCell);
    bool free = mOwners->Looked(kFleetCell) &&
                (sighting == nullptr ||
                 EvaluateOwnership(*sighting, mOwners->Self(), mClock.Now()) ==
                   OwnershipState::Free);
    if (free) {
      auto random =
        static_cast<std::int64_t>(mKernel.Random() % kHesitationSpreadMs);
      co_await mClock.Sleep(ClaimDelay(mOwners->Self().mCapacity, 0) +
                            std::chrono::milliseconds(random));
      sighting = mOwners->Sighting(kFleetCell);
      std::optional<OwnerObservation> before;
      if (sighting != nullptr) {
        before = *sighting;
      }
      free =
        !before || EvaluateOwnership(*before, mOwners->Self(), mClock.Now()) ==
                     OwnershipState::Free;
      std::optional<ClaimWon> claim;
      if (free) {
        std::optional<OwnerObservation> seen;
        claim = co_await ClaimCell(mKernel,
                                   *mPorts.mStore,
                                   std::string(kFleetCell),
                                   mOwners->Self(),
                                   before,
                                   seen);
        if (seen) {
          mOwners->Note(kFleetCell, seen->mRow, seen->mRevision);
        }
      }
      if (claim) {
        mOwners->Note(kFleetCell, claim->mRow, claim->mRevision);
        co_await Lead(std::move(*claim));
      }
    }
    TimePoint due = mClock.Now() + kCheckEvery;
    co_await WaitUntil(mOwners->Changed(), mClock, due);
  }
}

// Everything that the owner of the fleet does, until the ownership is lost.
Task<void>
FleetService::Lead(ClaimWon aClaim)
{
  mView = FleetView{};
  mInherited.clear();
  mTenure = std::make_unique<Tenure>(mKernel,
                                     *mPorts.mStore,
                                     kFleetCell,
                                     std::move(aClaim.mRow),
                                     aClaim.mRevision,
                                     aClaim.mSent);
  mLedSince = mClock.Now();
  mLedBefore = mTenure->Row().mTerm - 1;
  LogInfo(kPart,
          "taken over term={} token={}",
          mTenure->Row().mTerm,
          mTenure->Token());
  bool loaded = false;
  while (!loaded && !mTenure->Lost()) {
    loaded = co_await LoadRows();
    if (!loaded) {
      co_await mClock.Sleep(kDutyRetry);
    }
  }
  mDuties.Spawn("renew", RenewLoop());
  mDuties.Spawn("list", ListLoop());
  mDuties.Spawn("plan", PlanLoop());
  while (!mTenure->Lost()) {
    co_await WaitUntil(mRecorded, mClock, mClock.Now() + kCheckEvery);
  }
  mDuties.CancelAll();
  co_await mDuties.Join();
}

Task<bool>
FleetService::LoadRows()
{
  ScanRows scan{ std::string(kFleetTable), std::string(kFleetCell), "" };
  TimePoint due = mClock.Now() + kListTimeout;
  auto reply = co_await CallStoreFor<RowScanPage>(*mPorts.mStore, scan, due);
  if (!Ok(reply)) {
    co_return false;
  }
  for (const StoredRow& row : std::get<RowScanPage>(reply).mRows) {
    std::string_view key = row.mName.mKey;
    if (key == kIntentsKey) {
      auto intents =
        ToExpected<IntentMap>([&] { return DecodeIntents(row.mValue); });
      if (!Ok(intents)) {
        LogError(kPart, "recorded orders can't be read");
        continue;
      }
      for (auto& [vm, intent] : std::get<IntentMap>(intents)) {
        // The order may have been carried out or not; it is given again once
        // the VM is found to be empty.
        intent.mCreatedAt = mLedSince;
        mInherited.insert(vm);
        mView.mIntents.insert_or_assign(vm, intent);
      }
    } else if (key.starts_with(kWavePrefix)) {
      auto wave =
        ToExpected<StoredWave>([&] { return DecodeStoredWave(row.mValue); });
      if (!Ok(wave)) {
        LogError(kPart, "progress of {} can't be read", key);
        continue;
      }
      const StoredWave& held = std::get<StoredWave>(wave);
      WaveProgress& progress = mView.mWaves[held.mNumber];
      progress.mMaintainedVms.insert(held.mDone.begin(), held.mDone.end());
      progress.mCompleted = held.mCompleted;
      if (held.mSeen.mMillis > 0) {
        std::int64_t age = mClock.WallNow().mMillis - held.mSeen.mMillis;
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

WallTime
FleetService::WallAt(TimePoint aTime) const
{
  std::int64_t age = ToMillis(mClock.Now() - aTime);
  return { mClock.WallNow().mMillis - age };
}

Task<void>
FleetService::RenewLoop()
{
  while (!mTenure->Lost()) {
    TimePoint due = mClock.Now() + kRenewEvery;
    bool record = co_await mRecord.WaitAndReset(mClock, due);
    ConditionalCommit rows;
    if (record) {
      IntentMap ordered;
      for (const auto& [vm, intent] : mView.mIntents) {
        if (intent.mOrdered) {
          ordered.emplace(vm, intent);
        }
      }
      rows.mPuts.push_back({ FleetRow(kIntentsKey), EncodeIntents(ordered) });
      for (const auto& [number, wave] : mView.mWaves) {
        std::string key = platform::WaveStatusKey(number);
        StoredWave stored{ number,
                           { wave.mMaintainedVms.begin(),
                             wave.mMaintainedVms.end() },
                           wave.mCompleted,
                           WallAt(wave.mFirstSeen) };
        rows.mPuts.push_back({ FleetRow(key), EncodeStoredWave(stored) });
        RowName status{ std::string(platform::kStatusTable), "", key };
        rows.mPuts.push_back(
          { std::move(status),
            platform::EncodeWaveStatus(number, wave.mCompleted) });
      }
    }
    std::uint64_t covers = mWanted;
    bool ok = co_await mTenure->Commit(std::move(rows), false);
    if (ok && record) {
      mCovered = covers;
    }
    mRecorded.NotifyAll();
  }
}

// Returns once what is known now is in the store; false if the cell is lost.
Task<bool>
FleetService::Record()
{
  std::uint64_t wanted = ++mWanted;
  mRecord.Set();
  while (!mTenure->Lost() && mCovered < wanted) {
    TimePoint due = mClock.Now() + kCheckEvery;
    co_await WaitUntil(mRecorded, mClock, due);
  }
  co_return mCovered >= wanted;
}

// --- What is there

Task<void>
FleetService::ListLoop()
{
  while (!mTenure->Lost()) {
    std::vector<PoolVm> vms;
    std::string page;
    bool ok = true;
    bool more = true;
    TimePoint asked = mClock.Now();
    while (ok && more) {
      TimePoint due = mClock.Now() + kListTimeout;
      MachineCall call = ListPoolVms{ page };
      auto reply =
        co_await CallMachines(*mPorts.mMachines, std::move(call), due);
      const MachineReply* held =
        Ok(reply) ? &std::get<MachineReply>(reply) : nullptr;
      const auto* list =
        held != nullptr ? std::get_if<PoolVmPage>(held) : nullptr;
      ok = list != nullptr;
      if (ok) {
        vms.insert(vms.end(), list->mVms.begin(), list->mVms.end());
        page = list->mNextPageToken;
        more = !page.empty();
      } else if (!Ok(reply)) {
        LogWarn(kPart,
                "list of VMs outcome={}",
                FailureName(std::get<Failure>(reply)));
      }
    }
    if (ok) {
      LogVmChanges(vms);
      mView.mVms = std::move(vms);
      mListedAt = asked;
      ReviewConfirmed();
    }
    co_await mClock.Sleep(kListEvery);
  }
}

// The first list changes no belief.
void
FleetService::LogVmChanges(std::span<const PoolVm> aVms) const
{
  std::map<std::string_view, const PoolVm*> before;
  for (const PoolVm& vm : mView.mVms) {
    before.emplace(vm.mVm, &vm);
  }
  for (const PoolVm& vm : aVms) {
    auto it = before.find(vm.mVm);
    bool news = it == before.end() || it->second->mState != vm.mState ||
                it->second->mPool != vm.mPool ||
                it->second->mWorker != vm.mWorker;
    if (news && !before.empty()) {
      LogInfo(kPart,
              "vm={} pool={} state={} worker={}",
              vm.mVm,
              vm.mPool,
              ToString(vm.mState),
              vm.mWorker);
    }
  }
}

// Forgets orders whose VM is up again. An order stays recorded for the duty
// lease, so that a next owner doesn't order the same VM too soon.
void
FleetService::ReviewConfirmed()
{
  std::vector<std::string> over;
  for (const auto& [vm, intent] : mView.mIntents) {
    if (!intent.mConfirmed) {
      continue;
    }
    auto it = std::find_if(mView.mVms.begin(),
                           mView.mVms.end(),
                           [&](const PoolVm& aVm) { return aVm.mVm == vm; });
    bool gone = it == mView.mVms.end();
    bool settled =
      !gone && it->mState == PoolVmState::Up &&
      (intent.mTargetPool.empty() || it->mPool == intent.mTargetPool);
    bool late = mListedAt > intent.mConfirmedAt + kSettled;
    bool quiet = mListedAt > intent.mConfirmedAt + mPorts.mDutyLease;
    if (quiet && (gone || settled || late)) {
      over.push_back(vm);
    }
  }
  for (const std::string& vm : over) {
    mView.mIntents.erase(vm);
    mInherited.erase(vm);
  }
  if (!over.empty()) {
    ++mWanted;
    mRecord.Set();
  }
}

void
FleetService::FollowWaves()
{
  for (const auto& [number, order] : mDirectory->Waves()) {
    auto [it, added] = mView.mWaves.try_emplace(number);
    bool fresh = it->second.mOrder.mVms.empty();
    it->second.mOrder = order;
    // An earlier owner may have seen it before this node did.
    TimePoint seen = mDirectory->WaveSeen(number);
    bool known = it->second.mFirstSeen != TimePoint{};
    it->second.mFirstSeen =
      known ? std::min(it->second.mFirstSeen, seen) : seen;
    if (added || fresh) {
      ++mWanted;
      mRecord.Set();
    }
  }
}

// Every cell gets the whole list: which pool a worker is in may not be known
// here yet, and a cell ignores workers that it doesn't know.
FleetSync
FleetService::SyncFor(std::string_view aPool) const
{
  FleetSync sync;
  sync.mPool = aPool;
  sync.mToken = mTenure->Token();
  for (const auto& [vm, intent] : mView.mIntents) {
    if (intent.mTargetPool == aPool) {
      for (const PoolVm& at : mView.mVms) {
        bool coming =
          at.mVm == vm && (at.mPool != aPool || at.mState != PoolVmState::Up);
        sync.mIncomingCores += coming ? CoresOf(at) : 0;
      }
    }
    if (!intent.mWorker.empty() && !intent.mConfirmed) {
      sync.mSealed.push_back(intent.mWorker);
    }
  }
  auto use = mView.mPools.find(aPool);
  if (use == mView.mPools.end()) {
    return sync;
  }
  std::map<std::string_view, const PoolVm*> vms;
  for (const PoolVm& vm : mView.mVms) {
    vms.emplace(vm.mVm, &vm);
  }
  for (const auto& [id, worker] : use->second.mWorkers) {
    std::optional<WorkerIncarnation> life = mDirectory->LifeOf(id);
    if (!life && worker.mUnlisted) {
      // The directory drops it late, so the list of VMs has long shown it.
      life = { worker.mUnlisted->mVm,
               worker.mUnlisted->mIncarnationStart,
               TimePoint{} };
    }
    if (!life) {
      continue;
    }
    auto vm = vms.find(life->mVm);
    const PoolVm* at = vm == vms.end() ? nullptr : vm->second;
    if (ListProvesWorkerEnded(id, aPool, *life, at, mListedAt)) {
      sync.mEnded.emplace(id, life->mId);
    }
  }
  return sync;
}

Task<void>
FleetService::SyncLoop(std::string aPool)
{
  while (!mTenure->Lost()) {
    bool news = co_await SyncOnce(aPool);
    if (news) {
      mPlanDue.Set();
    }
    co_await WaitUntil(mSyncDue, mClock, mClock.Now() + kSyncEvery);
  }
}

Task<bool>
FleetService::SyncOnce(const std::string& aPool)
{
  Json body = FleetSyncToJson(SyncFor(aPool));
  TimePoint due = mClock.Now() + kSyncTimeout;
  const OwnerObservation* sighting = mOwners->Sighting(aPool);
  Json answer;
  if (mCells->Find(aPool)) {
    answer = co_await OnSync(std::move(body), due);
  } else if (sighting != nullptr && !sighting->mRow.mReleased) {
    Endpoint peer = sighting->mRow.mPeerEndpoint;
    auto reply = co_await mRelay->Ask(peer, "fleet", std::move(body), due);
    if (Ok(reply)) {
      answer = std::get<Json>(std::move(reply));
    }
  }
  auto use = ToExpected<PoolUsage>([&] { return PoolUseFromJson(answer); });
  if (!Ok(use)) {
    co_return false;
  }
  PoolUsage held = std::get<PoolUsage>(std::move(use));
  held.mReportedAt = mClock.Now();
  mView.mPools.insert_or_assign(aPool, std::move(held));
  co_return true;
}

// The cell's side: closes the workers that the fleet's owner names.
Task<Json>
FleetService::OnSync(Json aBody, TimePoint aDeadline)
{
  auto sync = ToExpected<FleetSync>([&] { return FleetSyncFromJson(aBody); });
  if (!Ok(sync)) {
    LogWarn(kPart, "sync ignored: {}", Describe(std::get<Failure>(sync)));
    co_return Json();
  }
  FleetSync held = std::get<FleetSync>(std::move(sync));
  std::shared_ptr<CellRuntime> runtime = mCells->Find(held.mPool);
  bool usable = runtime && runtime->Loaded() && runtime->MayAct() &&
                held.mToken >= mHeardToken;
  if (!usable) {
    co_return Json();
  }
  mHeardToken = held.mToken;
  for (const auto& [id, born] : held.mEnded) {
    runtime->EndWorker(id, born);
  }
  runtime->State().SetIncomingCores(held.mIncomingCores);
  bool sealed = co_await runtime->Seal(held.mSealed, aDeadline);
  PoolUsage use = runtime->State().Use(mClock.Now());
  for (auto& [id, worker] : use.mWorkers) {
    worker.mSealed = worker.mSealed && sealed;
  }
  co_return PoolUseToJson(use);
}

// --- Planning and orders

Task<void>
FleetService::PlanLoop()
{
  while (!mTenure->Lost()) {
    auto config = mDirectory->Config();
    if (config && !mView.mVms.empty()) {
      mView.mPoolConfigs = config->mPools;
      for (const QueueConfig& queue : config->mQueues) {
        if (mView.mCells.insert(queue.mPool).second) {
          mDuties.Spawn("sync", SyncLoop(queue.mPool));
        }
      }
    }
    FollowWaves();
    LogView();
    if (mTenure->MayAct() && !mView.mVms.empty()) {
      mView.mNow = mClock.Now();
      ApplyPlan(PlanFleet(mView));
    }
    TimePoint due = mClock.Now() + kPlanEvery;
    co_await mPlanDue.WaitAndReset(mClock, due);
  }
}

// What the plan is made from, once a second.
void
FleetService::LogView()
{
  TimePoint now = mClock.Now();
  if (now < mViewLogged + kViewLogEvery) {
    return;
  }
  mViewLogged = now;
  for (const auto& [pool, use] : mView.mPools) {
    auto vms = std::count_if(
      mView.mVms.begin(), mView.mVms.end(), [&, &at = pool](const PoolVm& aVm) {
        return aVm.mPool == at && aVm.mState == PoolVmState::Up;
      });
    LogInfo(kPart,
            "pool={} vms={} asked={} asked_mean={} busy_cores={} "
            "waiting_cores={} lasting_cores={} report_age_ms={}",
            pool,
            vms,
            use.mForecastDemandCores,
            use.mMeanDemandCores,
            use.mBusyCores,
            use.mWaitingCores,
            use.mLongRunningCores,
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
    mDuties.Spawn("carry out", CarryOut(vm));
  }
  for (std::uint64_t number : aChange.mCompletedWaves) {
    LogInfo(kPart, "wave {} completed", number);
    mView.mWaves[number].mCompleted = true;
    ++mWanted;
    mRecord.Set();
  }
}

// An earlier owner's orders show in the list of VMs after a while. Until then
// the VMs that it may have ordered are left alone, and no VM is taken down for
// maintenance, since those that are down already can't be counted.
bool
FleetService::MayOrder(std::string_view aVm, const FleetIntent& aIntent) const
{
  bool free = aIntent.mWave == 0 && !mInherited.contains(aVm);
  return free || mLedBefore == 0 ||
         mClock.Now() > mLedSince + mPorts.mDutyLease + kCheckEvery;
}

// Sends one order until its outcome is known. It is recorded first, so that a
// next owner sends it again instead of another one.
Task<void>
FleetService::CarryOut(std::string aVm)
{
  bool recorded = co_await Record();
  FleetIntent intent = mView.mIntents[aVm];
  while (recorded && !mTenure->Lost()) {
    if (!mTenure->MayAct() || !MayOrder(aVm, intent)) {
      co_await mClock.Sleep(kDutyRetry);
      continue;
    }
    FencingToken token{ mTenure->Token() };
    MachineCall call =
      MaintainVm{ aVm, intent.mWave, mOwners->Self().mNode, token };
    if (intent.mWave == 0) {
      call =
        MoveVmToPool{ aVm, intent.mTargetPool, mOwners->Self().mNode, token };
    }
    // Fences of VMs may not be checked, so nothing goes out after the lease.
    TimePoint due = std::min(mClock.Now() + kDutyTimeout, mTenure->ActUntil());
    auto reply = co_await CallMachines(*mPorts.mMachines, call, due);
    const MachineReply* held =
      Ok(reply) ? &std::get<MachineReply>(reply) : nullptr;
    const auto* refused =
      held != nullptr ? std::get_if<MachineOperationRefused>(held) : nullptr;
    std::string outcome =
      held == nullptr ? std::string(FailureName(std::get<Failure>(reply)))
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
    if (held == nullptr) {
      co_await mClock.Sleep(kDutyRetry);
      continue;
    }
    if (refused != nullptr && refused->mReason == MachineRefusal::Fenced) {
      mTenure->MarkLost("a higher token was used for a VM");
      co_return;
    }
    FleetIntent& now = mView.mIntents[aVm];
    if (refused != nullptr && refused->mReason != MachineRefusal::NotInWave) {
      mView.mIntents.erase(aVm);
    } else {
      now.mConfirmed = true;
      now.mConfirmedAt = mClock.Now();
    }
    if (intent.mWave != 0 &&
        (refused == nullptr || refused->mReason == MachineRefusal::NotInWave)) {
      mView.mWaves[intent.mWave].mMaintainedVms.insert(aVm);
    }
    ++mWanted;
    mRecord.Set();
    co_return;
  }
}

} // namespace buckthornshunt
