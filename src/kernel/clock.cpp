#include "kernel/clock.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <ctime>

namespace buckthornshunt {

Duration
TimerDelays::MeanSince(const TimerDelays& aEarlier) const
{
  std::uint64_t n = mCount - aEarlier.mCount;
  return n == 0 ? Duration::zero()
                : (mSum - aEarlier.mSum) / static_cast<std::int64_t>(n);
}

TimerId
TimerQueue::Add(TimePoint aDue, std::function<void()> aCallback)
{
  TimerId id{ aDue, mNextSequence++ };
  mCallbacks.emplace(id, std::move(aCallback));
  return id;
}

void
TimerQueue::Remove(const TimerId& aId)
{
  mCallbacks.erase(aId);
}

// A callback may add or remove others, so no iterator is kept across calls.
void
TimerQueue::RunDue(TimePoint aNow)
{
  while (!mCallbacks.empty() && mCallbacks.begin()->first.first <= aNow) {
    auto node = mCallbacks.extract(mCallbacks.begin());
    Duration delay = aNow - node.key().first;
    mWorstDelay = std::max(mWorstDelay, delay);
    ++mDelays.mCount;
    mDelays.mSum += delay;
    node.mapped()();
  }
}

Duration
TimerQueue::TakeWorstDelay()
{
  return std::exchange(mWorstDelay, Duration{});
}

TimePoint
TimerQueue::NextDue() const
{
  return mCallbacks.empty() ? TimePoint::max()
                            : mCallbacks.begin()->first.first;
}

SystemClock::SystemClock(asio::io_context& aContext)
  : mTimer(aContext)
{
}

// Uses CLOCK_BOOTTIME because leases keep running while the machine is
// suspended; CLOCK_MONOTONIC stops then.
TimePoint
SystemClock::Now() const
{
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(std::chrono::seconds(now.tv_sec) +
                   std::chrono::nanoseconds(now.tv_nsec));
}

WallTime
SystemClock::WallNow() const
{
  using std::chrono::system_clock;
  auto since = system_clock::now().time_since_epoch();
  return {
    std::chrono::duration_cast<std::chrono::milliseconds>(since).count()
  };
}

TimerId
SystemClock::CallAt(TimePoint aDue, std::function<void()> aCallback)
{
  TimerId id = mTimers.Add(aDue, std::move(aCallback));
  Arm();
  return id;
}

void
SystemClock::Remove(const TimerId& aId)
{
  mTimers.Remove(aId);
}

// Rearms the timer only for an earlier callback. Removing a callback leaves it
// armed, at the cost of one spurious wake-up.
void
SystemClock::Arm()
{
  TimePoint due = mTimers.NextDue();
  if (due >= mArmedFor) {
    return;
  }
  mArmedFor = due;
  mTimer.expires_after(std::max(due - Now(), Duration::zero()));
  mTimer.async_wait([this](boost::system::error_code aError) {
    if (aError) {
      return;
    }
    mArmedFor = TimePoint::max();
    mTimers.RunDue(Now());
    Arm();
  });
}

ManualClock::ManualClock(asio::io_context& aContext)
  : mContext(aContext)
{
}

WallTime
ManualClock::WallNow() const
{
  return { ToMillis(mNow.time_since_epoch()) };
}

TimerId
ManualClock::CallAt(TimePoint aDue, std::function<void()> aCallback)
{
  return mTimers.Add(aDue, std::move(aCallback));
}

void
ManualClock::Remove(const TimerId& aId)
{
  mTimers.Remove(aId);
}

void
ManualClock::Advance(Duration aDuration)
{
  TimePoint end = mNow + aDuration;
  mContext.restart();
  mContext.poll();
  while (mTimers.NextDue() <= end) {
    mNow = std::max(mNow, mTimers.NextDue());
    mTimers.RunDue(mNow);
    mContext.restart();
    mContext.poll();
  }
  mNow = std::max(mNow, end);
}

namespace {

template<class Visitor>
decltype(auto)
WithClock(const std::variant<SystemClock*, ManualClock*>& aClock,
          Visitor&& aVisitor)
{
  return std::visit(
    [&](auto* aConcrete) -> decltype(auto) { return aVisitor(*aConcrete); },
    aClock);
}

} // namespace

Clock::Clock(asio::io_context& aContext, SystemClock& aClock)
  : mContext(aContext)
  , mClock(&aClock)
{
}

Clock::Clock(asio::io_context& aContext, ManualClock& aClock)
  : mContext(aContext)
  , mClock(&aClock)
{
}

TimePoint
Clock::Now() const
{
  return WithClock(mClock, [](auto& aConcrete) { return aConcrete.Now(); });
}

WallTime
Clock::WallNow() const
{
  return WithClock(mClock, [](auto& aConcrete) { return aConcrete.WallNow(); });
}

TimerId
Clock::CallAt(TimePoint aDue, std::function<void()> aCallback)
{
  return WithClock(mClock, [&](auto& aConcrete) {
    return aConcrete.CallAt(aDue, std::move(aCallback));
  });
}

void
Clock::Remove(const TimerId& aId)
{
  WithClock(mClock, [&](auto& aConcrete) { aConcrete.Remove(aId); });
}

Duration
Clock::TakeWorstDelay()
{
  return WithClock(mClock,
                   [](auto& aConcrete) { return aConcrete.TakeWorstDelay(); });
}

const TimerDelays&
Clock::Delays() const
{
  return WithClock(mClock, [](auto& aConcrete) -> const TimerDelays& {
    return aConcrete.Delays();
  });
}

// Waits on a timer that never expires; a callback of this clock cancels it.
Task<void>
Clock::SleepUntil(TimePoint aDue)
{
  constexpr auto kToken = asio::as_tuple(asio::use_awaitable);
  asio::steady_timer timer(mContext, asio::steady_timer::time_point::max());
  Watchdog due(*this, aDue, [&timer] { timer.cancel(); });
  while (!due.Fired()) {
    co_await timer.async_wait(kToken);
  }
}

Task<void>
Clock::Sleep(Duration aDuration)
{
  return SleepUntil(Now() + aDuration);
}

Watchdog::Watchdog(Clock& aClock,
                   TimePoint aDue,
                   std::function<void()> aCallback)
  : mClock(aClock)
  , mCallback(std::move(aCallback))
  , mId(aClock.CallAt(aDue, [this] {
    mFired = true;
    mCallback();
  }))
{
}

Watchdog::~Watchdog()
{
  if (!mFired) {
    mClock.Remove(mId);
  }
}

} // namespace buckthornshunt
