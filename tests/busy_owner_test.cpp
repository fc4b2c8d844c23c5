// An owner of hundreds of workers in a turn, on a manual clock. Work that holds
// its processor moves the clock on, so that what is due meanwhile waits.

#include "fake_store.h"
#include "kernel/kernel.h"
#include "services/cell_service.h"
#include "services/directory_service.h"
#include "services/owner_service.h"
#include "services/relay_service.h"
#include "tests/loopback_ports.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <random>

using namespace buckthornshunt;
using namespace buckthornshunt::tests;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view kPool = "p0";
constexpr std::uint32_t kTasksOfStep = 4;
constexpr int kTasksOfWorker = 2;

/// Workers of which each holds a renewal until a run ends, as documented.
class BusyWorkers
{
public:
  BusyWorkers(asio::io_context& aContext,
              ManualClock& aManual,
              Clock& aClock,
              Duration aCallCost)
    : mContext(aContext)
    , mManual(aManual)
    , mClock(aClock)
    , mCallCost(aCallCost)
  {
  }

  Workers Port()
  {
    return InProcessWorkers{
      [this](const WorkerAddress& aWorker, WorkerCall aCall, TimePoint) {
        return Call(aWorker.mId, std::move(aCall));
      }
    };
  }

  /// Time from the last end of a step to each start of the next one.
  std::vector<Duration> mDelays;

private:
  struct Worker
  {
    explicit Worker(asio::io_context& aContext)
      : mEnded(aContext)
    {
    }
    std::map<TaskId, std::uint64_t> mRuns;
    std::vector<EndedRun> mEnds;
    std::uint64_t mLastEnd = 0;
    Event mEnded;
  };

  Worker& Find(std::string_view aId)
  {
    auto it = mWorkers.find(aId);
    if (it == mWorkers.end()) {
      it = mWorkers.try_emplace(std::string(aId), mContext).first;
    }
    return it->second;
  }

  void Start(Worker& aWorker, const StartRun& aStart)
  {
    const TaskId& task = aStart.mTask;
    if (task.mStep > 0) {
      mDelays.push_back(mClock.Now() - mStepEndedAt.at(task.mJob));
    }
    aWorker.mRuns.emplace(task, aStart.mRun);
    auto spread = static_cast<std::int64_t>(mRandom() % 600);
    Duration length = 240ms + std::chrono::milliseconds(spread);
    mClock.CallAt(mClock.Now() + length, [this, &aWorker, task] {
      auto run = aWorker.mRuns.find(task);
      aWorker.mEnds.push_back(
        { ++aWorker.mLastEnd, task, run->second, RunEnd::Done, "" });
      aWorker.mRuns.erase(run);
      mStepEndedAt[task.mJob] = mClock.Now();
      aWorker.mEnded.NotifyAll();
    });
  }

  Task<Expected<WorkerReply>> Call(std::string aId, WorkerCall aCall)
  {
    mManual.Occupy(mCallCost);
    co_await mClock.Sleep(2ms);
    Worker& worker = Find(aId);
    if (const auto* start = std::get_if<StartRun>(&aCall)) {
      Start(worker, *start);
      co_return WorkerReply(OrderDone{});
    }
    const auto* renewal = std::get_if<RenewLease>(&aCall);
    REQUIRE(renewal != nullptr);
    std::erase_if(worker.mEnds, [&](const EndedRun& aEnd) {
      return aEnd.mSequence <= renewal->mAcknowledgedSequence;
    });
    TimePoint until = mClock.Now() + renewal->mMaxWait;
    while (worker.mEnds.empty() && mClock.Now() < until) {
      co_await WaitUntil(worker.mEnded, mClock, until);
    }
    WorkerStatus status;
    status.mIncarnation = 1;
    for (const auto& [task, run] : worker.mRuns) {
      status.mActiveRuns.push_back({ task, run, "", 100, std::nullopt });
    }
    status.mEndedRuns = worker.mEnds;
    co_return status;
  }

  asio::io_context& mContext;
  ManualClock& mManual;
  Clock& mClock;
  Duration mCallCost;
  std::mt19937_64 mRandom{ 7 };
  std::map<std::string, Worker, std::less<>> mWorkers;
  std::map<std::string, TimePoint> mStepEndedAt;
};

/// A node that owns one cell, and callers that keep the cell full.
class BusyOwner
{
public:
  BusyOwner(int aWorkers, Duration aCallCost)
    : mManual(mContext)
    , mClock(mContext, mManual)
    , mFake(mClock)
    , mStore(mFake.Port())
    , mPorts(mContext)
    , mBusyWorkers(mContext, mManual, mClock, aCallCost)
    , mWorkers(mBusyWorkers.Port())
    , mKernel(mContext, mClock, 1)
  {
    WriteRows(aWorkers);
    LocalNode self{ "n1", mPorts.Reserve(), Incarnation(1) };
    CellPorts ports;
    ports.mStore = &mStore;
    ports.mWorkers = &mWorkers;
    mKernel.Add<DirectoryService>(DirectoryService::kName, mStore);
    mKernel.Add<OwnerService>(OwnerService::kName, mStore, self);
    mKernel.Add<RelayService>(RelayService::kName, self.mPeerEndpoint);
    mCells =
      &mKernel.Add<CellService>(CellService::kName, ports, CellDurations{});
    REQUIRE(mKernel.Start());
    mManual.Advance(6s);
    REQUIRE(mCells->Find(kPool));
  }

  ~BusyOwner()
  {
    bool stopped = false;
    asio::co_spawn(mContext, mKernel.Stop(2s), [&](const std::exception_ptr&) {
      stopped = true;
    });
    mManual.Advance(20s);
    CHECK(stopped);
  }

  /// Submits a job each aInterval for aDuration; stores the waits for replies.
  void SubmitFor(Duration aDuration, Duration aInterval)
  {
    TimePoint end = mManual.Now() + aDuration;
    while (mManual.Now() < end) {
      asio::co_spawn(mContext, SubmitOne(), asio::detached);
      mManual.Advance(aInterval);
    }
  }

  std::span<const Duration> StepDelays() const { return mBusyWorkers.mDelays; }

  std::vector<Duration> mWaits;
  int mNotAccepted = 0;

private:
  Task<void> SubmitOne()
  {
    SubmitJob call{ "q0", "job" + std::to_string(mNextJob++), {} };
    for (std::uint32_t i = 0; i < 2; ++i) {
      StepSpec step;
      step.mTaskCount = kTasksOfStep;
      step.mTaskResources = { 32000 / kTasksOfWorker, 1000, 0 };
      step.mEstimatedRunTime = 540ms;
      if (i > 0) {
        step.mDependencies.push_back(i - 1);
      }
      call.mSpec.mSteps.push_back(step);
    }
    RelayedCall relayed{ std::string(kPool), std::move(call), 1200ms };
    TimePoint began = mClock.Now();
    OwnerReply reply = co_await mCells->Handle(std::move(relayed));
    mWaits.push_back(mClock.Now() - began);
    const auto* answered = std::get_if<CallerReply>(&reply);
    bool accepted =
      answered != nullptr && std::holds_alternative<JobAccepted>(*answered);
    mNotAccepted += accepted ? 0 : 1;
  }

  void WriteRows(int aWorkers)
  {
    ConditionalCommit commit;
    Json route = { { "name", "q0" },         { "host", "h" },
                   { "path_prefix", "/q0" }, { "service", kPool },
                   { "max_attempts", 3 },    { "target_latency_ms", 100000 } };
    Json config = { { "version", 1 },
                    { "routes", Json::array({ route }) },
                    { "services", Json::array({ { { "name", kPool } } }) } };
    commit.mPuts.push_back({ { "op", "", "config" }, config.dump() });
    for (int i = 0; i < aWorkers; ++i) {
      Json report = { { "service", kPool },
                      { "address", "127.0.0.1:9" },
                      { "zone", "z" },
                      { "state", "ready" },
                      { "machine", "m" + std::to_string(i) },
                      { "born", 1 },
                      { "capacity",
                        { { "cpu", 32000 }, { "mem_mb", 131072 } } } };
      commit.mPuts.push_back(
        { { "servers", "", "w" + std::to_string(i) }, report.dump() });
    }
    asio::co_spawn(mContext,
                   CallStore(mStore, commit, mManual.Now() + 1s),
                   [](const std::exception_ptr&, const auto&) {});
    mManual.Advance(5ms);
  }

  asio::io_context mContext;
  ManualClock mManual;
  Clock mClock;
  FakeStore mFake;
  Store mStore;
  LoopbackPorts mPorts;
  BusyWorkers mBusyWorkers;
  Workers mWorkers;
  Kernel mKernel;
  CellService* mCells = nullptr;
  int mNextJob = 0;
};

Duration
Mean(std::span<const Duration> aValues)
{
  Duration sum{};
  for (Duration value : aValues) {
    sum += value;
  }
  return sum / static_cast<std::int64_t>(aValues.size());
}

} // namespace

// Half of what a job of two steps may take beyond its tasks' run times, on a
// site whose objective allows 0.6 s.
constexpr Duration kMaxStepDelay = 300ms;

TEST_CASE("the next steps of a large cell wait although its owner is idle")
{
  BusyOwner owner(600, 20us);
  owner.SubmitFor(2500ms, 4500us);
  REQUIRE(owner.StepDelays().size() > 1000);
  CHECK(owner.mNotAccepted == 0);
  MESSAGE("mean delay ms " << ToMillis(Mean(owner.StepDelays())) << " store ms "
                           << ToMillis(Mean(owner.mWaits)));
  CHECK(Mean(owner.StepDelays()) < kMaxStepDelay);
}
