// Requests a second through one daemon, with every decision, count and span,
// beside a bare relay that only passes them on.

#include "bench/report.h"
#include "daemon/assembly.h"
#include "kernel/log.h"
#include "net/http_server.h"
#include "services/config_service.h"
#include "services/dispatch_service.h"
#include "services/front_service.h"
#include "standins/backend_server.h"
#include "standins/platform_state.h"
#include "wire/api_codec.h"
#include "wire/backend_codec.h"
#include "wire/platform_codec.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <memory>
#include <span>
#include <thread>
#include <vector>

namespace buckthornshunt::bench {

namespace {

namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

constexpr auto kToken = asio::as_tuple(asio::use_awaitable);
constexpr int kBackends = 3;
constexpr int kSlots = 64;
constexpr int kCallers = 24;
constexpr int kRounds = 3;
constexpr auto kRoundTime = std::chrono::milliseconds(1500);
constexpr std::string_view kLoopback = "127.0.0.1";

/// An executor that runs in a thread of its own.
struct Runner
{
  asio::io_context mContext{ 1 };
  SystemClock mSystem{ mContext };
  Clock mClock{ mContext, mSystem };
  asio::executor_work_guard<asio::io_context::executor_type> mWork{
    mContext.get_executor()
  };
  std::thread mThread;

  void Start()
  {
    mThread = std::thread([this] { mContext.run(); });
  }
  void Stop()
  {
    mContext.stop();
    mThread.join();
  }
};

/// A backend server in a thread.
struct BackendHost
{
  Runner mRunner;
  standins::TaskRunLog mLog;
  standins::BackendServer mServer{ mRunner.mContext,
                                   mRunner.mClock,
                                   "vm",
                                   kSlots,
                                   mLog };
  std::unique_ptr<HttpServer> mHttp;
};

Task<HttpReply>
AnswerBackend(BackendHost& aHost, const HttpRequest& aRequest)
{
  auto call =
    ToExpected<BackendCall>([&] { return DecodeBackendCall(aRequest); });
  if (!Ok(call)) {
    co_return EncodeError(std::get<Failure>(call));
  }
  auto reply =
    co_await aHost.mServer.Handle(std::get<BackendCall>(std::move(call)));
  aHost.mLog.clear();
  co_return EncodeBackendReply(reply);
}

Endpoint
Listen(HttpServer& aServer)
{
  aServer.Listen({ std::string(kLoopback), 0 }).value();
  return { std::string(kLoopback), aServer.Port() };
}

// One connection of the relay: reads a request, passes it on over its own
// connection to a backend server, writes the answer.
Task<void>
RelayConnection(tcp::socket aCaller, Endpoint aBackend)
{
  boost::system::error_code ec;
  aCaller.set_option(tcp::no_delay(true), ec);
  tcp::socket backend(aCaller.get_executor());
  tcp::endpoint endpoint(asio::ip::make_address(aBackend.mHost),
                         aBackend.mPort);
  auto [connected] = co_await backend.async_connect(endpoint, kToken);
  backend.set_option(tcp::no_delay(true), ec);
  beast::flat_buffer fromCaller;
  beast::flat_buffer fromBackend;
  while (!connected) {
    http::request<http::string_body> request;
    auto [readError, read] =
      co_await http::async_read(aCaller, fromCaller, request, kToken);
    if (readError) {
      co_return;
    }
    co_await http::async_write(backend, request, kToken);
    http::response<http::string_body> reply;
    auto [replyError, replied] =
      co_await http::async_read(backend, fromBackend, reply, kToken);
    if (replyError) {
      co_return;
    }
    co_await http::async_write(aCaller, reply, kToken);
  }
}

Task<void>
RunRelay(tcp::acceptor& aAcceptor, std::vector<Endpoint> aBackends)
{
  for (std::size_t i = 0;; ++i) {
    auto [ec, socket] = co_await aAcceptor.async_accept(kToken);
    if (ec) {
      co_return;
    }
    asio::co_spawn(
      aAcceptor.get_executor(),
      RelayConnection(std::move(socket), aBackends[i % aBackends.size()]),
      asio::detached);
  }
}

/// Where a load goes, and what it counts.
struct Load
{
  Endpoint mTo;
  bool mThroughDaemon = false;
  /// Base of the incarnations in the attempts of a load through the relay.
  std::uint64_t mIncarnation = 0;
  std::atomic<bool> mStop{ false };
  std::atomic<int> mRunning{ 0 };
  std::atomic<std::uint64_t> mDone{ 0 };
  std::atomic<std::uint64_t> mBad{ 0 };
};

Task<void>
Caller(Runner& aRunner, HttpClient& aClient, Load& aLoad, std::uint64_t aIndex)
{
  ++aLoad.mRunning;
  for (std::uint64_t n = 1; !aLoad.mStop; ++n) {
    HttpRequest request;
    request.mMethod = "POST";
    AttemptId attempt{ Incarnation(aLoad.mIncarnation + aIndex), n };
    request.mTarget = aLoad.mThroughDaemon
                        ? "/v1/pools/work/operations/op"
                        : "/tasks/" + ToString(attempt) +
                            "?pool=work&operation=op&lease_ms=1000";
    request.mBody = "payload";
    TimePoint deadline = aRunner.mClock.Now() + std::chrono::seconds(5);
    auto reply =
      co_await aClient.Exchange(aLoad.mTo, std::move(request), deadline);
    bool good = Ok(reply) && std::get<HttpReply>(reply).mStatus == 200;
    ++(good ? aLoad.mDone : aLoad.mBad);
  }
  --aLoad.mRunning;
}

// Requests a second that the callers get answered.
double
Drive(Load& aLoad)
{
  Runner runner;
  HttpClient client(runner.mContext, runner.mClock);
  for (std::uint64_t i = 0; i < kCallers; ++i) {
    asio::co_spawn(
      runner.mContext, Caller(runner, client, aLoad, i), asio::detached);
  }
  auto from = std::chrono::steady_clock::now();
  runner.Start();
  std::this_thread::sleep_for(kRoundTime);
  double seconds =
    std::chrono::duration<double>(std::chrono::steady_clock::now() - from)
      .count();
  auto done = static_cast<double>(aLoad.mDone.load());
  aLoad.mStop = true;
  while (aLoad.mRunning > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  runner.Stop();
  if (aLoad.mBad > 0) {
    std::fprintf(stderr,
                 "relay bench: %llu requests failed\n",
                 static_cast<unsigned long long>(aLoad.mBad.load()));
  }
  return done / seconds;
}

/// One daemon with its platform in the same thread, so that the platform's
/// work counts against the daemon and not for it.
struct DaemonHost
{
  Runner mRunner;
  standins::PlatformState mState;
  std::unique_ptr<Kernel> mKernel;
  std::unique_ptr<HttpClient> mClient;
  Endpoint mEndpoint;
};

constexpr std::string_view kBase = R"({
  "format": 1, "spare_pool": "spare", "sites": {"a": {"vms": 8}},
  "pools": {
    "spare": {"vms": 0},
    "work": {"vms": 3, "slots_per_vm": 64,
             "operations": {"op": {"idempotent": true}}}
  }
})";

Task<void>
ApplyBase(Kernel& aKernel)
{
  ConfigSource source;
  source.mBase = { "base.json", Json::parse(kBase) };
  ConfigService& config =
    *aKernel.Find<ConfigService>(ConfigService::kName).value();
  TimePoint deadline = aKernel.GetClock().Now() + std::chrono::seconds(5);
  auto version =
    co_await config.Accept(std::move(source), ConfigVersion{}, deadline);
  if (!Ok(version)) {
    std::abort();
  }
}

void
StartDaemon(DaemonHost& aHost, std::span<const Endpoint> aBackends)
{
  Runner& runner = aHost.mRunner;
  for (std::size_t i = 0; i < aBackends.size(); ++i) {
    aHost.mState.Vms().mWorkers.push_back(
      { "vm" + std::to_string(i), "a", "r1", aBackends[i], false });
  }
  aHost.mState.Vms().mEntryVms = { "n1" };
  aHost.mKernel = std::make_unique<Kernel>(runner.mContext, runner.mClock, 1);
  Kernel& kernel = *aHost.mKernel;
  aHost.mClient =
    std::make_unique<HttpClient>(runner.mContext, kernel.GetClock());
  Endpoint any{ std::string(kLoopback), 0 };
  DaemonOptions parts;
  parts.mSelf = { "n1", "a", Incarnation{ 1 }, any };
  parts.mCallers = any;
  parts.mPeers.mListen = any;
  parts.mPlatform =
    standins::MakePlatformPort(aHost.mState, runner.mClock, "a");
  parts.mBackends = HttpBackends{ aHost.mClient.get() };
  AddServices(kernel, std::move(parts));
  kernel.Start().value();
  asio::co_spawn(runner.mContext, ApplyBase(kernel), asio::detached);
  FrontService& front = *kernel.Find<FrontService>(FrontService::kName).value();
  aHost.mEndpoint = { std::string(kLoopback), front.Port() };
  runner.Start();
}

// Waits until the daemon serves the pool from every server.
void
WaitUsable(DaemonHost& aHost)
{
  std::atomic<bool> usable{ false };
  while (!usable) {
    asio::post(aHost.mRunner.mContext, [&] {
      auto& dispatch =
        *aHost.mKernel->Find<DispatchService>(DispatchService::kName).value();
      for (const PoolStats& pool : dispatch.Stats()) {
        usable = usable || (dispatch.Ready() && pool.mUsable == kBackends);
      }
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
}

// Ends the services' tasks before the services themselves go.
void
StopDaemon(DaemonHost& aHost)
{
  std::atomic<bool> stopped{ false };
  asio::co_spawn(aHost.mRunner.mContext,
                 aHost.mKernel->Stop(),
                 [&](const std::exception_ptr&) { stopped = true; });
  while (!stopped) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  aHost.mRunner.Stop();
}

void
StopBackend(BackendHost& aHost)
{
  std::atomic<bool> stopped{ false };
  asio::post(aHost.mRunner.mContext, [&] { aHost.mHttp->Abort(); });
  asio::co_spawn(aHost.mRunner.mContext,
                 aHost.mHttp->Drained(),
                 [&](const std::exception_ptr&) { stopped = true; });
  while (!stopped) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  aHost.mRunner.Stop();
}

double
Median(std::vector<double> aValues)
{
  std::sort(aValues.begin(), aValues.end());
  return aValues[aValues.size() / 2];
}

} // namespace

void
MeasureRelay(Report& aReport)
{
  constexpr double kLeastRatio = 0.7;
  SetUpLogs(LogFormat::Text, LogLevel::Error);
  std::vector<std::unique_ptr<BackendHost>> hosts;
  std::vector<Endpoint> backends;
  for (int i = 0; i < kBackends; ++i) {
    auto host = std::make_unique<BackendHost>();
    host->mHttp = std::make_unique<HttpServer>(
      host->mRunner.mContext,
      host->mRunner.mClock,
      "backend",
      HttpLimits{},
      [at = host.get()](const HttpRequest& aRequest, CallerState&) {
        return AnswerBackend(*at, aRequest);
      });
    backends.push_back(Listen(*host->mHttp));
    host->mRunner.Start();
    hosts.push_back(std::move(host));
  }
  Runner relay;
  tcp::endpoint any(asio::ip::make_address(kLoopback), 0);
  tcp::acceptor acceptor(relay.mContext, any);
  asio::co_spawn(relay.mContext, RunRelay(acceptor, backends), asio::detached);
  relay.Start();
  DaemonHost daemon;
  StartDaemon(daemon, backends);
  WaitUsable(daemon);

  std::vector<double> ratios;
  std::vector<double> ours;
  std::vector<double> bare;
  for (int i = 0; i < kRounds; ++i) {
    Load toRelay;
    constexpr std::uint64_t kFirstIncarnation = 1000;
    toRelay.mIncarnation =
      kFirstIncarnation * static_cast<std::uint64_t>(i + 1);
    toRelay.mTo = { std::string(kLoopback), acceptor.local_endpoint().port() };
    Load toDaemon;
    toDaemon.mTo = daemon.mEndpoint;
    toDaemon.mThroughDaemon = true;
    bare.push_back(Drive(toRelay));
    ours.push_back(Drive(toDaemon));
    ratios.push_back(ours.back() / bare.back());
  }
  aReport.Add({ "relay_requests_per_s",
                Median(ours),
                "1/s",
                Median(bare),
                {},
                Want::Nothing,
                1 });
  aReport.Add({ "relay_ratio",
                Median(ratios),
                "ratio",
                1.0,
                kLeastRatio,
                Want::AtLeast,
                1 });
  StopDaemon(daemon);
  relay.Stop();
  for (auto& host : hosts) {
    StopBackend(*host);
  }
}

} // namespace buckthornshunt::bench
