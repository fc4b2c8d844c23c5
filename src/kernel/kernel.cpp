#include "kernel/kernel.h"

#include "kernel/log.h"

namespace buckthornshunt {

Kernel::Kernel(asio::io_context& aContext, Clock aClock, std::uint64_t aSeed)
  : mContext(aContext)
  , mClock(aClock)
  , mTracer(aSeed)
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
Kernel::Stop()
{
  mStopRequestedAt = mClock.Now();
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
