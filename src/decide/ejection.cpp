#include "decide/ejection.h"

#include <algorithm>

namespace buckthornshunt {

namespace {

// Weight that earlier evidence keeps after each new run, for a server and
// for the pool.
constexpr double kKeepServer = 0.9;
constexpr double kKeepPool = 0.99;

constexpr int kUnreachableInRow = 2;
constexpr double kLeastEvidence = 3;
constexpr double kExcessRate = 0.4;

// Most servers of a pool that may be ejected at once, in percent.
constexpr std::size_t kMostEjectedPercent = 34;

constexpr Duration kFirstEjection = std::chrono::seconds(2);
constexpr int kMostDoublings = 5;

double
FailureRate(double aGood, double aBad)
{
  double all = aGood + aBad;
  return all > 0 ? aBad / all : 0;
}

} // namespace

void
OutlierEjection::Add()
{
  mServers.emplace_back();
}

// The server's own runs are taken out of the pool's rate, or a small pool
// would hide its one bad server.
bool
OutlierEjection::IsOutlier(const Tally& aTally) const
{
  if (aTally.mUnreachableInRow >= kUnreachableInRow) {
    return true;
  }
  if (aTally.mGood + aTally.mBad < kLeastEvidence) {
    return false;
  }
  double others = FailureRate(std::max(0.0, mPoolGood - aTally.mGood),
                              std::max(0.0, mPoolBad - aTally.mBad));
  return FailureRate(aTally.mGood, aTally.mBad) > others + kExcessRate;
}

bool
OutlierEjection::MayEject() const
{
  std::size_t most =
    std::max<std::size_t>(1, mServers.size() * kMostEjectedPercent / 100);
  return mEjectedCount < most;
}

bool
OutlierEjection::Record(ServerIndex aServer,
                        RunEvidence aEvidence,
                        TimePoint aNow)
{
  Tally& tally = mServers[aServer];
  bool good = aEvidence == RunEvidence::Good;
  tally.mGood = tally.mGood * kKeepServer + (good ? 1 : 0);
  tally.mBad = tally.mBad * kKeepServer + (good ? 0 : 1);
  mPoolGood = mPoolGood * kKeepPool + (good ? 1 : 0);
  mPoolBad = mPoolBad * kKeepPool + (good ? 0 : 1);
  bool unreachable = aEvidence == RunEvidence::Unreachable;
  tally.mUnreachableInRow = unreachable ? tally.mUnreachableInRow + 1 : 0;
  if (good) {
    tally.mEjections = 0;
  }
  if (tally.mEjected || !IsOutlier(tally) || !MayEject()) {
    return false;
  }
  tally.mEjected = true;
  tally.mUntil =
    aNow + kFirstEjection * (1 << std::min(tally.mEjections, kMostDoublings));
  ++tally.mEjections;
  ++mEjectedCount;
  return true;
}

// A returning server keeps no evidence but the number of its ejections, so
// one more failure in a row doubles its next term.
std::vector<ServerIndex>
OutlierEjection::TakeReturned(TimePoint aNow)
{
  std::vector<ServerIndex> returned;
  for (ServerIndex i = 0; i < mServers.size(); ++i) {
    Tally& tally = mServers[i];
    if (tally.mEjected && tally.mUntil <= aNow) {
      tally.mEjected = false;
      tally.mGood = 0;
      tally.mBad = 0;
      tally.mUnreachableInRow = 0;
      --mEjectedCount;
      returned.push_back(i);
    }
  }
  return returned;
}

} // namespace buckthornshunt
