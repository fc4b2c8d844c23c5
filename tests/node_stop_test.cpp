// The stop of a node while clients go on sending requests: all workload
// services in one process, with real sockets and a manual clock.

#include "daemon/assembly.h"
#include "daemon/stop_signals.h"
#include "fake_store.h"
#include "kernel/log.h"
#include "kernel/trace.h"
#include "services/directory_service.h"
#include "services/fleet_service.h"
#include "tests/loopback_ports.h"
#include "wire/cell_codec.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <doctest/doctest.h>

#include <algorithm>
#include <csignal>
#include <deque>
#include <memory>

#include <sys/socket.h>

using namespace buckthornshunt;
using namespace buckthornshunt::tests;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;
namespace http = boost::beast::http;

namespace {

constexpr auto kToken = asio::as_tuple(asio::use_awaitable);
constexpr Duration kTick = 5ms;
constexpr int kPools = 4;
/// The platform kills a process that runs longer than this after SIGTERM.
constexpr Duration kGracePeriod = 6s;
/// Time that a process needs to exit once its services have stopped.
constexpr Duration kExitMargin = 500ms;
constexpr int kOk = 200;
constexpr int kUnavailable = 503;

// A row as the operator or a worker writes it.
void
PutRow(FakeStore& aStore,
       std::string aTable,
       std::string aKey,
       std::string aValue)
{
  RowName name{ std::move(aTable), "", std::move(aKey) };
  aStore.mRows[name] = { name, std::move(aValue), Revision(1), false };
}

// kPools queues with a pool and a worker each.
void
PutConfigAndWorkers(FakeStore& aStore)
{
  Json config = { { "version", 1 },
                  { "routes", Json::array() },
                  { "services", Json::array() } };
  for (int i = 0; i < kPools; ++i) {
    std::string n = std::to_string(i);
    config["routes"].push_back({ { "name", "queue" + n },
                                 { "host", "a.example" },
                                 { "path_prefix", "/queue" + n + "/" },
                                 { "service", "pool" + n },
                                 { "max_attempts", 3 },
                                 { "stretch", 3 },
                                 { "target_latency_ms", 60'000 } });
    config["services"].push_back({ { "name", "pool" + n } });
    Json worker = {
      { "service", "pool" + n },
      { "address", "127.0.0.1:1" },
      { "zone", "a" },
      { "state", "ready" },
      { "born", 1'700'000'000'000 },
      { "machine", "vm" + n },
      { "labels", Json::array() },
      { "capacity", { { "cpu", 64'000 }, { "mem_mb", 64'000 }, { "gpu", 0 } } }
    };
    PutRow(aStore, "servers", "worker" + n, worker.dump());
  }
  PutRow(aStore, "op", "config", config.dump());
}

/// Workers whose runs never end.
class EndlessWorkers
{
public:
  explicit EndlessWorkers(Clock& aClock)
    : mClock(aClock)
  {
  }

  Workers Port()
  {
    return InProcessWorkers{
      [this](WorkerAddress aWorker, WorkerCall aCall, TimePoint) {
        return Call(std::move(aWorker), std::move(aCall));
      }
    };
  }

  /// Runs on all workers.
  std::size_t Count() const
  {
    std::size_t n = 0;
    for (const auto& [worker, runs] : mRuns) {
      n += runs.size();
    }
    return n;
  }

private:
  Task<Expected<WorkerReply>> Call(WorkerAddress aWorker, WorkerCall aCall)
  {
    co_await mClock.Sleep(2ms);
    std::int64_t now = ToMillis(mClock.Now().time_since_epoch());
    std::map<TaskId, std::uint64_t>& runs = mRuns[aWorker.mId];
    if (const auto* start = std::get_if<StartRun>(&aCall)) {
      runs[start->mTask] = start->mRun;
    }
    const auto* renew = std::get_if<RenewLease>(&aCall);
    if (renew == nullptr) {
      co_return WorkerReply(OrderDone{ now });
    }
    co_await mClock.Sleep(renew->mMaxWait);
    WorkerStatus status{ now, 1'700'000'000'000, {}, {} };
    for (const auto& [task, run] : runs) {
      status.mActiveRuns.push_back({ task, run, "", 100, std::nullopt });
    }
    co_return WorkerReply(std::move(status));
  }

  Clock& mClock;
  std::map<std::string, std::map<TaskId, std::uint64_t>> mRuns;
};

/// A request that a client has sent whole.
struct SentRequest
{
  TimePoint mSentAt;
  std::optional<int> mStatus;
  std::string mRetryAfter;
};

/// A node that owns all cells, with clients and the load balancer's probe.
class StoppingNode
{
public:
  explicit StoppingNode(std::uint64_t aSeed = 1)
    : mManual(mContext)
    , mClock(mContext, mManual)
    , mPorts(mContext)
    , mFake(mClock)
    , mStore(mFake.Port())
    , mEndlessWorkers(mClock)
    , mWorkers(mEndlessWorkers.Port())
    , mMachines(InProcessMachines{
        [](MachineCall, TimePoint) -> Task<Expected<MachineReply>> {
          co_return MachineReply(PoolVmPage{});
        } })
    , mKernel(mContext, mClock, aSeed)
    , mTasks(mContext)
  {
    SetUpLogs(LogFormat::Text, LogLevel::Error);
    PutConfigAndWorkers(mFake);
    WorkloadOptions options;
    options.mSelf = { "node", mPorts.Reserve(), Incarnation(aSeed) };
    options.mEndpoints.mCallers = mCallers = mPorts.Reserve();
    options.mEndpoints.mReady = mReady = mPorts.Reserve();
    options.mEndpoints.mMetrics = mPorts.Reserve();
    options.mCells = { &mStore, &mWorkers, {} };
    options.mFleet = { &mStore, &mMachines };
    AddWorkloadServices(mKernel, std::move(options));
    REQUIRE(mKernel.Start());
  }

  ~StoppingNode()
  {
    if (!mStopRequestedAt) {
      RequestStop();
    }
    RunUntil([this] { return mStoppedAt.has_value(); });
    mTasks.CancelAll();
    mContext.restart();
    mContext.poll();
  }

  /// Waits until the node owns the fleet and every cell.
  void TakeOverAll()
  {
    RunUntil([this] { return OwnsAllCells(); });
  }

  /// Sends requests on open and on new connections, and probes readiness.
  void StartClients()
  {
    for (int i = 0; i < 2 * kPools; ++i) {
      mTasks.Spawn("client", SendRequests(i, i % 2 == 0));
    }
    mTasks.Spawn("balancer", ProbeReadiness());
  }

  /// Sends a request on a connection of its own and returns the status of its
  /// reply.
  int Call(http::verb aMethod, std::string_view aTarget, std::string aBody = {})
  {
    http::request<http::string_body> request{ aMethod, aTarget, 11 };
    request.set(http::field::host, "a.example");
    request.body() = std::move(aBody);
    request.prepare_payload();
    std::size_t n = mRequests.size();
    mTasks.Spawn("call",
                 [](StoppingNode& aNode,
                    http::request<http::string_body> aRequest) -> Task<void> {
                   tcp::socket socket(aNode.mContext);
                   auto [ec] = co_await socket.async_connect(
                     ToTcp(aNode.mCallers), kToken);
                   if (!ec) {
                     co_await aNode.Send(socket, std::move(aRequest));
                   }
                 }(*this, std::move(request)));
    RunUntil([&] { return mRequests.size() > n && mRequests[n].mStatus; });
    return *mRequests[n].mStatus;
  }

  /// Sends the jobs of the first queue to another pool from now on.
  void MoveFirstQueue(std::string_view aPool)
  {
    StoredRow& row = mFake.mRows[{ "op", "", "config" }];
    Json config = Json::parse(row.mValue);
    config["version"] = 2;
    config["routes"][0]["service"] = aPool;
    row.mValue = config.dump();
    row.mRevision = Revision(1'000'000);
    RunUntil([this] {
      return ToNumber(mKernel.Find<DirectoryService>(DirectoryService::kName)
                        .value()
                        ->Config()
                        ->mVersion) == 2;
    });
  }

  void RequestStop()
  {
    mStopRequestedAt = mClock.Now();
    mTasks.Spawn("stop", [](StoppingNode& aNode) -> Task<void> {
      co_await aNode.mKernel.Stop(DrainPeriod(kGracePeriod));
      aNode.mStoppedAt = aNode.mClock.Now();
    }(*this));
  }

  void Run(Duration aFor)
  {
    for (TimePoint end = mClock.Now() + aFor; mClock.Now() < end;) {
      mManual.Advance(kTick);
    }
  }

  template<class Condition>
  void RunUntil(Condition aCondition)
  {
    TimePoint deadline = mClock.Now() + 60s;
    while (!aCondition() && mClock.Now() < deadline) {
      mManual.Advance(kTick);
    }
    REQUIRE(aCondition());
  }

  std::optional<OwnerRow> OwnerOf(std::string_view aCell) const
  {
    auto it = mFake.mRows.find({ "cells", std::string(aCell), "owner" });
    if (it == mFake.mRows.end()) {
      return std::nullopt;
    }
    auto row =
      ToExpected<OwnerRow>([&] { return DecodeOwnerRow(it->second.mValue); });
    REQUIRE(Ok(row));
    return std::get<OwnerRow>(row);
  }

  /// Requests that were sent and got no complete reply.
  std::ptrdiff_t Unanswered() const
  {
    return std::count_if(mRequests.begin(), mRequests.end(), [](auto& aSent) {
      return !aSent.mStatus;
    });
  }

  /// Requests sent after the stop was requested that got this status.
  std::ptrdiff_t AnsweredWhileStopping(int aStatus) const
  {
    return std::count_if(mRequests.begin(), mRequests.end(), [&](auto& aSent) {
      return aSent.mSentAt >= *mStopRequestedAt && aSent.mStatus == aStatus;
    });
  }

  std::int64_t StopMillis() const
  {
    return ToMillis(mStoppedAt.value_or(mClock.Now()) - *mStopRequestedAt);
  }

  asio::io_context mContext;
  ManualClock mManual;
  Clock mClock;
  LoopbackPorts mPorts;
  FakeStore mFake;
  Store mStore;
  EndlessWorkers mEndlessWorkers;
  Workers mWorkers;
  Machines mMachines;
  Kernel mKernel;
  std::deque<SentRequest> mRequests;
  /// Probes that found the node ready after the stop was requested.
  int mReadyWhileStopping = 0;
  std::optional<TimePoint> mStopRequestedAt;
  std::optional<TimePoint> mStoppedAt;

private:
  bool OwnsAllCells() const
  {
    bool all = OwnerOf("fleet").has_value();
    for (int i = 0; i < kPools; ++i) {
      all = all && OwnerOf("pool" + std::to_string(i)).has_value();
    }
    return all;
  }

  static tcp::endpoint ToTcp(const Endpoint& aEndpoint)
  {
    return { asio::ip::make_address(aEndpoint.mHost), aEndpoint.mPort };
  }

  // On loopback, the end of a connection that the server has closed is visible
  // at once.
  static bool IsClosed(tcp::socket& aSocket)
  {
    char byte = 0;
    return ::recv(aSocket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) ==
           0;
  }

  http::request<http::string_body> MakeRequest(int aClient, std::uint64_t aN)
  {
    std::string target = "/queue" + std::to_string(aClient % kPools) + "/";
    http::request<http::string_body> request{ http::verb::get, target, 11 };
    request.set(http::field::host, "a.example");
    request.set("X-Deadline-Ms", "3000");
    if (aN % 3 != 2) {
      request.target(
        target +
        FormatId((static_cast<std::uint64_t>(aClient) << 32U) + aN / 3 + 1));
    }
    if (aN % 3 == 0) {
      request.method(http::verb::post);
      request.body() =
        R"({"spec":"x","steps":[{"count":1,"cpu":10,"estimate_ms":900}]})";
    }
    request.prepare_payload();
    return request;
  }

  // Submits a job, reads it and counts the jobs, over and over.
  Task<void> SendRequests(int aClient, bool aKeepOpen)
  {
    std::uint64_t n = 0;
    while (true) {
      tcp::socket socket(mContext);
      auto [ec] = co_await socket.async_connect(ToTcp(mCallers), kToken);
      bool open = !ec;
      while (open && !IsClosed(socket)) {
        auto request = MakeRequest(aClient, n++);
        bool keptOpen = co_await Send(socket, std::move(request));
        open = keptOpen && aKeepOpen;
        co_await mClock.Sleep(23ms);
      }
      co_await mClock.Sleep(7ms);
    }
  }

  Task<bool> Send(tcp::socket& aSocket,
                  http::request<http::string_body> aRequest)
  {
    auto [writeError, written] =
      co_await http::async_write(aSocket, aRequest, kToken);
    if (writeError) {
      co_return false;
    }
    SentRequest& sent = mRequests.emplace_back();
    sent.mSentAt = mClock.Now();
    boost::beast::flat_buffer buf;
    http::response<http::string_body> reply;
    auto [readError, read] =
      co_await http::async_read(aSocket, buf, reply, kToken);
    if (readError) {
      co_return false;
    }
    sent.mStatus = static_cast<int>(reply.result_int());
    sent.mRetryAfter = std::string(reply[http::field::retry_after]);
    co_return reply.keep_alive();
  }

  Task<void> ProbeReadiness()
  {
    while (true) {
      tcp::socket socket(mContext);
      boost::system::error_code ec;
      auto token = asio::redirect_error(asio::use_awaitable, ec);
      co_await socket.async_connect(ToTcp(mReady), token);
      http::request<http::string_body> request{ http::verb::get, "/ready", 11 };
      http::response<http::string_body> reply;
      boost::beast::flat_buffer buf;
      bool stopping = mStopRequestedAt.has_value();
      if (!ec) {
        co_await http::async_write(socket, request, token);
      }
      if (!ec) {
        co_await http::async_read(socket, buf, reply, token);
      }
      if (!ec && stopping && reply.result_int() == kOk) {
        ++mReadyWhileStopping;
      }
      co_await mClock.Sleep(100ms);
    }
  }

  Endpoint mCallers;
  Endpoint mReady;
  TaskGroup mTasks;
};

} // namespace

TEST_CASE("requests taken late in a stop are lost with a slow store")
{
  StoppingNode node;
  node.TakeOverAll();
  node.StartClients();
  node.Run(1s);
  REQUIRE(node.mRequests.size() > 0);
  REQUIRE(std::any_of(node.mRequests.begin(),
                      node.mRequests.end(),
                      [](auto& aSent) { return aSent.mStatus == kOk; }));
  node.mFake.mLatency = 300ms;
  node.RequestStop();
  node.Run(kGracePeriod);
  CHECK(node.mReadyWhileStopping == 0);
  CHECK(node.Unanswered() == 0);
  CHECK(node.StopMillis() <= ToMillis(kGracePeriod - kExitMargin));
}

TEST_CASE("requests taken late in a stop are lost without the store")
{
  StoppingNode node;
  node.TakeOverAll();
  node.StartClients();
  node.Run(1s);
  node.mFake.mUnresponsive = true;
  node.RequestStop();
  node.Run(kGracePeriod);
  CHECK(node.mReadyWhileStopping == 0);
  CHECK(node.Unanswered() == 0);
  CHECK(node.StopMillis() <= ToMillis(kGracePeriod - kExitMargin));
  CHECK(node.AnsweredWhileStopping(kUnavailable) > 0);
}

TEST_CASE("a stop during the claim of the fleet leaves it owned")
{
  for (Duration at = 0ms; at < 2500ms; at += 50ms) {
    CAPTURE(ToMillis(at));
    StoppingNode node;
    node.mFake.mCommitReplyLatency = 100ms;
    node.Run(at);
    node.RequestStop();
    node.RunUntil([&] { return node.mStoppedAt.has_value(); });
    std::optional<OwnerRow> fleet = node.OwnerOf("fleet");
    CHECK((!fleet || fleet->mReleased));
  }
}

namespace {

/// A service whose drain takes a given time.
class DrainedService
{
public:
  DrainedService(Kernel& aKernel, Duration aDrainTime)
    : mKernel(aKernel)
    , mDrainTime(aDrainTime)
  {
  }

  leaf::result<void> Start() { return {}; }

  Task<void> Drain(TimePoint aDeadline)
  {
    mDeadline = aDeadline;
    co_await mKernel.GetClock().Sleep(mDrainTime);
    mDrained = true;
  }

  Task<void> Stop()
  {
    mStoppedAt = mKernel.GetClock().Now();
    co_return;
  }

  Kernel& mKernel;
  Duration mDrainTime;
  std::optional<TimePoint> mDeadline;
  bool mDrained = false;
  std::optional<TimePoint> mStoppedAt;
};

/// A kernel with two services that drain, for 1 s and for 2 s.
struct DrainingKernel
{
  DrainingKernel()
    : mManual(mContext)
    , mKernel(mContext, Clock(mContext, mManual), 1)
    , mShort(mKernel.Add<DrainedService>("short", 1s))
    , mLong(mKernel.Add<DrainedService>("long", 2s))
  {
    SetUpLogs(LogFormat::Text, LogLevel::Error);
    REQUIRE(mKernel.Start());
  }

  asio::io_context mContext;
  ManualClock mManual;
  Kernel mKernel;
  DrainedService& mShort;
  DrainedService& mLong;
};

void
RequestStop(DrainingKernel& aFixture, Duration aDrainPeriod)
{
  asio::co_spawn(aFixture.mContext,
                 aFixture.mKernel.Stop(aDrainPeriod),
                 [](const std::exception_ptr& aError) { CHECK_FALSE(aError); });
}

} // namespace

TEST_CASE("services drain at the same time and stop once all have drained")
{
  DrainingKernel fixture;
  TimePoint begin = fixture.mManual.Now();
  RequestStop(fixture, 5s);
  fixture.mManual.Advance(1500ms);
  CHECK(fixture.mKernel.IsStopping());
  CHECK(fixture.mShort.mDrained);
  CHECK(fixture.mShort.mDeadline == begin + 5s);
  CHECK(fixture.mLong.mDeadline == begin + 5s);
  CHECK_FALSE(fixture.mShort.mStoppedAt);
  fixture.mManual.Advance(10s);
  CHECK(fixture.mLong.mStoppedAt == begin + 2s);
  CHECK(fixture.mShort.mStoppedAt == begin + 2s);
}

TEST_CASE("a drain that misses its deadline delays the stop")
{
  DrainingKernel fixture;
  TimePoint begin = fixture.mManual.Now();
  RequestStop(fixture, 1500ms);
  fixture.mManual.Advance(10s);
  CHECK(fixture.mShort.mDrained);
  CHECK_FALSE(fixture.mLong.mDrained);
  CHECK(fixture.mLong.mStoppedAt == begin + 1500ms);
  CHECK(fixture.mShort.mStoppedAt == begin + 1500ms);
}

TEST_CASE("a second signal cuts a stop short")
{
  DrainingKernel fixture;
  TimePoint begin = fixture.mManual.Now();
  StopSignals signals(fixture.mKernel, 5s);
  std::raise(SIGTERM);
  fixture.mManual.Advance(500ms);
  CHECK(fixture.mKernel.IsStopping());
  std::raise(SIGTERM);
  std::raise(SIGINT);
  fixture.mManual.Advance(500ms);
  CHECK_FALSE(fixture.mContext.stopped());
  CHECK(fixture.mKernel.TimeSinceStopRequest() == 1s);
  fixture.mManual.Advance(10s);
  CHECK(fixture.mLong.mDrained);
  CHECK(fixture.mLong.mStoppedAt == begin + 2s);
}

TEST_CASE("a job of a pool that has no queue any more is reported as unknown")
{
  constexpr int kGone = 410;
  const std::string target = "/queue0/00000000000000aa";
  StoppingNode node;
  node.TakeOverAll();
  node.RunUntil([&] {
    return node.Call(http::verb::post,
                     target,
                     R"({"spec":"x","steps":[{"count":1,"cpu":10}]})") == kOk;
  });
  CHECK(node.Call(http::verb::get, target) == kOk);
  node.MoveFirstQueue("pool1");
  CHECK(node.Call(http::verb::get, target) != kGone);
  node.Run(2s);
  CHECK(node.Call(http::verb::get, target) == kOk);
}

// Guards against a submission that arrives again being accepted as a new job by
// the pool to which the queue has moved.
TEST_CASE("a repeated submission to a queue that has moved runs its job again")
{
  const std::string target = "/queue0/00000000000000aa";
  const std::string job = R"({"spec":"x","steps":[{"count":1,"cpu":10}]})";
  StoppingNode node;
  node.TakeOverAll();
  node.RunUntil(
    [&] { return node.Call(http::verb::post, target, job) == kOk; });
  node.Run(1s);
  REQUIRE(node.mEndlessWorkers.Count() == 1);
  node.MoveFirstQueue("pool1");
  CHECK(node.Call(http::verb::post, target, job) == kOk);
  node.Run(2s);
  CHECK(node.mEndlessWorkers.Count() == 1);
  // Other jobs of the queue run in the new pool.
  CHECK(node.Call(http::verb::post, "/queue0/00000000000000bb", job) == kOk);
  node.Run(1s);
  CHECK(node.mEndlessWorkers.Count() == 2);
}
