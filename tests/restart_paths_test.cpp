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
