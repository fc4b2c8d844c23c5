#include "kernel/clock.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <ctime>

namespace buckthornshunt {

TimerId
TimerHeap::Add(TimePoint aDue, std::function<void()> aCall)
{
  TimerId id{ aDue, mNextSequence++ };
  mCalls.emplace(id, std::move(aCall));
  return id;
}

void
TimerHeap::Remove(const TimerId& aId)
{
  mCalls.erase(aId);
}

// A call may add or remove others, so the heap is read afresh each time.
void
TimerHeap::RunDue(TimePoint aNow)
{
  while (!mCalls.empty() && mCalls.begin()->first.first <= aNow) {
    auto node = mCalls.extract(mCalls.begin());
    node.mapped()();
  }
}

TimePoint
TimerHeap::NextDue() const
{
  return mCalls.empty() ? TimePoint::max() : mCalls.begin()->first.first;
}

SystemClock::SystemClock(asio::io_context& aContext)
  : mTimer(aContext)
{
}

// The boot-time clock, since leases go on while a machine is suspended; the
// plain steady clock stands still then.
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
SystemClock::CallAt(TimePoint aDue, std::function<void()> aCall)
{
  TimerId id = mHeap.Add(aDue, std::move(aCall));
  Arm();
  return id;
}

void
SystemClock::Remove(const TimerId& aId)
{
  mHeap.Remove(aId);
}

// The timer is only set again when an earlier call arrives. A removed call
// leaves it set: it then wakes once for nothing.
void
SystemClock::Arm()
{
  TimePoint due = mHeap.NextDue();
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
    mHeap.RunDue(Now());
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
ManualClock::CallAt(TimePoint aDue, std::function<void()> aCall)
{
  return mHeap.Add(aDue, std::move(aCall));
}

void
ManualClock::Remove(const TimerId& aId)
{
  mHeap.Remove(aId);
}

void
ManualClock::Advance(Duration aBy)
{
  TimePoint end = mNow + aBy;
  mContext.restart();
  mContext.poll();
  while (mHeap.NextDue() <= end) {
    mNow = std::max(mNow, mHeap.NextDue());
    mHeap.RunDue(mNow);
    mContext.restart();
    mContext.poll();
  }
  mNow = end;
}

namespace {

template<class Visitor>
decltype(auto)
WithClock(const std::variant<SystemClock*, ManualClock*>& aClock,
          Visitor&& aVisitor)
{
  return std::visit(
    [&](auto* aHeld) -> decltype(auto) { return aVisitor(*aHeld); }, aClock);
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
  return WithClock(mClock, [](auto& aHeld) { return aHeld.Now(); });
}

WallTime
Clock::WallNow() const
{
  return WithClock(mClock, [](auto& aHeld) { return aHeld.WallNow(); });
}

TimerId
Clock::CallAt(TimePoint aDue, std::function<void()> aCall)
{
  return WithClock(
    mClock, [&](auto& aHeld) { return aHeld.CallAt(aDue, std::move(aCall)); });
}

void
Clock::Remove(const TimerId& aId)
{
  WithClock(mClock, [&](auto& aHeld) { aHeld.Remove(aId); });
}

// The wait sits on a timer that never expires; the heap cancels it when due.
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
Clock::Sleep(Duration aFor)
{
  return SleepUntil(Now() + aFor);
}

Watchdog::Watchdog(Clock& aClock, TimePoint aDue, std::function<void()> aCall)
  : mClock(aClock)
  , mCall(std::move(aCall))
  , mId(aClock.CallAt(aDue, [this] {
    mFired = true;
    mCall();
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
