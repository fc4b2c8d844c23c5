#ifndef BUCKTHORNSHUNT_DECIDE_POOL_PLAN_H
#define BUCKTHORNSHUNT_DECIDE_POOL_PLAN_H

#include "buckthornshunt/config.h"
#include "buckthornshunt/types.h"

#include <span>
#include <string>
#include <variant>
#include <vector>

namespace buckthornshunt {

/// A VM of the data centre: its listing, and its row if a pool owns it.
struct FleetVm
{
  VmListing mListing;
  bool mOwned = false;
  VmOwnership mRow;
};

/// A pool's VMs measured against its availability budget.
struct PoolAvailability
{
  std::string mPool;
  /// VMs that the pool needs for its load.
  int mNeeded = 0;
  /// VMs that serve the pool now.
  int mServing = 0;
  /// VMs that the worst allowed loss would take.
  int mWorstCaseLoss = 0;
  /// VMs that are leaving another pool for this one.
  int mArriving = 0;

  /// Serving VMs after the worst allowed loss, less those needed; the budget is
  /// violated while this is negative.
  int Margin() const { return mServing - mWorstCaseLoss - mNeeded; }
};

/// Assigns a VM without an owner to a pool.
struct AdoptVm
{
  std::string mVm;
  std::string mPool;
};

/// Starts the move of a VM to another pool.
struct MoveVm
{
  std::string mVm;
  std::string mPool;
};

using PoolAction = std::variant<AdoptVm, MoveVm>;

/// Returns the availability of every pool of the site.
std::vector<PoolAvailability>
AssessPools(const SiteConfig& aSite, std::span<const FleetVm> aFleet);

/// Returns actions that bring the pools closer to their budgets: VMs without an
/// owner go to the pools with the largest shortfall, then VMs of the spare pool
/// go to pools that violate their budget. VMs in racks where the pool has few
/// are taken first, which minimises the pool's loss when a rack fails.
std::vector<PoolAction>
PlanPools(const SiteConfig& aSite, std::span<const FleetVm> aFleet);

} // namespace buckthornshunt

#endif
