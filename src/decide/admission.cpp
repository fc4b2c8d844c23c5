#include "decide/admission.h"

#include <algorithm>

namespace buckthornshunt {

namespace {

/// Longest time that a caller is sent away for: one turn of the demand.
constexpr Duration kMaxRetryAfter = std::chrono::seconds(5);
constexpr Duration kMinRetryAfter = std::chrono::seconds(1);
/// Part of the time left that a job may plan with; the rest covers estimates
/// that are too short.
constexpr double kUsableTimeFraction = 0.9;

/// VMs on their way are there after this time: half of the platform's 1.5 s for
/// a move, and some time to be found.
constexpr double kVmArrivalSeconds = 1.0;

Duration
FromSeconds(double aSeconds)
{
  constexpr double kMaxSeconds = 3600;
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(std::min(aSeconds, kMaxSeconds)));
}

} // namespace

// The pool drains its backlog with all its cores; the last job's chain can't
// be shortened by cores.
Duration
ExpectedTimeToFinish(const PoolLoad& aLoad, const JobDemand& aJob)
{
  if (aLoad.mCores <= 0) {
    return Duration::max();
  }
  double work = aLoad.mBacklogCoreSeconds + aJob.mCoreSeconds;
  double before = aLoad.mCores * kVmArrivalSeconds;
  double seconds = work / aLoad.mCores;
  if (work > before) {
    seconds = kVmArrivalSeconds +
              (work - before) / (aLoad.mCores + aLoad.mIncomingCores);
  }
  return std::max(FromSeconds(seconds), aJob.mCriticalPath);
}

bool
ShouldAdmit(const PoolLoad& aLoad, const JobDemand& aJob)
{
  Duration end = ExpectedTimeToFinish(aLoad, aJob);
  if (end == Duration::max()) {
    return false;
  }
  // A job that can start at once is never turned away.
  bool free = aLoad.mFreeCores >= aJob.mInitialCores;
  return free ||
         ToSeconds(end) <= kUsableTimeFraction * ToSeconds(aJob.mTimeLeft);
}

Duration
RetryAfter(const PoolLoad& aLoad, const JobDemand& aJob, double aJitter)
{
  if (aLoad.mCores <= 0) {
    return kMinRetryAfter + FromSeconds(aJitter);
  }
  double excess =
    (aLoad.mBacklogCoreSeconds + aJob.mCoreSeconds) / aLoad.mCores -
    ToSeconds(aJob.mTimeLeft);
  Duration wait = FromSeconds(std::max(excess, 0.0) * (1 + aJitter));
  return std::clamp(wait, kMinRetryAfter, kMaxRetryAfter);
}

} // namespace buckthornshunt
