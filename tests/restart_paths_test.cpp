// Tests that what a cell orders or plans for one process of a worker doesn't
// reach the next one.

#include "cell_simulation.h"
#include "single_worker_cell.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace buckthornshunt;
using namespace buckthornshunt::tests;
using namespace std::chrono_literals;

namespace {

const TaskId kTask{ "a", 0, 0, 0 };
const ReportedRun kRun{ kTask, 1, "", 100, std::nullopt };

/// Lets the worker answer as its next process, first under the token of the
/// former one and then under its own.
void
RestartUnreported(SingleWorkerCell& aCell, std::vector<ReportedRun> aPresent)
{
  aCell.ListStatus({ 0, 6, aPresent, {} });
  aCell.Commit();
  aCell.mCell.NextRenewal("w", Duration::zero(), aCell.mNow);
  aCell.ListStatus({ 0, 6, std::move(aPresent), {} });
}

void
ReportProcess(SingleWorkerCell& aCell, std::int64_t aIncarnation)
{
  aCell.mReports[0].mIncarnation = aIncarnation;
  aCell.mCell.SetWorkers(aCell.mReports, aCell.mNow);
}

template<class Call>
std::vector<Call>
CallsTo(std::string_view aWorker, const std::vector<CellOrder>& aOrders)
{
  std::vector<Call> calls;
  for (const CellOrder& order : aOrders) {
    const auto* call = std::get_if<Call>(&order.mCall);
    if (call != nullptr && order.mWorker == aWorker) {
      calls.push_back(*call);
    }
  }
  return calls;
}

} // namespace

// Guards against starts on a process by the labels and the room of the former
// one, which may have been of another kind (LIMIT, ROUTE).
TEST_CASE("a task starts by the capacity of the former process")
{
  SingleWorkerCell cell;
  RestartUnreported(cell, {});
  cell.Submit("a", ChainOf({ 1 }));
  CHECK(cell.Plan().empty());
  CHECK_FALSE(cell.mCell.MayStartOn("w"));
  ReportProcess(cell, 6);
  CHECK(cell.Plan().size() == 1);
}

// Guards against a stop of a run that is at work on a sound process, since the
// former one was draining (AVAIL).
TEST_CASE("a process is emptied since the former one was draining")
{
  SingleWorkerCell cell;
  JobSpec lasting = ChainOf({ 1 });
  lasting.mSteps[0].mLongRunning = true;
  lasting.mSteps[0].mMaxUnavailable = 1;
  cell.Submit("a", lasting);
  REQUIRE(cell.PlanAndAnswer().size() == 1);
  cell.List({ kRun }, {});
  cell.mReports[0].mDraining = true;
  cell.mCell.SetWorkers(cell.mReports, cell.mNow);
  RestartUnreported(cell, { kRun });
  CHECK(cell.Plan().empty());
}

namespace {

/// Jobs of a step that lasts, on idx 0, and of one that fills beside it.
const TaskId kFilling{ "b", 0, 0, 0 };

std::vector<ReportedRun>
PacedRuns(double aTail)
{
  ReportedRun serving = kRun;
  serving.mGauge = aTail;
  ReportedRun filling = kRun;
  filling.mTask = kFilling;
  return { serving, filling };
}

void
SubmitServingAndFilling(SingleWorkerCell& aCell)
{
  JobSpec serving = ChainOf({ 1 });
  serving.mSteps[0].mLongRunning = true;
  serving.mSteps[0].mTailLatencyTarget = 100ms;
  aCell.Submit("a", serving);
  JobSpec filling = ChainOf({ 1 });
  filling.mSteps[0].mBestEffort = true;
  aCell.Submit("b", filling);
}

/// Lists the runs and plans, until the pace of the run that fills is 0.
void
PaceDown(SingleWorkerCell& aCell)
{
  int percent = 100;
  for (int i = 0; i < 10 && percent > 0; ++i) {
    aCell.mNow += 500ms;
    aCell.List(PacedRuns(95), {});
    for (const auto& pace : CallsTo<ThrottleRun>("w", aCell.PlanAndAnswer())) {
      percent = pace.mSpeedPercent;
    }
  }
  REQUIRE(percent == 0);
}

std::vector<ThrottleRun>
NextPaces(SingleWorkerCell& aCell)
{
  aCell.mNow += 500ms;
  return CallsTo<ThrottleRun>("w", aCell.Plan());
}

} // namespace

// Guards against a run that works at full speed in the next process of its
// worker while the cell believes that it stands still (HARM).
TEST_CASE("a pace is taken for that of the next process")
{
  SingleWorkerCell cell;
  SubmitServingAndFilling(cell);
  REQUIRE(cell.PlanAndAnswer().size() == 2);
  PaceDown(cell);
  CHECK(NextPaces(cell).empty());
  RestartUnreported(cell, PacedRuns(95));
  std::vector<ThrottleRun> paces = NextPaces(cell);
  REQUIRE(paces.size() == 1);
  CHECK(paces[0].mTask == kFilling);
  CHECK(paces[0].mSpeedPercent == 0);
  CHECK(paces[0].mToken > FencingToken(7));
}

// Guards against a pace that the worker has never carried out (HARM).
TEST_CASE("a pace that got no answer is taken for carried out")
{
  SingleWorkerCell cell;
  SubmitServingAndFilling(cell);
  REQUIRE(cell.PlanAndAnswer().size() == 2);
  PaceDown(cell);
  cell.mCell.OnOrderReply("w",
                          ThrottleRun{ kFilling, 1, 0, FencingToken(7) },
                          Failure(TimeoutFailure{}),
                          cell.mNow);
  std::vector<ThrottleRun> paces = NextPaces(cell);
  REQUIRE(paces.size() == 1);
  CHECK(paces[0].mSpeedPercent == 0);
}

// Guards against a run that the earlier owner has slowed down for good.
TEST_CASE("the run of an earlier owner is taken for one at full speed")
{
  SingleWorkerCell cell;
  JobSpec filling = ChainOf({ 1 });
  filling.mSteps[0].mBestEffort = true;
  cell.mCell.Restore(
    RestoreJob({ "b", "q", filling, 1, {} }, {}), cell.mNow, {});
  ReportedRun slow = kRun;
  slow.mTask = kFilling;
  slow.mSpeedPercent = 10;
  cell.List({ slow }, {});
  std::vector<ThrottleRun> paces = NextPaces(cell);
  REQUIRE(paces.size() == 1);
  CHECK(paces[0].mSpeedPercent == 100);
  CHECK(NextPaces(cell).empty());
}

namespace {

/// A cell whose queue has advice, with a job of one task that waits for it.
struct AdvisedCell : SingleWorkerCell
{
  AdvisedCell()
  {
    WorkloadConfig config;
    QueueConfig queue;
    queue.mName = "q";
    queue.mPool = "pool";
    queue.mMaxAttempts = 2;
    queue.mAdvice = AdviceConfig{ 100ms, 10ms, 10s };
    config.mQueues.push_back(queue);
    mCell.SetConfig(config, "pool");
    Submit("a", ChainOf({ 1 }));
    Plan();
  }

  AdviceRequest TakeRequest()
  {
    std::vector<AdviceRequest> requests = mCell.TakeAdviceRequests();
    REQUIRE(requests.size() == 1);
    return requests[0];
  }

  void Advise(const AdviceRequest& aRequest, std::string_view aTicket)
  {
    std::map<std::string, std::string, std::less<>> tickets;
    for (const auto& [worker, incarnation] : aRequest.mWorkers) {
      tickets.emplace(worker, aTicket);
    }
    mCell.OnAdvice(aRequest, tickets, 10s, mNow);
  }
};

} // namespace

// Guards against a ticket of the former process, for which the next one refuses
// the start.
TEST_CASE("a start carries the ticket of the former process")
{
  AdvisedCell cell;
  cell.Advise(cell.TakeRequest(), "former");
  ReportProcess(cell, 6);
  RestartUnreported(cell, {});
  CHECK(CallsTo<StartRun>("w", cell.Plan()).empty());
  cell.Advise(cell.TakeRequest(), "present");
  std::vector<StartRun> starts = CallsTo<StartRun>("w", cell.Plan());
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].mTicket == "present");
}

TEST_CASE("advice that was asked for before a restart is used after it")
{
  AdvisedCell cell;
  AdviceRequest before = cell.TakeRequest();
  ReportProcess(cell, 6);
  RestartUnreported(cell, {});
  cell.Advise(before, "former");
  CHECK(CallsTo<StartRun>("w", cell.Plan()).empty());
  cell.Advise(cell.TakeRequest(), "present");
  CHECK(CallsTo<StartRun>("w", cell.Plan()).size() == 1);
}

namespace {

/// A gang of two on two workers; the start on "w" isn't answered yet.
struct GangCell : SingleWorkerCell
{
  GangCell()
  {
    AddIdleWorker("other");
    JobSpec gang = ChainOf({ 2 });
    gang.mSteps[0].mGang = true;
    gang.mSteps[0].mMaxPerWorker = 1;
    Submit("a", gang);
    std::vector<CellOrder> orders = Plan();
    REQUIRE(orders.size() == 2);
    for (const CellOrder& order : orders) {
      if (order.mWorker == "w") {
        mHere = std::get<StartRun>(order.mCall);
      } else {
        mThere = std::get<StartRun>(order.mCall);
        mCell.OnOrderReply(
          "other", order.mCall, WorkerReply(OrderDone{ 1 }), mNow);
      }
    }
  }

  void AnswerHere()
  {
    mCell.OnOrderReply("w", mHere, WorkerReply(OrderDone{ 1 }), mNow);
  }

  bool StopsThere()
  {
    std::vector<StopRun> stops = CallsTo<StopRun>("other", Plan());
    return stops.size() == 1 && stops[0].mTask == mThere.mTask;
  }

  StartRun mHere;
  StartRun mThere;
};

} // namespace

// Guards against members that wait for one whose start the restart has undone,
// until they end alone (GANG).
TEST_CASE("a gang waits for a member whose worker restarts during its start")
{
  GangCell cell;
  ReportProcess(cell, 6);
  RestartUnreported(cell, {});
  CHECK(cell.StopsThere());
}

TEST_CASE("a gang waits for a member that ended with its process")
{
  GangCell cell;
  cell.AnswerHere();
  ReportProcess(cell, 6);
  RestartUnreported(cell, {});
  CHECK(cell.StopsThere());
}

TEST_CASE("a gang waits for a member whose start had no effect")
{
  GangCell cell;
  cell.mCell.OnOrderReply(
    "w", cell.mHere, Failure(TimeoutFailure{}), cell.mNow);
  cell.List({}, {});
  CHECK(cell.StopsThere());
}

TEST_CASE("a gang waits for a member whose worker another one has replaced")
{
  GangCell cell;
  cell.AnswerHere();
  cell.mCell.OnOtherWorker("w", cell.mNow);
  CHECK(cell.StopsThere());
}
