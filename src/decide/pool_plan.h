#ifndef BUCKTHORNSHUNT_DECIDE_POOL_PLAN_H
#define BUCKTHORNSHUNT_DECIDE_POOL_PLAN_H

#include "buckthornshunt/config.h"
#include "buckthornshunt/types.h"

#include <span>
#include <string>
#include <variant>
#include <vector>

namespace buckthornshunt {

/// A VM of the data centre: its place, and its row if a pool owns it.
struct FleetVm
{
  VmListing mListing;
  bool mOwned = false;
  VmOwnership mRow;
};

/// How a pool stands against its availability budget.
struct PoolAvailability
{
  std::string mPool;
  /// VMs that the pool needs to carry its load.
  int mNeeded = 0;
  /// VMs that serve the pool now.
  int mServing = 0;
  /// VMs that the worst allowed loss would take.
  int mWorstCaseLoss = 0;
  /// VMs on their way from another pool.
  int mArriving = 0;

  /// VMs in service after the worst allowed loss, less those needed; the
  /// budget is in breach while this is negative.
  int Margin() const { return mServing - mWorstCaseLoss - mNeeded; }
};

/// Take a VM into a pool that has no owner yet.
struct AdoptVm
{
  std::string mVm;
  std::string mPool;
};

/// Start to move a VM to another pool.
struct MoveVm
{
  std::string mVm;
  std::string mPool;
};

using PoolAction = std::variant<AdoptVm, MoveVm>;

/// Standing of every pool of the site.
std::vector<PoolAvailability>
AssessPools(const SiteConfig& aSite, std::span<const FleetVm> aFleet);

/// Actions that bring the pools closer to their budgets: VMs without an owner
/// go where they are needed most, then the spare pool gives up VMs to pools in
/// breach. A VM in a rack where the pool has few is taken first, since the
/// loss of a rack then costs the pool least.
std::vector<PoolAction>
PlanPools(const SiteConfig& aSite, std::span<const FleetVm> aFleet);

} // namespace buckthornshunt

#endif
