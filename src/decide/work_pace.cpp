#include "decide/work_pace.h"

#include <algorithm>

namespace buckthornshunt {

namespace {

/// Queue delay at a spacing of 1. A step of a job passes the queue some five
/// times between its last end and the next step's start, which then takes 0.2
/// s.
constexpr Duration kFullQueueDelay = std::chrono::milliseconds(40);
constexpr double kMinSpacing = 0.1;
constexpr double kMaxSpacing = 4;
/// Weight of a new delay in the mean: a long planning pass alone doesn't tell.
constexpr double kNewDelayWeight = 0.5;

/// Intervals at a spacing of 1.
constexpr Duration kRenewalIntervalPerWorker = std::chrono::microseconds(1700);
constexpr Duration kCommitSpacing = std::chrono::milliseconds(36);
/// Multiple of a planning pass's time.
constexpr double kPlanPauseFactor = 4;

/// Bounds the rate of renewals at a worker.
constexpr Duration kMinRenewalInterval = std::chrono::milliseconds(60);
/// Keeps the answers of a live worker well within the time after which it is
/// suspected, and the cell's leases far from their end.
constexpr Duration kMaxRenewalInterval = std::chrono::seconds(1);
constexpr Duration kMinCommitDelay = std::chrono::milliseconds(4);
constexpr Duration kMinPlanPause = std::chrono::milliseconds(3);
constexpr Duration kMaxPlanPause = std::chrono::milliseconds(150);

Duration
Scale(Duration aDuration, double aFactor)
{
  return std::chrono::duration_cast<Duration>(aDuration * aFactor);
}

} // namespace

// The spacing follows the delay at once in both directions. One that is changed
// step by step overshoots, since a delay shows the effect of renewals that were
// scheduled up to a second before. The square leaves the pace near its fastest
// while the delay is small.
void
WorkPace::OnQueueDelay(Duration aMeanDelay)
{
  double delay = ToSeconds(aMeanDelay) / ToSeconds(kFullQueueDelay);
  mDelay += kNewDelayWeight * (delay - mDelay);
  mSpacing = std::clamp(mDelay * mDelay, kMinSpacing, kMaxSpacing);
}

Duration
WorkPace::RenewalInterval(int aWorkers) const
{
  return std::clamp(Scale(kRenewalIntervalPerWorker * aWorkers, mSpacing),
                    kMinRenewalInterval,
                    kMaxRenewalInterval);
}

Duration
WorkPace::CommitDelay() const
{
  return kMinCommitDelay + Scale(kCommitSpacing, mSpacing);
}

Duration
WorkPace::PlanPause(Duration aTook) const
{
  return std::clamp(
    Scale(aTook, kPlanPauseFactor * mSpacing), kMinPlanPause, kMaxPlanPause);
}

} // namespace buckthornshunt
