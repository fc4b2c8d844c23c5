#ifndef BUCKTHORNSHUNT_DECIDE_EJECTION_H
#define BUCKTHORNSHUNT_DECIDE_EJECTION_H

#include "buckthornshunt/time.h"
#include "decide/placement.h"

#include <vector>

namespace buckthornshunt {

/// How a run at a server ended, as evidence about the server.
enum class RunResult : std::uint8_t
{
  /// The work completed.
  Succeeded,
  /// The work reported an error; the server or the work may be at fault.
  WorkFailed,
  /// No connection could be opened.
  Unreachable
};

/// Finds servers of one pool that fail much more often than the others and
/// keeps work from them for a time. Work that fails everywhere raises the
/// rate of the whole pool and so ejects nobody.
class OutlierEjection
{
public:
  void Add();

  /// Adds evidence; returns true if the server is ejected by it.
  bool Record(ServerIndex aServer, RunResult aResult, TimePoint aNow);

  bool IsEjected(ServerIndex aServer) const
  {
    return mServers[aServer].mEjected;
  }

  /// Servers whose time is over at aNow; they are tried again.
  std::vector<ServerIndex> TakeExpired(TimePoint aNow);

private:
  struct ServerStats
  {
    double mSuccesses = 0;
    double mFailures = 0;
    int mConsecutiveUnreachable = 0;
    int mEjections = 0;
    bool mEjected = false;
    TimePoint mEjectionExpiry;
  };

  bool IsOutlier(const ServerStats& aStats) const;
  bool MayEject() const;

  std::vector<ServerStats> mServers;
  std::size_t mEjectedCount = 0;
  double mPoolSuccesses = 0;
  double mPoolFailures = 0;
};

} // namespace buckthornshunt

#endif
