#include "decide/fifo_wait_model.h"

#include <algorithm>
#include <functional>

namespace buckthornshunt {

// Slots that go are those that get free last, so that what is left is never
// thought busier than it is.
void
FifoWaitModel::SetSlots(std::size_t aSlots, TimePoint aNow)
{
  std::sort(mFree.begin(), mFree.end());
  mFree.resize(aSlots, aNow);
  std::make_heap(mFree.begin(), mFree.end(), std::greater<>());
}

Duration
FifoWaitModel::AddRequest(TimePoint aNow, Duration aRunTime)
{
  if (mFree.empty()) {
    return Duration::zero();
  }
  std::pop_heap(mFree.begin(), mFree.end(), std::greater<>());
  TimePoint start = std::max(aNow, mFree.back());
  mFree.back() = start + aRunTime;
  std::push_heap(mFree.begin(), mFree.end(), std::greater<>());
  return start - aNow;
}

} // namespace buckthornshunt
