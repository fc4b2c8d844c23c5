#ifndef BUCKTHORNSHUNT_KERNEL_CALLER_STATE_H
#define BUCKTHORNSHUNT_KERNEL_CALLER_STATE_H

#include <functional>
#include <utility>

namespace buckthornshunt {

/// Whether somebody still waits for the answer to a request.
class CallerState
{
public:
  bool IsDisconnected() const { return mDisconnected; }

  /// Says that nobody waits any more; runs the call set by
  /// SetDisconnectHandler.
  void MarkDisconnected()
  {
    mDisconnected = true;
    if (auto handler = std::exchange(mDisconnectHandler, nullptr)) {
      handler();
    }
  }

  /// Sets what to do, once, when the caller goes; replaces what was set.
  void SetDisconnectHandler(std::function<void()> aHandler)
  {
    mDisconnectHandler = std::move(aHandler);
  }

private:
  bool mDisconnected = false;
  std::function<void()> mDisconnectHandler;
};

} // namespace buckthornshunt

#endif
