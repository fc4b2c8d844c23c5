#ifndef BUCKTHORNSHUNT_DECIDE_WORK_PACE_H
#define BUCKTHORNSHUNT_DECIDE_WORK_PACE_H

#include "buckthornshunt/time.h"

namespace buckthornshunt {

/// Sets how often an owner repeats its periodic work, from how long ready work
/// waits for the processor: as often as the processor bears, however many
/// workers the cell has. In a turn the cell grows to hundreds of workers, whose
/// ends have to be heard of while their room is wanted.
class WorkPace
{
public:
  /// Interval at which the delay is to be measured.
  static constexpr Duration kAdjustInterval = std::chrono::milliseconds(100);

  /// Adjusts the pace to the mean delay of ready work since the last call.
  void OnQueueDelay(Duration aMeanDelay);

  /// Interval between two renewals of a worker, with aWorkers in use.
  Duration RenewalInterval(int aWorkers) const;
  /// Delay before a commit, so that the changes of a burst share it.
  Duration CommitDelay() const;
  /// Pause after a planning pass that took aTook.
  Duration PlanPause(Duration aTook) const;

  /// Factor of all intervals.
  double Spacing() const { return mSpacing; }

private:
  /// Smoothed queue delay, as a multiple of the one at a spacing of 1.
  double mDelay = 1;
  double mSpacing = 1;
};

} // namespace buckthornshunt

#endif
