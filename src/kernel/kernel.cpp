#include "kernel/kernel.h"

#include "kernel/log.h"

namespace buckthornshunt {

Kernel::Kernel(asio::io_context& aContext, Clock aClock, std::uint64_t aSeed)
  : mContext(aContext)
  , mClock(aClock)
  , mTracer(aSeed)
  , mDrains(aContext)
{
}

leaf::result<void*>
Kernel::FindUntyped(std::string_view aName, std::type_index aType)
{
  for (const Entry& entry : mEntries) {
    if (entry.mName != aName) {
      continue;
    }
    if (entry.mType != aType) {
      return leaf::new_error(
        Failure(ServiceTypeMismatch{ std::string(aName) }));
    }
    return entry.mService.get();
  }
  return leaf::new_error(Failure(ServiceNotFound{ std::string(aName) }));
}

leaf::result<void>
Kernel::Start()
{
  for (; mStartedCount < mEntries.size(); ++mStartedCount) {
    Entry& entry = mEntries[mStartedCount];
    BOOST_LEAF_CHECK(entry.mStart(entry.mService.get()));
  }
  return {};
}

void
Kernel::CancelTasks()
{
  for (TaskGroup* group : mGroups) {
    group->CancelAll();
  }
}

std::optional<Duration>
Kernel::TimeSinceStopRequest() const
{
  if (!mStopRequestedAt) {
    return std::nullopt;
  }
  return mClock.Now() - *mStopRequestedAt;
}

Task<void>
Kernel::Drain(const Entry& aEntry)
{
  co_await aEntry.mDrain(aEntry.mService.get(), *mDrainDeadline);
  LogInfo("kernel",
          "service {} drained stop_ms={}",
          aEntry.mName,
          ToMillis(*TimeSinceStopRequest()));
}

// A drain that misses the deadline is cancelled: the rest of the stop needs the
// remaining time.
Task<void>
Kernel::DrainServices()
{
  for (std::size_t i = 0; i < mStartedCount; ++i) {
    if (mEntries[i].mDrain != nullptr) {
      mDrains.Spawn("drain", Drain(mEntries[i]));
    }
  }
  Watchdog watchdog(mClock, *mDrainDeadline, [this] { mDrains.CancelAll(); });
  co_await mDrains.Join();
  if (watchdog.Fired()) {
    LogWarn("kernel",
            "drain cancelled at its deadline stop_ms={}",
            ToMillis(*TimeSinceStopRequest()));
  }
}

Task<void>
Kernel::Stop(Duration aDrainPeriod)
{
  mStopRequestedAt = mClock.Now();
  mDrainDeadline = *mStopRequestedAt + aDrainPeriod;
  co_await DrainServices();
  while (mStartedCount > 0) {
    --mStartedCount;
    Entry& entry = mEntries[mStartedCount];
    LogInfo("kernel",
            "stopping service {} stop_ms={}",
            entry.mName,
            ToMillis(*TimeSinceStopRequest()));
    co_await entry.mStop(entry.mService.get());
  }
  LogInfo("kernel",
          "all services stopped stop_ms={}",
          ToMillis(*TimeSinceStopRequest()));
}

} // namespace buckthornshunt
