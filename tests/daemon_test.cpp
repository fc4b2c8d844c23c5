// End-to-end tests of daemons over TCP on loopback, with ephemeral ports. No
// result depends on timing: each wait ends once its condition holds, and its
// timeout is far longer than needed.

#include "daemon/assembly.h"
#include "kernel/log.h"
#include "net/http_server.h"
#include "services/dispatch_service.h"
#include "services/front_service.h"
#include "standins/backend_server.h"
#include "standins/platform_state.h"
#include "wire/api_codec.h"
#include "wire/backend_codec.h"
#include "wire/config_codec.h"
#include "wire/peer_codec.h"
#include "wire/platform_codec.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <memory>

using namespace buckthornshunt;
using boost::asio::ip::tcp;

namespace {

const std::string kLoopback = "127.0.0.1";

struct HostedBackend
{
  std::unique_ptr<standins::BackendServer> mServer;
  std::unique_ptr<HttpServer> mHttp;
};

struct Daemon
{
  std::unique_ptr<Kernel> mKernel;
  std::unique_ptr<HttpClient> mClient;
  Endpoint mCallers;
  Endpoint mPeers;
};

std::uint16_t
FreePort()
{
  asio::io_context context;
  tcp::acceptor acceptor(context, { asio::ip::make_address(kLoopback), 0 });
  return acceptor.local_endpoint().port();
}

/// Platform, backend servers and daemons on one executor, connected by TCP.
class LoopbackFleet
{
public:
  LoopbackFleet()
    : mSystem(mContext)
    , mClock(mContext, mSystem)
    , mTasks(mContext)
    , mClient(mContext, mClock)
    , mPlatformHttp(mContext,
                    mClock,
                    "platform",
                    HttpLimits{},
                    [this](const HttpRequest& aRequest, CallerState&) {
                      return AnswerPlatform(aRequest);
                    })
  {
    SetUpLogs(LogFormat::Text, LogLevel::Error);
    mPlatformHttp.Listen({ kLoopback, 0 }).value();
  }

  ~LoopbackFleet()
  {
    for (Daemon& daemon : mDaemons) {
      bool stopped = false;
      mTasks.Spawn("stop", [](Kernel& aKernel, bool& aStopped) -> Task<void> {
        co_await aKernel.Stop();
        aStopped = true;
      }(*daemon.mKernel, stopped));
      RunUntil([&] { return stopped; });
    }
    mPlatformHttp.Abort();
    for (HostedBackend& hosted : mServers) {
      hosted.mHttp->Abort();
    }
    mTasks.CancelAll();
    mContext.restart();
    mContext.poll();
  }

  template<class Condition>
  void RunUntil(Condition aCondition)
  {
    auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(60);
    while (!aCondition() && std::chrono::steady_clock::now() < deadline) {
      mContext.restart();
      mContext.run_one_for(std::chrono::milliseconds(100));
    }
    REQUIRE(aCondition());
  }

  void AddServer(std::string_view aVm, std::string_view aDataCentre)
  {
    constexpr int kSlots = 8;
    HostedBackend hosted;
    hosted.mServer = std::make_unique<standins::BackendServer>(
      mContext, mClock, aVm, kSlots, mLog);
    hosted.mHttp = std::make_unique<HttpServer>(
      mContext,
      mClock,
      "backend",
      HttpLimits{},
      [at = hosted.mServer.get()](const HttpRequest& aRequest, CallerState&) {
        return AnswerBackend(*at, aRequest);
      });
    hosted.mHttp->Listen({ kLoopback, 0 }).value();
    mState.Vms().mWorkers.push_back({ std::string(aVm),
                                      std::string(aDataCentre),
                                      "r1",
                                      { kLoopback, hosted.mHttp->Port() },
                                      false });
    mServers.push_back(std::move(hosted));
  }

  void AddDaemon(std::string_view aNode, std::string_view aDataCentre)
  {
    Daemon daemon;
    daemon.mKernel =
      std::make_unique<Kernel>(mContext, mClock, mDaemons.size() + 1);
    daemon.mClient = std::make_unique<HttpClient>(mContext, mClock);
    daemon.mPeers = { kLoopback, FreePort() };
    DaemonOptions options;
    options.mSelf = { std::string(aNode),
                      std::string(aDataCentre),
                      Incarnation(daemon.mKernel->Random()),
                      daemon.mPeers };
    options.mCallers = { kLoopback, 0 };
    options.mPeers.mListen = daemon.mPeers;
    for (const Daemon& other : mDaemons) {
      options.mPeers.mSeeds.push_back(other.mPeers);
    }
    options.mPlatform =
      HttpPlatform{ daemon.mClient.get(), { kLoopback, mPlatformHttp.Port() } };
    options.mBackends = HttpBackends{ daemon.mClient.get() };
    mState.Vms().mEntryVms.emplace_back(aNode);
    AddServices(*daemon.mKernel, std::move(options));
    daemon.mKernel->Start().value();
    daemon.mCallers = {
      kLoopback,
      daemon.mKernel->Find<FrontService>(FrontService::kName).value()->Port()
    };
    mDaemons.push_back(std::move(daemon));
  }

  HttpReply Call(std::size_t aDaemon,
                 std::string_view aMethod,
                 std::string aTarget,
                 std::string aBody = {},
                 HttpFields aFields = {})
  {
    std::optional<Expected<HttpReply>> reply;
    HttpRequest request{ std::string(aMethod),
                         std::move(aTarget),
                         std::move(aFields),
                         std::move(aBody) };
    mTasks.Spawn(
      "call",
      [](HttpClient& aClient,
         Endpoint aServer,
         HttpRequest aRequest,
         TimePoint aDeadline,
         std::optional<Expected<HttpReply>>& aReply) -> Task<void> {
        aReply =
          co_await aClient.Exchange(aServer, std::move(aRequest), aDeadline);
      }(mClient,
                                                     mDaemons[aDaemon].mCallers,
                                                     std::move(request),
                                                     mClock.Now() +
                                                       std::chrono::seconds(30),
                                                     reply));
    RunUntil([&] { return reply.has_value(); });
    REQUIRE(Ok(*reply));
    return std::get<HttpReply>(*reply);
  }

  std::size_t UsableServers(std::size_t aDaemon)
  {
    std::size_t n = 0;
    auto& dispatch = *mDaemons[aDaemon]
                        .mKernel->Find<DispatchService>(DispatchService::kName)
                        .value();
    for (const PoolStats& pool : dispatch.Stats()) {
      n += pool.mUsable;
    }
    return dispatch.Ready() ? n : 0;
  }

  Endpoint CallerEndpoint(std::size_t aDaemon) const
  {
    return mDaemons[aDaemon].mCallers;
  }
  standins::TaskRunLog& Log() { return mLog; }

private:
  Task<HttpReply> AnswerPlatform(const HttpRequest& aRequest)
  {
    auto call =
      ToExpected<PlatformCall>([&] { return DecodePlatformCall(aRequest); });
    if (!Ok(call)) {
      co_return EncodePlatformReply(std::get<Failure>(call));
    }
    auto reply = mState.Handle(std::get<PlatformCall>(call), mClock.WallNow());
    co_return EncodePlatformReply(reply);
  }

  static Task<HttpReply> AnswerBackend(standins::BackendServer& aServer,
                                       const HttpRequest& aRequest)
  {
    auto call =
      ToExpected<BackendCall>([&] { return DecodeBackendCall(aRequest); });
    if (!Ok(call)) {
      co_return EncodeError(std::get<Failure>(call));
    }
    BackendReply reply =
      co_await aServer.Handle(std::get<BackendCall>(std::move(call)));
    co_return EncodeBackendReply(reply);
  }

  asio::io_context mContext;
  SystemClock mSystem;
  Clock mClock;
  TaskGroup mTasks;
  HttpClient mClient;
  standins::PlatformState mState;
  standins::TaskRunLog mLog;
  HttpServer mPlatformHttp;
  std::vector<HostedBackend> mServers;
  std::vector<Daemon> mDaemons;
};

constexpr std::string_view kBaseConfig = R"({
  "format": 1, "spare_pool": "spare",
  "sites": {"a": {"vms": 2}, "b": {"vms": 1}},
  "pools": {
    "spare": {"vms": 0},
    "here": {"vms": 1, "operations": {"op": {"idempotent": true}}},
    "there": {"vms": 0, "operations": {"op": {"idempotent": true}}}
  }
})";

constexpr std::string_view kOverlayConfigB = R"({
  "format": 1, "site": "b",
  "pools": {"here": {"vms": 0}, "there": {"vms": 1}}
})";

void
StartFleet(LoopbackFleet& aFleet)
{
  aFleet.AddServer("a1", "a");
  aFleet.AddServer("a2", "a");
  aFleet.AddServer("b1", "b");
  aFleet.AddDaemon("n1", "a");
  aFleet.AddDaemon("n2", "b");
  Json body{ { "parent", 0 },
             { "base_file", "base.json" },
             { "base", Json::parse(kBaseConfig) },
             { "overlays", { { "b.json", Json::parse(kOverlayConfigB) } } } };
  HttpReply applied = aFleet.Call(0, "POST", "/v1/config", body.dump());
  REQUIRE(applied.mStatus == 200);
  aFleet.RunUntil([&] {
    return aFleet.UsableServers(0) == 2 && aFleet.UsableServers(1) == 1;
  });
}

// Sends raw bytes and returns the reply, read until the server closes.
std::string
SendRaw(LoopbackFleet& aFleet, std::string_view aBytes)
{
  asio::io_context context;
  tcp::socket socket(context);
  Endpoint to = aFleet.CallerEndpoint(0);
  std::string reply;
  bool done = false;
  std::string bytes(aBytes);
  socket.connect({ asio::ip::make_address(to.mHost), to.mPort });
  asio::write(socket, asio::buffer(bytes));
  boost::system::error_code ec;
  socket.shutdown(tcp::socket::shutdown_send, ec);
  asio::async_read(
    socket,
    asio::dynamic_buffer(reply),
    [&](boost::system::error_code, std::size_t) { done = true; });
  aFleet.RunUntil([&] {
    context.poll();
    return done;
  });
  return reply;
}

} // namespace

TEST_CASE("two daemons serve callers over TCP, one forwards to the other")
{
  LoopbackFleet fleet;
  StartFleet(fleet);
  HttpReply here = fleet.Call(0, "POST", "/v1/pools/here/operations/op", "x");
  CHECK(here.mStatus == 200);
  CHECK(here.mBody == standins::AnswerFor("x"));

  // The pool has servers only in the other data centre; n1 learns this from n2
  // over their peer link, so that early calls may fail.
  HttpReply there;
  auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(60);
  while (there.mStatus != 200 || there.mBody.empty()) {
    REQUIRE(std::chrono::steady_clock::now() < deadline);
    there = fleet.Call(0, "POST", "/v1/pools/there/operations/op", "y");
  }
  CHECK(there.mBody == standins::AnswerFor("y"));

  std::string trace(FindField(there.mFields, kTraceField));
  HttpReply traceReply = fleet.Call(0, "GET", "/v1/traces/" + trace);
  Json spans = Json::parse(traceReply.mBody)["spans"];
  std::set<std::string> hops;
  for (const Json& span : spans) {
    hops.insert(span["name"].get<std::string>() + "@" +
                span["node"].get<std::string>());
  }
  for (const char* hop :
       { "front@n1", "forward@n1", "serve@n2", "backend@n2" }) {
    CHECK_MESSAGE(hops.contains(hop), std::string(hop));
  }
}

TEST_CASE("invalid requests get typed errors and the daemon keeps serving")
{
  LoopbackFleet fleet;
  StartFleet(fleet);
  CHECK(fleet.Call(0, "GET", "/v1/nothing").mStatus == 404);
  CHECK(fleet.Call(0, "POST", "/v1/pools/none/operations/op").mStatus == 404);
  CHECK(fleet.Call(0, "POST", "/v1/config", "{").mStatus == 400);
  CHECK(fleet.Call(0, "POST", "/v1/config", R"({"parent": 1})").mStatus == 400);
  CHECK(fleet.Call(0, "GET", "/v1/traces/xyz").mStatus == 400);
  CHECK(fleet.Call(0, "POST", "/v1/vms/a1/move").mStatus == 400);
  CHECK(fleet.Call(0, "POST", "/v1/vms/a9/move?pool=here").mStatus == 404);
  CHECK(fleet.Call(0, "POST", "/v1/vms/a1/move?pool=none").mStatus == 404);
  HttpReply invalidDeadline = fleet.Call(0,
                                         "POST",
                                         "/v1/pools/here/operations/op",
                                         "x",
                                         { { "X-Deadline-Ms", "never" } });
  CHECK(invalidDeadline.mStatus == 400);
  CHECK(Json::parse(invalidDeadline.mBody)["error"] == "message_failure");

  std::string expectedStatus = "HTTP/1.1 400";
  CHECK(SendRaw(fleet, "nonsense\r\n\r\n").starts_with(expectedStatus));
  std::string large =
    "POST /v1/config HTTP/1.1\r\nContent-Length: 999999999\r\n\r\n";
  CHECK(SendRaw(fleet, large).starts_with("HTTP/1.1 413"));
  std::string headers =
    "GET / HTTP/1.1\r\nX: " + std::string(64 * 1024, 'x') + "\r\n\r\n";
  CHECK(SendRaw(fleet, headers).starts_with("HTTP/1.1 431"));
  CHECK(SendRaw(fleet, "POST /v1/config HTTP/1.1\r\nContent-Le").empty());
  CHECK(fleet.Call(0, "GET", "/healthz").mStatus == 200);
}

TEST_CASE("a stale parent version is rejected with the newest version")
{
  LoopbackFleet fleet;
  StartFleet(fleet);
  Json base = Json::parse(kBaseConfig);
  base["pools"]["here"]["queue_limit"] = 7;
  Json body{ { "parent", 0 },
             { "base_file", "base.json" },
             { "base", base },
             { "overlays", { { "b.json", Json::parse(kOverlayConfigB) } } } };
  HttpReply reply = fleet.Call(1, "POST", "/v1/config", body.dump());
  CHECK(reply.mStatus == 409);
  CHECK(Json::parse(reply.mBody)["newest"] == 1);
  body["parent"] = 1;
  CHECK(fleet.Call(1, "POST", "/v1/config", body.dump()).mStatus == 200);
}
