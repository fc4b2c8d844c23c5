#ifndef BUCKTHORNSHUNT_KERNEL_CLOCK_H
#define BUCKTHORNSHUNT_KERNEL_CLOCK_H

#include "buckthornshunt/time.h"
#include "kernel/task.h"

#include <functional>
#include <map>
#include <utility>
#include <variant>

namespace buckthornshunt {

/// Identifies a pending callback of a timer queue.
using TimerId = std::pair<TimePoint, std::uint64_t>;

/// Delays from the due times of callbacks to their runs, since the start.
struct TimerDelays
{
  std::uint64_t mCount = 0;
  Duration mSum{};

  /// Mean delay of the callbacks that ran after aEarlier was taken; zero if
  /// none did.
  Duration MeanSince(const TimerDelays& aEarlier) const;
};

/// Callbacks ordered by due time.
class TimerQueue
{
public:
  TimerId Add(TimePoint aDue, std::function<void()> aCallback);
  void Remove(const TimerId& aId);

  /// Runs all callbacks that are due at aNow, in order of due time.
  void RunDue(TimePoint aNow);

  /// Due time of the first pending callback; TimePoint::max() if there is none.
  TimePoint NextDue() const;

  /// Longest delay from a callback's due time to its run since the last call.
  Duration TakeWorstDelay();

  const TimerDelays& Delays() const { return mDelays; }

private:
  Duration mWorstDelay{};
  TimerDelays mDelays;
  std::uint64_t mNextSequence = 0;
  std::map<TimerId, std::function<void()>> mCallbacks;
};

/// The machine's monotonic clock; one system timer serves all callbacks.
class SystemClock
{
public:
  explicit SystemClock(asio::io_context& aContext);

  TimePoint Now() const;
  WallTime WallNow() const;
  TimerId CallAt(TimePoint aDue, std::function<void()> aCallback);
  void Remove(const TimerId& aId);
  Duration TakeWorstDelay() { return mTimers.TakeWorstDelay(); }
  const TimerDelays& Delays() const { return mTimers.Delays(); }

private:
  void Arm();

  asio::steady_timer mTimer;
  TimerQueue mTimers;
  TimePoint mArmedFor = TimePoint::max();
};

/// A clock whose time changes only in Advance.
class ManualClock
{
public:
  explicit ManualClock(asio::io_context& aContext);

  TimePoint Now() const { return mNow; }
  WallTime WallNow() const;
  TimerId CallAt(TimePoint aDue, std::function<void()> aCallback);
  void Remove(const TimerId& aId);
  Duration TakeWorstDelay() { return mTimers.TakeWorstDelay(); }
  const TimerDelays& Delays() const { return mTimers.Delays(); }

  /// Advances the time from one due callback to the next and runs all ready
  /// handlers after each step.
  void Advance(Duration aDuration);

  /// Advances the time as work does that holds the executor: what becomes due
  /// runs later.
  void Occupy(Duration aDuration) { mNow += aDuration; }

private:
  asio::io_context& mContext;
  TimerQueue mTimers;
  TimePoint mNow{};
};

/// The clock of the runtime. Services must not use the system's clocks
/// directly.
class Clock
{
public:
  Clock(asio::io_context& aContext, SystemClock& aClock);
  Clock(asio::io_context& aContext, ManualClock& aClock);

  TimePoint Now() const;
  WallTime WallNow() const;

  /// Runs aCallback once at aDue unless the returned id is removed first.
  TimerId CallAt(TimePoint aDue, std::function<void()> aCallback);
  void Remove(const TimerId& aId);

  /// Longest delay of a callback since the last call; shows how far the
  /// executor is behind.
  Duration TakeWorstDelay();

  /// Delays of all callbacks; shows how long ready work waits for the executor.
  const TimerDelays& Delays() const;

  /// Suspends the calling coroutine until aDue.
  Task<void> SleepUntil(TimePoint aDue);
  Task<void> Sleep(Duration aDuration);

private:
  asio::io_context& mContext;
  std::variant<SystemClock*, ManualClock*> mClock;
};

/// Runs a callback at a given time unless destroyed first; enforces the
/// deadline of an operation.
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
