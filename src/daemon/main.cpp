#include "daemon/assembly.h"
#include "daemon/settings.h"
#include "daemon/stop_signals.h"
#include "decide/caller_access.h"
#include "kernel/log.h"

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
constexpr int kExitStartFailure = 3;

std::uint64_t
MakeRandomSeed()
{
  std::random_device device;
  return (std::uint64_t{ device() } << 32U) | device();
}

// The services of a daemon without workload services end their requests in
// Stop.
Duration
DrainPeriodOf(const Settings& aSettings)
{
  return aSettings.mWorkload
           ? DrainPeriod(aSettings.mWorkload->mShutdownGracePeriod)
           : Duration::zero();
}

/// Platform clients of the workload services; must outlive them.
struct WorkloadClients
{
  Store mStore;
  Workers mWorkers;
  Machines mMachines;
};

// Port 0 if no machine service is configured.
Endpoint
MachineEndpoint(const Settings& aSettings)
{
  return aSettings.mWorkload ? aSettings.mWorkload->mMachines : Endpoint{};
}

WorkloadClients
MakeWorkloadClients(HttpClient& aClient, const Settings& aSettings)
{
  return { platform::StoreClient(aClient, aSettings.mPlatform),
           platform::WorkerClient(aClient),
           platform::MachineClient(aClient, MachineEndpoint(aSettings)) };
}

void
ConfigureWorkloadServices(Kernel& aKernel,
                          WorkloadClients& aClients,
                          const Settings& aSettings)
{
  const WorkloadSettings& workload = *aSettings.mWorkload;
  WorkloadOptions options;
  options.mSelf = { aSettings.mNode,
                    aSettings.mPeers,
                    Incarnation(aKernel.Random()),
                    workload.mNodeCapacity };
  options.mEndpoints = { aSettings.mCallers,
                         workload.mReadiness,
                         workload.mMetrics };
  if (workload.mKeyRevocationDelay) {
    options.mMaxConfigAge = MaxConfigAge(*workload.mKeyRevocationDelay);
  }
  options.mCells = { &aClients.mStore, &aClients.mWorkers, workload.mAdvice };
  options.mTimes.mSeparateInterference = workload.mSeparateInterference;
  options.mTimes.mStatusRetention = workload.mStatusRetention;
  options.mTimes.mMaxRunLeaseDuration = workload.mMaxRunLeaseDuration;
  options.mTimes.mRunLeaseDuration =
    std::min(options.mTimes.mRunLeaseDuration, workload.mMaxRunLeaseDuration);
  options.mFleet = { &aClients.mStore,
                     nullptr,
                     workload.mDutyLease,
                     workload.mMaxRunLeaseDuration };
  if (workload.mMachines.mPort != 0) {
    options.mFleet.mMachines = &aClients.mMachines;
  }
  options.mLinks = workload.mLinks;
  AddWorkloadServices(aKernel, std::move(options));
}

void
ConfigureDaemonServices(Kernel& aKernel,
                        HttpClient& aClient,
                        const Settings& aSettings)
{
  DaemonOptions options;
  options.mSelf = { aSettings.mNode,
                    aSettings.mDataCentre,
                    Incarnation(aKernel.Random()),
                    aSettings.mPeers };
  options.mCallers = aSettings.mCallers;
  options.mPeers.mListen = aSettings.mPeers;
  options.mPeers.mSeeds = aSettings.mPeerSeeds;
  options.mPlatform = HttpPlatform{ &aClient, aSettings.mPlatform };
  options.mBackends = HttpBackends{ &aClient };
  AddServices(aKernel, std::move(options));
}

// Validates the settings file on SIGHUP, so that an error is reported when the
// file changes and not at the next start. Nothing is applied: addresses take
// effect only at a start.
void
ValidateSettingsOnHangUp(asio::signal_set& aSignals, std::string_view aFile)
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
      ValidateSettingsOnHangUp(aSignals, aFile);
    });
}

int
Run(const Settings& aSettings, std::string_view aFile)
{
  asio::io_context context(1);
  SystemClock systemClock(context);
  Kernel kernel(context, Clock(context, systemClock), MakeRandomSeed());
  HttpClient client(context, kernel.GetClock());
  WorkloadClients clients = MakeWorkloadClients(client, aSettings);
  if (aSettings.mWorkload) {
    ConfigureWorkloadServices(kernel, clients, aSettings);
  } else {
    ConfigureDaemonServices(kernel, client, aSettings);
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
    LogError(
      kPart, "start failed, exiting: {}", Describe(std::get<Failure>(started)));
    return kExitStartFailure;
  }
  StopSignals stopSignals(kernel, DrainPeriodOf(aSettings));
  asio::signal_set hangUpSignals(context, SIGHUP);
  ValidateSettingsOnHangUp(hangUpSignals, aFile);
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
                                   "path of the JSON settings file",
                                   "FILE" },
                                 { "settings-from",
                                   0,
                                   POPT_ARG_STRING,
                                   &variable,
                                   0,
                                   "environment variable that holds the path",
                                   "VARIABLE" },
                                 POPT_AUTOHELP POPT_TABLEEND };
  std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> popt(
    poptGetContext("buckthornshuntd", aCount, aArguments, options, 0),
    poptFreeContext);
  int parsed = poptGetNextOpt(popt.get());
  std::unique_ptr<char, void (*)(void*)> fileGuard(file, std::free);
  std::unique_ptr<char, void (*)(void*)> variableGuard(variable, std::free);
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
  const Settings& loaded = std::get<Settings>(settings);
  SetUpLogs(loaded.mLogFormat, loaded.mLogLevel);
  int status = Run(loaded, path);
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
