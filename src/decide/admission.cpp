#include "decide/admission.h"

#include <algorithm>

namespace buckthornshunt {

namespace {

/// Longest time that a caller is sent away for: one turn of the demand.
constexpr Duration kLongestRetry = std::chrono::seconds(5);
constexpr Duration kShortestRetry = std::chrono::seconds(1);
/// Part of the time left that a job may plan with; the rest covers estimates
/// that are too short.
constexpr double kUsableTime = 0.9;

/// VMs on their way are there after this time: half of the platform's 1.5 s for
/// a move, and some time to be found.
constexpr double kArrivalSeconds = 1.0;

Duration
FromSeconds(double aSeconds)
{
  constexpr double kMostSeconds = 3600;
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(std::min(aSeconds, kMostSeconds)));
}

} // namespace

// The pool drains its backlog with all its cores; the last job's chain can't
// be shortened by cores.
Duration
ExpectedEnd(const PoolLoad& aLoad, const JobDemand& aJob)
{
  if (aLoad.mCores <= 0) {
    return Duration::max();
  }
  double work = aLoad.mBacklog + aJob.mCoreSeconds;
  double before = aLoad.mCores * kArrivalSeconds;
  double seconds = work / aLoad.mCores;
  if (work > before) {
    seconds =
      kArrivalSeconds + (work - before) / (aLoad.mCores + aLoad.mIncomingCores);
  }
  return std::max(FromSeconds(seconds), aJob.mChain);
}

bool
ShouldAdmit(const PoolLoad& aLoad, const JobDemand& aJob)
{
  Duration end = ExpectedEnd(aLoad, aJob);
  if (end == Duration::max()) {
    return false;
  }
  // A job that can start at once is never turned away.
  bool free = aLoad.mFreeCores >= aJob.mFirstCores;
  return free || ToSeconds(end) <= kUsableTime * ToSeconds(aJob.mTimeLeft);
}

Duration
RetryAfter(const PoolLoad& aLoad, const JobDemand& aJob, double aJitter)
{
  if (aLoad.mCores <= 0) {
    return kShortestRetry + FromSeconds(aJitter);
  }
  double excess = (aLoad.mBacklog + aJob.mCoreSeconds) / aLoad.mCores -
                  ToSeconds(aJob.mTimeLeft);
  Duration wait = FromSeconds(std::max(excess, 0.0) * (1 + aJitter));
  return std::clamp(wait, kShortestRetry, kLongestRetry);
}

} // namespace buckthornshunt
