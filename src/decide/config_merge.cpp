#include "decide/config_merge.h"

#include "decide/buffer.h"

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

// An overlay that repeats the base's value would hide later changes of the
// base from the site, so it is refused.
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
             "equals the base's value");
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
  std::string at(aPointer);
  Override(aOverlay.mVms, aPool.mVms, at + "/vms", aFaults);
  Override(
    aOverlay.mMaxSpareVms, aPool.mMaxSpareVms, at + "/spare_vms", aFaults);
  Override(
    aOverlay.mQueueLimit, aPool.mQueueLimit, at + "/queue_limit", aFaults);
  Override(aOverlay.mCentsPerVmHour,
           aPool.mCentsPerVmHour,
           at + "/cents_per_vm_hour",
           aFaults);
  std::string budget = at + "/availability";
  Override(aOverlay.mAvailabilityVms,
           aPool.mAvailability.mVmLosses,
           budget + "/vms",
           aFaults);
  Override(aOverlay.mAvailabilityRacks,
           aPool.mAvailability.mRackLosses,
           budget + "/racks",
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
             "the base has no site " + aOverlay.mSite);
  }
  for (const auto& [name, overlay] : aOverlay.mPools) {
    std::string pointer = "/pools/" + name;
    auto it = site.mPools.find(name);
    if (it == site.mPools.end()) {
      AddFault(aFaults,
               ConfigFault::UnknownName,
               pointer,
               "the base has no pool " + name);
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
               "the base has no team " + name);
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
             "no pool is named " + aBase.mSparePool);
  }
}

// A pool that is spread evenly over the racks loses least with a rack, so
// this is the smallest number of VMs with which the budgets can be met.
void
CheckFeasible(const SiteConfig& aSite, std::vector<ConfigFailure>& aFaults)
{
  int perRack = aSite.mInventory.mVmsPerRack;
  int racks = perRack > 0 ? (aSite.mInventory.mVms + perRack - 1) / perRack : 0;
  int total = 0;
  for (const auto& [name, pool] : aSite.mPools) {
    std::string pointer = "/pools/" + name;
    if (pool.mAvailability.mRackLosses > 0 &&
        racks <= pool.mAvailability.mRackLosses) {
      AddFault(aFaults,
               ConfigFault::Infeasible,
               pointer + "/availability/racks",
               "the site has " + std::to_string(racks) + " racks");
      continue;
    }
    int spare = SmallestBuffer(pool.mVms, pool.mAvailability, racks);
    if (spare > pool.mMaxSpareVms) {
      AddFault(aFaults,
               ConfigFault::Infeasible,
               pointer + "/spare_vms",
               "the availability budget needs " + std::to_string(spare) +
                 " spare VMs");
    }
    total += pool.mVms + spare;
  }
  if (total > aSite.mInventory.mVms) {
    AddFault(aFaults,
             ConfigFault::Infeasible,
             "/pools",
             "pools and budgets need " + std::to_string(total) +
               " VMs, the site " + aSite.mSite + " has " +
               std::to_string(aSite.mInventory.mVms));
  }
}

} // namespace buckthornshunt
