#ifndef BUCKTHORNSHUNT_SERVICES_CONFIG_SERVICE_H
#define BUCKTHORNSHUNT_SERVICES_CONFIG_SERVICE_H

#include "buckthornshunt/config.h"
#include "kernel/kernel.h"
#include "ports/platform_calls.h"
#include "wire/config_codec.h"

#include <optional>
#include <string>
#include <string_view>

namespace buckthornshunt {

class TableService;

/// The configuration in force at this node, and the way to change it.
class ConfigService
{
public:
  static constexpr std::string_view kName = "config";

  ConfigService(Kernel& aKernel, std::string_view aSite);

  leaf::result<void> Start();
  Task<void> Stop();

  /// Configuration of this node's site; none before the first was read.
  const std::optional<SiteConfig>& Current() const { return mCurrent; }

  /// Time since when the version is in force here.
  WallTime InForceSince() const { return mInForceSince; }

  /// Wakes when Current() has changed.
  Event& Changed() { return mChanged; }

  /// Accepts a checked configuration if aParent is the newest version; fails
  /// with CommitConflict, naming the version that came first, if it isn't.
  Task<Expected<ConfigVersion>> Accept(ConfigSource aSource,
                                       ConfigVersion aParent,
                                       TimePoint aDeadline);

  /// Rows of the newest configuration known here, as files.
  ConfigSource Source() const;

private:
  Task<void> WatchConfig();
  void Load();
  NameMap<std::string> Sections() const;
  ConfigVersion HeadVersion() const;
  CommitRows PlanCommit(const ConfigSource& aSource,
                        ConfigVersion aVersion) const;

  Kernel& mKernel;
  std::string mSite;
  TableService* mTable = nullptr;
  std::optional<SiteConfig> mCurrent;
  WallTime mInForceSince;
  Event mChanged;
  TaskGroup mTasks;
};

} // namespace buckthornshunt

#endif
