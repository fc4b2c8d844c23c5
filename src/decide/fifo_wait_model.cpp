#include "decide/fifo_wait_model.h"

#include <algorithm>
#include <functional>

namespace buckthornshunt {

// Removes the slots that become free last, so that the load of the remaining
// ones is never overestimated.
void
FifoWaitModel::SetSlots(std::size_t aSlots, TimePoint aNow)
{
  std::sort(mFree.begin(), mFree.end());
  mFree.resize(aSlots, aNow);
  std::make_heap(mFree.begin(), mFree.end(), std::greater<>());
}

Duration
FifoWaitModel::AddRequest(TimePoint aNow, Duration aRun)
{
  if (mFree.empty()) {
    return Duration::zero();
  }
  std::pop_heap(mFree.begin(), mFree.end(), std::greater<>());
  TimePoint start = std::max(aNow, mFree.back());
  mFree.back() = start + aRun;
  std::push_heap(mFree.begin(), mFree.end(), std::greater<>());
  return start - aNow;
}

} // namespace buckthornshunt
