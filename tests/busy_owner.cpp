#include "busy_owner.h"

#include "services/directory_service.h"
#include "services/owner_service.h"
#include "services/relay_service.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>

#include <utility>

#include <algorithm>

namespace buckthornshunt::tests {

using namespace std::chrono_literals;

namespace {

constexpr std::string_view kPool = "p0";
constexpr std::uint32_t kTasksOfStep = 4;
constexpr int kTasksOfWorker = 2;

} // namespace

BusyWorkers::BusyWorkers(asio::io_context& aContext,
                         ManualClock& aManual,
                         Clock& aClock,
                         Duration aCallCost)
  : mContext(aContext)
  , mManual(aManual)
  , mClock(aClock)
  , mCallCost(aCallCost)
{
}

Workers
BusyWorkers::Port()
{
  return InProcessWorkers{ [this](const WorkerAddress& aWorker,
                                  WorkerCall aCall,
                                  TimePoint aDeadline) {
    return Call(aWorker.mId, std::move(aCall), aDeadline);
  } };
}

BusyWorkers::Worker&
BusyWorkers::Find(std::string_view aId)
{
  auto it = mWorkers.find(aId);
  if (it == mWorkers.end()) {
    it = mWorkers.try_emplace(std::string(aId), mContext).first;
  }
  return it->second;
}

WorkerReply
BusyWorkers::Start(Worker& aWorker, const StartRun& aStart)
{
  const TaskId& task = aStart.mTask;
  auto present = aWorker.mRuns.find(task);
  if (present != aWorker.mRuns.end() && present->second == aStart.mRun) {
    return OrderDone{};
  }
  auto past = aWorker.mPast.find(task);
  if (present != aWorker.mRuns.end() ||
      (past != aWorker.mPast.end() && aStart.mRun <= past->second)) {
    return OrderRefused{ StartRefusal::StaleRun, 0 };
  }
  bool repeated = mLateStarts.contains({ task, aStart.mRun });
  if (aWorker.mRuns.size() >= kTasksOfWorker ||
      (mLosses.mRefuseRepeats && repeated)) {
    ++mRefusedStarts;
    return OrderRefused{ StartRefusal::InsufficientCapacity, 0 };
  }
  mSecondRuns += mDone.contains(task) || !mActive.insert(task).second ? 1 : 0;
  if (task.mStep > 0) {
    mDelays.push_back(mClock.Now() - mStepEndedAt.at(task.mJob));
  }
  std::uint64_t run = aStart.mRun;
  aWorker.mRuns.emplace(task, run);
  auto spread = static_cast<std::int64_t>(mRandom() % 600);
  Duration length = 240ms + std::chrono::milliseconds(spread);
  mClock.CallAt(mClock.Now() + length, [this, &aWorker, task, run] {
    auto it = aWorker.mRuns.find(task);
    if (it != aWorker.mRuns.end() && it->second == run) {
      End(aWorker, task, run, RunEnd::Done);
      mDone.insert(task);
      mStepEndedAt[task.mJob] = mClock.Now();
    }
  });
  return OrderDone{};
}

WorkerReply
BusyWorkers::Stop(Worker& aWorker, const StopRun& aStop)
{
  auto it = aWorker.mRuns.find(aStop.mTask);
  if (it != aWorker.mRuns.end() && it->second == aStop.mRun) {
    End(aWorker, aStop.mTask, aStop.mRun, RunEnd::Stopped);
  }
  std::uint64_t& past = aWorker.mPast[aStop.mTask];
  past = std::max(past, aStop.mRun);
  return OrderDone{};
}

void
BusyWorkers::End(Worker& aWorker,
                 const TaskId& aTask,
                 std::uint64_t aRun,
                 RunEnd aEnd)
{
  aWorker.mEnds.push_back({ ++aWorker.mLastEnd, aTask, aRun, aEnd, "" });
  aWorker.mPast[aTask] = aRun;
  mActive.erase(aTask);
  aWorker.mRuns.erase(aTask);
  aWorker.mEnded.NotifyAll();
}

// Of a renewal only its acknowledgement has an effect here.
WorkerReply
BusyWorkers::CarryOut(Worker& aWorker, const WorkerCall& aCall)
{
  if (const auto* start = std::get_if<StartRun>(&aCall)) {
    return Start(aWorker, *start);
  }
  if (const auto* stop = std::get_if<StopRun>(&aCall)) {
    return Stop(aWorker, *stop);
  }
  const auto* renewal = std::get_if<RenewLease>(&aCall);
  REQUIRE(renewal != nullptr);
  std::erase_if(aWorker.mEnds, [&](const EndedRun& aEnd) {
    return aEnd.mSequence <= renewal->mAcknowledgedSequence;
  });
  return WorkerStatus{};
}

Task<Expected<WorkerReply>>
BusyWorkers::Call(std::string aId, WorkerCall aCall, TimePoint aDeadline)
{
  mManual.Occupy(mCallCost);
  co_await mClock.Sleep(2ms);
  Worker& worker = Find(aId);
  auto fate = static_cast<std::uint32_t>(mRandom() % 1000);
  bool late = fate < mLosses.mCarriedOutLate;
  bool lost = late || fate < mLosses.mCarriedOutLate + mLosses.mCarriedOut;
  if (late) {
    const auto* start = std::get_if<StartRun>(&aCall);
    if (start != nullptr) {
      mLateStarts.emplace(start->mTask, start->mRun);
    }
    auto delay = static_cast<std::int64_t>(2000 + mRandom() % 10000);
    mClock.CallAt(mClock.Now() + std::chrono::milliseconds(delay),
                  [this, &worker, call = aCall] {
                    if (const auto* order = std::get_if<StartRun>(&call)) {
                      mLateStarts.erase({ order->mTask, order->mRun });
                    }
                    CarryOut(worker, call);
                  });
  }
  WorkerReply reply = late ? WorkerReply() : CarryOut(worker, aCall);
  if (lost) {
    co_await mClock.SleepUntil(aDeadline);
    co_return Failure(TimeoutFailure{});
  }
  const auto* renewal = std::get_if<RenewLease>(&aCall);
  if (renewal == nullptr) {
    co_return reply;
  }
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

BusyOwner::BusyOwner(int aWorkers, Duration aCallCost)
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

BusyOwner::~BusyOwner()
{
  bool stopped = false;
  asio::co_spawn(mContext, mKernel.Stop(2s), [&](const std::exception_ptr&) {
    stopped = true;
  });
  mManual.Advance(20s);
  CHECK(stopped);
}

void
BusyOwner::SubmitFor(Duration aDuration, Duration aInterval)
{
  TimePoint end = mManual.Now() + aDuration;
  while (mManual.Now() < end) {
    asio::co_spawn(mContext, SubmitOne(), asio::detached);
    mManual.Advance(aInterval);
  }
}

Task<void>
BusyOwner::SubmitOne()
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

void
BusyOwner::WriteRows(int aWorkers)
{
  // The store accepts 100 entries in a commit.
  constexpr std::size_t kMaxEntries = 100;
  ConditionalCommit commit;
  auto write = [&] {
    asio::co_spawn(
      mContext,
      CallStore(mStore, std::exchange(commit, {}), mManual.Now() + 1s),
      [](const std::exception_ptr&, const auto&) {});
  };
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
    if (commit.mPuts.size() == kMaxEntries) {
      write();
    }
  }
  write();
  mManual.Advance(5ms);
}

Duration
Mean(std::span<const Duration> aValues)
{
  Duration sum{};
  for (Duration value : aValues) {
    sum += value;
  }
  return sum / static_cast<std::int64_t>(aValues.size());
}

Duration
Quantile(std::span<const Duration> aValues, double aShare)
{
  std::vector<Duration> sorted(aValues.begin(), aValues.end());
  std::sort(sorted.begin(), sorted.end());
  auto last = static_cast<double>(sorted.size() - 1);
  return sorted.at(static_cast<std::size_t>(last * aShare));
}

} // namespace buckthornshunt::tests
