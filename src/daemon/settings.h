#ifndef BUCKTHORNSHUNT_DAEMON_SETTINGS_H
#define BUCKTHORNSHUNT_DAEMON_SETTINGS_H

#include "decide/cell_owner.h"
#include "kernel/log.h"
#include "wire/json_fields.h"

#include <filesystem>
#include <optional>
#include <string>
#include <vector>

namespace buckthornshunt {

/// What a daemon needs besides to run workloads on the platform.
struct WorkloadSettings
{
  /// Where the balancer asks whether the node is ready.
  Endpoint mReadiness;
  Endpoint mMetrics;
  /// The platform's machine service.
  Endpoint mMachines;
  /// Service that advises on workers; port 0 if there is none.
  Endpoint mAdvice;
  Duration mShutdownGracePeriod = std::chrono::seconds(6);
  Duration mStatusRetention = std::chrono::seconds(120);
  Duration mMaxRunLeaseDuration = std::chrono::seconds(10);
  Duration mDutyLease = std::chrono::seconds(3);
  /// What the VM can carry.
  NodePower mNodeCapacity;
};

/// A daemon's own settings.
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
  /// Set on entry VMs of the platform.
  std::optional<WorkloadSettings> mWorkload;
};

/// Reads and checks a settings file; fails with ConfigFailure.
leaf::result<Settings>
ReadSettings(const std::filesystem::path& aFile);

/// Checks settings that were read from aFile.
leaf::result<Settings>
SettingsFromJson(std::string_view aFile, const Json& aJson);

} // namespace buckthornshunt

#endif
