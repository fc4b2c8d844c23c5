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
