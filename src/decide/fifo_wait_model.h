#ifndef BUCKTHORNSHUNT_DECIDE_FIFO_WAIT_MODEL_H
#define BUCKTHORNSHUNT_DECIDE_FIFO_WAIT_MODEL_H

#include "buckthornshunt/time.h"

#include <cstddef>
#include <vector>

namespace buckthornshunt {

/// Follows when requests would start if all were served in the order of
/// arrival, so that no order of service may delay one far beyond that.
class FifoWaitModel
{
public:
  /// Sets the number of slots.
  void SetSlots(std::size_t aSlots, TimePoint aNow);

  /// Adds a request that is expected to run for aRun; returns how long it
  /// would wait.
  Duration AddRequest(TimePoint aNow, Duration aRunTime);

private:
  /// Times at which the slots get free, as a heap with the earliest first.
  std::vector<TimePoint> mFree;
};

} // namespace buckthornshunt

#endif
