#include "decide/config_merge.h"

#include "decide/availability.h"

#include <utility>

namespace buckthornshunt {

namespace {

void
AddFault(std::vector<ConfigFailure>& aFaults,
         ConfigFault aFault,
         std::string aPointer,
         std::string aDetail)
{
  aFaults.push_back({ aFault, {}, std::move(aPointer), std::move(aDetail) });
}

// Rejects an overlay that repeats the base's value, since it would hide later
// changes of the base from the site.
template<class Value>
void
Override(const std::optional<Value>& aFrom,
         Value& aTo,
         std::string aPointer,
         std::vector<ConfigFailure>& aFaults)
{
  if (!aFrom) {
    return;
  }
  if (*aFrom == aTo) {
    AddFault(aFaults,
             ConfigFault::NoDifference,
             std::move(aPointer),
             "the value equals the base's; remove it from the overlay");
    return;
  }
  aTo = *aFrom;
}

void
MergePool(const PoolOverlay& aOverlay,
          PoolConfig& aPool,
          std::string_view aPointer,
          std::vector<ConfigFailure>& aFaults)
{
  std::string pointer(aPointer);
  Override(aOverlay.mVms, aPool.mVms, pointer + "/vms", aFaults);
  Override(
    aOverlay.mMaxSpareVms, aPool.mMaxSpareVms, pointer + "/spare_vms", aFaults);
  Override(
    aOverlay.mQueueLimit, aPool.mQueueLimit, pointer + "/queue_limit", aFaults);
  Override(aOverlay.mCentsPerVmHour,
           aPool.mCentsPerVmHour,
           pointer + "/cents_per_vm_hour",
           aFaults);
  std::string budgetPointer = pointer + "/availability";
  Override(aOverlay.mAvailabilityVms,
           aPool.mAvailability.mVmLosses,
           budgetPointer + "/vms",
           aFaults);
  Override(aOverlay.mAvailabilityRacks,
           aPool.mAvailability.mRackLosses,
           budgetPointer + "/racks",
           aFaults);
}

} // namespace

SiteConfig
MergeSite(const BaseConfig& aBase, std::string_view aSite)
{
  SiteConfig site;
  site.mSite = aSite;
  site.mSparePool = aBase.mSparePool;
  site.mMaintenance = aBase.mMaintenance;
  site.mPools = aBase.mPools;
  site.mTeams = aBase.mTeams;
  auto it = aBase.mSites.find(aSite);
  if (it != aBase.mSites.end()) {
    site.mInventory = it->second;
  }
  return site;
}

SiteConfig
MergeSite(const BaseConfig& aBase,
          const SiteOverlay& aOverlay,
          std::vector<ConfigFailure>& aFaults)
{
  SiteConfig site = MergeSite(aBase, aOverlay.mSite);
  if (!aBase.mSites.contains(aOverlay.mSite)) {
    AddFault(aFaults,
             ConfigFault::UnknownName,
             "/site",
             "the base doesn't define site " + aOverlay.mSite);
  }
  for (const auto& [name, overlay] : aOverlay.mPools) {
    std::string pointer = "/pools/" + name;
    auto it = site.mPools.find(name);
    if (it == site.mPools.end()) {
      AddFault(aFaults,
               ConfigFault::UnknownName,
               pointer,
               "the base doesn't define pool " + name);
      continue;
    }
    MergePool(overlay, it->second, pointer, aFaults);
  }
  for (const auto& [name, slots] : aOverlay.mTeamSlots) {
    std::string pointer = "/teams/" + name;
    auto it = site.mTeams.find(name);
    if (it == site.mTeams.end()) {
      AddFault(aFaults,
               ConfigFault::UnknownName,
               pointer,
               "the base doesn't define team " + name);
      continue;
    }
    Override(std::optional<int>(slots),
             it->second.mSlots,
             pointer + "/slots",
             aFaults);
  }
  Override(aOverlay.mMaxConcurrentRacks,
           site.mMaintenance.mMaxConcurrentRacks,
           "/maintenance/racks_at_once",
           aFaults);
  return site;
}

void
CheckBase(const BaseConfig& aBase, std::vector<ConfigFailure>& aFaults)
{
  if (!aBase.mPools.contains(aBase.mSparePool)) {
    AddFault(aFaults,
             ConfigFault::UnknownName,
             "/spare_pool",
             "the base doesn't define pool " + aBase.mSparePool);
  }
}

// An even spread over the racks minimises the loss of a rack, so this is the
// minimum number of VMs that meets the budgets.
void
CheckFeasible(const SiteConfig& aSite, std::vector<ConfigFailure>& aFaults)
{
  int vmsPerRack = aSite.mInventory.mVmsPerRack;
  int racks =
    vmsPerRack > 0 ? (aSite.mInventory.mVms + vmsPerRack - 1) / vmsPerRack : 0;
  int total = 0;
  for (const auto& [name, pool] : aSite.mPools) {
    std::string pointer = "/pools/" + name;
    if (pool.mAvailability.mRackLosses > 0 &&
        racks <= pool.mAvailability.mRackLosses) {
      AddFault(aFaults,
               ConfigFault::Infeasible,
               pointer + "/availability/racks",
               "the site has only " + std::to_string(racks) + " racks");
      continue;
    }
    int spare = MinSpareVms(pool.mVms, pool.mAvailability, racks);
    if (spare > pool.mMaxSpareVms) {
      AddFault(aFaults,
               ConfigFault::Infeasible,
               pointer + "/spare_vms",
               "the availability budget requires " + std::to_string(spare) +
                 " spare VMs");
    }
    total += pool.mVms + spare;
  }
  if (total > aSite.mInventory.mVms) {
    AddFault(aFaults,
             ConfigFault::Infeasible,
             "/pools",
             "the pools and their budgets require " + std::to_string(total) +
               " VMs; site " + aSite.mSite + " has " +
               std::to_string(aSite.mInventory.mVms));
  }
}

} // namespace buckthornshunt
