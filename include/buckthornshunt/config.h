#ifndef BUCKTHORNSHUNT_CONFIG_H
#define BUCKTHORNSHUNT_CONFIG_H

#include "buckthornshunt/types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornshunt {

/// A kind of work that callers ask a pool for.
struct OperationConfig
{
  Idempotency mIdempotency = Idempotency::NonIdempotent;
  /// Allowed time if the caller states none.
  Duration mDefaultTimeout = std::chrono::seconds(10);
  /// Urgent work is placed before any other.
  bool mUrgent = false;

  friend bool operator==(const OperationConfig&,
                         const OperationConfig&) = default;
};

/// Simultaneous losses that a pool must survive with mVms still in service.
struct AvailabilityBudget
{
  int mVmLosses = 0;
  int mRackLosses = 0;

  friend bool operator==(const AvailabilityBudget&,
                         const AvailabilityBudget&) = default;
};

/// A pool at one site.
struct PoolConfig
{
  /// VMs that carry the pool's load.
  int mVms = 0;
  /// Most VMs that may be held back for the availability budget.
  int mMaxSpareVms = 0;
  int mSlotsPerVm = 8;
  int mConnectionsPerVm = 64;
  /// Most requests that wait at one entry VM.
  int mQueueLimit = 400;
  /// Work that runs longer counts as long.
  Duration mLongTaskThreshold = std::chrono::seconds(1);
  /// Price of a VM, in cents an hour.
  double mCentsPerVmHour = 0;
  AvailabilityBudget mAvailability;
  std::map<std::string, OperationConfig, std::less<>> mOperations;

  friend bool operator==(const PoolConfig&, const PoolConfig&) = default;
};

/// Most slots that a team's requests may hold at one site.
struct TeamConfig
{
  int mSlots = 0;

  friend bool operator==(const TeamConfig&, const TeamConfig&) = default;
};

struct MaintenanceConfig
{
  /// Every VM is maintained once in this time.
  int mPeriodDays = 42;
  /// Racks that a wave takes at the same time.
  int mMaxConcurrentRacks = 1;

  friend bool operator==(const MaintenanceConfig&,
                         const MaintenanceConfig&) = default;
};

/// Worker VMs that a site has.
struct InventoryConfig
{
  int mVms = 0;
  int mVmsPerRack = 4;

  friend bool operator==(const InventoryConfig&,
                         const InventoryConfig&) = default;
};

template<class Value>
using NameMap = std::map<std::string, Value, std::less<>>;

/// Common intent for every site.
struct BaseConfig
{
  std::string mSparePool;
  MaintenanceConfig mMaintenance;
  NameMap<InventoryConfig> mSites;
  NameMap<PoolConfig> mPools;
  NameMap<TeamConfig> mTeams;
};

/// What a site states differently about a pool.
struct PoolOverlay
{
  std::optional<int> mVms;
  std::optional<int> mMaxSpareVms;
  std::optional<int> mQueueLimit;
  std::optional<double> mCentsPerVmHour;
  std::optional<int> mAvailabilityVms;
  std::optional<int> mAvailabilityRacks;
};

/// What one site states differently from the base.
struct SiteOverlay
{
  std::string mSite;
  NameMap<PoolOverlay> mPools;
  NameMap<int> mTeamSlots;
  std::optional<int> mMaxConcurrentRacks;
};

/// Base and overlay of one site, merged.
struct SiteConfig
{
  ConfigVersion mVersion{};
  std::string mSite;
  std::string mSparePool;
  MaintenanceConfig mMaintenance;
  InventoryConfig mInventory;
  NameMap<PoolConfig> mPools;
  NameMap<TeamConfig> mTeams;
};

} // namespace buckthornshunt

#endif
