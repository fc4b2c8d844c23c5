#include "daemon/stop_signals.h"

#include "kernel/log.h"

#include <boost/asio/co_spawn.hpp>

#include <csignal>

namespace buckthornshunt {

namespace {

constexpr std::string_view kPart = "daemon";

} // namespace

StopSignals::StopSignals(Kernel& aKernel, Duration aDrainPeriod)
  : mKernel(aKernel)
  , mDrainPeriod(aDrainPeriod)
  , mSignals(aKernel.Context(), SIGINT, SIGTERM)
{
  Await();
}

void
StopSignals::Await()
{
  mSignals.async_wait([this](boost::system::error_code aError, int aSignal) {
    if (!aError) {
      OnSignal(aSignal);
      Await();
    }
  });
}

// A stop that a second signal cut short would lose the requests in progress;
// SIGKILL ends a process immediately.
void
StopSignals::OnSignal(int aSignal)
{
  if (auto since = mKernel.TimeSinceStopRequest()) {
    LogWarn(kPart,
            "signal={} ignored, already stopping stop_ms={}",
            aSignal,
            ToMillis(*since));
    return;
  }
  LogInfo(kPart, "stopping signal={}", aSignal);
  asio::io_context& context = mKernel.Context();
  asio::co_spawn(context,
                 mKernel.Stop(mDrainPeriod),
                 [&context](const std::exception_ptr&) { context.stop(); });
}

} // namespace buckthornshunt
