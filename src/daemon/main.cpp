#include "daemon/assembly.h"
#include "daemon/settings.h"
#include "kernel/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <popt.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
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

/// What the workload services work with; outlives them.
struct WorkloadWorld
{
  Store mStore;
  Workers mWorkers;
  Machines mMachines;
};

// Port 0 if there is no machine service.
Endpoint
MachineEndpoint(const Settings& aSettings)
{
  return aSettings.mWorkload ? aSettings.mWorkload->mMachines : Endpoint{};
}

WorkloadWorld
MakeWorld(HttpClient& aClient, const Settings& aSettings)
{
  return { platform::StoreClient(aClient, aSettings.mPlatform),
           platform::WorkerClient(aClient),
           platform::MachineClient(aClient, MachineEndpoint(aSettings)) };
}

void
AddWorkload(Kernel& aKernel, WorkloadWorld& aWorld, const Settings& aSettings)
{
  const WorkloadSettings& workload = *aSettings.mWorkload;
  WorkloadParts parts;
  parts.mSelf = { aSettings.mNode,
                  aSettings.mPeers,
                  Incarnation(aKernel.Random()),
                  workload.mPower };
  parts.mEndpoints = {
    aSettings.mCallers, workload.mReady, workload.mMetrics, workload.mGrace
  };
  parts.mCells = { &aWorld.mStore, &aWorld.mWorkers, workload.mAdvice };
  parts.mTimes.mStatusRetention = workload.mStatusKept;
  parts.mTimes.mRunLeaseDuration =
    std::min(parts.mTimes.mRunLeaseDuration, workload.mLongestRunLease);
  parts.mFleet = { &aWorld.mStore, nullptr, workload.mDutyLease };
  if (workload.mMachines.mPort != 0) {
    parts.mFleet.mMachines = &aWorld.mMachines;
  }
  AddWorkloadServices(aKernel, std::move(parts));
}

void
AddOwnInterface(Kernel& aKernel, HttpClient& aClient, const Settings& aSettings)
{
  DaemonParts parts;
  parts.mSelf = { aSettings.mNode,
                  aSettings.mDataCentre,
                  Incarnation(aKernel.Random()),
                  aSettings.mPeers };
  parts.mCallers = aSettings.mCallers;
  parts.mPeers.mListen = aSettings.mPeers;
  parts.mPeers.mSeeds = aSettings.mPeerSeeds;
  parts.mPlatform = HttpPlatform{ &aClient, aSettings.mPlatform };
  parts.mBackends = HttpBackends{ &aClient };
  AddServices(aKernel, std::move(parts));
}

// Reads the settings again, so that a fault in them is reported when they
// change and not at the next start. Addresses take effect at a start.
void
CheckOnHangUp(asio::signal_set& aSignals, std::string_view aFile)
{
  aSignals.async_wait(
    [&aSignals, aFile](boost::system::error_code aError, int) {
      if (aError) {
        return;
      }
      auto settings = ToExpected<Settings>(
        [&] { return ReadSettings(std::filesystem::path(aFile)); });
      if (Ok(settings)) {
        LogInfo(kPart, "reload file={} outcome=checked", aFile);
      } else {
        LogError(kPart,
                 "reload file={} outcome=refused: {}",
                 aFile,
                 Describe(std::get<Failure>(settings)));
      }
      CheckOnHangUp(aSignals, aFile);
    });
}

int
Run(const Settings& aSettings, std::string_view aFile)
{
  asio::io_context context(1);
  SystemClock system(context);
  Kernel kernel(context, Clock(context, system), RandomSeed());
  HttpClient client(context, kernel.GetClock());
  WorkloadWorld world = MakeWorld(client, aSettings);
  if (aSettings.mWorkload) {
    AddWorkload(kernel, world, aSettings);
  } else {
    AddOwnInterface(kernel, client, aSettings);
  }
  LogInfo(kPart,
          "start node={} data_centre={} callers={} platform={}",
          aSettings.mNode,
          aSettings.mDataCentre,
          ToString(aSettings.mCallers),
          ToString(aSettings.mPlatform));

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
  asio::signal_set hangUp(context, SIGHUP);
  CheckOnHangUp(hangUp, aFile);
  context.run();
  LogInfo(kPart, "stopped");
  return kExitOk;
}

int
Main(int aCount, const char** aArguments)
{
  char* file = nullptr;
  char* variable = nullptr;
  const poptOption options[] = { { "settings",
                                   's',
                                   POPT_ARG_STRING,
                                   &file,
                                   0,
                                   "settings file, in JSON",
                                   "FILE" },
                                 { "settings-from",
                                   0,
                                   POPT_ARG_STRING,
                                   &variable,
                                   0,
                                   "environment variable that names the file",
                                   "VARIABLE" },
                                 POPT_AUTOHELP POPT_TABLEEND };
  std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> popt(
    poptGetContext("buckthornshuntd", aCount, aArguments, options, 0),
    poptFreeContext);
  int parsed = poptGetNextOpt(popt.get());
  std::unique_ptr<char, void (*)(void*)> held(file, std::free);
  std::unique_ptr<char, void (*)(void*)> heldVariable(variable, std::free);
  const char* path = file;
  if (path == nullptr && variable != nullptr) {
    path = std::getenv(variable);
  }
  if (parsed < -1 || path == nullptr || poptPeekArg(popt.get()) != nullptr) {
    std::cerr << "buckthornshuntd: "
              << (parsed < -1 ? poptStrerror(parsed)
                              : "usage: buckthornshuntd --settings FILE, or "
                                "--settings-from VARIABLE")
              << "\n";
    return kExitUsage;
  }
  auto settings = ToExpected<Settings>([&] { return ReadSettings(path); });
  if (!Ok(settings)) {
    std::cerr << "buckthornshuntd: " << Describe(std::get<Failure>(settings))
              << "\n";
    return kExitUsage;
  }
  const Settings& read = std::get<Settings>(settings);
  SetUpLogs(read.mLogFormat, read.mLogLevel);
  int status = Run(read, path);
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
