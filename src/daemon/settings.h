#ifndef BUCKTHORNSHUNT_DAEMON_SETTINGS_H
#define BUCKTHORNSHUNT_DAEMON_SETTINGS_H

#include "kernel/log.h"
#include "wire/json_fields.h"

#include <filesystem>
#include <string>
#include <vector>

namespace buckthornshunt {

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
};

/// Reads and checks a settings file; fails with ConfigFailure.
leaf::result<Settings>
ReadSettings(const std::filesystem::path& aFile);

/// Checks settings that were read from aFile.
leaf::result<Settings>
SettingsFromJson(std::string_view aFile, const Json& aJson);

} // namespace buckthornshunt

#endif
