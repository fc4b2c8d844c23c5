#ifndef BUCKTHORNSHUNT_DECIDE_ADMISSION_H
#define BUCKTHORNSHUNT_DECIDE_ADMISSION_H

#include "buckthornshunt/time.h"

#include <cstdint>

namespace buckthornshunt {

/// Load of a pool when a job is submitted.
struct PoolLoad
{
  /// Core-seconds that accepted jobs still need.
  double mBacklogCoreSeconds = 0;
  /// Cores that aren't held by long-running tasks.
  double mCores = 0;
  /// Free cores among them.
  double mFreeCores = 0;
  /// Cores of VMs that are being moved into the pool.
  double mIncomingCores = 0;
};

/// Demand of the submitted job.
struct JobDemand
{
  double mCoreSeconds = 0;
  /// Cores requested by the steps without dependencies.
  double mInitialCores = 0;
  Duration mCriticalPath{};
  /// Time left until the job's objective.
  Duration mTimeLeft{};
};

/// Expected time until the backlog and the job are finished; Duration::max()
/// without cores.
Duration
ExpectedTimeToFinish(const PoolLoad& aLoad, const JobDemand& aJob);

/// Admission control for demand bursts of several times the pool's capacity: a
/// job that can't meet its objective any more is rejected at once, since the
/// same cores can still serve another caller's job in time.
bool
ShouldAdmit(const PoolLoad& aLoad, const JobDemand& aJob);

/// The same for a job whose organisation's fair share of the pool would finish
/// it by aInShare from now.
bool
ShouldAdmitInShare(Duration aInShare, const JobDemand& aJob);

/// Delay before a retry: until the backlog leaves room for the job. aJitter, in
/// [0, 1], spreads the retries, so that they don't arrive together.
Duration
RetryAfter(const PoolLoad& aLoad, const JobDemand& aJob, double aJitter);

} // namespace buckthornshunt

#endif
