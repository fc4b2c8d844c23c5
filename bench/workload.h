#ifndef BUCKTHORNSHUNT_BENCH_WORKLOAD_H
#define BUCKTHORNSHUNT_BENCH_WORKLOAD_H

#include "buckthornshunt/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace buckthornshunt::bench {

/// One request of a generated load.
struct Job
{
  TimePoint mArrives;
  Duration mRun{};
  std::string mOperation;
  /// Run time that the caller declared, up to ten times wrong.
  Duration mDeclared{};
  /// True if the operation is long by its nature; stragglers of short
  /// operations aren't.
  bool mLong = false;
};

/// Shape of a load on one pool.
struct LoadShape
{
  int mSlots = 80;
  /// Part of the slots that the mean load fills.
  double mMeanLoad = 0.4;
  /// Part of the load, by time, that is short work.
  double mShortPart = 0.3;
  /// Time from the start of a cycle to the peak of long work; the peak of
  /// short work is at the start.
  Duration mLongPeakAfter{};
  Duration mHorizon = std::chrono::seconds(240);
};

/// Jobs in the order of their arrival: peaks of five times the mean for some
/// seconds, a twentieth of it between, heavy-tailed run times.
std::vector<Job>
GenerateLoad(const LoadShape& aShape, std::uint64_t aSeed);

} // namespace buckthornshunt::bench

#endif
