#ifndef BUCKTHORNSHUNT_DAEMON_SETTINGS_H
#define BUCKTHORNSHUNT_DAEMON_SETTINGS_H

#include "decide/cell_owner.h"
#include "kernel/log.h"
#include "services/relay_service.h"
#include "wire/json_fields.h"

#include <filesystem>
#include <optional>
#include <string>
#include <vector>

namespace buckthornshunt {

/// Additional settings of a daemon that runs workloads on the platform.
struct WorkloadSettings
{
  /// Listening endpoint for the load balancer's readiness probes.
  Endpoint mReadiness;
  /// Listening endpoint for metrics.
  Endpoint mMetrics;
  /// The platform's machine service; port 0 if there is none.
  Endpoint mMachines;
  /// Service that advises on the choice of workers; port 0 if there is none.
  Endpoint mAdvice;
  /// Maximum duration of an orderly stop.
  Duration mShutdownGracePeriod = std::chrono::seconds(6);
  /// How long the state of a finished job can be queried.
  Duration mStatusRetention = std::chrono::seconds(120);
  /// Upper limit on the leases granted to runs on workers.
  Duration mMaxRunLeaseDuration = std::chrono::seconds(10);
  /// Minimum time between orders of different fleet owners for one VM.
  Duration mDutyLease = std::chrono::seconds(3);
  /// Time after which no node accepts a revoked key, cut off or not; none if a
  /// node may accept it until it learns of the revocation.
  std::optional<Duration> mKeyRevocationDelay;
  /// Tasks whose images slow each other down run apart where there is room.
  bool mSeparateInterference = true;
  LinkLimits mLinks;
  /// Processor and network capacity of the VM.
  NodeCapacity mNodeCapacity;
};

/// Settings of a daemon, read at its start.
struct Settings
{
  std::string mNode;
  std::string mDataCentre;
  Endpoint mCallers;
  Endpoint mPeers;
  std::vector<Endpoint> mPeerSeeds;
  Endpoint mPlatform;
  LogFormat mLogFormat = LogFormat::Text;
  LogLevel mLogLevel = LogLevel::Info;
  /// Present only on entry VMs of the platform.
  std::optional<WorkloadSettings> mWorkload;
};

/// Reads and validates a settings file; fails with ConfigFailure.
leaf::result<Settings>
ReadSettings(const std::filesystem::path& aFile);

/// Validates settings that were read from aFile, the name used in errors;
/// fails with ConfigFailure.
leaf::result<Settings>
SettingsFromJson(std::string_view aFile, const Json& aJson);

} // namespace buckthornshunt

#endif
