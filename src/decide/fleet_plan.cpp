#include "decide/fleet_plan.h"

#include <algorithm>
#include <cmath>

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

/// Builds the plan and tracks the VMs and cores that it leaves each pool.
class Planner
{
public:
  explicit Planner(const FleetView& aView)
    : mView(aView)
  {
    for (const WorkerPoolConfig& pool : aView.mPoolConfigs) {
      mIsSpare[pool.mName] = pool.mSpare;
    }
    for (const PoolVm& vm : aView.mVms) {
      mVms.emplace(vm.mVm, &vm);
      ++mPoolSize[vm.mPool];
      bool leaving = aView.mIntents.contains(vm.mVm);
      mLeaving[vm.mPool] += leaving ? 1 : 0;
      if (vm.mState == PoolVmState::Up && !leaving) {
        mUsableCores[vm.mPool] += CoresOf(vm);
      }
    }
    for (const auto& [vm, intent] : aView.mIntents) {
      auto it = mVms.find(vm);
      if (it != mVms.end() && !intent.mTargetPool.empty()) {
        mUsableCores[intent.mTargetPool] += CoresOf(*it->second);
        // A VM that has arrived is already in mPoolSize.
        bool moving = it->second->mPool != intent.mTargetPool;
        mArriving[intent.mTargetPool] += moving ? 1 : 0;
      }
    }
  }

  FleetPlan Plan()
  {
    ReviewIntents();
    for (const auto& [number, wave] : mView.mWaves) {
      if (!wave.mCompleted) {
        AdvanceWave(number, wave);
      }
    }
    GrowPools();
    RestoreStandby();
    ShrinkPools();
    return std::move(mPlan);
  }

private:
  bool IsSpare(std::string_view aPool) const
  {
    auto it = mIsSpare.find(aPool);
    return it != mIsSpare.end() && it->second;
  }

  const PoolUsage* UsageOf(std::string_view aPool) const
  {
    auto it = mView.mPools.find(aPool);
    bool valid = it != mView.mPools.end() &&
                 mView.mNow - it->second.mReportedAt < kMaxReportAge;
    return valid ? &it->second : nullptr;
  }

  // Usage of the VM's worker; null if unknown.
  const WorkerUsage* WorkerUsageOn(const PoolVm& aVm) const
  {
    const PoolUsage* use = UsageOf(aVm.mPool);
    if (use == nullptr) {
      return nullptr;
    }
    auto it = use->mWorkers.find(aVm.mWorker);
    return it == use->mWorkers.end() ? nullptr : &it->second;
  }

  bool HasIntent(std::string_view aVm) const
  {
    return mView.mIntents.contains(aVm) || mPlan.mNewIntents.contains(aVm);
  }

  // Minimum VMs that a pool keeps while idle.
  int StandbyVms(std::string_view aPool) const
  {
    double evenShare =
      static_cast<double>(mView.mVms.size()) /
      static_cast<double>(std::max<std::size_t>(mIsSpare.size(), 1));
    auto standby = static_cast<int>(std::floor(kStandbyShare * evenShare));
    return std::max(standby, MinVmsOf(aPool));
  }

  // One more than the limits on tasks per VM require, so that there is room for
  // the tasks of a lost VM.
  int MinVmsOf(std::string_view aPool) const
  {
    const PoolUsage* use = UsageOf(aPool);
    bool limited = use != nullptr && use->mMinVms > 0;
    return limited ? static_cast<int>(use->mMinVms) + 1 : 0;
  }

  int VmsStayingIn(const std::string& aPool)
  {
    return mPoolSize[aPool] - mLeaving[aPool];
  }

  // No cell starts runs in the spare pool or in a pool without a queue.
  bool NeedsSeal(const PoolVm& aVm) const
  {
    return !IsSpare(aVm.mPool) && mView.mCells.contains(aVm.mPool);
  }

  void ReviewIntents()
  {
    for (const auto& [name, intent] : mView.mIntents) {
      auto it = mVms.find(name);
      if (it == mVms.end()) {
        if (!intent.mOrdered) {
          mPlan.mCancelledIntents.push_back(name);
        }
        continue;
      }
      const PoolVm& vm = *it->second;
      if (intent.mOrdered) {
        continue;
      }
      const WorkerUsage* use = WorkerUsageOn(vm);
      bool empty =
        !NeedsSeal(vm) || (use != nullptr && use->mSealed && use->mRuns == 0);
      bool stale = vm.mWorker != intent.mWorker || vm.mState != PoolVmState::Up;
      bool timedOut =
        intent.mWave == 0 && mView.mNow > intent.mCreatedAt + kMoveDrainTimeout;
      if (stale || (timedOut && !empty)) {
        mPlan.mCancelledIntents.push_back(name);
      } else if (empty) {
        mPlan.mReadyVms.push_back(name);
      }
    }
  }

  std::uint32_t CountInMaintenance(std::uint64_t aWave) const
  {
    std::uint32_t n = 0;
    for (const auto& [vm, intent] : mView.mIntents) {
      n += intent.mWave == aWave ? 1 : 0;
    }
    for (const auto& [vm, intent] : mPlan.mNewIntents) {
      n += intent.mWave == aWave ? 1 : 0;
    }
    // A VM that is down without an intent may be down because of an earlier
    // owner's order.
    for (const std::string& name : mView.mWaves.at(aWave).mOrder.mVms) {
      auto it = mVms.find(name);
      bool down = it != mVms.end() && it->second->mState != PoolVmState::Up;
      n += down && !mView.mIntents.contains(name) ? 1 : 0;
    }
    return n;
  }

  void AddIntent(const PoolVm& aVm, FleetIntent aIntent)
  {
    aIntent.mCreatedAt = mView.mNow;
    aIntent.mWorker = aVm.mWorker;
    ++mLeaving[aVm.mPool];
    mUsableCores[aVm.mPool] -= CoresOf(aVm);
    if (!aIntent.mTargetPool.empty()) {
      mUsableCores[aIntent.mTargetPool] += CoresOf(aVm);
      ++mArriving[aIntent.mTargetPool];
    }
    mPlan.mNewIntents.emplace(aVm.mVm, std::move(aIntent));
    if (!NeedsSeal(aVm)) {
      mPlan.mReadyVms.push_back(aVm.mVm);
    }
  }

  bool IsAnyPoolShort()
  {
    return std::any_of(
      mView.mPools.begin(), mView.mPools.end(), [&](const auto& aEntry) {
        const auto& [pool, use] = aEntry;
        return UsageOf(pool) != nullptr && !IsSpare(pool) &&
               mUsableCores[pool] < GrowThresholdCores(use);
      });
  }

  // Number of VMs that must be down at the same time for the rest of a wave to
  // meet its deadline.
  std::uint32_t RequiredConcurrency(std::size_t aRemaining,
                                    const WaveProgress& aWave) const
  {
    Duration time = aWave.mFirstSeen + aWave.mOrder.mDeadline -
                    kVmMaintenanceTime - mView.mNow;
    if (time < kVmMaintenanceTime) {
      return aWave.mOrder.mMaxConcurrent;
    }
    double concurrency = kWavePaceFactor * static_cast<double>(aRemaining) *
                         ToSeconds(kVmMaintenanceTime) / ToSeconds(time);
    return static_cast<std::uint32_t>(std::ceil(concurrency));
  }

  // VMs that are switched off go first, then those with the least work.
  void AdvanceWave(std::uint64_t aNumber, const WaveProgress& aWave)
  {
    std::vector<std::pair<int, const PoolVm*>> remaining;
    bool allDone = true;
    for (const std::string& name : aWave.mOrder.mVms) {
      auto it = mVms.find(name);
      if (it == mVms.end() || aWave.mMaintainedVms.contains(name)) {
        continue;
      }
      allDone = false;
      const PoolVm& vm = *it->second;
      if (vm.mState != PoolVmState::Up || HasIntent(name)) {
        continue;
      }
      const WorkerUsage* use = WorkerUsageOn(vm);
      int cost = 3;
      if (!NeedsSeal(vm)) {
        cost = 0;
      } else if (use != nullptr) {
        cost = use->mRuns == 0 ? 1 : use->mHasLongRunning ? 3 : 2;
      }
      remaining.emplace_back(cost, &vm);
    }
    if (allDone) {
      mPlan.mCompletedWaves.push_back(aNumber);
      return;
    }
    std::stable_sort(
      remaining.begin(), remaining.end(), [](const auto& aA, const auto& aB) {
        return aA.first < aB.first;
      });
    bool urgent =
      mView.mNow + EstimateWaveTime(remaining.size(), aWave.mOrder) >
      aWave.mFirstSeen + aWave.mOrder.mDeadline;
    std::uint32_t maxDown = aWave.mOrder.mMaxConcurrent;
    if (IsAnyPoolShort()) {
      maxDown = std::min(maxDown, RequiredConcurrency(remaining.size(), aWave));
    }
    for (auto [cost, vm] : remaining) {
      if (CountInMaintenance(aNumber) >= maxDown) {
        return;
      }
      double maxLeaving =
        std::max(1.0, std::floor(mPoolSize[vm->mPool] * kMaxLeavingShare));
      bool tooManyLeaving = cost > 0 && mLeaving[vm->mPool] >= maxLeaving;
      bool unknown = NeedsSeal(*vm) && UsageOf(vm->mPool) == nullptr;
      // A pool in its peak goes last.
      bool needed = NeedsSeal(*vm) && !unknown &&
                    mUsableCores[vm->mPool] - CoresOf(*vm) <
                      GrowThresholdCores(*UsageOf(vm->mPool));
      if (unknown || ((tooManyLeaving || needed) && !urgent)) {
        continue;
      }
      FleetIntent intent;
      intent.mWave = aNumber;
      AddIntent(*vm, intent);
    }
  }

  void GrowPools()
  {
    std::vector<std::pair<double, std::string_view>> shortPools;
    for (const auto& [pool, use] : mView.mPools) {
      double deficit = GrowThresholdCores(use) - mUsableCores[pool];
      if (VmsStayingIn(pool) < MinVmsOf(pool)) {
        deficit = std::max(deficit, 1.0);
      }
      if (UsageOf(pool) != nullptr && !IsSpare(pool) && deficit > 0) {
        shortPools.emplace_back(-deficit, pool);
      }
    }
    std::sort(shortPools.begin(), shortPools.end());
    for (auto [negativeDeficit, pool] : shortPools) {
      double deficit = -negativeDeficit;
      while (deficit > 0) {
        const PoolVm* vm = FindDonorVm(pool);
        if (vm == nullptr) {
          return;
        }
        deficit -= CoresOf(*vm);
        FleetIntent intent;
        intent.mTargetPool = pool;
        AddIntent(*vm, intent);
      }
    }
  }

  // A VM that is switched off, or an idle one in a pool that stays above its
  // shrink threshold.
  const PoolVm* FindDonorVm(std::string_view aTargetPool)
  {
    const PoolVm* best = nullptr;
    for (const PoolVm& vm : mView.mVms) {
      if (vm.mState != PoolVmState::Up || vm.mPool == aTargetPool ||
          HasIntent(vm.mVm)) {
        continue;
      }
      if (IsSpare(vm.mPool)) {
        return &vm;
      }
      const PoolUsage* use = UsageOf(vm.mPool);
      const WorkerUsage* worker = WorkerUsageOn(vm);
      bool free =
        use != nullptr && worker != nullptr && worker->mRuns == 0 &&
        VmsStayingIn(vm.mPool) > MinVmsOf(vm.mPool) &&
        mUsableCores[vm.mPool] - CoresOf(vm) >= ShrinkThresholdCores(*use);
      if (free) {
        best = &vm;
      }
    }
    return best;
  }

  // Surplus VMs after a pool's peak go to pools below their standby, where the
  // next peak may begin.
  void RestoreStandby()
  {
    for (const PoolVm& vm : mView.mVms) {
      if (!IsSurplus(vm)) {
        continue;
      }
      std::string_view target = PoolWithLargestDeficit();
      if (target.empty()) {
        return;
      }
      FleetIntent intent;
      intent.mTargetPool = target;
      AddIntent(vm, intent);
    }
  }

  // The pool furthest below its standby; empty if none is below it.
  std::string_view PoolWithLargestDeficit()
  {
    std::string_view target;
    int largest = 0;
    for (const auto& [pool, use] : mView.mPools) {
      int deficit = StandbyVms(pool) - VmsStayingIn(pool) - mArriving[pool];
      if (UsageOf(pool) != nullptr && !IsSpare(pool) && deficit > largest) {
        largest = deficit;
        target = pool;
      }
    }
    return target;
  }

  // The VM is idle, and its pool needs it neither for demand nor as standby.
  bool IsSurplus(const PoolVm& aVm)
  {
    const PoolUsage* use = UsageOf(aVm.mPool);
    const WorkerUsage* worker = WorkerUsageOn(aVm);
    bool idle = aVm.mState == PoolVmState::Up && !IsSpare(aVm.mPool) &&
                !HasIntent(aVm.mVm) && use != nullptr && worker != nullptr &&
                worker->mRuns == 0;
    return idle && VmsStayingIn(aVm.mPool) > StandbyVms(aVm.mPool) &&
           mUsableCores[aVm.mPool] - CoresOf(aVm) >= ShrinkThresholdCores(*use);
  }

  void ShrinkPools()
  {
    std::string_view spare;
    for (const auto& [pool, isSpare] : mIsSpare) {
      if (isSpare) {
        spare = pool;
      }
    }
    if (spare.empty()) {
      return;
    }
    for (const PoolVm& vm : mView.mVms) {
      if (IsSurplus(vm)) {
        FleetIntent intent;
        intent.mTargetPool = spare;
        AddIntent(vm, intent);
      }
    }
  }

  const FleetView& mView;
  FleetPlan mPlan;
  std::map<std::string_view, const PoolVm*> mVms;
  std::map<std::string, bool, std::less<>> mIsSpare;
  std::map<std::string, int, std::less<>> mPoolSize;
  std::map<std::string, int, std::less<>> mLeaving;
  /// VMs on their way to each pool.
  std::map<std::string, int, std::less<>> mArriving;
  std::map<std::string, double, std::less<>> mUsableCores;
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
                      TimePoint aListed)
{
  // The list may not show a recent incarnation yet.
  if (aVm == nullptr || aIncarnation.mFirstSeen + kMaxListLag > aListed) {
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
// before it.
bool
MoveProvesWorkerEnded(std::string_view aWorker,
                      const WorkerIncarnation& aIncarnation,
                      const FleetIntent& aIntent)
{
  return aIntent.mConfirmed && !aIntent.mTargetPool.empty() &&
         aIntent.mWorker == aWorker &&
         aIncarnation.mFirstSeen < aIntent.mConfirmedAt;
}

// A confirmed move ends its worker at once. A maintenance may have been done
// earlier, before the worker's start, so its confirmation ends nothing; until
// the list shows its effect the worker is taken for ended.
std::vector<std::string>
WorkersToSeal(const FleetView& aView, TimePoint aListed)
{
  std::vector<std::string> sealed;
  for (const auto& [name, intent] : aView.mIntents) {
    bool listLags =
      intent.mWave != 0 && aListed <= intent.mConfirmedAt + kMaxListLag;
    if (!intent.mWorker.empty() && (!intent.mConfirmed || listLags)) {
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
