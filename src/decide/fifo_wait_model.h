#ifndef BUCKTHORNSHUNT_DECIDE_FIFO_WAIT_MODEL_H
#define BUCKTHORNSHUNT_DECIDE_FIFO_WAIT_MODEL_H

#include "buckthornshunt/time.h"

#include <cstddef>
#include <vector>

namespace buckthornshunt {

/// Models when requests would start in FIFO order, to bound how far beyond that
/// another order may delay them.
class FifoWaitModel
{
public:
  /// Sets the number of slots.
  void SetSlots(std::size_t aSlots, TimePoint aNow);

  /// Adds a request that is expected to run for aRun; returns how long it
  /// would wait.
  Duration AddRequest(TimePoint aNow, Duration aRun);

private:
  /// Times at which the slots get free, as a heap with the earliest first.
  std::vector<TimePoint> mFree;
};

} // namespace buckthornshunt

#endif
