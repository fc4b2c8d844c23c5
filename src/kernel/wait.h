#ifndef BUCKTHORNSHUNT_KERNEL_WAIT_H
#define BUCKTHORNSHUNT_KERNEL_WAIT_H

#include "kernel/clock.h"

namespace buckthornshunt {

/// An event that stays set until one waiter consumes it. Any task may set it;
/// one task may wait.
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

  /// Waits until the event is set or until aDue, then resets it; returns
  /// whether it was set.
  Task<bool> WaitAndReset(Clock& aClock, TimePoint aDue);

private:
  Event mEvent;
  bool mSet = false;
};

/// Waits for the next notification of the event, but no longer than until aDue.
Task<void>
WaitUntil(Event& aEvent, Clock& aClock, TimePoint aDue);

} // namespace buckthornshunt

#endif
