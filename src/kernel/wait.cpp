#include "kernel/wait.h"

namespace buckthornshunt {

Task<void>
WaitUntil(Event& aEvent, Clock& aClock, TimePoint aDue)
{
  if (aClock.Now() >= aDue) {
    co_return;
  }
  Watchdog due(aClock, aDue, [&aEvent] { aEvent.NotifyAll(); });
  co_await aEvent.Wait();
}

Task<bool>
AutoResetEvent::WaitAndReset(Clock& aClock, TimePoint aDue)
{
  while (!mSet && aClock.Now() < aDue) {
    co_await WaitUntil(mEvent, aClock, aDue);
  }
  bool set = mSet;
  mSet = false;
  co_return set;
}

} // namespace buckthornshunt
