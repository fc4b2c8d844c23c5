// Tests what a cell concludes about the runs of a worker that restarts.

#include "cell_simulation.h"
#include "single_worker_cell.h"

#include <doctest/doctest.h>

using namespace buckthornshunt;
using namespace buckthornshunt::tests;
using namespace std::chrono_literals;

namespace {

const TaskId kTask{ "a", 0, 0, 0 };
const ReportedRun kRun{ kTask, 1, "", 100, std::nullopt };

/// A cell of a second owner, with a job of one task that the first one left, a
/// worker that may run it and does not answer, and an idle one.
struct InheritedCell
{
  explicit InheritedCell(std::int64_t aReported)
    : mCell(CellDurations{}, FencingToken(7), 2, mNow)
  {
    WorkloadConfig config;
    QueueConfig queue;
    queue.mName = "q";
    queue.mPool = "pool";
    config.mQueues.push_back(queue);
    mCell.SetConfig(config, "pool");
    mCell.Restore(
      RestoreJob({ "a", "q", ChainOf({ 1 }), 1, {} }, {}), mNow, {});
    std::vector<WorkerAddress> workers = { { "w", { "127.0.0.1", 1 }, "", 5 } };
    mCell.RestoreWorkers(workers, mNow);
    Report(aReported);
    mCell.OnListing("idle", { 0, 5, {}, {} }, mNow, mNow);
    mCell.OnCommitted(mCell.TakeChanges(mNow), mNow);
    mCell.SetNewestToken(FencingToken(8));
  }

  void Report(std::int64_t aIncarnation)
  {
    WorkerReport silent;
    silent.mId = "w";
    silent.mPool = "pool";
    silent.mCapacity = { 32000, 100000, 0 };
    silent.mIncarnation = aIncarnation;
    WorkerReport idle = silent;
    idle.mId = "idle";
    idle.mIncarnation = 5;
    std::vector<WorkerReport> reports = { silent, idle };
    mCell.SetWorkers(reports, mNow);
    mCell.OnNoAnswer("w");
    mCell.OnNoAnswer("w");
  }

  bool Starts() { return !mCell.Plan(mNow, {}).empty(); }

  TimePoint mNow{ 100s };
  Cell mCell;
};

} // namespace

// Guards against a late list of VMs ending the runs of a process that has
// answered since, before the directory has reported it.
TEST_CASE("a list of VMs ends a process that answered after the listed one")
{
  SingleWorkerCell cell;
  cell.Submit("a", ChainOf({ 1 }));
  REQUIRE(cell.PlanAndAnswer().size() == 1);
  cell.AddIdleWorker("idle");
  cell.ListStatus({ 0, 6, { kRun }, {} });
  CHECK_FALSE(cell.mCell.OnWorkerEnded("w", 5, cell.mNow));
  CHECK(cell.mCell.Workers().find("w")->second.mRuns.size() == 1);
  CHECK(cell.PlanAndAnswer().empty());
}

// Guards against a report of the directory being taken for the end of runs that
// the earlier owner started on the process which it reports.
TEST_CASE("a new owner takes a restart for the end of runs it doesn't know")
{
  InheritedCell cell(5);
  CHECK_FALSE(cell.Starts());
  cell.Report(6);
  CHECK_FALSE(cell.Starts());
  cell.mNow += 10s;
  CHECK_FALSE(cell.Starts());
}

// Guards against a list of VMs that is older than the last starts of the
// earlier owner.
TEST_CASE("a list of VMs ends runs that an earlier owner has started since")
{
  InheritedCell cell(5);
  CHECK_FALSE(cell.mCell.OnWorkerEnded("w", 5, cell.mNow));
  CHECK_FALSE(cell.Starts());
  cell.mNow += kMaxVmListAge;
  CHECK(cell.mCell.OnWorkerEnded("w", 5, cell.mNow));
  CHECK(cell.Starts());
}

// Guards against the next process of a worker carrying a start out after a list
// of VMs has shown the end of the one that was asked.
TEST_CASE("a list of VMs ends a start that got no answer")
{
  SingleWorkerCell cell;
  cell.Submit("a", ChainOf({ 1 }));
  std::vector<CellOrder> orders = cell.Plan();
  REQUIRE(orders.size() == 1);
  cell.mCell.OnOrderReply(
    "w", orders[0].mCall, Failure(TimeoutFailure{}), cell.mNow);
  cell.AddIdleWorker("idle");
  cell.mCell.OnNoAnswer("w");
  CHECK_FALSE(cell.mCell.OnWorkerEnded("w", 5, cell.mNow));
  CHECK(cell.PlanAndAnswer().empty());
  cell.mNow += kMaxVmListAge;
  CHECK_FALSE(cell.mCell.OnWorkerEnded("w", 5, cell.mNow));
  CHECK(cell.PlanAndAnswer().empty());
  cell.mNow += kMaxCallDelay;
  CHECK(cell.mCell.OnWorkerEnded("w", 5, cell.mNow));
  CHECK(cell.PlanAndAnswer().size() == 1);
}

namespace {

/// Lets the worker fall silent at the directory too, and returns whether its
/// task is started elsewhere once the lease of its known process is over.
bool
StartsElsewhereAfterLease(SingleWorkerCell& aCell)
{
  aCell.AddIdleWorker("idle");
  aCell.mReports.erase(aCell.mReports.begin());
  aCell.mCell.SetWorkers(aCell.mReports, aCell.mNow);
  aCell.mCell.OnNoAnswer("w");
  aCell.mCell.OnNoAnswer("w");
  aCell.mNow += 11s;
  aCell.mCell.OnListing("idle", { 0, 5, {}, {} }, aCell.mNow, aCell.mNow);
  bool starts = !aCell.PlanAndAnswer().empty();
  // Late calls and the longest lease are over by then.
  aCell.mNow += 13s;
  aCell.mCell.OnListing("idle", { 0, 5, {}, {} }, aCell.mNow, aCell.mNow);
  bool startsLater = !aCell.PlanAndAnswer().empty();
  CHECK(starts != startsLater);
  return starts;
}

} // namespace

// Guards against a restart that neither a listing nor the directory shows: the
// next process takes the lease of a start for the longest one.
TEST_CASE("a run that no listing has shown ends with a lease of the known one")
{
  SingleWorkerCell unlisted;
  unlisted.Submit("a", ChainOf({ 1 }));
  REQUIRE(unlisted.PlanAndAnswer().size() == 1);
  CHECK_FALSE(StartsElsewhereAfterLease(unlisted));
  SingleWorkerCell listed;
  listed.Submit("a", ChainOf({ 1 }));
  REQUIRE(listed.PlanAndAnswer().size() == 1);
  listed.List({ kRun }, {});
  CHECK(StartsElsewhereAfterLease(listed));
}

// Guards against a worker that is listed while it is silent, and restarts once
// the lease is over: it may carry the start out then.
TEST_CASE("an unanswered start ends with the lease of a worker that is listed")
{
  SingleWorkerCell cell;
  cell.Submit("a", ChainOf({ 1 }));
  std::vector<CellOrder> orders = cell.Plan();
  REQUIRE(orders.size() == 1);
  cell.mCell.OnOrderReply(
    "w", orders[0].mCall, Failure(TimeoutFailure{}), cell.mNow);
  cell.AddIdleWorker("idle");
  cell.mCell.OnNoAnswer("w");
  cell.mCell.OnNoAnswer("w");
  cell.mNow += 11s;
  CHECK(cell.PlanAndAnswer().empty());
  cell.mNow += kMaxCallDelay;
  CHECK(cell.PlanAndAnswer().size() == 1);
}

// Guards against a lease that the next process took for the longest one while
// the cell still reckons with the clock of the former.
TEST_CASE("a process that has answered once ends runs with the former's lease")
{
  SingleWorkerCell cell;
  cell.Submit("a", ChainOf({ 1 }));
  REQUIRE(cell.PlanAndAnswer().size() == 1);
  cell.ListStatus({ 0, 6, { kRun }, {} });
  CHECK_FALSE(StartsElsewhereAfterLease(cell));
}

// Guards against the first attempt of a start, which got no answer, being
// carried out by the next process.
TEST_CASE("a listing settles a start of which an attempt may follow")
{
  SingleWorkerCell cell;
  cell.Submit("a", ChainOf({ 1 }));
  std::vector<CellOrder> orders = cell.Plan();
  REQUIRE(orders.size() == 1);
  cell.mCell.OnOrderReply(
    "w", orders[0].mCall, WorkerReply(OrderDone{ 1 }), cell.mNow, true);
  cell.List({ kRun }, {});
  CHECK_FALSE(StartsElsewhereAfterLease(cell));
}

// Guards against the position in one process's list reaching the next one,
// which forgets ends that nobody has read.
TEST_CASE("ends are acknowledged although the worker may have restarted since")
{
  SingleWorkerCell cell;
  cell.Submit("a", ChainOf({ 2 }));
  REQUIRE(cell.PlanAndAnswer().size() == 2);
  cell.List({}, { DoneEnd(1, 0) });
  cell.Commit();
  cell.mNow += 1s;
  CHECK(cell.Acknowledged() == 0);
  cell.List({}, { DoneEnd(1, 0) });
  CHECK(cell.mCell.IsAcknowledgementOverdue("w", cell.mNow));
  CHECK(cell.Acknowledged() == 1);
  CHECK_FALSE(cell.mCell.IsAcknowledgementOverdue("w", cell.mNow));
}

// Guards against late calls of the earlier owner to a process that the
// directory doesn't show.
TEST_CASE("a new owner counts on the process that the earlier one knew")
{
  InheritedCell listed(5);
  listed.mNow += 11s;
  listed.Report(5);
  CHECK(listed.Starts());
  InheritedCell restarted(6);
  restarted.mNow += 11s;
  restarted.Report(6);
  CHECK_FALSE(restarted.Starts());
  restarted.mNow += kMaxCallDelay;
  restarted.Report(6);
  CHECK(restarted.Starts());
}

TEST_CASE("the next owner isn't told that a worker has restarted")
{
  SingleWorkerCell cell;
  auto stored = [&] {
    CellChanges changes = cell.mCell.TakeReleaseChanges(cell.mNow);
    REQUIRE(changes.mWorkers);
    REQUIRE(changes.mWorkers->size() == 1);
    return (*changes.mWorkers)[0].mIncarnation;
  };
  cell.Submit("a", ChainOf({ 1 }));
  REQUIRE(cell.PlanAndAnswer().size() == 1);
  cell.ListStatus({ 0, 6, { kRun }, {} });
  // Until it has accepted a token it may carry out calls to the former one.
  CHECK(stored() == 5);
  cell.Commit();
  cell.mCell.NextRenewal("w", 0s, cell.mNow);
  cell.ListStatus({ 0, 6, { kRun }, {} });
  CHECK(cell.mCell.TakeChanges(cell.mNow).mWorkers);
  CHECK(stored() == 6);
}

// Guards against an acknowledgement of ends that no commit holds.
TEST_CASE("a commit of an earlier process's ends covers those of the next one")
{
  SingleWorkerCell cell;
  cell.Submit("a", ChainOf({ 2 }));
  REQUIRE(cell.PlanAndAnswer().size() == 2);
  cell.List({}, { DoneEnd(1, 0) });
  CellChanges changes = cell.mCell.TakeChanges(cell.mNow);
  cell.ListStatus({ 0, 6, {}, { DoneEnd(1, 1) } });
  cell.mCell.OnCommitted(changes, cell.mNow);
  CHECK(cell.Acknowledged() == 0);
  cell.Commit();
  CHECK(cell.Acknowledged() == 1);
}

// Guards against a list of VMs that was asked for before the process began.
TEST_CASE("a process that the directory never showed ends by an earlier list")
{
  SingleWorkerCell cell;
  cell.Submit("a", ChainOf({ 1 }));
  REQUIRE(cell.PlanAndAnswer().size() == 1);
  cell.ListStatus({ 0, 6, { kRun }, {} });
  cell.mCell.SetWorkers({}, cell.mNow);
  CHECK_FALSE(cell.mCell.Use(cell.mNow).mWorkers.at("w").mUnlisted);
  cell.mNow += kMaxVmListAge;
  CHECK(cell.mCell.Use(cell.mNow).mWorkers.at("w").mUnlisted);
}

// Guards against a confirmed move of a former process's VM.
TEST_CASE("a late confirmation of a move ends a process reported since")
{
  SingleWorkerCell cell;
  cell.Submit("a", ChainOf({ 1 }));
  REQUIRE(cell.PlanAndAnswer().size() == 1);
  cell.mReports[0].mIncarnation = 6;
  cell.mCell.SetWorkers(cell.mReports, cell.mNow);
  CHECK_FALSE(cell.mCell.OnWorkerMoved("w", 5, cell.mNow));
  CHECK(cell.mCell.Workers().find("w")->second.mRuns.size() == 1);
}
