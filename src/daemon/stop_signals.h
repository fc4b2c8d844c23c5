#ifndef BUCKTHORNSHUNT_DAEMON_STOP_SIGNALS_H
#define BUCKTHORNSHUNT_DAEMON_STOP_SIGNALS_H

#include "kernel/kernel.h"

#include <boost/asio/signal_set.hpp>

namespace buckthornshunt {

/// Stops the kernel's services on SIGTERM or SIGINT, then the executor. Later
/// signals are logged and have no effect.
class StopSignals
{
public:
  StopSignals(Kernel& aKernel, Duration aDrainPeriod);

private:
  void Await();
  void OnSignal(int aSignal);

  Kernel& mKernel;
  Duration mDrainPeriod;
  asio::signal_set mSignals;
};

} // namespace buckthornshunt

#endif
