#ifndef BUCKTHORNSHUNT_TIME_H
#define BUCKTHORNSHUNT_TIME_H

#include <chrono>
#include <cstdint>

namespace buckthornshunt {

/// Duration on the runtime's clock, in nanoseconds.
using Duration = std::chrono::nanoseconds;

/// Tag type of the runtime's monotonic clock; the kernel's Clock returns its
/// time points.
struct RuntimeClock
{
  using duration = Duration;
  using rep = Duration::rep;
  using period = Duration::period;
  using time_point = std::chrono::time_point<RuntimeClock>;
  static constexpr bool is_steady = true;
};

/// Time on the runtime's monotonic clock; meaningless in another process.
using TimePoint = RuntimeClock::time_point;

/// Milliseconds since the Unix epoch, for display and for stored rows.
struct WallTime
{
  std::int64_t mMillis = 0;

  friend auto operator<=>(const WallTime&, const WallTime&) = default;
};

/// Whole milliseconds of a duration, rounded towards zero.
constexpr std::int64_t
ToMillis(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration)
    .count();
}

/// Duration in seconds, as a floating-point number.
constexpr double
ToSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace buckthornshunt

#endif
