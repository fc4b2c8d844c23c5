// Tests what a cell does with the tasks of workers that crash together.

#include "cell_simulation.h"
#include "single_worker_cell.h"

#include <doctest/doctest.h>

using namespace buckthornshunt;
using namespace buckthornshunt::tests;
using namespace std::chrono_literals;

namespace {

/// Waits that a cell has reported, by reason.
std::map<WaitReason, std::size_t>
TakeWaits(Cell& aCell)
{
  std::map<WaitReason, std::size_t> waits;
  for (const WorkerNotice& notice : aCell.TakeWorkerNotices()) {
    if (const auto* waiting = std::get_if<TasksWaiting>(&notice)) {
      waits[waiting->mReason] += waiting->mTasks;
    }
  }
  return waits;
}

} // namespace

// Guards against a log that doesn't tell why tasks that are ready don't run.
TEST_CASE("the reason why a ready task waits isn't told")
{
  SingleWorkerCell harness;
  harness.Submit("a", ChainOf({ 17 }));
  REQUIRE(harness.PlanAndAnswer().size() == 16);
  harness.mNow += 900ms;
  harness.Plan();
  CHECK(TakeWaits(harness.mCell).empty());
  harness.mNow += 1s;
  harness.Plan();
  harness.Plan();
  CHECK(TakeWaits(harness.mCell) ==
        std::map<WaitReason, std::size_t>{ { WaitReason::NoRoom, 1 } });
}

// Guards against runs on a worker that is gone being waited for without a
// trace.
TEST_CASE("a run that is held on a worker that is gone isn't told")
{
  SingleWorkerCell harness;
  harness.Submit("a", ChainOf({ 1 }));
  REQUIRE(harness.PlanAndAnswer().size() == 1);
  harness.mCell.SetWorkers({}, harness.mNow);
  harness.mNow += 1s;
  harness.Plan();
  harness.mNow += 1s;
  harness.Plan();
  std::vector<WorkerNotice> notices = harness.mCell.TakeWorkerNotices();
  REQUIRE(notices.size() == 1);
  const auto* waiting = std::get_if<TasksWaiting>(&notices[0]);
  REQUIRE(waiting != nullptr);
  CHECK(waiting->mReason == WaitReason::RunHeld);
  CHECK(waiting->mWorker == "w");
  CHECK(waiting->mStage == ActiveRun::Stage::Running);
  CHECK(waiting->mUntilExpiry > 0s);
  CHECK(waiting->mFor >= 1s);
}
