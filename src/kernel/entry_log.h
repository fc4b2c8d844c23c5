#ifndef BUCKTHORNSHUNT_KERNEL_ENTRY_LOG_H
#define BUCKTHORNSHUNT_KERNEL_ENTRY_LOG_H

#include "kernel/metrics.h"

#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace buckthornshunt {

/// Counts the malformed entries of the lists that a service reads, and logs
/// each when it appears and when its reason changes.
class MalformedEntryLog
{
public:
  static constexpr std::string_view kCounter = "malformed_entries_total";

  /// aPart is the fixed prefix of the service's log lines.
  MalformedEntryLog(Metrics& aMetrics, std::string_view aPart);

  void Record(std::string_view aTable,
              std::string_view aKey,
              std::string_view aReason);

  /// The entry can be read or doesn't exist any more.
  void Clear(std::string_view aTable, std::string_view aKey);

  /// Number of lines logged.
  std::size_t Logged() const { return mLogged; }

private:
  Counter& mCounter;
  std::string mPart;
  /// Reason last logged, by table and key.
  std::map<std::pair<std::string, std::string>, std::string> mReasons;
  std::size_t mLogged = 0;
};

} // namespace buckthornshunt

#endif
