#ifndef BUCKTHORNSHUNT_KERNEL_CLOCK_H
#define BUCKTHORNSHUNT_KERNEL_CLOCK_H

#include "buckthornshunt/time.h"
#include "kernel/task.h"

#include <functional>
#include <map>
#include <utility>
#include <variant>

namespace buckthornshunt {

/// Names one pending call of a timer heap.
using TimerId = std::pair<TimePoint, std::uint64_t>;

/// Calls ordered by the time they are due.
class TimerQueue
{
public:
  TimerId Add(TimePoint aDue, std::function<void()> aCallback);
  void Remove(const TimerId& aId);

  /// Runs every call that is due at aNow, in order of time.
  void RunDue(TimePoint aNow);

  /// Time of the first pending call; TimePoint::max() if there is none.
  TimePoint NextDue() const;

private:
  std::uint64_t mNextSequence = 0;
  std::map<TimerId, std::function<void()>> mCallbacks;
};

/// The machine's monotonic clock; one timer serves the whole heap.
class SystemClock
{
public:
  explicit SystemClock(asio::io_context& aContext);

  TimePoint Now() const;
  WallTime WallNow() const;
  TimerId CallAt(TimePoint aDue, std::function<void()> aCallback);
  void Remove(const TimerId& aId);

private:
  void Arm();

  asio::steady_timer mTimer;
  TimerQueue mTimers;
  TimePoint mArmedFor = TimePoint::max();
};

/// A clock that stands still until Advance moves it.
class ManualClock
{
public:
  explicit ManualClock(asio::io_context& aContext);

  TimePoint Now() const { return mNow; }
  WallTime WallNow() const;
  TimerId CallAt(TimePoint aDue, std::function<void()> aCallback);
  void Remove(const TimerId& aId);

  /// Moves the time on, step by step from one due call to the next, and runs
  /// every handler that is ready after each step.
  void Advance(Duration aDuration);

private:
  asio::io_context& mContext;
  TimerQueue mTimers;
  TimePoint mNow{};
};

/// The clock of the runtime. Services call it and never the system's.
class Clock
{
public:
  Clock(asio::io_context& aContext, SystemClock& aClock);
  Clock(asio::io_context& aContext, ManualClock& aClock);

  TimePoint Now() const;
  WallTime WallNow() const;

  /// Calls aCall once at aDue, unless the returned id is removed before.
  TimerId CallAt(TimePoint aDue, std::function<void()> aCallback);
  void Remove(const TimerId& aId);

  /// Suspends the calling coroutine until aDue.
  Task<void> SleepUntil(TimePoint aDue);
  Task<void> Sleep(Duration aDuration);

private:
  asio::io_context& mContext;
  std::variant<SystemClock*, ManualClock*> mClock;
};

/// Runs a call at a time unless it is destroyed before; guards an operation
/// that must not outlast its deadline.
class Watchdog
{
public:
  Watchdog(Clock& aClock, TimePoint aDue, std::function<void()> aCallback);
  ~Watchdog();
  Watchdog(const Watchdog&) = delete;
  Watchdog& operator=(const Watchdog&) = delete;

  bool Fired() const { return mFired; }

private:
  Clock& mClock;
  bool mFired = false;
  std::function<void()> mCallback;
  TimerId mId;
};

} // namespace buckthornshunt

#endif
