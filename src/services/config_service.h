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

/// The configuration in force at this node, and its updates.
class ConfigService
{
public:
  static constexpr std::string_view kName = "config";

  ConfigService(Kernel& aKernel, std::string_view aSite);

  leaf::result<void> Start();
  Task<void> Stop();

  /// Configuration of this node's site; no value until the first has been read.
  const std::optional<SiteConfig>& Current() const { return mCurrent; }

  /// Time at which the version came into force at this node.
  WallTime InForceSince() const { return mInForceSince; }

  /// Notified when Current() has changed.
  Event& Changed() { return mChanged; }

  /// Checks and commits a configuration if aParent is the newest version. Fails
  /// with CommitConflict, naming the newest version, if it isn't, and with
  /// StateConflict if nothing differs.
  Task<Expected<ConfigVersion>> Accept(ConfigSource aSource,
                                       ConfigVersion aParent,
                                       TimePoint aDeadline);

  /// The newest configuration known to this node, as files.
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
