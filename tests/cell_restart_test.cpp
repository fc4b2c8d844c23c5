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
    std::vector<WorkerAddress> workers = { { "w", { "127.0.0.1", 1 } } };
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
