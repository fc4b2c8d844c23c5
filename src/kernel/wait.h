#ifndef BUCKTHORNSHUNT_KERNEL_WAIT_H
#define BUCKTHORNSHUNT_KERNEL_WAIT_H

#include "kernel/clock.h"

namespace buckthornshunt {

/// A wish that something be done soon; set by any task, taken by one.
class AutoResetEvent
{
public:
  explicit AutoResetEvent(asio::io_context& aContext)
    : mEvent(aContext)
  {
  }

  void Set()
  {
    mSet = true;
    mEvent.NotifyAll();
  }

  /// Returns once the signal is set, or at aDue; clears it and says whether it
  /// was set.
  Task<bool> WaitAndReset(Clock& aClock, TimePoint aDue);

private:
  Event mEvent;
  bool mSet = false;
};

/// Returns after the event's next notification, or at aDue.
Task<void>
WaitUntil(Event& aEvent, Clock& aClock, TimePoint aDue);

} // namespace buckthornshunt

#endif
