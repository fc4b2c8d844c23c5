#include "decide/demand.h"

#include <algorithm>
#include <cmath>

namespace buckthornshunt {

namespace {

/// Time constants of the arrival rates: a fraction of a VM move's 1.5 s, and a
/// fraction of a pool's peak.
constexpr std::array<double, 2> kRateWindowSeconds = { 0.4, 1.5 };
/// Minimum jobs per window for its rate to count; between peaks a queue
/// receives one job in several seconds.
constexpr double kMinJobsPerWindow = 2;
/// Extrapolates a rise until a VM that is ordered now has arrived: the move's
/// 1.5 s and the time to detect it, over the difference of the two windows.
constexpr double kTrendFactor = 1.8 / (1.5 - 0.4);
/// Jobs in the mean job size.
constexpr double kSizeWindowJobs = 40;

} // namespace

void
DemandEstimator::RecordArrival(std::string_view aQueue,
                               double aCoreSeconds,
                               TimePoint aNow)
{
  auto it = mQueues.find(aQueue);
  if (it == mQueues.end()) {
    it = mQueues.emplace(std::string(aQueue), Queue{}).first;
  }
  Queue& queue = it->second;
  queue.mJobs = std::min(queue.mJobs + 1, kSizeWindowJobs);
  queue.mMeanCoreSeconds +=
    (aCoreSeconds - queue.mMeanCoreSeconds) / queue.mJobs;
  for (std::size_t i = 0; i < kRateWindowSeconds.size(); ++i) {
    double decay =
      std::exp(-ToSeconds(aNow - queue.mLastArrival) / kRateWindowSeconds[i]);
    queue.mRates[i] = queue.mRates[i] * decay + 1 / kRateWindowSeconds[i];
  }
  queue.mLastArrival = aNow;
}

DemandEstimate
DemandEstimator::Estimate(TimePoint aNow) const
{
  DemandEstimate estimate;
  for (const auto& [name, queue] : mQueues) {
    double forecast = 0;
    double mean = 0;
    double shortTermMean = 0;
    for (std::size_t i = 0; i < kRateWindowSeconds.size(); ++i) {
      double decay =
        std::exp(-ToSeconds(aNow - queue.mLastArrival) / kRateWindowSeconds[i]);
      // The last window is the longest.
      mean = queue.mRates[i] * decay * queue.mMeanCoreSeconds;
      if (queue.mRates[i] * decay * kRateWindowSeconds[i] >=
          kMinJobsPerWindow) {
        forecast = std::max(forecast, mean);
      }
      shortTermMean = i == 0 ? mean : shortTermMean;
    }
    if (forecast > 0) {
      forecast += kTrendFactor * std::max(shortTermMean - mean, 0.0);
    }
    estimate.mForecastCores += forecast;
    estimate.mMeanCores += mean;
  }
  return estimate;
}

} // namespace buckthornshunt
