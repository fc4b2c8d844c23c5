#include "decide/fleet_plan.h"

#include <algorithm>
#include <cmath>

namespace buckthornshunt {

namespace {

constexpr double kMillisPerCore = 1000.0;
/// Room above the demand, since jobs come in clumps.
constexpr double kHeadroom = 1.2;
/// Part of an even share of the fleet that every pool keeps, since a rise of
/// the demand is met by what is there until the first VM has moved.
constexpr double kStandbyShare = 0.7;
/// A move whose VM doesn't become empty within this time is given up.
constexpr Duration kMovePatience = std::chrono::seconds(4);
/// Part of a pool that may be on its way to maintenance at the same time.
constexpr double kWaveShare = 0.34;
/// Time for one VM to become empty, be maintained (2 s) and be seen again, and
/// as much to spare. When no more is left, every pool gives what it can.
constexpr Duration kMaintenance = std::chrono::seconds(4);
/// A wave goes on this much faster than it must, as its owner may be lost.
constexpr double kPaceReserve = 1.5;
/// The list may show what was true up to this long before it was asked for;
/// what was seen of it is under half of that.
constexpr Duration kListLag = std::chrono::seconds(2);
/// Reports older than this aren't planned with.
constexpr Duration kReportValid = std::chrono::seconds(2);

// Time in which the VMs of a wave that are left can be maintained.
Duration
TimeForWave(std::size_t aLeft, const WaveOrder& aOrder)
{
  std::size_t atOnce = std::max<std::size_t>(aOrder.mMaxConcurrent, 1);
  std::size_t batches = (aLeft + atOnce - 1) / atOnce;
  return kMaintenance * static_cast<int>(batches + 2);
}

/// Collects the changes and keeps count of what they leave.
class Planner
{
public:
  explicit Planner(const FleetView& aView)
    : mView(aView)
  {
    for (const WorkerPoolConfig& pool : aView.mPoolConfigs) {
      mSpare[pool.mName] = pool.mSpare;
    }
    for (const PoolVm& vm : aView.mVms) {
      mVms.emplace(vm.mVm, &vm);
      ++mPoolSize[vm.mPool];
      bool leaving = aView.mIntents.contains(vm.mVm);
      mLeaving[vm.mPool] += leaving ? 1 : 0;
      if (vm.mState == PoolVmState::Up && !leaving) {
        mCores[vm.mPool] += CoresOf(vm);
      }
    }
    for (const auto& [vm, intent] : aView.mIntents) {
      auto it = mVms.find(vm);
      if (it != mVms.end() && !intent.mToPool.empty()) {
        mCores[intent.mToPool] += CoresOf(*it->second);
        // One that has arrived is counted already.
        bool coming = it->second->mPool != intent.mToPool;
        mComing[intent.mToPool] += coming ? 1 : 0;
      }
    }
  }

  FleetPlanChange Make()
  {
    ReviewIntents();
    for (const auto& [number, wave] : mView.mWaves) {
      if (!wave.mCompleted) {
        AdvanceWave(number, wave);
      }
    }
    GrowPools();
    RefillPools();
    ShrinkPools();
    return std::move(mChange);
  }

private:
  bool IsSpare(std::string_view aPool) const
  {
    auto it = mSpare.find(aPool);
    return it != mSpare.end() && it->second;
  }

  const PoolUse* UseOf(std::string_view aPool) const
  {
    auto it = mView.mPools.find(aPool);
    bool valid =
      it != mView.mPools.end() && mView.mNow - it->second.mAt < kReportValid;
    return valid ? &it->second : nullptr;
  }

  // What runs on the VM; null if that isn't known.
  const WorkerUse* WorkerOf(const PoolVm& aVm) const
  {
    const PoolUse* use = UseOf(aVm.mPool);
    if (use == nullptr) {
      return nullptr;
    }
    auto it = use->mWorkers.find(aVm.mWorker);
    return it == use->mWorkers.end() ? nullptr : &it->second;
  }

  bool Taken(std::string_view aVm) const
  {
    return mView.mIntents.contains(aVm) || mChange.mBegin.contains(aVm);
  }

  // VMs that a pool is not to fall below.
  int StandbyOf(std::string_view aPool) const
  {
    double even = static_cast<double>(mView.mVms.size()) /
                  static_cast<double>(std::max<std::size_t>(mSpare.size(), 1));
    auto standby = static_cast<int>(std::floor(kStandbyShare * even));
    return std::max(standby, LeastVmsOf(aPool));
  }

  // One more than the limits of tasks on one VM need, so that a lost VM leaves
  // room for its tasks.
  int LeastVmsOf(std::string_view aPool) const
  {
    const PoolUse* use = UseOf(aPool);
    bool limited = use != nullptr && use->mLeastVms > 0;
    return limited ? static_cast<int>(use->mLeastVms) + 1 : 0;
  }

  int StayingIn(const std::string& aPool)
  {
    return mPoolSize[aPool] - mLeaving[aPool];
  }

  // No cell starts anything in the spare pool or in a pool without a queue.
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
          mChange.mDrop.push_back(name);
        }
        continue;
      }
      const PoolVm& vm = *it->second;
      if (intent.mOrdered) {
        continue;
      }
      const WorkerUse* use = WorkerOf(vm);
      bool empty =
        !NeedsSeal(vm) || (use != nullptr && use->mSealed && use->mRuns == 0);
      bool stale = vm.mWorker != intent.mWorker || vm.mState != PoolVmState::Up;
      bool tooLong =
        intent.mWave == 0 && mView.mNow > intent.mSince + kMovePatience;
      if (stale || (tooLong && !empty)) {
        mChange.mDrop.push_back(name);
      } else if (empty) {
        mChange.mOrder.push_back(name);
      }
    }
  }

  std::uint32_t InMaintenance(std::uint64_t aWave) const
  {
    std::uint32_t n = 0;
    for (const auto& [vm, intent] : mView.mIntents) {
      n += intent.mWave == aWave ? 1 : 0;
    }
    for (const auto& [vm, intent] : mChange.mBegin) {
      n += intent.mWave == aWave ? 1 : 0;
    }
    // A VM that is down without an intent may be down for an order of an
    // earlier owner.
    for (const std::string& name : mView.mWaves.at(aWave).mOrder.mVms) {
      auto it = mVms.find(name);
      bool down = it != mVms.end() && it->second->mState != PoolVmState::Up;
      n += down && !mView.mIntents.contains(name) ? 1 : 0;
    }
    return n;
  }

  void Begin(const PoolVm& aVm, FleetIntent aIntent)
  {
    aIntent.mSince = mView.mNow;
    aIntent.mWorker = aVm.mWorker;
    ++mLeaving[aVm.mPool];
    mCores[aVm.mPool] -= CoresOf(aVm);
    if (!aIntent.mToPool.empty()) {
      mCores[aIntent.mToPool] += CoresOf(aVm);
      ++mComing[aIntent.mToPool];
    }
    mChange.mBegin.emplace(aVm.mVm, std::move(aIntent));
    if (!NeedsSeal(aVm)) {
      mChange.mOrder.push_back(aVm.mVm);
    }
  }

  bool SomePoolLacks()
  {
    return std::any_of(
      mView.mPools.begin(), mView.mPools.end(), [&](const auto& aEntry) {
        const auto& [pool, use] = aEntry;
        return UseOf(pool) != nullptr && !IsSpare(pool) &&
               mCores[pool] < NeededCores(use);
      });
  }

  // VMs that must be down at the same time for the rest of a wave to be in
  // time.
  std::uint32_t PaceOf(std::size_t aLeft, const WaveProgress& aWave) const
  {
    Duration time =
      aWave.mSeen + aWave.mOrder.mDeadline - kMaintenance - mView.mNow;
    if (time < kMaintenance) {
      return aWave.mOrder.mMaxConcurrent;
    }
    double most = kPaceReserve * static_cast<double>(aLeft) *
                  ToSeconds(kMaintenance) / ToSeconds(time);
    return static_cast<std::uint32_t>(std::ceil(most));
  }

  // VMs that are switched off go first, then those that run least.
  void AdvanceWave(std::uint64_t aNumber, const WaveProgress& aWave)
  {
    std::vector<std::pair<int, const PoolVm*>> left;
    bool allDone = true;
    for (const std::string& name : aWave.mOrder.mVms) {
      auto it = mVms.find(name);
      if (it == mVms.end() || aWave.mDone.contains(name)) {
        continue;
      }
      allDone = false;
      const PoolVm& vm = *it->second;
      if (vm.mState != PoolVmState::Up || Taken(name)) {
        continue;
      }
      const WorkerUse* use = WorkerOf(vm);
      int cost = 3;
      if (!NeedsSeal(vm)) {
        cost = 0;
      } else if (use != nullptr) {
        cost = use->mRuns == 0 ? 1 : use->mLasting ? 3 : 2;
      }
      left.emplace_back(cost, &vm);
    }
    if (allDone) {
      mChange.mCompleted.push_back(aNumber);
      return;
    }
    std::stable_sort(
      left.begin(), left.end(), [](const auto& aA, const auto& aB) {
        return aA.first < aB.first;
      });
    bool hurry = mView.mNow + TimeForWave(left.size(), aWave.mOrder) >
                 aWave.mSeen + aWave.mOrder.mDeadline;
    std::uint32_t most = aWave.mOrder.mMaxConcurrent;
    if (SomePoolLacks()) {
      most = std::min(most, PaceOf(left.size(), aWave));
    }
    for (auto [cost, vm] : left) {
      if (InMaintenance(aNumber) >= most) {
        return;
      }
      double most =
        std::max(1.0, std::floor(mPoolSize[vm->mPool] * kWaveShare));
      bool crowded = cost > 0 && mLeaving[vm->mPool] >= most;
      bool unknown = NeedsSeal(*vm) && UseOf(vm->mPool) == nullptr;
      // A pool in its turn goes last.
      bool needed =
        NeedsSeal(*vm) && !unknown &&
        mCores[vm->mPool] - CoresOf(*vm) < NeededCores(*UseOf(vm->mPool));
      if (unknown || ((crowded || needed) && !hurry)) {
        continue;
      }
      FleetIntent intent;
      intent.mWave = aNumber;
      Begin(*vm, intent);
    }
  }

  void GrowPools()
  {
    std::vector<std::pair<double, std::string_view>> lacking;
    for (const auto& [pool, use] : mView.mPools) {
      double lack = NeededCores(use) - mCores[pool];
      if (StayingIn(pool) < LeastVmsOf(pool)) {
        lack = std::max(lack, 1.0);
      }
      if (UseOf(pool) != nullptr && !IsSpare(pool) && lack > 0) {
        lacking.emplace_back(-lack, pool);
      }
    }
    std::sort(lacking.begin(), lacking.end());
    for (auto [negative, pool] : lacking) {
      double lack = -negative;
      while (lack > 0) {
        const PoolVm* vm = FindGiver(pool);
        if (vm == nullptr) {
          return;
        }
        lack -= CoresOf(*vm);
        FleetIntent intent;
        intent.mToPool = pool;
        Begin(*vm, intent);
      }
    }
  }

  // A VM that is switched off, or one that runs nothing in a pool which has
  // more than it wants.
  const PoolVm* FindGiver(std::string_view aTo)
  {
    const PoolVm* best = nullptr;
    for (const PoolVm& vm : mView.mVms) {
      if (vm.mState != PoolVmState::Up || vm.mPool == aTo || Taken(vm.mVm)) {
        continue;
      }
      if (IsSpare(vm.mPool)) {
        return &vm;
      }
      const PoolUse* use = UseOf(vm.mPool);
      const WorkerUse* worker = WorkerOf(vm);
      bool free = use != nullptr && worker != nullptr && worker->mRuns == 0 &&
                  StayingIn(vm.mPool) > LeastVmsOf(vm.mPool) &&
                  mCores[vm.mPool] - CoresOf(vm) >= KeptCores(*use);
      if (free) {
        best = &vm;
      }
    }
    return best;
  }

  // VMs that a pool gives away at the end of its turn go where the next turn
  // may begin.
  void RefillPools()
  {
    for (const PoolVm& vm : mView.mVms) {
      if (!MayLeave(vm)) {
        continue;
      }
      std::string_view poorest = PoorestPool();
      if (poorest.empty()) {
        return;
      }
      FleetIntent intent;
      intent.mToPool = poorest;
      Begin(vm, intent);
    }
  }

  // The pool that lacks most of its standby; empty if none lacks anything.
  std::string_view PoorestPool()
  {
    std::string_view poorest;
    int most = 0;
    for (const auto& [pool, use] : mView.mPools) {
      int lack = StandbyOf(pool) - StayingIn(pool) - mComing[pool];
      if (UseOf(pool) != nullptr && !IsSpare(pool) && lack > most) {
        most = lack;
        poorest = pool;
      }
    }
    return poorest;
  }

  // The VM runs nothing, and its pool neither needs it nor keeps it ready.
  bool MayLeave(const PoolVm& aVm)
  {
    const PoolUse* use = UseOf(aVm.mPool);
    const WorkerUse* worker = WorkerOf(aVm);
    bool idle = aVm.mState == PoolVmState::Up && !IsSpare(aVm.mPool) &&
                !Taken(aVm.mVm) && use != nullptr && worker != nullptr &&
                worker->mRuns == 0;
    return idle && StayingIn(aVm.mPool) > StandbyOf(aVm.mPool) &&
           mCores[aVm.mPool] - CoresOf(aVm) >= KeptCores(*use);
  }

  void ShrinkPools()
  {
    std::string_view spare;
    for (const auto& [pool, isSpare] : mSpare) {
      if (isSpare) {
        spare = pool;
      }
    }
    if (spare.empty()) {
      return;
    }
    for (const PoolVm& vm : mView.mVms) {
      if (MayLeave(vm)) {
        FleetIntent intent;
        intent.mToPool = spare;
        Begin(vm, intent);
      }
    }
  }

  const FleetView& mView;
  FleetPlanChange mChange;
  std::map<std::string_view, const PoolVm*> mVms;
  std::map<std::string, bool, std::less<>> mSpare;
  std::map<std::string, int, std::less<>> mPoolSize;
  std::map<std::string, int, std::less<>> mLeaving;
  /// VMs on their way into each pool.
  std::map<std::string, int, std::less<>> mComing;
  std::map<std::string, double, std::less<>> mCores;
};

} // namespace

double
CoresOf(const PoolVm& aVm)
{
  return static_cast<double>(aVm.mCapacity.mCpuMillis) / kMillisPerCore;
}

// Only what the list says for certain counts: in a state that isn't known, or
// in an entry that names no worker, the life may go on.
bool
ListShowsEnd(std::string_view aWorker,
             std::string_view aPool,
             const WorkerIncarnation& aLife,
             const PoolVm* aVm,
             TimePoint aListed)
{
  // A life that began lately may not be in the list yet.
  if (aVm == nullptr || aLife.mFirstSeen + kListLag > aListed) {
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

double
NeededCores(const PoolUse& aUse)
{
  return aUse.mLastingCores + kHeadroom * aUse.mAskedSupported;
}

double
KeptCores(const PoolUse& aUse)
{
  double used =
    std::max(kHeadroom * aUse.mAskedMean, aUse.mBusyCores + aUse.mWaitingCores);
  return std::max(NeededCores(aUse), aUse.mLastingCores + used);
}

FleetPlanChange
PlanFleet(const FleetView& aView)
{
  return Planner(aView).Make();
}

} // namespace buckthornshunt
