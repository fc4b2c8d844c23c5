#ifndef BUCKTHORNSHUNT_DECIDE_DEMAND_H
#define BUCKTHORNSHUNT_DECIDE_DEMAND_H

#include "buckthornshunt/time.h"

#include <array>
#include <map>
#include <string>
#include <string_view>

namespace buckthornshunt {

/// Demand of callers, in cores.
struct DemandEstimate
{
  /// Expected when a VM that is moved now has arrived; omits queues with too
  /// few recent arrivals.
  double mForecastCores = 0;
  /// Decaying mean over 1.5 s.
  double mMeanCores = 0;
};

/// Estimates demand from each queue's arrival rate and mean job size. Demand
/// can rise about eightyfold at once: a few arrivals in a row show a burst
/// reliably, long before the sum of their sizes does, since sizes vary more
/// than the arrival rate.
class DemandEstimator
{
public:
  /// Records the arrival of a job of aCoreSeconds.
  void RecordArrival(std::string_view aQueue,
                     double aCoreSeconds,
                     TimePoint aNow);
  DemandEstimate Estimate(TimePoint aNow) const;

private:
  struct Queue
  {
    double mJobs = 0;
    double mMeanCoreSeconds = 0;
    /// Decaying means of the arrival rate, in jobs per second.
    std::array<double, 2> mRates{};
    TimePoint mLastArrival;
  };

  std::map<std::string, Queue, std::less<>> mQueues;
};

} // namespace buckthornshunt

#endif
