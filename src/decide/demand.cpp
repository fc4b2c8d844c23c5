#include "decide/demand.h"

#include <algorithm>
#include <cmath>

namespace buckthornshunt {

namespace {

/// Seconds over which each rate is taken: a fraction of a move's 1.5 s, and a
/// fraction of a turn of the demand.
constexpr std::array<double, 2> kOver = { 0.4, 1.5 };
/// Jobs within such a time from which on their rate is believed; between turns
/// a queue sees one in some seconds.
constexpr double kJobsToBelieve = 2;
/// A rise goes on until a VM that is ordered now has arrived: the move's 1.5 s
/// and the time to hear of it, over the time between the two means.
constexpr double kLead = 1.8 / (1.5 - 0.4);
/// Jobs over which the mean size is taken.
constexpr double kSizeMemory = 40;

} // namespace

void
DemandMeter::Note(std::string_view aQueue, double aCoreSeconds, TimePoint aNow)
{
  auto it = mQueues.find(aQueue);
  if (it == mQueues.end()) {
    it = mQueues.emplace(std::string(aQueue), Queue{}).first;
  }
  Queue& queue = it->second;
  queue.mJobs = std::min(queue.mJobs + 1, kSizeMemory);
  queue.mMeanSize += (aCoreSeconds - queue.mMeanSize) / queue.mJobs;
  for (std::size_t i = 0; i < kOver.size(); ++i) {
    double left = std::exp(-ToSeconds(aNow - queue.mAt) / kOver[i]);
    queue.mRates[i] = queue.mRates[i] * left + 1 / kOver[i];
  }
  queue.mAt = aNow;
}

DemandLevel
DemandMeter::At(TimePoint aNow) const
{
  DemandLevel level;
  for (const auto& [name, queue] : mQueues) {
    double supported = 0;
    double mean = 0;
    double quick = 0;
    for (std::size_t i = 0; i < kOver.size(); ++i) {
      double left = std::exp(-ToSeconds(aNow - queue.mAt) / kOver[i]);
      // The last rate is the slowest.
      mean = queue.mRates[i] * left * queue.mMeanSize;
      if (queue.mRates[i] * left * kOver[i] >= kJobsToBelieve) {
        supported = std::max(supported, mean);
      }
      quick = i == 0 ? mean : quick;
    }
    if (supported > 0) {
      supported += kLead * std::max(quick - mean, 0.0);
    }
    level.mSupported += supported;
    level.mMean += mean;
  }
  return level;
}

} // namespace buckthornshunt
