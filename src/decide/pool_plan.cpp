#include "decide/pool_plan.h"

#include "decide/availability.h"
#include "decide/ownership.h"

#include <algorithm>
#include <map>
#include <optional>

namespace buckthornshunt {

namespace {

// The next plan takes the effect of these moves into account.
constexpr std::size_t kMaxMovesPerPlan = 4;

using RackCounts = NameMap<int>;

/// Pool after the plan: VMs by rack, including arriving ones.
struct PlannedPool
{
  const PoolConfig* mConfig = nullptr;
  RackCounts mByRack;
  int mVms = 0;
  /// VMs that the pool may still take within its spare VMs.
  int Room() const { return mConfig->mVms + mConfig->mMaxSpareVms - mVms; }
};

std::vector<int>
RackSizes(const RackCounts& aByRack)
{
  std::vector<int> counts;
  for (const auto& [rack, n] : aByRack) {
    counts.push_back(n);
  }
  return counts;
}

// VMs by which the planned pool misses its budget.
int
Shortfall(const PlannedPool& aPool)
{
  int lost =
    WorstCaseLoss(RackSizes(aPool.mByRack), aPool.mConfig->mAvailability);
  return std::max(0, aPool.mConfig->mVms - (aPool.mVms - lost));
}

// Pool that the row's VM belongs to after its current move.
std::string_view
TargetPool(const VmOwnership& aRow)
{
  bool isMoving = aRow.mState == VmState::Leaving && !aRow.mNextPool.empty();
  return isMoving ? aRow.mNextPool : aRow.mPool;
}

// A VM in maintenance comes back, so its pool needs no replacement.
bool
CountsTowardPool(const VmOwnership& aRow)
{
  return aRow.mState == VmState::Serving || aRow.mState == VmState::Leaving ||
         aRow.mState == VmState::Maintenance;
}

void
AddVmToPool(NameMap<PlannedPool>& aPools,
            std::string_view aPool,
            const VmListing& aVm)
{
  auto it = aPools.find(aPool);
  if (it != aPools.end()) {
    ++it->second.mByRack[aVm.mRack];
    ++it->second.mVms;
  }
}

NameMap<PlannedPool>
PlannedPools(const SiteConfig& aSite, std::span<const FleetVm> aFleet)
{
  NameMap<PlannedPool> pools;
  for (const auto& [name, config] : aSite.mPools) {
    pools[name].mConfig = &config;
  }
  for (const FleetVm& vm : aFleet) {
    if (vm.mOwned && CountsTowardPool(vm.mRow)) {
      AddVmToPool(pools, TargetPool(vm.mRow), vm.mListing);
    }
  }
  return pools;
}

// The spare pool never has a shortfall, since it takes the VMs that remain.
// Empty if no pool has one.
std::string_view
PoolWithLargestShortfall(const SiteConfig& aSite,
                         const NameMap<PlannedPool>& aPools)
{
  std::string_view worstPool;
  int largestShortfall = 0;
  for (const auto& [name, pool] : aPools) {
    int missing =
      name == aSite.mSparePool ? 0 : std::min(Shortfall(pool), pool.Room());
    if (missing > largestShortfall) {
      largestShortfall = missing;
      worstPool = name;
    }
  }
  return worstPool;
}

int
VmsInRack(const PlannedPool& aPool, std::string_view aRack)
{
  auto it = aPool.mByRack.find(aRack);
  return it == aPool.mByRack.end() ? 0 : it->second;
}

// Candidate in the rack where the pool has fewest VMs; the first among equals,
// so that two controllers make the same plan.
const FleetVm*
BestCandidate(const PlannedPool& aPool,
              std::span<const FleetVm* const> aCandidates)
{
  const FleetVm* best = nullptr;
  for (const FleetVm* vm : aCandidates) {
    if (best == nullptr || VmsInRack(aPool, vm->mListing.mRack) <
                             VmsInRack(aPool, best->mListing.mRack)) {
      best = vm;
    }
  }
  return best;
}

std::vector<const FleetVm*>
UnownedVms(std::span<const FleetVm> aFleet)
{
  std::vector<const FleetVm*> free;
  for (const FleetVm& vm : aFleet) {
    if (!vm.mOwned && !vm.mListing.mLeaving) {
      free.push_back(&vm);
    }
  }
  return free;
}

std::vector<const FleetVm*>
ServingVms(std::span<const FleetVm> aFleet, std::string_view aPool)
{
  std::vector<const FleetVm*> vms;
  for (const FleetVm& vm : aFleet) {
    if (vm.mOwned && vm.mRow.mState == VmState::Serving &&
        vm.mRow.mPool == aPool && !vm.mListing.mLeaving) {
      vms.push_back(&vm);
    }
  }
  return vms;
}

void
RemoveVm(std::vector<const FleetVm*>& aVms, const FleetVm* aVm)
{
  aVms.erase(std::find(aVms.begin(), aVms.end(), aVm));
}

} // namespace

std::vector<PoolAvailability>
AssessPools(const SiteConfig& aSite, std::span<const FleetVm> aFleet)
{
  std::vector<PoolAvailability> pools;
  for (const auto& [name, config] : aSite.mPools) {
    PoolAvailability availability;
    availability.mPool = name;
    availability.mNeeded = config.mVms;
    RackCounts byRack;
    for (const FleetVm& vm : aFleet) {
      if (!vm.mOwned) {
        continue;
      }
      if (MayDispatch(vm.mRow, name)) {
        ++availability.mServing;
        ++byRack[vm.mListing.mRack];
      }
      if (vm.mRow.mState == VmState::Leaving && vm.mRow.mNextPool == name) {
        ++availability.mArriving;
      }
    }
    availability.mWorstCaseLoss =
      WorstCaseLoss(RackSizes(byRack), config.mAvailability);
    pools.push_back(std::move(availability));
  }
  return pools;
}

std::vector<PoolAction>
PlanPools(const SiteConfig& aSite, std::span<const FleetVm> aFleet)
{
  std::vector<PoolAction> actions;
  NameMap<PlannedPool> pools = PlannedPools(aSite, aFleet);

  std::vector<const FleetVm*> free = UnownedVms(aFleet);
  while (!free.empty()) {
    std::string_view pool = PoolWithLargestShortfall(aSite, pools);
    if (pool.empty()) {
      pool = aSite.mSparePool;
    }
    auto it = pools.find(pool);
    if (it == pools.end()) {
      return actions;
    }
    const FleetVm* vm = BestCandidate(it->second, free);
    actions.emplace_back(AdoptVm{ vm->mListing.mVm, it->first });
    AddVmToPool(pools, pool, vm->mListing);
    RemoveVm(free, vm);
  }

  std::vector<const FleetVm*> spare = ServingVms(aFleet, aSite.mSparePool);
  for (std::size_t moves = 0; moves < kMaxMovesPerPlan && !spare.empty();
       ++moves) {
    std::string_view pool = PoolWithLargestShortfall(aSite, pools);
    auto source = pools.find(aSite.mSparePool);
    if (pool.empty() || source->second.mVms <= source->second.mConfig->mVms) {
      break;
    }
    auto it = pools.find(pool);
    const FleetVm* vm = BestCandidate(it->second, spare);
    actions.emplace_back(MoveVm{ vm->mListing.mVm, it->first });
    AddVmToPool(pools, pool, vm->mListing);
    --source->second.mVms;
    --source->second.mByRack[vm->mListing.mRack];
    RemoveVm(spare, vm);
  }
  return actions;
}

} // namespace buckthornshunt
