#ifndef BUCKTHORNSHUNT_DECIDE_ADMISSION_H
#define BUCKTHORNSHUNT_DECIDE_ADMISSION_H

#include "buckthornshunt/time.h"

#include <cstdint>

namespace buckthornshunt {

/// What a pool holds when a job asks to be let in.
struct PoolLoad
{
  /// Core-seconds that accepted jobs still need.
  double mBacklogCoreSeconds = 0;
  /// Cores that such jobs can use at once.
  double mCores = 0;
  /// Cores of those that are free now.
  double mFreeCores = 0;
  /// Cores of VMs that are on their way into the pool.
  double mIncomingCores = 0;
};

/// What the job needs.
struct JobDemand
{
  double mCoreSeconds = 0;
  /// Cores that its first steps ask for at once.
  double mInitialCores = 0;
  Duration mCriticalPath{};
  /// Time left until the job's objective.
  Duration mTimeLeft{};
};

/// Expected time until the pool has worked off what it holds and the job.
Duration
ExpectedTimeToFinish(const PoolLoad& aLoad, const JobDemand& aJob);

/// Answers demand that rises to several times what the pool holds: a job that
/// can't meet its objective any more is turned away at once, while another
/// caller's job could still be served with the same cores.
bool
ShouldAdmit(const PoolLoad& aLoad, const JobDemand& aJob);

/// When to come back: once the backlog leaves room for the job. aJitter of 0
/// to 1 spreads the returns, so that they don't arrive together.
Duration
RetryAfter(const PoolLoad& aLoad, const JobDemand& aJob, double aJitter);

} // namespace buckthornshunt

#endif
