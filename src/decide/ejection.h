#ifndef BUCKTHORNSHUNT_DECIDE_EJECTION_H
#define BUCKTHORNSHUNT_DECIDE_EJECTION_H

#include "buckthornshunt/time.h"
#include "decide/placement.h"

#include <vector>

namespace buckthornshunt {

/// How a run at a server ended, as evidence of the server's health.
enum class RunResult : std::uint8_t
{
  /// The work completed.
  Succeeded,
  /// The work reported an error; the server or the work may be at fault.
  WorkFailed,
  /// No connection could be opened.
  Unreachable
};

/// Detects servers of one pool that fail much more often than the others and
/// ejects them for a limited time. Work that fails on all servers raises the
/// failure rate of the whole pool and so ejects none.
class OutlierEjection
{
public:
  void Add();

  /// Records the result of a run; returns true if it ejects the server.
  bool Record(ServerIndex aServer, RunResult aResult, TimePoint aNow);

  bool IsEjected(ServerIndex aServer) const
  {
    return mServers[aServer].mEjected;
  }

  /// Returns and readmits the servers whose ejection has expired at aNow.
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
