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

/// Settings of an operation, a kind of work that a pool offers.
struct OperationConfig
{
  Idempotency mIdempotency = Idempotency::NonIdempotent;
  /// Time limit of requests that don't state one.
  Duration mDefaultTimeout = std::chrono::seconds(10);
  /// Scheduled before all work that isn't urgent.
  bool mUrgent = false;

  friend bool operator==(const OperationConfig&,
                         const OperationConfig&) = default;
};

/// Simultaneous losses of VMs and racks that a pool must survive with
/// PoolConfig::mVms VMs in service.
struct AvailabilityBudget
{
  int mVmLosses = 0;
  int mRackLosses = 0;

  friend bool operator==(const AvailabilityBudget&,
                         const AvailabilityBudget&) = default;
};

/// Settings of a pool at one site.
struct PoolConfig
{
  /// VMs that carry the pool's load, without spares.
  int mVms = 0;
  /// Maximum number of VMs held in reserve for the availability budget.
  int mMaxSpareVms = 0;
  int mSlotsPerVm = 8;
  int mConnectionsPerVm = 64;
  /// Maximum number of requests queued at one entry VM.
  int mQueueLimit = 400;
  /// Work with a longer run time is classified as long.
  Duration mLongTaskThreshold = std::chrono::seconds(1);
  /// Price of one VM, in cents per hour.
  double mCentsPerVmHour = 0;
  AvailabilityBudget mAvailability;
  std::map<std::string, OperationConfig, std::less<>> mOperations;

  friend bool operator==(const PoolConfig&, const PoolConfig&) = default;
};

/// Quota of a team: maximum number of slots that its requests hold at one site.
struct TeamConfig
{
  int mSlots = 0;

  friend bool operator==(const TeamConfig&, const TeamConfig&) = default;
};

struct MaintenanceConfig
{
  /// Each VM is maintained once per period.
  int mPeriodDays = 42;
  /// Maximum number of racks that a wave maintains at the same time.
  int mMaxConcurrentRacks = 1;

  friend bool operator==(const MaintenanceConfig&,
                         const MaintenanceConfig&) = default;
};

/// Worker VMs available at a site.
struct InventoryConfig
{
  int mVms = 0;
  int mVmsPerRack = 4;

  friend bool operator==(const InventoryConfig&,
                         const InventoryConfig&) = default;
};

template<class Value>
using NameMap = std::map<std::string, Value, std::less<>>;

/// Base configuration, common to all sites.
struct BaseConfig
{
  std::string mSparePool;
  MaintenanceConfig mMaintenance;
  NameMap<InventoryConfig> mSites;
  NameMap<PoolConfig> mPools;
  NameMap<TeamConfig> mTeams;
};

/// Overrides of a pool's settings at one site; unset values keep the base's.
struct PoolOverlay
{
  std::optional<int> mVms;
  std::optional<int> mMaxSpareVms;
  std::optional<int> mQueueLimit;
  std::optional<double> mCentsPerVmHour;
  std::optional<int> mAvailabilityVms;
  std::optional<int> mAvailabilityRacks;
};

/// Overrides of the base configuration for one site.
struct SiteOverlay
{
  std::string mSite;
  NameMap<PoolOverlay> mPools;
  NameMap<int> mTeamSlots;
  std::optional<int> mMaxConcurrentRacks;
};

/// Effective configuration of one site: the base merged with its overlay.
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
