#include "daemon/assembly.h"
#include "daemon/settings.h"
#include "kernel/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <popt.h>

#include <csignal>
#include <iostream>
#include <memory>
#include <random>

namespace buckthornshunt {

namespace {

constexpr std::string_view kPart = "daemon";

constexpr int kExitOk = 0;
constexpr int kExitUsage = 2;
constexpr int kExitStart = 3;

std::uint64_t
RandomSeed()
{
  std::random_device device;
  return (std::uint64_t{ device() } << 32U) | device();
}

// Stops the services in order on the first signal; a second one ends the
// process at once.
void
StopOnSignal(asio::io_context& aContext,
             asio::signal_set& aSignals,
             Kernel& aKernel)
{
  aSignals.async_wait([&](boost::system::error_code aError, int) {
    if (aError) {
      return;
    }
    LogInfo(kPart, "stopping");
    asio::co_spawn(aContext, aKernel.Stop(), [&](const std::exception_ptr&) {
      aContext.stop();
    });
    aSignals.async_wait([&](boost::system::error_code aAgain, int) {
      if (!aAgain) {
        aContext.stop();
      }
    });
  });
}

int
Run(const Settings& aSettings)
{
  asio::io_context context(1);
  SystemClock system(context);
  Kernel kernel(context, Clock(context, system), RandomSeed());
  HttpClient client(context, kernel.GetClock());

  DaemonParts parts;
  parts.mSelf = { aSettings.mNode,
                  aSettings.mDataCentre,
                  Incarnation(kernel.Random()),
                  aSettings.mPeers };
  parts.mCallers = aSettings.mCallers;
  parts.mPeers.mListen = aSettings.mPeers;
  parts.mPeers.mSeeds = aSettings.mPeerSeeds;
  parts.mPlatform = HttpPlatform{ &client, aSettings.mPlatform };
  parts.mBackends = HttpBackends{ &client };
  AddServices(kernel, std::move(parts));

  auto started =
    ToExpected<std::monostate>([&]() -> leaf::result<std::monostate> {
      BOOST_LEAF_CHECK(kernel.Start());
      return std::monostate{};
    });
  if (!Ok(started)) {
    LogError(kPart, "can't start: {}", Describe(std::get<Failure>(started)));
    return kExitStart;
  }
  asio::signal_set signals(context, SIGINT, SIGTERM);
  StopOnSignal(context, signals, kernel);
  context.run();
  LogInfo(kPart, "stopped");
  return kExitOk;
}

int
Main(int aCount, const char** aArguments)
{
  char* file = nullptr;
  const poptOption options[] = { { "settings",
                                   's',
                                   POPT_ARG_STRING,
                                   &file,
                                   0,
                                   "settings file, in JSON",
                                   "FILE" },
                                 POPT_AUTOHELP POPT_TABLEEND };
  std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> popt(
    poptGetContext("buckthornshuntd", aCount, aArguments, options, 0),
    poptFreeContext);
  int parsed = poptGetNextOpt(popt.get());
  std::unique_ptr<char, void (*)(void*)> held(file, std::free);
  if (parsed < -1 || file == nullptr || poptPeekArg(popt.get()) != nullptr) {
    std::cerr << "buckthornshuntd: "
              << (parsed < -1 ? poptStrerror(parsed)
                              : "usage: buckthornshuntd --settings FILE")
              << "\n";
    return kExitUsage;
  }
  auto settings = ToExpected<Settings>([&] { return ReadSettings(file); });
  if (!Ok(settings)) {
    std::cerr << "buckthornshuntd: " << Describe(std::get<Failure>(settings))
              << "\n";
    return kExitUsage;
  }
  const Settings& read = std::get<Settings>(settings);
  SetUpLogs(read.mLogFormat, read.mLogLevel);
  int status = Run(read);
  ShutDownLogs();
  return status;
}

} // namespace

} // namespace buckthornshunt

int
main(int argc, char** argv)
{
  return buckthornshunt::Main(argc, const_cast<const char**>(argv));
}
