#include "decide/ejection.h"

#include <algorithm>

namespace buckthornshunt {

namespace {

// Factors by which earlier results decay with each new run, for a server and
// for the pool.
constexpr double kServerDecay = 0.9;
constexpr double kPoolDecay = 0.99;

constexpr int kMaxConsecutiveUnreachable = 2;
constexpr double kMinRunWeight = 3;
constexpr double kMaxExcessFailureRate = 0.4;

// Maximum share of a pool's servers that may be ejected at once.
constexpr std::size_t kMaxEjectedPercent = 34;

constexpr Duration kBaseEjectionDuration = std::chrono::seconds(2);
constexpr int kMaxDoublings = 5;

double
FailureRate(double aSuccesses, double aFailures)
{
  double total = aSuccesses + aFailures;
  return total > 0 ? aFailures / total : 0;
}

} // namespace

void
OutlierEjection::Add()
{
  mServers.emplace_back();
}

// Excludes the server's own runs from the pool's rate; they would hide the one
// bad server of a small pool.
bool
OutlierEjection::IsOutlier(const ServerStats& aStats) const
{
  if (aStats.mConsecutiveUnreachable >= kMaxConsecutiveUnreachable) {
    return true;
  }
  if (aStats.mSuccesses + aStats.mFailures < kMinRunWeight) {
    return false;
  }
  double others = FailureRate(std::max(0.0, mPoolSuccesses - aStats.mSuccesses),
                              std::max(0.0, mPoolFailures - aStats.mFailures));
  return FailureRate(aStats.mSuccesses, aStats.mFailures) >
         others + kMaxExcessFailureRate;
}

bool
OutlierEjection::MayEject() const
{
  std::size_t limit =
    std::max<std::size_t>(1, mServers.size() * kMaxEjectedPercent / 100);
  return mEjectedCount < limit;
}

bool
OutlierEjection::Record(ServerIndex aServer, RunResult aResult, TimePoint aNow)
{
  ServerStats& stats = mServers[aServer];
  bool succeeded = aResult == RunResult::Succeeded;
  stats.mSuccesses = stats.mSuccesses * kServerDecay + (succeeded ? 1 : 0);
  stats.mFailures = stats.mFailures * kServerDecay + (succeeded ? 0 : 1);
  mPoolSuccesses = mPoolSuccesses * kPoolDecay + (succeeded ? 1 : 0);
  mPoolFailures = mPoolFailures * kPoolDecay + (succeeded ? 0 : 1);
  bool unreachable = aResult == RunResult::Unreachable;
  stats.mConsecutiveUnreachable =
    unreachable ? stats.mConsecutiveUnreachable + 1 : 0;
  if (succeeded) {
    stats.mEjections = 0;
  }
  if (stats.mEjected || !IsOutlier(stats) || !MayEject()) {
    return false;
  }
  stats.mEjected = true;
  stats.mEjectionExpiry =
    aNow +
    kBaseEjectionDuration * (1 << std::min(stats.mEjections, kMaxDoublings));
  ++stats.mEjections;
  ++mEjectedCount;
  return true;
}

// A readmitted server keeps only its ejection count, so each ejection without
// a success in between lasts twice as long as the last one.
std::vector<ServerIndex>
OutlierEjection::TakeExpired(TimePoint aNow)
{
  std::vector<ServerIndex> returned;
  for (ServerIndex i = 0; i < mServers.size(); ++i) {
    ServerStats& stats = mServers[i];
    if (stats.mEjected && stats.mEjectionExpiry <= aNow) {
      stats.mEjected = false;
      stats.mSuccesses = 0;
      stats.mFailures = 0;
      stats.mConsecutiveUnreachable = 0;
      --mEjectedCount;
      returned.push_back(i);
    }
  }
  return returned;
}

} // namespace buckthornshunt
