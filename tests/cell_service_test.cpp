// Calls at an owner that releases its cells, on a manual clock. The store and
// the workers are simulated.

#include "daemon/assembly.h"
#include "fake_store.h"
#include "kernel/kernel.h"
#include "services/cell_service.h"
#include "services/directory_service.h"
#include "services/owner_service.h"
#include "services/relay_service.h"
#include "tests/loopback_ports.h"
#include "wire/cell_codec.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/this_coro.hpp>
#include <doctest/doctest.h>

#include <functional>
#include <memory>

using namespace buckthornshunt;
using namespace buckthornshunt::tests;
using namespace std::chrono_literals;

namespace {

constexpr Duration kGracePeriod = 6s;

constexpr std::string_view kPool = "p0";

std::string
JobName(int aNumber)
{
  return "job" + std::to_string(1000 + aNumber);
}

/// A worker that runs what it is told to and ends runs at the test's request.
class FakeWorkers
{
public:
  explicit FakeWorkers(Clock& aClock)
    : mClock(aClock)
  {
  }

  Workers Port()
  {
    return InProcessWorkers{
      [this](const WorkerAddress& aWorker, WorkerCall aCall, TimePoint) {
        return Call(aWorker.mEndpoint.mPort, std::move(aCall));
      }
    };
  }

  void EndAllRuns(RunEnd aEnd = RunEnd::Done)
  {
    for (const auto& [task, run] : mRuns) {
      mEnds.push_back({ ++mLastEnd, task, run, aEnd, "" });
    }
    mRuns.clear();
  }

  void EndOneRunOfEachJob()
  {
    std::string last;
    for (auto it = mRuns.begin(); it != mRuns.end();) {
      bool ends = it->first.mJob != last;
      last = it->first.mJob;
      if (ends) {
        mEnds.push_back(
          { ++mLastEnd, it->first, it->second, RunEnd::Done, "" });
        it = mRuns.erase(it);
      } else {
        ++it;
      }
    }
  }

  Duration mDelay = 2ms;
  std::int64_t mIncarnation = 5;
  /// Calls to other ports are answered by another worker.
  std::uint16_t mPort = 9;
  /// A cancelled call ends with its answer.
  bool mIgnoresCancellation = false;
  std::map<TaskId, std::uint64_t> mRuns;
  /// Number of starts of each task.
  std::map<TaskId, int> mStarts;

private:
  struct Visitor
  {
    WorkerReply operator()(const StartRun& aCall) const
    {
      if (!Accepts(aCall.mToken)) {
        return OrderRefused{ StartRefusal::Fenced, 0 };
      }
      mWorkers.mRuns[aCall.mTask] = aCall.mRun;
      ++mWorkers.mStarts[aCall.mTask];
      return OrderDone{};
    }
    WorkerReply operator()(const StopRun& aCall) const
    {
      if (mWorkers.mRuns.erase(aCall.mTask) > 0) {
        mWorkers.mEnds.push_back({ ++mWorkers.mLastEnd,
                                   aCall.mTask,
                                   aCall.mRun,
                                   RunEnd::Stopped,
                                   "" });
      }
      return OrderDone{};
    }
    WorkerReply operator()(const ThrottleRun&) const { return OrderDone{}; }
    WorkerReply operator()(const RequestAdvice&) const { return Advice{}; }
    WorkerReply operator()(const RenewLease& aCall) const
    {
      if (!Accepts(aCall.mToken)) {
        return OrderRefused{ StartRefusal::Fenced, 0 };
      }
      std::erase_if(mWorkers.mEnds, [&](const EndedRun& aEnd) {
        return aEnd.mSequence <= aCall.mAcknowledgedSequence;
      });
      WorkerStatus status;
      status.mIncarnation = mWorkers.mIncarnation;
      for (const auto& [task, run] : mWorkers.mRuns) {
        status.mActiveRuns.push_back({ task, run, "", 100, std::nullopt });
      }
      status.mEndedRuns = mWorkers.mEnds;
      return status;
    }
    bool Accepts(FencingToken aToken) const
    {
      bool accepted = aToken >= mWorkers.mToken;
      mWorkers.mToken = std::max(mWorkers.mToken, aToken);
      return accepted;
    }

    FakeWorkers& mWorkers;
  };

  Task<Expected<WorkerReply>> Call(std::uint16_t aPort, WorkerCall aCall)
  {
    if (mIgnoresCancellation) {
      co_await asio::this_coro::reset_cancellation_state(
        asio::disable_cancellation());
    }
    co_await mClock.Sleep(mDelay);
    if (aPort != mPort) {
      co_return WorkerReply(IncarnationMismatch{});
    }
    co_return std::visit(Visitor{ *this }, aCall);
  }

  Clock& mClock;
  FencingToken mToken{};
  std::uint64_t mLastEnd = 0;
  std::vector<EndedRun> mEnds;
};

/// A node with the services that cells need.
struct CellNode
{
  CellNode(asio::io_context& aContext,
           ManualClock& aManual,
           Store& aStore,
           const CellPorts& aPorts,
           const LocalNode& aSelf)
    : mKernel(aContext, Clock(aContext, aManual), ToNumber(aSelf.mIncarnation))
    , mDirectory(mKernel.Add<DirectoryService>(DirectoryService::kName, aStore))
    , mOwners(mKernel.Add<OwnerService>(OwnerService::kName, aStore, aSelf))
    , mRelay(
        mKernel.Add<RelayService>(RelayService::kName, aSelf.mPeerEndpoint))
    , mCells(
        mKernel.Add<CellService>(CellService::kName, aPorts, CellDurations{}))
  {
    REQUIRE(mKernel.Start());
  }

  Kernel mKernel;
  DirectoryService& mDirectory;
  OwnerService& mOwners;
  RelayService& mRelay;
  CellService& mCells;
};

/// A call's reply, once there is one.
struct PendingReply
{
  std::optional<OwnerReply> mReply;
  TimePoint mAt;

  template<class Reply>
  bool Is() const
  {
    const auto* reply = mReply ? std::get_if<CallerReply>(&*mReply) : nullptr;
    return reply != nullptr && std::holds_alternative<Reply>(*reply);
  }
};
using PendingReplyPtr = std::shared_ptr<PendingReply>;

/// Nodes that share a store in which commits take effect, and are answered,
/// after settable delays.
class CellFleet
{
public:
  explicit CellFleet(int aPools = 1)
    : mManual(mContext)
    , mClock(mContext, mManual)
    , mFake(mClock)
    , mFakePort(mFake.Port())
    , mPorts(mContext)
    , mStore(InProcessStore{ [this](StoreCall aCall, TimePoint aDeadline) {
      return CallSlowly(std::move(aCall), aDeadline);
    } })
    , mFakeWorkers(mClock)
    , mWorkers(mFakeWorkers.Port())
  {
    WriteConfig(aPools, std::string(kPool));
    WriteWorker();
  }

  ~CellFleet()
  {
    mBeforeCommit = mBeforeAnswer = 0ms;
    mFake.mUnresponsive = false;
    for (auto& node : mNodes) {
      auto stopped = Stop(*node);
      mManual.Advance(20s);
      CHECK(*stopped);
    }
  }

  /// Queue "qN" sends its jobs to pool "pN", but the first one to
  /// aPoolOfFirst.
  void WriteConfig(int aPools, const std::string& aPoolOfFirst)
  {
    Json routes = Json::array();
    Json services = Json::array();
    for (int i = 0; i < aPools; ++i) {
      std::string pool = "p" + std::to_string(i);
      services.push_back({ { "name", pool } });
      routes.push_back({ { "name", "q" + std::to_string(i) },
                         { "host", "h" },
                         { "path_prefix", "/" + pool },
                         { "service", i == 0 ? aPoolOfFirst : pool },
                         { "target_latency_ms", 100000 },
                         { "max_attempts", 3 } });
    }
    AddRow("op",
           "config",
           { { "version", ++mConfigVersion },
             { "routes", routes },
             { "services", services } });
  }

  /// Writes the worker's present entry.
  void WriteWorker()
  {
    std::string port = std::to_string(mFakeWorkers.mPort);
    AddRow("servers",
           "w",
           { { "service", kPool },
             { "address", "127.0.0.1:" + port },
             { "zone", "z" },
             { "state", "ready" },
             { "machine", "m" },
             { "born", mFakeWorkers.mIncarnation },
             { "capacity", { { "cpu", 1000000 }, { "mem_mb", 1000000 } } } });
  }

  void AddRow(std::string_view aTable, std::string_view aKey, const Json& aBody)
  {
    RowName name{ std::string(aTable), "", std::string(aKey) };
    ConditionalCommit commit;
    commit.mPuts.push_back({ name, aBody.dump() });
    TimePoint deadline = mManual.Now() + 1s;
    asio::co_spawn(mContext,
                   CallStore(mFakePort, commit, deadline),
                   [](const std::exception_ptr&, const auto&) {});
    mManual.Advance(5ms);
  }

  CellNode& AddNode()
  {
    ++mLastNode;
    LocalNode self{ "n" + std::to_string(mLastNode),
                    mPorts.Reserve(),
                    Incarnation(mLastNode) };
    CellPorts ports;
    ports.mStore = &mStore;
    ports.mWorkers = &mWorkers;
    mNodes.push_back(
      std::make_unique<CellNode>(mContext, mManual, mStore, ports, self));
    return *mNodes.back();
  }

  /// A node that owns the cells of all pools.
  CellNode& AddOwner()
  {
    CellNode& node = AddNode();
    mManual.Advance(6s);
    REQUIRE(node.mCells.Find(kPool));
    return node;
  }

  PendingReplyPtr Call(CellNode& aNode,
                       CallerCall aCall,
                       Duration aPatience = 1200ms)
  {
    auto pending = std::make_shared<PendingReply>();
    RelayedCall call{ std::string(kPool), std::move(aCall), aPatience };
    asio::co_spawn(
      mContext,
      aNode.mCells.Handle(std::move(call)),
      [this, pending](const std::exception_ptr& aError, OwnerReply aReply) {
        CHECK_FALSE(aError);
        pending->mReply = aReply;
        pending->mAt = mManual.Now();
      });
    mManual.Advance(0ms);
    return pending;
  }

  PendingReplyPtr Submit(CellNode& aNode,
                         const std::string& aId,
                         bool aLongRunning = false,
                         std::uint32_t aTasks = 1)
  {
    StepSpec step;
    step.mTaskCount = aTasks;
    step.mTaskResources.mCpuMillis = 100;
    step.mEstimatedRunTime = 100ms;
    step.mLongRunning = aLongRunning;
    SubmitJob call{ "q0", aId, {} };
    call.mSpec.mSteps.push_back(step);
    return Call(aNode, std::move(call));
  }

  PendingReplyPtr Cancel(CellNode& aNode, const std::string& aId)
  {
    return Call(aNode, CancelJob{ "q0", aId });
  }

  /// Asks the node to release the cell; returns once it has begun.
  void RequestHandoff(CellNode& aNode)
  {
    Kernel kernel(mContext, mClock, 1);
    RelayService relay(kernel, mPorts.Reserve());
    REQUIRE(relay.Start());
    bool answered = false;
    Json body = { { "pool", kPool } };
    TimePoint deadline = mManual.Now() + 1s;
    asio::co_spawn(
      mContext,
      relay.Call(aNode.mOwners.Self().mPeerEndpoint,
                 "ask for cell",
                 std::move(body),
                 deadline),
      [&](const std::exception_ptr&, const Expected<Json>& aReply) {
        CHECK(Ok(aReply));
        answered = true;
      });
    RunUntil(answered);
    bool stopped = false;
    asio::co_spawn(mContext, relay.Stop(), [&](const std::exception_ptr&) {
      stopped = true;
    });
    RunUntil(stopped);
  }

  void RunUntil(const bool& aDone)
  {
    while (!aDone) {
      mContext.restart();
      mContext.run_one();
    }
  }

  /// True once the node's cells have stopped.
  std::shared_ptr<bool> Stop(CellNode& aNode)
  {
    return Run(aNode.mKernel.Stop(DrainPeriod(kGracePeriod)));
  }

  std::shared_ptr<bool> Run(Task<void> aTask)
  {
    auto ended = std::make_shared<bool>(false);
    asio::co_spawn(
      mContext, std::move(aTask), [ended](const std::exception_ptr& aError) {
        CHECK_FALSE(aError);
        *ended = true;
      });
    mManual.Advance(0ms);
    return ended;
  }

  bool IsJobStored(const std::string& aId) const
  {
    return mFake.mRows.contains({ "jobs", std::string(kPool), aId });
  }

  std::optional<JobPhase> StoredPhase(const std::string& aId) const
  {
    auto it = mFake.mRows.find({ "progress", std::string(kPool), aId });
    if (it == mFake.mRows.end()) {
      return std::nullopt;
    }
    auto progress = ToExpected<StoredProgress>(
      [&] { return DecodeProgress(it->second.mValue); });
    REQUIRE(Ok(progress));
    return std::get<StoredProgress>(progress).mPhase;
  }

  /// The cell's owner row; none if the cell has never been claimed.
  std::optional<OwnerRow> Owner(std::string_view aPool) const
  {
    auto it = mFake.mRows.find({ "cells", std::string(aPool), "owner" });
    if (it == mFake.mRows.end()) {
      return std::nullopt;
    }
    auto row =
      ToExpected<OwnerRow>([&] { return DecodeOwnerRow(it->second.mValue); });
    REQUIRE(Ok(row));
    return std::get<OwnerRow>(row);
  }

  asio::io_context mContext;
  ManualClock mManual;
  Clock mClock;
  FakeStore mFake;
  Store mFakePort;
  LoopbackPorts mPorts;
  Store mStore;
  FakeWorkers mFakeWorkers;
  Workers mWorkers;
  Duration mBeforeCommit{};
  Duration mBeforeAnswer{};

private:
  // A call may have no effect after its deadline, as with a closed connection.
  Task<Expected<StoreReply>> CallSlowly(StoreCall aCall, TimePoint aDeadline)
  {
    bool commit = std::holds_alternative<ConditionalCommit>(aCall);
    Duration before = commit ? mBeforeCommit : 0ms;
    if (mClock.Now() + before >= aDeadline) {
      co_await mClock.SleepUntil(aDeadline);
      co_return Failure(TimeoutFailure{});
    }
    co_await mClock.Sleep(before);
    auto reply = co_await CallStore(mFakePort, std::move(aCall), aDeadline);
    if (commit) {
      TimePoint answered = std::min(mClock.Now() + mBeforeAnswer, aDeadline);
      co_await mClock.SleepUntil(answered);
      if (mClock.Now() >= aDeadline) {
        co_return Failure(TimeoutFailure{});
      }
    }
    co_return reply;
  }

  std::vector<std::unique_ptr<CellNode>> mNodes;
  std::uint16_t mLastNode = 0;
  std::uint64_t mConfigVersion = 0;
};

} // namespace

TEST_CASE("a submission during a release is answered by what was stored")
{
  int accepted = 0;
  for (int ms = 0; ms < 60; ++ms) {
    CAPTURE(ms);
    CellFleet fleet;
    CellNode& node = fleet.AddOwner();
    fleet.mBeforeCommit = fleet.mBeforeAnswer = 10ms;
    auto reply = fleet.Submit(node, "a");
    fleet.mManual.Advance(std::chrono::milliseconds(ms));
    TimePoint began = fleet.mManual.Now();
    fleet.Stop(node);
    fleet.mManual.Advance(2s);
    REQUIRE(reply->mReply);
    bool stored = fleet.IsJobStored("a");
    CHECK(reply->Is<JobAccepted>() == stored);
    CHECK(reply->Is<ServiceUnavailable>() != stored);
    CHECK(reply->mAt <= began + 200ms);
    accepted += stored ? 1 : 0;
  }
  CHECK(accepted > 0);
}

TEST_CASE("a cancellation during a release is answered by what was stored")
{
  for (int ms = 0; ms < 60; ++ms) {
    CAPTURE(ms);
    CellFleet fleet;
    CellNode& node = fleet.AddOwner();
    fleet.Submit(node, "a");
    fleet.mManual.Advance(100ms);
    fleet.mBeforeCommit = fleet.mBeforeAnswer = 10ms;
    auto reply = fleet.Cancel(node, "a");
    fleet.mManual.Advance(std::chrono::milliseconds(ms));
    fleet.Stop(node);
    fleet.mManual.Advance(2s);
    REQUIRE(reply->mReply);
    bool stored = fleet.StoredPhase("a") == JobPhase::Cancelled;
    CHECK(reply->Is<JobCancelled>() == stored);
    CHECK(reply->Is<ServiceUnavailable>() != stored);
  }
}

TEST_CASE("a release stores the changes of more jobs than one commit holds")
{
  constexpr int kJobs = 75;
  CellFleet fleet;
  CellNode& node = fleet.AddOwner();
  std::vector<PendingReplyPtr> replies;
  for (int i = 0; i < kJobs; ++i) {
    replies.push_back(fleet.Submit(node, JobName(i)));
  }
  fleet.mManual.Advance(1s);
  REQUIRE(fleet.mFakeWorkers.mRuns.size() == kJobs);
  fleet.mFakeWorkers.EndAllRuns();
  // Until the ends are listed.
  while (!node.mCells.Find(kPool)->State().Workers().at("w").mRuns.empty()) {
    fleet.mManual.Advance(1ms);
  }
  std::vector<PendingReplyPtr> late;
  for (int i = kJobs; i < 2 * kJobs; ++i) {
    late.push_back(fleet.Submit(node, JobName(i)));
  }
  fleet.Stop(node);
  fleet.mManual.Advance(2s);
  for (int i = 0; i < kJobs; ++i) {
    CAPTURE(i);
    CHECK(replies[i]->Is<JobAccepted>());
    CHECK(fleet.StoredPhase(JobName(i)) == JobPhase::Completed);
    CHECK(late[i]->Is<JobAccepted>());
    CHECK(fleet.IsJobStored(JobName(kJobs + i)));
  }
  // The next owner starts no task again whose end the first one has seen.
  fleet.AddOwner();
  for (int i = 0; i < kJobs; ++i) {
    CHECK(fleet.mFakeWorkers.mStarts[{ JobName(i), 0, 0, 0 }] == 1);
  }
}

TEST_CASE("a node that stops at any moment of a takeover leaves the cell free")
{
  for (int ms = 400; ms < 1000; ms += 2) {
    CAPTURE(ms);
    CellFleet fleet;
    fleet.mBeforeCommit = fleet.mBeforeAnswer = 10ms;
    CellNode& node = fleet.AddNode();
    fleet.mManual.Advance(std::chrono::milliseconds(ms));
    auto stopped = fleet.Stop(node);
    fleet.mManual.Advance(4s);
    CHECK(*stopped);
    auto owner = fleet.Owner(kPool);
    CHECK((!owner || owner->mReleased));
  }
}

TEST_CASE("a node that stops at any moment of a handoff leaves the cell free")
{
  for (int ms = 0; ms < 60; ++ms) {
    CAPTURE(ms);
    CellFleet fleet;
    CellNode& node = fleet.AddOwner();
    fleet.Submit(node, "a");
    fleet.mManual.Advance(100ms);
    fleet.mBeforeCommit = fleet.mBeforeAnswer = 10ms;
    fleet.mFakeWorkers.mDelay = 20ms;
    fleet.mFakeWorkers.mIgnoresCancellation = true;
    fleet.mManual.Advance(70ms);
    fleet.RequestHandoff(node);
    fleet.mManual.Advance(std::chrono::milliseconds(ms));
    auto stopped = fleet.Stop(node);
    fleet.mManual.Advance(4s);
    CHECK(*stopped);
    auto owner = fleet.Owner(kPool);
    CHECK((!owner || owner->mReleased));
  }
}

TEST_CASE("cells of a stopping node are released at the same time")
{
  constexpr int kPools = 6;
  CellFleet fleet(kPools);
  CellNode& node = fleet.AddOwner();
  REQUIRE(node.mCells.Owned().size() == kPools);
  fleet.mBeforeCommit = fleet.mBeforeAnswer = 150ms;
  // A commit in progress delays a release by its own length at most.
  auto stopped = fleet.Stop(node);
  fleet.mManual.Advance(650ms);
  CHECK(*stopped);
  for (int i = 0; i < kPools; ++i) {
    CHECK(fleet.Owner("p" + std::to_string(i))->mReleased);
  }
}

TEST_CASE("a drain ends at its deadline although the store is silent")
{
  CellFleet fleet(3);
  CellNode& node = fleet.AddOwner();
  fleet.mFake.mUnresponsive = true;
  TimePoint deadline = fleet.mManual.Now() + 700ms;
  auto drained = fleet.Run(node.mCells.Drain(deadline));
  fleet.mManual.Advance(699ms);
  CHECK_FALSE(*drained);
  fleet.mManual.Advance(1ms);
  CHECK(*drained);
}

TEST_CASE("a stored job is never reported unknown while its cell moves")
{
  CellFleet fleet;
  CellNode& first = fleet.AddOwner();
  auto submitted = fleet.Submit(first, "a", true);
  fleet.mManual.Advance(500ms);
  REQUIRE(submitted->Is<JobAccepted>());
  CellNode& second = fleet.AddNode();
  fleet.mManual.Advance(1s);
  fleet.mBeforeCommit = fleet.mBeforeAnswer = 20ms;
  fleet.Stop(first);
  int answered = 0;
  for (int ms = 0; ms < 3000; ++ms) {
    CAPTURE(ms);
    auto read = fleet.Call(second, ReadJob{ "q0", "a" }, 100ms);
    auto readAtFirst = fleet.Call(first, ReadJob{ "q0", "a" }, 100ms);
    fleet.mManual.Advance(1ms);
    CHECK_FALSE(read->Is<JobNotFound>());
    CHECK_FALSE(readAtFirst->Is<JobNotFound>());
    answered += read->Is<JobPhaseReply>() ? 1 : 0;
  }
  CHECK(answered > 1000);
  // The long-running task is adopted, not started again.
  CHECK(fleet.mFakeWorkers.mStarts[{ "a", 0, 0, 0 }] == 1);
  CHECK(fleet.mFakeWorkers.mRuns.size() == 1);
}

TEST_CASE("a node that owns nothing takes one of another node's two cells")
{
  CellFleet fleet(2);
  CellNode& first = fleet.AddNode();
  fleet.mManual.Advance(6s);
  REQUIRE(first.mCells.Find("p0"));
  REQUIRE(first.mCells.Find("p1"));
  CellNode& second = fleet.AddNode();
  CellNode& third = fleet.AddNode();
  fleet.mManual.Advance(6s);
  int owned = 0;
  for (CellNode* node : { &first, &second, &third }) {
    int cells =
      (node->mCells.Find("p0") ? 1 : 0) + (node->mCells.Find("p1") ? 1 : 0);
    CHECK(cells <= 1);
    owned += cells;
  }
  CHECK(owned == 2);
  CHECK((first.mCells.Find("p0") || first.mCells.Find("p1")));
}

TEST_CASE("idle workers of a cell don't delay the ends of busy ones")
{
  constexpr int kIdleWorkers = 300;
  CellFleet fleet;
  for (int i = 0; i < kIdleWorkers; ++i) {
    fleet.AddRow("servers",
                 "idle" + std::to_string(i),
                 { { "service", kPool },
                   { "address", "127.0.0.1:9" },
                   { "zone", "z" },
                   { "state", "ready" },
                   { "machine", "m" + std::to_string(i) },
                   { "born", 5 },
                   { "capacity", { { "cpu", 1 }, { "mem_mb", 1 } } } });
  }
  CellNode& node = fleet.AddOwner();
  fleet.mManual.Advance(2s);
  for (int i = 0; i < 10; ++i) {
    std::string id = JobName(i);
    fleet.Submit(node, id);
    fleet.mManual.Advance(350ms + i * 37ms);
    REQUIRE(fleet.mFakeWorkers.mRuns.size() == 1);
    fleet.mFakeWorkers.EndAllRuns();
    TimePoint ended = fleet.mManual.Now();
    auto completed = [&] {
      return node.mCells.Find(kPool)->State().PhaseOf(id) ==
             JobPhase::Completed;
    };
    while (!completed() && fleet.mManual.Now() < ended + 2s) {
      fleet.mManual.Advance(5ms);
    }
    CHECK(fleet.mManual.Now() <= ended + 200ms);
  }
}

TEST_CASE("a long-running task that ends in a handover runs again in 3 s")
{
  for (int ms = 0; ms < 1500; ms += 50) {
    CAPTURE(ms);
    CellFleet fleet;
    CellNode& first = fleet.AddOwner();
    fleet.Submit(first, "a", true);
    fleet.mManual.Advance(500ms);
    fleet.AddNode();
    fleet.mManual.Advance(1s);
    fleet.Stop(first);
    fleet.mManual.Advance(std::chrono::milliseconds(ms));
    fleet.mFakeWorkers.EndAllRuns();
    fleet.mManual.Advance(3s);
    CHECK(fleet.mFakeWorkers.mRuns.size() == 1);
  }
}

TEST_CASE("a job of a queue that moved to another pool survives its owner")
{
  CellFleet fleet(2);
  CellNode& first = fleet.AddOwner();
  auto submitted = fleet.Submit(first, "a", true);
  fleet.mManual.Advance(500ms);
  REQUIRE(submitted->Is<JobAccepted>());
  fleet.WriteConfig(2, "p1");
  CellNode& second = fleet.AddNode();
  fleet.mManual.Advance(1s);
  fleet.Stop(first);
  fleet.mManual.Advance(4s);
  auto read = fleet.Call(second, ReadJob{ "q0", "a" });
  fleet.mManual.Advance(10ms);
  CHECK(read->Is<JobPhaseReply>());
  fleet.mFakeWorkers.EndAllRuns();
  fleet.mManual.Advance(3s);
  CHECK(fleet.mFakeWorkers.mRuns.size() == 1);
}

// Guards against a reply from the former address of a worker ending its present
// incarnation.
TEST_CASE("a worker that restarts at another address is taken for ended")
{
  CellFleet fleet;
  CellNode& node = fleet.AddOwner();
  auto submitted = fleet.Submit(node, "a", true);
  fleet.mManual.Advance(1s);
  REQUIRE(submitted->Is<JobAccepted>());
  REQUIRE(fleet.mFakeWorkers.mRuns.size() == 1);
  // The renewal that is under way is answered by another worker.
  fleet.mFakeWorkers.mDelay = 300ms;
  fleet.mManual.Advance(500ms);
  fleet.mFakeWorkers.mRuns.clear();
  fleet.mFakeWorkers.mPort = 10;
  fleet.mFakeWorkers.mIncarnation = 6;
  fleet.WriteWorker();
  fleet.mManual.Advance(4s);
  CHECK(fleet.mFakeWorkers.mRuns.size() == 1);
}

// Guards against nodes that start after the move not knowing where the jobs
// are, also if no process has seen both configurations.
TEST_CASE("the owner row lists the queues of which the cell has jobs")
{
  CellFleet fleet(2);
  CellNode& node = fleet.AddOwner();
  CHECK(fleet.Owner(kPool)->mQueues.empty());
  auto submitted = fleet.Submit(node, "a", true);
  fleet.mManual.Advance(500ms);
  REQUIRE(submitted->Is<JobAccepted>());
  CHECK(fleet.Owner(kPool)->mQueues == std::vector<std::string>{ "q0" });
  fleet.WriteConfig(2, "p1");
  fleet.mManual.Advance(300ms);
  CHECK(fleet.Owner(kPool)->mQueues == std::vector<std::string>{ "q0" });
  // Nodes read the rows each 0.56 s.
  fleet.mManual.Advance(560ms);
  CHECK(node.mOwners.CellsWithJobsOf("q0").contains(std::string(kPool)));
  CHECK(node.mOwners.CellsWithJobsOf("q1").empty());
  // The next owner lists them from its claim on.
  CellNode& next = fleet.AddNode();
  fleet.mManual.Advance(1s);
  fleet.Stop(node);
  fleet.mManual.Advance(4s);
  CHECK(next.mOwners.CellsWithJobsOf("q0").contains(std::string(kPool)));
}

// Guards against a node with an earlier configuration handing a job to the cell
// in which another node has just looked for it in vain.
TEST_CASE("a cell accepts new jobs of a queue that has moved")
{
  CellFleet fleet(2);
  CellNode& node = fleet.AddOwner();
  auto submitted = fleet.Submit(node, "a", true);
  fleet.mManual.Advance(500ms);
  REQUIRE(submitted->Is<JobAccepted>());
  auto find = [&](std::string aId) {
    auto reply =
      fleet.Call(node, LocateJob{ "q0", std::move(aId), ConfigVersion(7) });
    fleet.mManual.Advance(500ms);
    return reply;
  };
  CHECK(find("a")->Is<JobAccepted>());
  CHECK(find("b")->Is<JobNotFound>());
  auto late = fleet.Submit(node, "b");
  auto again = fleet.Submit(node, "a");
  fleet.mManual.Advance(500ms);
  CHECK(late->Is<ServiceUnavailable>());
  CHECK(again->Is<JobAccepted>());
  // Once the configuration is there, it decides.
  for (int i = 0; i < 7; ++i) {
    fleet.WriteConfig(2, i < 3 ? "p1" : "p0");
  }
  fleet.mManual.Advance(500ms);
  auto back = fleet.Submit(node, "b");
  fleet.mManual.Advance(500ms);
  CHECK(back->Is<JobAccepted>());
}

// Guards against one job's progress ending all commits of its pool.
TEST_CASE("a job of many tasks leaves its pool in service")
{
  CellFleet fleet;
  CellNode& node = fleet.AddOwner();
  auto large = fleet.Submit(node, "large", false, 9000);
  for (int i = 0; i < 1000 && fleet.mFakeWorkers.mRuns.size() < 8000; ++i) {
    fleet.mManual.Advance(10ms);
  }
  REQUIRE(large->Is<JobAccepted>());
  REQUIRE(fleet.mFakeWorkers.mRuns.size() >= 8000);
  REQUIRE(fleet.mFakeWorkers.mRuns.size() < 9000);
  fleet.mFakeWorkers.EndAllRuns();
  fleet.mManual.Advance(3s);
  fleet.mFakeWorkers.EndAllRuns();
  fleet.mManual.Advance(3s);
  CHECK(fleet.mFake.mInvalidCommits == 0);
  CHECK(node.mCells.Find(kPool)->State().PhaseOf("large") ==
        JobPhase::Completed);
  auto small = fleet.Submit(node, "small");
  fleet.mManual.Advance(500ms);
  CHECK(small->Is<JobAccepted>());
}

// Guards against a job whose failures alone don't fit a row taking its pool
// along.
TEST_CASE("a job whose progress fits no row fails and its pool goes on")
{
  CellFleet fleet;
  CellNode& node = fleet.AddOwner();
  auto large = fleet.Submit(node, "large", false, 9000);
  for (int i = 0; i < 1000 && fleet.mFakeWorkers.mRuns.size() < 8000; ++i) {
    fleet.mManual.Advance(10ms);
  }
  REQUIRE(large->Is<JobAccepted>());
  REQUIRE(fleet.mFakeWorkers.mRuns.size() >= 8000);
  fleet.mFakeWorkers.EndAllRuns(RunEnd::Failed);
  fleet.mManual.Advance(3s);
  CHECK(fleet.mFake.mInvalidCommits == 0);
  CHECK(fleet.StoredPhase("large") == JobPhase::Failed);
  auto small = fleet.Submit(node, "small");
  fleet.mManual.Advance(500ms);
  CHECK(small->Is<JobAccepted>());
}

// Guards against rows that are each small enough exceeding a call together.
TEST_CASE("changes that exceed one call are committed one after another")
{
  CellFleet fleet;
  CellNode& node = fleet.AddOwner();
  std::vector<PendingReplyPtr> replies;
  for (int i = 0; i < 40; ++i) {
    JobSpec spec;
    spec.mPayload = "s";
    for (int s = 0; s < 100; ++s) {
      StepSpec step;
      step.mTaskCount = 1;
      step.mRequiredLabel = std::string(400, 'l');
      spec.mSteps.push_back(step);
    }
    replies.push_back(
      fleet.Call(node, SubmitJob{ "q0", JobName(i), std::move(spec) }, 5s));
  }
  fleet.mManual.Advance(4s);
  CHECK(fleet.mFake.mInvalidCommits == 0);
  for (const PendingReplyPtr& reply : replies) {
    CHECK(reply->Is<JobAccepted>());
  }
}

TEST_CASE("a commit holds no more entries than the store accepts")
{
  constexpr std::size_t kMaxEntries = 100;
  Cell cell(CellDurations{}, FencingToken(1), 1, TimePoint{});
  TimePoint now{};
  auto add = [&](int aFirst, int aCount, JobPhase aPhase) {
    for (int i = aFirst; i < aFirst + aCount; ++i) {
      JobSpec spec;
      spec.mSteps.push_back({});
      spec.mSteps[0].mTaskCount = 1;
      StoredProgress progress;
      progress.mPhase = aPhase;
      cell.Restore(
        RestoreJob({ JobName(i), "q", spec, 1, WallTime{} }, progress),
        now,
        WallTime{});
    }
  };
  add(0, 200, JobPhase::Cancelled);
  now += 2 * CellDurations{}.mStatusRetention + 1s;
  add(200, 100, JobPhase::Pending);
  for (int i = 200; i < 300; ++i) {
    cell.Cancel(JobName(i), now);
    JobSpec spec;
    spec.mSteps.push_back({});
    spec.mSteps[0].mTaskCount = 1;
    spec.mSteps[0].mLongRunning = true;
    cell.Submit({ JobName(i) + "n", "q", spec, WallTime{} }, now);
  }
  for (int i = 0; i < 50; ++i) {
    CellChanges changes = cell.TakeChanges(now);
    // The owner row is written and checked.
    std::size_t entries = 2 + changes.mNewJobs.size() +
                          changes.mProgress.size() + changes.mEndedJobs.size() +
                          changes.mExpiredJobs.size() +
                          (changes.mWorkers ? 1 : 0);
    CHECK(entries <= kMaxEntries);
    cell.OnCommitted(changes, now);
  }
  CHECK(cell.TakeChanges(now).Empty());
}
