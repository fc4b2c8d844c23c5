#ifndef BUCKTHORNSHUNT_KERNEL_CALL_CONTROL_H
#define BUCKTHORNSHUNT_KERNEL_CALL_CONTROL_H

#include <functional>
#include <utility>

namespace buckthornshunt {

/// Lets another task abort a call, which then fails with ConnectionLost.
class CallControl
{
public:
  void Abort()
  {
    if (mAbortHandler) {
      mAbortHandler();
    }
  }

  /// Set by the call while it can be aborted.
  void SetAbortHandler(std::function<void()> aHandler)
  {
    mAbortHandler = std::move(aHandler);
  }

private:
  std::function<void()> mAbortHandler;
};

} // namespace buckthornshunt

#endif
