#include "kernel/processor_time.h"

#include <ctime>

namespace buckthornshunt {

Duration
ProcessorTime()
{
  timespec used{};
  if (clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used) != 0) {
    return Duration::zero();
  }
  return std::chrono::seconds(used.tv_sec) +
         std::chrono::nanoseconds(used.tv_nsec);
}

} // namespace buckthornshunt
