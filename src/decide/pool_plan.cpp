#include "decide/pool_plan.h"

#include "decide/buffer.h"
#include "decide/ownership.h"

#include <algorithm>
#include <map>
#include <optional>

namespace buckthornshunt {

namespace {

// Moves that one plan may start; the next plan sees their effect.
constexpr std::size_t kMostMoves = 4;

using RackCounts = NameMap<int>;

/// Pool as the plan leaves it: VMs by rack, with those that arrive.
struct PlannedPool
{
  const PoolConfig* mConfig = nullptr;
  RackCounts mByRack;
  int mVms = 0;
  /// VMs beyond the needed ones that the spare budget still allows.
  int Room() const { return mConfig->mVms + mConfig->mMaxSpareVms - mVms; }
};

std::vector<int>
Counts(const RackCounts& aByRack)
{
  std::vector<int> counts;
  for (const auto& [rack, n] : aByRack) {
    counts.push_back(n);
  }
  return counts;
}

// VMs by which the pool misses its budget, as planned.
int
Shortfall(const PlannedPool& aPool)
{
  int lost = WorstLoss(Counts(aPool.mByRack), aPool.mConfig->mAvailability);
  return std::max(0, aPool.mConfig->mVms - (aPool.mVms - lost));
}

// Pool that a row's VM will count to.
std::string_view
FuturePool(const VmOwnership& aRow)
{
  bool moves = aRow.mState == VmState::Leaving && !aRow.mNextPool.empty();
  return moves ? aRow.mNextPool : aRow.mPool;
}

// A VM in maintenance comes back, so its pool isn't refilled for it.
bool
CountsAsPresent(const VmOwnership& aRow)
{
  return aRow.mState == VmState::Serving || aRow.mState == VmState::Leaving ||
         aRow.mState == VmState::Maintenance;
}

void
Place(NameMap<PlannedPool>& aPools,
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
    if (vm.mOwned && CountsAsPresent(vm.mRow)) {
      Place(pools, FuturePool(vm.mRow), vm.mListing);
    }
  }
  return pools;
}

// Pool that misses most VMs; the spare pool is never the neediest, since it
// takes what remains.
std::string_view
Neediest(const SiteConfig& aSite, const NameMap<PlannedPool>& aPools)
{
  std::string_view neediest;
  int most = 0;
  for (const auto& [name, pool] : aPools) {
    int missing =
      name == aSite.mSparePool ? 0 : std::min(Shortfall(pool), pool.Room());
    if (missing > most) {
      most = missing;
      neediest = name;
    }
  }
  return neediest;
}

int
VmsInRack(const PlannedPool& aPool, std::string_view aRack)
{
  auto it = aPool.mByRack.find(aRack);
  return it == aPool.mByRack.end() ? 0 : it->second;
}

// Candidate in the rack where the pool has fewest VMs; first by name among
// equals, so that two controllers plan alike.
const FleetVm*
BestFor(const PlannedPool& aPool, std::span<const FleetVm* const> aCandidates)
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
WithoutOwner(std::span<const FleetVm> aFleet)
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
ServingIn(std::span<const FleetVm> aFleet, std::string_view aPool)
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
Drop(std::vector<const FleetVm*>& aVms, const FleetVm* aVm)
{
  aVms.erase(std::find(aVms.begin(), aVms.end(), aVm));
}

} // namespace

std::vector<PoolStanding>
AssessPools(const SiteConfig& aSite, std::span<const FleetVm> aFleet)
{
  std::vector<PoolStanding> standings;
  for (const auto& [name, config] : aSite.mPools) {
    PoolStanding standing;
    standing.mPool = name;
    standing.mNeeded = config.mVms;
    RackCounts byRack;
    for (const FleetVm& vm : aFleet) {
      if (!vm.mOwned) {
        continue;
      }
      if (MayDispatch(vm.mRow, name)) {
        ++standing.mServing;
        ++byRack[vm.mListing.mRack];
      }
      if (vm.mRow.mState == VmState::Leaving && vm.mRow.mNextPool == name) {
        ++standing.mArriving;
      }
    }
    standing.mWorstLoss = WorstLoss(Counts(byRack), config.mAvailability);
    standings.push_back(std::move(standing));
  }
  return standings;
}

std::vector<PoolAction>
PlanPools(const SiteConfig& aSite, std::span<const FleetVm> aFleet)
{
  std::vector<PoolAction> actions;
  NameMap<PlannedPool> pools = PlannedPools(aSite, aFleet);

  std::vector<const FleetVm*> free = WithoutOwner(aFleet);
  while (!free.empty()) {
    std::string_view pool = Neediest(aSite, pools);
    if (pool.empty()) {
      pool = aSite.mSparePool;
    }
    auto it = pools.find(pool);
    if (it == pools.end()) {
      return actions;
    }
    const FleetVm* vm = BestFor(it->second, free);
    actions.emplace_back(AdoptVm{ vm->mListing.mVm, it->first });
    Place(pools, pool, vm->mListing);
    Drop(free, vm);
  }

  std::vector<const FleetVm*> spare = ServingIn(aFleet, aSite.mSparePool);
  for (std::size_t moves = 0; moves < kMostMoves && !spare.empty(); ++moves) {
    std::string_view pool = Neediest(aSite, pools);
    auto source = pools.find(aSite.mSparePool);
    if (pool.empty() || source->second.mVms <= source->second.mConfig->mVms) {
      break;
    }
    auto it = pools.find(pool);
    const FleetVm* vm = BestFor(it->second, spare);
    actions.emplace_back(MoveVm{ vm->mListing.mVm, it->first });
    Place(pools, pool, vm->mListing);
    --source->second.mVms;
    --source->second.mByRack[vm->mListing.mRack];
    Drop(spare, vm);
  }
  return actions;
}

} // namespace buckthornshunt
