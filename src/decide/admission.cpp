#include "decide/admission.h"

#include <algorithm>

namespace buckthornshunt {

namespace {

/// Demand bursts last about this long.
constexpr Duration kMaxRetryAfter = std::chrono::seconds(5);
constexpr Duration kMinRetryAfter = std::chrono::seconds(1);
/// Usable fraction of a job's remaining time; the rest covers estimates that
/// are too short.
constexpr double kUsableTimeFraction = 0.9;

/// Expected time until an incoming VM is usable: half of the platform's 1.5 s
/// for a move, and the time to discover it.
constexpr double kVmArrivalSeconds = 1.0;

Duration
FromSeconds(double aSeconds)
{
  constexpr double kMaxSeconds = 3600;
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(std::min(aSeconds, kMaxSeconds)));
}

} // namespace

// The pool processes its backlog with all its cores; more cores don't shorten
// the job's critical path.
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
  // A job that can start at once is never rejected.
  bool free = aLoad.mFreeCores >= aJob.mInitialCores;
  return free ||
         ToSeconds(end) <= kUsableTimeFraction * ToSeconds(aJob.mTimeLeft);
}

bool
ShouldAdmitInShare(Duration aInShare, const JobDemand& aJob)
{
  Duration end = std::max(aInShare, aJob.mCriticalPath);
  return ToSeconds(end) <= kUsableTimeFraction * ToSeconds(aJob.mTimeLeft);
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
