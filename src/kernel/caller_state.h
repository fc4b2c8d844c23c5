#ifndef BUCKTHORNSHUNT_KERNEL_CALLER_STATE_H
#define BUCKTHORNSHUNT_KERNEL_CALLER_STATE_H

#include <functional>
#include <utility>

namespace buckthornshunt {

/// Whether somebody still waits for the answer to a request.
class CallerState
{
public:
  bool Gone() const { return mGone; }

  /// Says that nobody waits any more; runs the call set by OnGone.
  void SetGone()
  {
    mGone = true;
    if (auto call = std::exchange(mOnGone, nullptr)) {
      call();
    }
  }

  /// Sets what to do, once, when the caller goes; replaces what was set.
  void OnGone(std::function<void()> aCall) { mOnGone = std::move(aCall); }

private:
  bool mGone = false;
  std::function<void()> mOnGone;
};

} // namespace buckthornshunt

#endif
