#ifndef BUCKTHORNSHUNT_DECIDE_DEMAND_H
#define BUCKTHORNSHUNT_DECIDE_DEMAND_H

#include "buckthornshunt/time.h"

#include <array>
#include <map>
#include <string>
#include <string_view>

namespace buckthornshunt {

/// Cores that callers ask for.
struct DemandEstimate
{
  /// What several arrivals support, at the time when a VM that is moved now
  /// has arrived.
  double mForecastCores = 0;
  /// Mean over the last seconds.
  double mMeanCores = 0;
};

/// Measures the work that callers ask for, by the rate of each queue's jobs and
/// their mean size. Answers demand that rises within a moment to some eighty
/// times what it was: a few arrivals in a row tell a rise for certain long
/// before their sizes, which differ by more, add up to the same.
class DemandEstimator
{
public:
  /// A job of that many core-seconds was handed in.
  void RecordArrival(std::string_view aQueue,
                     double aCoreSeconds,
                     TimePoint aNow);
  DemandEstimate Estimate(TimePoint aNow) const;

private:
  struct Queue
  {
    double mJobs = 0;
    double mMeanCoreSeconds = 0;
    /// Jobs a second, by decaying means.
    std::array<double, 2> mRates{};
    TimePoint mLastArrival;
  };

  std::map<std::string, Queue, std::less<>> mQueues;
};

} // namespace buckthornshunt

#endif
