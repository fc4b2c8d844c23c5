// Tests that a call which a worker has turned down counts as not carried out.

#include "cell_simulation.h"
#include "single_worker_cell.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace buckthornshunt;
using namespace buckthornshunt::tests;
using namespace std::chrono_literals;

namespace {

/// A cell whose only task was started by an order without an answer, and is
/// being stopped since a listing doesn't show it. An idle worker has room.
struct UnansweredStart
{
  UnansweredStart()
  {
    mCell.Submit("a", ChainOf({ 1 }));
    std::vector<CellOrder> starts = mCell.Plan();
    REQUIRE(starts.size() == 1);
    mCell.mCell.OnOrderReply(
      "w", starts[0].mCall, Failure(TimeoutFailure{}), mCell.mNow);
    mCell.AddIdleWorker("idle");
    mCell.List({}, {});
  }

  /// Answers the stop of the run, and lists the worker as idle.
  void AnswerStop(const Expected<WorkerReply>& aReply)
  {
    std::vector<CellOrder> orders = mCell.Plan();
    REQUIRE(orders.size() == 1);
    REQUIRE(std::holds_alternative<StopRun>(orders[0].mCall));
    mCell.mCell.OnOrderReply("w", orders[0].mCall, aReply, mCell.mNow);
    mCell.List({}, {});
  }

  /// Whether the task is started again.
  bool Starts()
  {
    std::vector<CellOrder> orders = mCell.Plan();
    return std::any_of(
      orders.begin(), orders.end(), [](const CellOrder& aOrder) {
        return std::holds_alternative<StartRun>(aOrder.mCall);
      });
  }

  SingleWorkerCell mCell;
};

} // namespace

// Guards against a stop that a worker refused as unhealthy letting its task run
// elsewhere, while the start may still be carried out.
TEST_CASE("a stop that a worker turns down counts as done")
{
  for (StartRefusal reason : { StartRefusal::Rejected,
                               StartRefusal::LeaseExpired,
                               StartRefusal::InsufficientCapacity,
                               StartRefusal::InvalidTicket }) {
    UnansweredStart cell;
    cell.AnswerStop(WorkerReply(OrderRefused{ reason, 1 }));
    CHECK_FALSE(cell.Starts());
    // The stop is sent again, and its confirmation counts.
    cell.mCell.mNow += 800ms;
    cell.AnswerStop(WorkerReply(OrderDone{ 1 }));
    CHECK(cell.Starts());
  }
}

// Guards against a task that never runs again, since its worker refuses every
// stop of a run that it doesn't have.
TEST_CASE("a run whose stops are all refused is waited for without end")
{
  UnansweredStart cell;
  for (int i = 0; i < 13; ++i) {
    cell.AnswerStop(WorkerReply(OrderRefused{ StartRefusal::Rejected, 1 }));
    CHECK_FALSE(cell.Starts());
    cell.mCell.mNow += 900ms;
  }
  cell.mCell.mNow += 1s;
  cell.mCell.List({}, {});
  CHECK(cell.Starts());
}

// Guards against a stop being repeated for ever for a run that the worker can
// no longer start.
TEST_CASE("a stop of a run that can't start any more is repeated")
{
  UnansweredStart cell;
  cell.AnswerStop(WorkerReply(OrderRefused{ StartRefusal::StaleRun, 1 }));
  CHECK(cell.Starts());
}
