// A cell's decisions against simulated workers, orders and rows.

#include "cell_world.h"

#include <doctest/doctest.h>

using namespace buckthornshunt;
using namespace buckthornshunt::tests;
using namespace std::chrono_literals;

namespace {

void
CheckWorld(const CellWorld& aWorld)
{
  for (const std::string& violation : aWorld.Violations()) {
    FAIL_CHECK(violation);
  }
}

// Hands jobs in over 20 s and gives the world time to finish them.
void
Explore(std::uint64_t aSeed, const WorldFaults& aFaults)
{
  CellWorld world(aSeed, aFaults, 4);
  world.Run(500ms);
  JobSpec lasting = ChainOf({ 3 });
  lasting.mSteps[0].mLongRunning = true;
  lasting.mSteps[0].mMaxPerWorker = 1;
  world.Submit("lasting", lasting);
  for (int i = 0; i < 20; ++i) {
    std::string id = "job" + std::to_string(i);
    world.Submit(id, ChainOf({ 3, 2 }));
    if (i % 7 == 3) {
      world.Run(400ms);
      world.Cancel(id);
    }
    world.Run(1s);
  }
  world.Settle(40s);
  CheckWorld(world);
  CHECK(world.Starts() > 0);
}

EndedRun
DoneEnd(std::uint64_t aSequence, std::uint32_t aIndex)
{
  return { aSequence, { "a", 0, 0, aIndex }, 1, RunEnd::Done, "" };
}

/// A cell with one worker whose answers the test writes itself.
struct OneWorker
{
  OneWorker()
    : mCell(CellTimes{}, FencingToken(7), 1, mNow)
  {
    WorkloadConfig config;
    QueueConfig queue;
    queue.mName = "q";
    queue.mPool = "pool";
    queue.mMaxAttempts = 2;
    queue.mTargetStretch = 2;
    queue.mTargetLatency = 600ms;
    config.mQueues.push_back(queue);
    mCell.SetConfig(config, "pool");
    WorkerReport report;
    report.mId = "w";
    report.mPool = "pool";
    report.mEndpoint = { "127.0.0.1", 1 };
    report.mCapacity = { 32000, 100000, 0 };
    report.mIncarnation = 5;
    mReports.push_back(report);
    mCell.SetWorkers(mReports, mNow);
    List({}, {});
    Commit();
  }

  void List(std::vector<ReportedRun> aPresent, std::vector<EndedRun> aEnded)
  {
    mNow += 10ms;
    TimePoint sent = mNow;
    mNow += 10ms;
    WorkerStatus listing{ ToMillis(mNow.time_since_epoch()),
                          5,
                          std::move(aPresent),
                          std::move(aEnded) };
    mCell.OnListing("w", listing, sent, mNow);
  }

  void Commit()
  {
    CellChanges changes = mCell.TakeChanges(mNow);
    mCell.OnCommitted(changes, mNow);
  }

  void Submit(std::string_view aId, JobSpec aSpec)
  {
    mCell.Submit({ std::string(aId), "q", std::move(aSpec), {} }, mNow);
    Commit();
  }

  std::vector<CellOrder> Plan()
  {
    mNow += 10ms;
    return mCell.Plan(mNow, {});
  }

  // Plans, and answers every start and stop as carried out.
  std::vector<CellOrder> PlanAndAnswer()
  {
    std::vector<CellOrder> orders = Plan();
    for (const CellOrder& order : orders) {
      mCell.OnOrder("w", order.mCall, WorkerReply(OrderDone{ 1 }), mNow);
    }
    return orders;
  }

  std::uint64_t Acknowledged()
  {
    return mCell.NextRenewal("w", 0s, mNow).mAcknowledgedSequence;
  }

  TimePoint mNow{ 100s };
  std::vector<WorkerReport> mReports;
  Cell mCell;
};

} // namespace

TEST_CASE("a calm cell completes every job")
{
  CellWorld world(1, WorldFaults{ .mTaskFails = 0 }, 4);
  world.Run(500ms);
  for (int i = 0; i < 10; ++i) {
    world.Submit("job" + std::to_string(i), ChainOf({ 3, 2 }));
  }
  world.Run(10s);
  CheckWorld(world);
  for (int i = 0; i < 10; ++i) {
    CHECK(world.Owner().PhaseOf("job" + std::to_string(i)) ==
          JobPhase::Completed);
  }
}

TEST_CASE("owners that change at any moment run no task twice")
{
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    CAPTURE(seed);
    Explore(seed, { .mOwnerChange = 0.004 });
  }
}

TEST_CASE("lost answers and late orders run no task twice")
{
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    CAPTURE(seed);
    Explore(seed, { .mLostAnswer = 0.1, .mLateOrder = 0.05 });
  }
}

TEST_CASE("workers that crash and come back run no task twice")
{
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    CAPTURE(seed);
    Explore(seed, { .mWorkerCrash = 0.001 });
  }
}

TEST_CASE("workers that are cut off and run on run no task twice")
{
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    CAPTURE(seed);
    Explore(seed, { .mWorkerCut = 0.002 });
  }
}

TEST_CASE("all troubles of a cell together break no promise")
{
  for (std::uint64_t seed = 1; seed <= 24; ++seed) {
    CAPTURE(seed);
    Explore(seed,
            { .mLostAnswer = 0.05,
              .mLateOrder = 0.03,
              .mWorkerCrash = 0.0005,
              .mWorkerCut = 0.001,
              .mOwnerChange = 0.002 });
  }
}

TEST_CASE("an end is acknowledged only once its commit took effect")
{
  OneWorker world;
  world.Submit("a", ChainOf({ 1, 1 }));
  REQUIRE(world.PlanAndAnswer().size() == 1);
  world.List({}, { DoneEnd(1, 0) });
  CHECK(world.Acknowledged() == 0);
  CellChanges changes = world.mCell.TakeChanges(world.mNow);
  world.List({}, { DoneEnd(1, 0) });
  CHECK(world.Acknowledged() == 0);
  world.mCell.OnCommitted(changes, world.mNow);
  CHECK(world.Acknowledged() == 1);
}

TEST_CASE("a cancel is stored only once its commit took effect")
{
  OneWorker world;
  world.Submit("a", ChainOf({ 1 }));
  CHECK(world.mCell.IsStored("a"));
  CHECK(world.mCell.Cancel("a", world.mNow));
  CellChanges changes = world.mCell.TakeChanges(world.mNow);
  CHECK_FALSE(world.mCell.IsStored("a"));
  world.mCell.OnCommitted(changes, world.mNow);
  CHECK(world.mCell.IsStored("a"));
  CHECK(world.mCell.PhaseOf("a") == JobPhase::Cancelled);
  CHECK(world.Plan().empty());
}

TEST_CASE("an end that is listed again counts once")
{
  OneWorker world;
  world.Submit("a", ChainOf({ 1, 1 }));
  world.PlanAndAnswer();
  world.List({}, { DoneEnd(1, 0) });
  EndedRun again = DoneEnd(2, 0);
  world.List({}, { again });
  world.Commit();
  CHECK(world.mCell.PhaseOf("a") == JobPhase::Running);
}

TEST_CASE("a failure that is listed to the next owner counts once")
{
  OneWorker world;
  world.Submit("a", ChainOf({ 1 }));
  world.PlanAndAnswer();
  EndedRun failed = DoneEnd(1, 0);
  failed.mEnd = RunEnd::Failed;
  world.List({}, { failed });
  CellChanges changes = world.mCell.TakeChanges(world.mNow);
  REQUIRE(changes.mProgress.size() == 1);
  StoredProgress progress = changes.mProgress[0].second;
  StoredJob stored{ "a", "q", ChainOf({ 1 }), 1, {} };

  OneWorker next;
  next.mCell.Restore(RestoreJob(stored, progress), next.mNow, {});
  next.List({}, { failed });
  next.Commit();
  CHECK(next.mCell.PhaseOf("a") == JobPhase::Running);
}

TEST_CASE("an end that is listed before the first plan counts")
{
  StoredJob stored{ "a", "q", ChainOf({ 1, 1 }), 1, {} };
  OneWorker next;
  next.mCell.Restore(RestoreJob(stored, {}), next.mNow, {});
  next.List({}, { DoneEnd(1, 0) });
  next.Commit();
  std::vector<CellOrder> orders = next.Plan();
  REQUIRE(orders.size() == 1);
  CHECK(std::get<StartRun>(orders[0].mCall).mTask.mStep == 1);
}

TEST_CASE("a worker of an earlier owner that an order ended holds nothing up")
{
  OneWorker world;
  std::vector<WorkerAddress> inherited = { { "gone", { "127.0.0.1", 9 } } };
  world.mCell.RestoreWorkers(inherited, world.mNow);
  StoredJob stored{ "a", "q", ChainOf({ 1 }), 1, {} };
  world.mCell.Restore(RestoreJob(stored, {}), world.mNow, {});
  CHECK(world.Plan().empty());
  CHECK(world.mCell.EndWorker("gone", 77, world.mNow));
  CHECK(world.Plan().size() == 1);
}

TEST_CASE("a run that was given up and failed after a later one counts too")
{
  OneWorker world;
  world.Submit("a", ChainOf({ 1 }));
  world.PlanAndAnswer();
  EndedRun later = DoneEnd(1, 0);
  later.mRun = 2;
  later.mEnd = RunEnd::Failed;
  EndedRun earlier = DoneEnd(2, 0);
  earlier.mEnd = RunEnd::Failed;
  world.List({}, { later, earlier });
  world.Commit();
  CHECK(world.mCell.PhaseOf("a") == JobPhase::Failed);
}

TEST_CASE("an order for a VM ends only the life that it was given for")
{
  OneWorker world;
  world.Submit("a", ChainOf({ 1 }));
  REQUIRE(world.PlanAndAnswer().size() == 1);
  // A worker that answers is there, whatever was confirmed.
  CHECK_FALSE(world.mCell.EndWorker("w", 5, world.mNow));
  world.mCell.OnNoAnswer("w");
  CHECK_FALSE(world.mCell.EndWorker("w", 4, world.mNow));
  CHECK(world.Plan().empty());
  CHECK(world.mCell.EndWorker("w", 5, world.mNow));
  CHECK(world.mCell.WorkersNow().find("w")->second.mRuns.empty());
  world.mReports[0].mIncarnation = 6;
  world.mCell.SetWorkers(world.mReports, world.mNow);
  CHECK_FALSE(world.mCell.EndWorker("w", 5, world.mNow));
}

TEST_CASE("a start without an answer is closed before the task runs elsewhere")
{
  OneWorker world;
  world.Submit("a", ChainOf({ 1 }));
  std::vector<CellOrder> orders = world.Plan();
  REQUIRE(orders.size() == 1);
  world.mCell.OnOrder(
    "w", orders[0].mCall, Failure(TimeoutFailure{}), world.mNow);
  CHECK(world.Plan().empty());
  world.List({}, {});
  orders = world.Plan();
  REQUIRE(orders.size() == 1);
  CHECK(std::holds_alternative<StopRun>(orders[0].mCall));
  world.mCell.OnOrder(
    "w", orders[0].mCall, WorkerReply(OrderDone{ 1 }), world.mNow);
  world.List({}, {});
  orders = world.Plan();
  REQUIRE(orders.size() == 1);
  const auto* start = std::get_if<StartRun>(&orders[0].mCall);
  REQUIRE(start != nullptr);
  CHECK(start->mRun == 2);
}

TEST_CASE("a job that has no chance is turned away, one that fits is not")
{
  OneWorker world;
  int refused = 0;
  for (int i = 0; i < 30; ++i) {
    Submission submission{ "j" + std::to_string(i), "q", ChainOf({ 8 }), {} };
    refused +=
      world.mCell.Submit(submission, world.mNow) == SubmitResult::Refused ? 1
                                                                          : 0;
  }
  // 16 cores each for half a second on 32 cores, all within 1.6 s.
  CHECK(refused >= 20);
  CHECK(refused <= 27);
}

TEST_CASE("tasks that last leave a sealed worker as far as they may be missed")
{
  OneWorker world;
  JobSpec spec = ChainOf({ 3 });
  spec.mSteps[0].mLongRunning = true;
  spec.mSteps[0].mMaxUnavailable = 1;
  world.Submit("a", spec);
  REQUIRE(world.PlanAndAnswer().size() == 3);
  std::vector<ReportedRun> present;
  for (std::uint32_t i = 0; i < 3; ++i) {
    present.push_back({ { "a", 0, 0, i }, 1, "", 100, std::nullopt });
  }
  world.List(present, {});
  world.mCell.Seal("w", true);
  CHECK(world.PlanAndAnswer().size() == 1);
  CHECK(world.PlanAndAnswer().empty());
}

TEST_CASE("a worker that is said to be gone is asked before that is believed")
{
  OneWorker world;
  CHECK_FALSE(world.mCell.EndWorker("w", 5, world.mNow));
  CHECK(world.mCell.NeedsRenewal("w"));
  world.List({}, {});
  CHECK_FALSE(world.mCell.NeedsRenewal("w"));
  CHECK_FALSE(world.mCell.EndWorker("w", 5, world.mNow));
  world.mCell.OnNoAnswer("w");
  CHECK(world.mCell.EndWorker("w", 5, world.mNow));
}

TEST_CASE("a release names only workers that may still run something")
{
  OneWorker world;
  CellChanges idle = world.mCell.TakeReleaseChanges(world.mNow);
  REQUIRE(idle.mWorkers);
  CHECK(idle.mWorkers->empty());
  OneWorker busy;
  busy.Submit("a", ChainOf({ 1 }));
  busy.PlanAndAnswer();
  CellChanges changes = busy.mCell.TakeReleaseChanges(busy.mNow);
  REQUIRE(changes.mWorkers);
  CHECK(changes.mWorkers->size() == 1);
}

TEST_CASE("an idle worker that left is forgotten at once")
{
  OneWorker world;
  world.Submit("a", ChainOf({ 1 }));
  world.PlanAndAnswer();
  world.List({}, { DoneEnd(1, 0) });
  world.Commit();
  std::vector<WorkerReport> none;
  world.mCell.SetWorkers(none, world.mNow);
  CHECK(world.mCell.WorkersNow().empty());
}

TEST_CASE("nothing that lasts is moved while it could not start elsewhere")
{
  OneWorker world;
  std::vector<WorkerAddress> inherited = { { "gone", { "127.0.0.1", 9 } } };
  world.mCell.RestoreWorkers(inherited, world.mNow);
  StoredJob stored{ "a", "q", ChainOf({ 1 }), 1, {} };
  stored.mSpec.mSteps[0].mLongRunning = true;
  stored.mSpec.mSteps[0].mMaxUnavailable = 1;
  world.mCell.Restore(RestoreJob(stored, {}), world.mNow, {});
  world.List({ { { "a", 0, 0, 0 }, 1, "", 100, std::nullopt } }, {});
  world.mCell.Seal("w", true);
  CHECK(world.Plan().empty());
  CHECK(world.mCell.EndWorker("gone", 77, world.mNow));
  CHECK(world.Plan().size() == 1);
}

TEST_CASE("another worker at the address frees what the earlier one held")
{
  OneWorker world;
  world.Submit("a", ChainOf({ 1 }));
  std::vector<CellOrder> orders = world.Plan();
  REQUIRE(orders.size() == 1);
  world.mCell.OnOrder(
    "w", orders[0].mCall, Failure(TimeoutFailure{}), world.mNow);
  world.mCell.OnOtherLife("w", world.mNow);
  CHECK(world.mCell.WorkersNow().find("w")->second.mRuns.empty());
  CHECK_FALSE(world.mCell.NeedsRenewal("w"));
  CHECK(world.Plan().empty());
}

TEST_CASE("an order that another worker answers shows that its worker is gone")
{
  OneWorker world;
  world.Submit("a", ChainOf({ 1 }));
  std::vector<CellOrder> orders = world.Plan();
  REQUIRE(orders.size() == 1);
  world.mCell.OnOrder(
    "w", orders[0].mCall, WorkerReply(IncarnationMismatch{}), world.mNow);
  CHECK(world.mCell.WorkersNow().find("w")->second.mRuns.empty());
}

TEST_CASE("a stop that fails is not sent again at once")
{
  OneWorker world;
  world.Submit("a", ChainOf({ 1 }));
  REQUIRE(world.PlanAndAnswer().size() == 1);
  world.mCell.Cancel("a", world.mNow);
  std::vector<CellOrder> orders = world.Plan();
  REQUIRE(orders.size() == 1);
  world.mCell.OnOrder(
    "w", orders[0].mCall, Failure(ConnectionLost{}), world.mNow);
  CHECK(world.Plan().empty());
  world.mNow += 1s;
  CHECK(world.Plan().size() == 1);
}

TEST_CASE("a worker that was silent and holds nothing is asked again")
{
  OneWorker world;
  CHECK_FALSE(world.mCell.NeedsRenewal("w"));
  world.Submit("a", ChainOf({ 1 }));
  world.mCell.OnNoAnswer("w");
  world.mCell.OnNoAnswer("w");
  CHECK(world.mCell.NeedsRenewal("w"));
  CHECK(world.Plan().empty());
  world.List({}, {});
  CHECK(world.Plan().size() == 1);
}

TEST_CASE("every job ends though workers were cut off, seed 1245")
{
  // A worker that lost its runs while it was silent was never asked again.
  Explore(1245, { .mWorkerCut = 0.002 });
}

TEST_CASE("a task that lasts gets room on a worker full of shorter tasks")
{
  OneWorker world;
  JobSpec filler = ChainOf({ 15 }, 10ms);
  filler.mSteps[0].mTaskResources = { 2000, 100, 0 };
  world.Submit("a", filler);
  std::vector<CellOrder> started = world.PlanAndAnswer();
  REQUIRE(started.size() == 15);
  JobSpec lasting = ChainOf({ 1 });
  lasting.mSteps[0].mLongRunning = true;
  lasting.mSteps[0].mTaskResources = { 4000, 100, 0 };
  world.Submit("b", lasting);
  world.Submit("c", ChainOf({ 1 }, 10ms));
  // One core pair is free: too little for the task that lasts, and the other
  // job must not take it.
  CHECK(world.PlanAndAnswer().empty());
  std::vector<ReportedRun> present;
  for (std::uint32_t i = 1; i < 15; ++i) {
    present.push_back({ { "a", 0, 0, i }, 1, "", 100, std::nullopt });
  }
  world.List(present, { DoneEnd(1, 0) });
  std::vector<CellOrder> orders = world.PlanAndAnswer();
  REQUIRE(orders.size() == 1);
  CHECK(std::get<StartRun>(orders[0].mCall).mTask.mJob == "b");
}

TEST_CASE("tasks on a silent worker count as missed")
{
  OneWorker world;
  JobSpec spec = ChainOf({ 2 });
  spec.mSteps[0].mLongRunning = true;
  spec.mSteps[0].mMaxUnavailable = 1;
  spec.mSteps[0].mMaxPerWorker = 1;
  WorkerReport other = world.mReports[0];
  other.mId = "v";
  world.mReports.push_back(other);
  world.mCell.SetWorkers(world.mReports, world.mNow);
  WorkerStatus empty{ ToMillis(world.mNow.time_since_epoch()), 5, {}, {} };
  world.mCell.OnListing("v", empty, world.mNow, world.mNow);
  world.Commit();
  world.Submit("a", spec);
  std::vector<CellOrder> orders = world.Plan();
  REQUIRE(orders.size() == 2);
  for (const CellOrder& order : orders) {
    world.mCell.OnOrder(
      order.mWorker, order.mCall, WorkerReply(OrderDone{ 1 }), world.mNow);
  }
  std::uint32_t there = orders[0].mWorker == "v"
                          ? std::get<StartRun>(orders[0].mCall).mTask.mIndex
                          : std::get<StartRun>(orders[1].mCall).mTask.mIndex;
  world.mNow += 10ms;
  empty.mActiveRuns.push_back(
    { { "a", 0, 0, there }, 1, "", 100, std::nullopt });
  world.mCell.OnListing("v", empty, world.mNow, world.mNow);
  world.mCell.OnNoAnswer("v");
  std::uint32_t here = orders[0].mWorker == "w"
                         ? std::get<StartRun>(orders[0].mCall).mTask.mIndex
                         : std::get<StartRun>(orders[1].mCall).mTask.mIndex;
  world.List({ { { "a", 0, 0, here }, 1, "", 100, std::nullopt } }, {});
  world.mCell.Seal("w", true);
  for (const CellOrder& order : world.Plan()) {
    CHECK_FALSE(std::holds_alternative<StopRun>(order.mCall));
  }
}

TEST_CASE("a start isn't sent to a worker that began to drain meanwhile")
{
  OneWorker world;
  world.Submit("a", ChainOf({ 1 }));
  std::vector<CellOrder> orders = world.Plan();
  REQUIRE(orders.size() == 1);
  CHECK(world.mCell.MayStartOn("w"));
  world.mReports[0].mDraining = true;
  world.mCell.SetWorkers(world.mReports, world.mNow);
  CHECK_FALSE(world.mCell.MayStartOn("w"));
  // The order that was held back leaves the task free to run elsewhere.
  world.mCell.OnOrder(
    "w", orders[0].mCall, Failure(ConnectFailure{}), world.mNow);
  CHECK(world.mCell.WorkersNow().find("w")->second.mRuns.empty());
}

TEST_CASE("a task that fits is placed behind one that fits nowhere")
{
  OneWorker world;
  JobSpec large = ChainOf({ 1 });
  large.mSteps[0].mTaskResources.mCpuMillis = 30000;
  world.Submit("first", large);
  REQUIRE(world.PlanAndAnswer().size() == 1);
  large.mSteps[0].mEstimatedRunTime = 100ms;
  world.Submit("large", large);
  JobSpec small = ChainOf({ 1 });
  small.mSteps[0].mTaskResources.mCpuMillis = 1000;
  world.Submit("small", small);
  std::vector<CellOrder> orders = world.Plan();
  REQUIRE(orders.size() == 1);
  CHECK(std::get<StartRun>(orders[0].mCall).mTask.mJob == "small");
}
