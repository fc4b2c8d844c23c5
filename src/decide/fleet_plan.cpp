#include "decide/fleet_plan.h"

#include <algorithm>
#include <cmath>
#include <unordered_map>

namespace buckthornshunt {

namespace {

constexpr double kMillisPerCore = 1000.0;
/// Capacity relative to demand, since jobs arrive in bursts.
constexpr double kHeadroom = 1.2;
/// Fraction of an even share of the fleet that every pool keeps: a burst is
/// served by the VMs that are there until the first VM has moved.
constexpr double kStandbyShare = 0.7;
/// A move whose VM isn't empty within this time is cancelled.
constexpr Duration kMoveDrainTimeout = std::chrono::seconds(4);
/// As kMoveDrainTimeout, for a maintenance in a pool without room for what runs
/// on the VM; the VMs that it needs take some seconds to arrive.
constexpr Duration kWaveDrainTimeout = std::chrono::seconds(6);
/// Maximum fraction of a pool that may be leaving when a wave takes a VM.
constexpr double kMaxLeavingShare = 0.34;
/// Time to empty one VM, maintain it (2 s) and list it again, including as much
/// again in reserve. When no more is left, every pool gives up VMs.
constexpr Duration kVmMaintenanceTime = std::chrono::seconds(4);
/// A wave runs this much faster than it must, since its owner may be lost.
constexpr double kWavePaceFactor = 1.5;
/// Maximum age of the list's content at the time of the request; observed ages
/// are under half of that.
constexpr Duration kMaxListLag = std::chrono::seconds(2);
/// Age up to which a list proves the end of a worker. Cells count on both.
constexpr Duration kMaxListAge = kMaxVmListAge - kMaxListLag;
/// Older reports are ignored.
constexpr Duration kMaxReportAge = std::chrono::seconds(2);

// Time in which the remaining VMs of a wave can be maintained.
Duration
EstimateWaveTime(std::size_t aRemaining, const WaveOrder& aOrder)
{
  std::size_t atOnce = std::max<std::size_t>(aOrder.mMaxConcurrent, 1);
  std::size_t batches = (aRemaining + atOnce - 1) / atOnce;
  return kVmMaintenanceTime * static_cast<int>(batches + 2);
}

/// State of a shard's part of a pool while a plan is made.
struct PoolState
{
  std::string mPool;
  std::uint32_t mShard = 0;
  /// Null if there is no recent report.
  const PoolUsage* mUsage = nullptr;
  bool mSpare = false;
  bool mHasCell = false;
  int mVms = 0;
  int mLeaving = 0;
  /// VMs on their way to the pool.
  int mArriving = 0;
  /// VMs that have arrived and that the cell's owner doesn't know yet.
  int mUnreported = 0;
  /// Additional VMs that long-running tasks need.
  int mMissingVms = 0;
  double mUsableCores = 0;
  double mGrowThreshold = 0;
  double mShrinkThreshold = 0;
  /// One more VM than the limits on tasks per VM require, so that there is room
  /// for the tasks of a lost VM.
  int mMinVms = 0;
  /// Minimum VMs that the pool keeps while idle.
  int mStandbyVms = 0;

  int Staying() const { return mVms - mLeaving; }
  bool LacksRoom() const { return mMissingVms > 0; }
  /// Missing VMs that aren't on their way.
  int UnorderedVms() const { return mMissingVms - mArriving - mUnreported; }
};

/// One VM's state while a plan is made.
struct VmState
{
  const PoolVm* mVm = nullptr;
  PoolState* mPool = nullptr;
  /// Null if unknown.
  const WorkerUsage* mUsage = nullptr;
  bool mHasIntent = false;
  bool mHeld = false;

  // A move that can't be ordered yet would only keep the worker empty.
  bool IsMovable() const { return IsUp() && !mHasIntent && !mHeld; }
  bool IsIdle() const { return mUsage != nullptr && mUsage->mRuns == 0; }
  // Runs may be there, or start. A pool that has become the spare one may have
  // a cell with runs; most of its VMs have no worker to seal.
  bool NeedsSeal() const
  {
    bool mayHaveWorker =
      !mPool->mSpare || mPool->mUsage == nullptr || mUsage != nullptr;
    return mPool->mHasCell && mayHaveWorker;
  }
  bool IsUp() const { return mVm->mState == PoolVmState::Up; }
};

/// Builds the plan and tracks the VMs and cores that it leaves each pool. A
/// fleet has thousands of VMs and a plan is made many times a second, so that
/// what a VM needs is looked up once.
class Planner
{
public:
  explicit Planner(const FleetView& aView)
    : mView(aView)
  {
    AddPools();
    mVms.reserve(aView.mVms.size());
    for (const PoolVm& vm : aView.mVms) {
      PoolState& pool = StateOf(vm.mPool, vm.mVm);
      bool leaving = aView.mIntents.contains(vm.mVm);
      bool held = aView.mHeldVms.contains(vm.mVm);
      mVms.push_back({ &vm, &pool, UsageOf(vm, pool), leaving, held });
      ++pool.mVms;
      pool.mLeaving += leaving ? 1 : 0;
      if (vm.mState == PoolVmState::Up && !leaving) {
        pool.mUsableCores += CoresOf(vm);
        pool.mUnreported += mVms.back().mUsage == nullptr ? 1 : 0;
      }
    }
    for (std::size_t i = 0; i < mVms.size(); ++i) {
      mByName.emplace(mVms[i].mVm->mVm, i);
    }
    for (const auto& [name, intent] : aView.mIntents) {
      const VmState* vm = Find(name);
      if (vm != nullptr && !intent.mTargetPool.empty()) {
        PoolState& target = StateOf(intent.mTargetPool, name);
        target.mUsableCores += CoresOf(*vm->mVm);
        // A VM that has arrived is already counted.
        bool moving = vm->mVm->mPool != intent.mTargetPool;
        target.mArriving += moving ? 1 : 0;
      }
    }
  }

  FleetPlan Plan()
  {
    ReviewIntents();
    for (const auto& [number, wave] : mView.mWaves) {
      if (wave.mOrder && !wave.mCompleted) {
        AdvanceWave(number, *wave.mOrder, wave);
      }
    }
    GrowPools();
    RestoreStandby();
    ShrinkPools();
    return std::move(mPlan);
  }

private:
  PoolState& StateOf(std::string_view aPool, std::uint32_t aShard)
  {
    auto [it, added] =
      mPools.try_emplace(mView.mLayout.CellName(aPool, aShard));
    if (added) {
      it->second.mPool = aPool;
      it->second.mShard = aShard;
    }
    return it->second;
  }

  PoolState& StateOf(std::string_view aPool, std::string_view aVm)
  {
    return StateOf(aPool, mView.mLayout.ShardOf(aVm));
  }

  void AddPools()
  {
    for (const WorkerPoolConfig& config : mView.mPoolConfigs) {
      for (std::uint32_t s = 0; s < mView.mLayout.mShards; ++s) {
        StateOf(config.mName, s).mSpare = config.mSpare;
      }
    }
    double evenShare =
      static_cast<double>(mView.mVms.size()) /
      static_cast<double>(std::max<std::size_t>(mPools.size(), 1));
    auto standby = static_cast<int>(std::floor(kStandbyShare * evenShare));
    // Pools that the configuration no longer names.
    for (const PoolVm& vm : mView.mVms) {
      StateOf(vm.mPool, vm.mVm);
    }
    for (auto& [name, pool] : mPools) {
      pool.mHasCell = mView.mCells.contains(name);
      auto report = mView.mUsages.find(name);
      bool recent = report != mView.mUsages.end() &&
                    mView.mNow - report->second.mReportedAt < kMaxReportAge;
      if (!recent) {
        continue;
      }
      const PoolUsage& usage = report->second;
      pool.mUsage = &usage;
      pool.mGrowThreshold = GrowThresholdCores(usage);
      pool.mShrinkThreshold = ShrinkThresholdCores(usage);
      pool.mMissingVms = static_cast<int>(usage.mMissingVms);
      pool.mMinVms =
        usage.mMinVms > 0 ? static_cast<int>(usage.mMinVms) + 1 : 0;
    }
    for (auto& [name, pool] : mPools) {
      pool.mStandbyVms = std::max(standby, pool.mMinVms);
    }
  }

  static const WorkerUsage* UsageOf(const PoolVm& aVm, const PoolState& aPool)
  {
    if (aPool.mUsage == nullptr) {
      return nullptr;
    }
    auto it = aPool.mUsage->mWorkers.find(aVm.mWorker);
    return it == aPool.mUsage->mWorkers.end() ? nullptr : &it->second;
  }

  VmState* Find(std::string_view aName)
  {
    auto it = mByName.find(aName);
    return it == mByName.end() ? nullptr : &mVms[it->second];
  }

  void ReviewIntents()
  {
    for (const auto& [name, intent] : mView.mIntents) {
      const VmState* vm = Find(name);
      if (vm == nullptr) {
        if (!intent.mOrdered) {
          mPlan.mCancelledIntents.push_back(name);
        }
        continue;
      }
      if (intent.mOrdered) {
        continue;
      }
      bool empty = !vm->NeedsSeal() || (vm->IsIdle() && vm->mUsage->mSealed);
      bool stale = vm->mVm->mWorker != intent.mWorker || !vm->IsUp();
      bool wave = intent.mWave != 0;
      Duration timeout = wave ? kWaveDrainTimeout : kMoveDrainTimeout;
      bool timedOut = (!wave || vm->mPool->UnorderedVms() > 0) &&
                      mView.mNow > intent.mCreatedAt + timeout;
      if (stale || (timedOut && !empty)) {
        mPlan.mCancelledIntents.push_back(name);
      } else if (empty) {
        mPlan.mReadyVms.push_back(name);
      }
    }
  }

  std::uint32_t CountInMaintenance(std::uint64_t aWave, const WaveOrder& aOrder)
  {
    std::uint32_t n = 0;
    for (const auto& [name, intent] : mView.mIntents) {
      n += intent.mWave == aWave ? 1 : 0;
    }
    // A VM that is down without an intent may be down because of an earlier
    // owner's order.
    for (const std::string& name : aOrder.mVms) {
      const VmState* vm = Find(name);
      n += vm != nullptr && !vm->IsUp() && !vm->mHasIntent ? 1 : 0;
    }
    return n;
  }

  void AddIntent(VmState& aVm, FleetIntent aIntent)
  {
    double cores = CoresOf(*aVm.mVm);
    aIntent.mCreatedAt = mView.mNow;
    aIntent.mWorker = aVm.mVm->mWorker;
    aVm.mHasIntent = true;
    ++aVm.mPool->mLeaving;
    aVm.mPool->mUsableCores -= cores;
    if (!aIntent.mTargetPool.empty()) {
      PoolState& target = StateOf(aIntent.mTargetPool, aVm.mVm->mVm);
      target.mUsableCores += cores;
      ++target.mArriving;
    }
    mPlan.mNewIntents.emplace(aVm.mVm->mVm, std::move(aIntent));
    if (!aVm.NeedsSeal()) {
      mPlan.mReadyVms.push_back(aVm.mVm->mVm);
    }
  }

  void MoveTo(std::string_view aPool, VmState& aVm)
  {
    FleetIntent intent;
    intent.mTargetPool = aPool;
    AddIntent(aVm, std::move(intent));
  }

  bool IsAnyPoolShort() const
  {
    return std::any_of(mPools.begin(), mPools.end(), [](const auto& aEntry) {
      const PoolState& pool = aEntry.second;
      return pool.mUsage != nullptr && !pool.mSpare &&
             pool.mUsableCores < pool.mGrowThreshold;
    });
  }

  // Number of VMs that must be down at the same time for the rest of a wave to
  // meet its deadline.
  std::uint32_t RequiredConcurrency(std::size_t aRemaining,
                                    const WaveOrder& aOrder,
                                    TimePoint aFirstSeen) const
  {
    Duration time =
      aFirstSeen + aOrder.mDeadline - kVmMaintenanceTime - mView.mNow;
    if (time < kVmMaintenanceTime) {
      return aOrder.mMaxConcurrent;
    }
    double concurrency = kWavePaceFactor * static_cast<double>(aRemaining) *
                         ToSeconds(kVmMaintenanceTime) / ToSeconds(time);
    return static_cast<std::uint32_t>(std::ceil(concurrency));
  }

  // VMs that are switched off go first, then those with the least work.
  void AdvanceWave(std::uint64_t aNumber,
                   const WaveOrder& aOrder,
                   const WaveProgress& aWave)
  {
    std::vector<std::pair<int, VmState*>> remaining;
    bool allDone = true;
    for (const std::string& name : aOrder.mVms) {
      VmState* vm = Find(name);
      if (aWave.mMaintainedVms.contains(name)) {
        continue;
      }
      // A VM that isn't listed any more is gone.
      allDone = allDone && vm == nullptr && !mView.mHasUnnamedVms;
      if (vm == nullptr || !vm->IsUp() || vm->mHasIntent) {
        continue;
      }
      int cost = 3;
      if (!vm->NeedsSeal()) {
        cost = 0;
      } else if (vm->mUsage != nullptr) {
        cost = vm->mUsage->mRuns == 0 ? 1 : vm->mUsage->mHasLongRunning ? 3 : 2;
      }
      remaining.emplace_back(cost, vm);
    }
    if (allDone) {
      mPlan.mCompletedWaves.push_back(aNumber);
      return;
    }
    std::stable_sort(
      remaining.begin(), remaining.end(), [](const auto& aA, const auto& aB) {
        return aA.first < aB.first;
      });
    bool urgent = mView.mNow + EstimateWaveTime(remaining.size(), aOrder) >
                  aWave.mFirstSeen + aOrder.mDeadline;
    std::uint32_t maxDown = aOrder.mMaxConcurrent;
    if (IsAnyPoolShort()) {
      maxDown = std::min(
        maxDown,
        RequiredConcurrency(remaining.size(), aOrder, aWave.mFirstSeen));
    }
    std::uint32_t down = CountInMaintenance(aNumber, aOrder);
    for (auto [cost, vm] : remaining) {
      if (down >= maxDown) {
        return;
      }
      PoolState& pool = *vm->mPool;
      double maxLeaving =
        std::max(1.0, std::floor(pool.mVms * kMaxLeavingShare));
      bool tooManyLeaving = cost > 0 && pool.mLeaving >= maxLeaving;
      bool unknown = vm->NeedsSeal() && pool.mUsage == nullptr;
      // Its long-running tasks would have to stay.
      bool stuck = cost > 2 && pool.UnorderedVms() > 0;
      // A pool in its peak goes last.
      bool needed = vm->NeedsSeal() && !unknown &&
                    pool.mUsableCores - CoresOf(*vm->mVm) < pool.mGrowThreshold;
      if (unknown || stuck || ((tooManyLeaving || needed) && !urgent)) {
        continue;
      }
      FleetIntent intent;
      intent.mWave = aNumber;
      AddIntent(*vm, std::move(intent));
      ++down;
    }
  }

  // Long-running tasks without room come before the demand for short work,
  // which may take all VMs for seconds.
  void GrowPools()
  {
    std::set<std::uint32_t> exhausted;
    auto grow = [&](const PoolState& aPool, double aDeficit) {
      if (!exhausted.contains(aPool.mShard) && !Grow(aPool, aDeficit)) {
        exhausted.insert(aPool.mShard);
      }
    };
    for (const auto& [name, pool] : mPools) {
      int missing = pool.UnorderedVms();
      if (missing > 0) {
        grow(pool, (missing - 1) * MeanCores() + 1);
      }
    }
    std::vector<std::pair<double, const PoolState*>> shortPools;
    for (const auto& [name, pool] : mPools) {
      double deficit = pool.mGrowThreshold - pool.mUsableCores;
      if (pool.Staying() < pool.mMinVms) {
        deficit = std::max(deficit, 1.0);
      }
      if (pool.mUsage != nullptr && !pool.mSpare && deficit > 0) {
        shortPools.emplace_back(deficit, &pool);
      }
    }
    std::stable_sort(
      shortPools.begin(), shortPools.end(), [](auto& aLeft, auto& aRight) {
        return aLeft.first > aRight.first;
      });
    for (auto [deficit, pool] : shortPools) {
      grow(*pool, deficit);
    }
  }

  double MeanCores() const
  {
    double cores = 0;
    for (const VmState& vm : mVms) {
      cores += CoresOf(*vm.mVm);
    }
    return cores / static_cast<double>(std::max<std::size_t>(mVms.size(), 1));
  }

  // Takes VMs that are switched off first, then idle ones of pools that stay
  // above their shrink thresholds; false if there aren't enough. What a pool
  // can give only falls while another grows, so that one pass over the VMs
  // does.
  bool Grow(const PoolState& aTarget, double aDeficit)
  {
    double deficit = aDeficit;
    auto take = [&](VmState& aVm) {
      deficit -= CoresOf(*aVm.mVm);
      MoveTo(aTarget.mPool, aVm);
    };
    auto inShard = [&](const VmState& aVm) {
      return aVm.mPool->mShard == aTarget.mShard;
    };
    for (auto it = mVms.begin(); it != mVms.end() && deficit > 0; ++it) {
      if (it->mPool->mSpare && inShard(*it) && it->IsMovable()) {
        take(*it);
      }
    }
    for (auto it = mVms.rbegin(); it != mVms.rend() && deficit > 0; ++it) {
      const PoolState& pool = *it->mPool;
      bool free =
        &pool != &aTarget && inShard(*it) && !pool.mSpare && it->IsMovable() &&
        it->IsIdle() && !pool.LacksRoom() && pool.Staying() > pool.mMinVms &&
        pool.mUsableCores - CoresOf(*it->mVm) >= pool.mShrinkThreshold;
      if (free) {
        take(*it);
      }
    }
    return deficit <= 0;
  }

  // Surplus VMs after a pool's peak go to pools below their standby, where the
  // next peak may begin.
  void RestoreStandby()
  {
    for (VmState& vm : mVms) {
      if (!IsSurplus(vm)) {
        continue;
      }
      const PoolState* target = PoolWithLargestDeficit(vm.mPool->mShard);
      if (target != nullptr) {
        MoveTo(target->mPool, vm);
      }
    }
  }

  // The pool of the shard furthest below its standby; null if none is below it.
  const PoolState* PoolWithLargestDeficit(std::uint32_t aShard) const
  {
    const PoolState* target = nullptr;
    int largest = 0;
    for (const auto& [name, pool] : mPools) {
      int deficit = pool.mStandbyVms - pool.Staying() - pool.mArriving;
      bool candidate =
        pool.mShard == aShard && pool.mUsage != nullptr && !pool.mSpare;
      if (candidate && deficit > largest) {
        largest = deficit;
        target = &pool;
      }
    }
    return target;
  }

  // The VM is idle, and its pool needs it neither for demand nor as standby.
  static bool IsSurplus(const VmState& aVm)
  {
    const PoolState& pool = *aVm.mPool;
    return !pool.mSpare && aVm.IsMovable() && aVm.IsIdle() &&
           !pool.LacksRoom() && pool.Staying() > pool.mStandbyVms &&
           pool.mUsableCores - CoresOf(*aVm.mVm) >= pool.mShrinkThreshold;
  }

  void ShrinkPools()
  {
    std::string_view spare;
    for (const WorkerPoolConfig& config : mView.mPoolConfigs) {
      if (config.mSpare) {
        spare = config.mName;
      }
    }
    if (spare.empty()) {
      return;
    }
    for (VmState& vm : mVms) {
      if (IsSurplus(vm)) {
        MoveTo(spare, vm);
      }
    }
  }

  const FleetView& mView;
  FleetPlan mPlan;
  std::map<std::string, PoolState, std::less<>> mPools;
  /// In the order of the list.
  std::vector<VmState> mVms;
  /// Positions in mVms.
  std::unordered_map<std::string_view, std::size_t> mByName;
};

} // namespace

double
CoresOf(const PoolVm& aVm)
{
  return static_cast<double>(aVm.mCapacity.mCpuMillis) / kMillisPerCore;
}

// Only conclusive entries count: in an unknown state, or in an entry that names
// no worker, the incarnation may still be running.
bool
ListProvesWorkerEnded(std::string_view aWorker,
                      std::string_view aPool,
                      const WorkerIncarnation& aIncarnation,
                      const PoolVm* aVm,
                      TimePoint aListed,
                      TimePoint aNow)
{
  // The list may not show a recent incarnation yet, and one that hasn't been
  // read again for some time says nothing about the present one.
  if (aVm == nullptr || aIncarnation.mFirstSeen + kMaxListLag > aListed ||
      aNow > aListed + kMaxListAge) {
    return false;
  }
  switch (aVm->mState) {
    case PoolVmState::Moving:
    case PoolVmState::Maintenance:
    case PoolVmState::Down:
      return true;
    case PoolVmState::Up:
      return aVm->mPool != aPool ||
             (!aVm->mWorker.empty() && aVm->mWorker != aWorker);
    case PoolVmState::Unknown:
      break;
  }
  return false;
}

// The worker lived in another pool, so the VM can't have left that pool
// before it. The next worker of the VM may have the same id.
bool
MoveProvesWorkerEnded(std::string_view aWorker,
                      std::string_view aPool,
                      const WorkerIncarnation& aIncarnation,
                      const FleetIntent& aIntent)
{
  return aIntent.mConfirmed && !aIntent.mTargetPool.empty() &&
         aIntent.mTargetPool != aPool && aIntent.mWorker == aWorker &&
         aIncarnation.mFirstSeen < aIntent.mConfirmedAt;
}

// A confirmed move ends its worker at once. A maintenance may have been done
// earlier, before the worker's start, so its confirmation ends nothing; until
// the list shows its effect the worker is taken for ended.
std::vector<std::string>
WorkersToSeal(const FleetView& aView, std::uint32_t aShard, TimePoint aListed)
{
  std::vector<std::string> sealed;
  for (const auto& [name, intent] : aView.mIntents) {
    bool listLags =
      intent.mWave != 0 && aListed <= intent.mConfirmedAt + kMaxListLag;
    bool inShard = aView.mLayout.ShardOf(name) == aShard;
    if (inShard && !intent.mWorker.empty() &&
        (!intent.mConfirmed || listLags)) {
      sealed.push_back(intent.mWorker);
    }
  }
  return sealed;
}

double
GrowThresholdCores(const PoolUsage& aUse)
{
  return aUse.mLongRunningCores + kHeadroom * aUse.mForecastDemandCores;
}

double
ShrinkThresholdCores(const PoolUsage& aUse)
{
  double used = std::max(kHeadroom * aUse.mMeanDemandCores,
                         aUse.mBusyCores + aUse.mWaitingCores);
  return std::max(GrowThresholdCores(aUse), aUse.mLongRunningCores + used);
}

FleetPlan
PlanFleet(const FleetView& aView)
{
  return Planner(aView).Plan();
}

} // namespace buckthornshunt
