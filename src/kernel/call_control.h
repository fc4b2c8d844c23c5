#ifndef BUCKTHORNSHUNT_KERNEL_CALL_CONTROL_H
#define BUCKTHORNSHUNT_KERNEL_CALL_CONTROL_H

#include <functional>
#include <utility>

namespace buckthornshunt {

/// Lets another task end a call early; the call then fails as ConnectionLost.
class CallControl
{
public:
  void Abort()
  {
    if (mAbort) {
      mAbort();
    }
  }

  /// Set by the call while it can be ended.
  void OnAbort(std::function<void()> aCall) { mAbort = std::move(aCall); }

private:
  std::function<void()> mAbort;
};

} // namespace buckthornshunt

#endif
