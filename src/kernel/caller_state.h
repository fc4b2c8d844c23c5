#ifndef BUCKTHORNSHUNT_KERNEL_CALLER_STATE_H
#define BUCKTHORNSHUNT_KERNEL_CALLER_STATE_H

#include <functional>
#include <utility>

namespace buckthornshunt {

/// Whether the caller of a request still waits for its reply.
class CallerState
{
public:
  bool IsDisconnected() const { return mDisconnected; }

  /// Runs the handler set by SetDisconnectHandler, if any.
  void MarkDisconnected()
  {
    mDisconnected = true;
    if (auto handler = std::exchange(mDisconnectHandler, nullptr)) {
      handler();
    }
  }

  /// Sets the handler that runs once when the caller disconnects; replaces an
  /// earlier one.
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
