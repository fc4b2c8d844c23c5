// Tests that a late attempt of a start runs no task again after a restart.

#include "cell_simulation.h"
#include "single_worker_cell.h"

#include <doctest/doctest.h>

using namespace buckthornshunt;
using namespace buckthornshunt::tests;
using namespace std::chrono_literals;

namespace {

/// A cell with one task, of whose start an attempt got no answer.
struct RepeatedStart
{
  RepeatedStart()
  {
    mCell.Submit("a", ChainOf({ 1 }));
    std::vector<CellOrder> starts = mCell.Plan();
    REQUIRE(starts.size() == 1);
    mStart = starts[0].mCall;
  }

  void Answer()
  {
    mCell.mCell.OnOrderReply(
      "w", mStart, WorkerReply(OrderDone{ 1 }), mCell.mNow, true);
  }

  void EndTask()
  {
    mCell.List({}, { DoneEnd(1, 0) });
    mCell.Commit();
    mCell.List({}, { DoneEnd(1, 0) });
  }

  FencingToken Token()
  {
    return mCell.mCell.NextRenewal("w", 0s, mCell.mNow).mToken;
  }

  SingleWorkerCell mCell;
  WorkerCall mStart;
};

} // namespace

// Guards against an end that is taken note of before an attempt of its start,
// which the next process of the worker carries out.
TEST_CASE("an end is acknowledged while a copy of its start may follow")
{
  RepeatedStart cell;
  cell.Answer();
  cell.EndTask();
  CHECK(cell.mCell.mCell.PhaseOf("a") == JobPhase::Completed);
  CHECK(cell.mCell.Acknowledged() == 0);
  CHECK_FALSE(cell.mCell.mCell.IsAcknowledgementOverdue("w", cell.mCell.mNow));
  cell.mCell.mNow += kMaxCallDelay;
  CHECK(cell.mCell.mCell.NeedsRenewal("w", cell.mCell.mNow));
  cell.mCell.List({}, { DoneEnd(1, 0) });
  CHECK(cell.mCell.mCell.NeedsRenewal("w", cell.mCell.mNow));
  CHECK(cell.mCell.Acknowledged() == 1);
  CHECK_FALSE(cell.mCell.mCell.NeedsRenewal("w", cell.mCell.mNow));
}

// Guards against ends that nobody takes note of for seconds although the end of
// the worker's process would be noticed at once.
TEST_CASE("an end waits for copies of its start at a worker in steady contact")
{
  RepeatedStart cell;
  cell.mCell.mNow += kMaxCallDelay;
  cell.Answer();
  cell.EndTask();
  CHECK(cell.mCell.mCell.IsAcknowledgementOverdue("w", cell.mCell.mNow));
  CHECK(cell.mCell.Acknowledged() == 1);
  cell.mCell.List({}, {});
  // The pending renewal that tells of it.
  CHECK(cell.mCell.mCell.NeedsRenewal("w", cell.mCell.mNow));
  FencingToken before = cell.Token();
  cell.mCell.mCell.OnConnectionBroken("w", cell.mCell.mNow);
  CHECK(cell.Token() > before);
}

// Guards against an end that is taken note of while the worker restarts or is
// cut off again and again.
TEST_CASE("an end is acknowledged at a worker whose contact was interrupted")
{
  RepeatedStart cell;
  cell.mCell.mNow += kMaxCallDelay;
  cell.Answer();
  Cell& owner = cell.mCell.mCell;
  SUBCASE("a renewal got no answer")
  {
    owner.OnNoAnswer("w");
  }
  SUBCASE("an attempt of a renewal got none")
  {
    owner.OnRenewalAttemptLost("w");
  }
  SUBCASE("a connection broke")
  {
    owner.OnConnectionBroken("w", cell.mCell.mNow);
    cell.Token();
  }
  SUBCASE("the directory doesn't list it")
  {
    owner.SetWorkers({}, cell.mCell.mNow);
  }
  cell.EndTask();
  CHECK(cell.mCell.Acknowledged() == 0);
}

// Guards against the answer to a repeated start arriving after its end.
TEST_CASE("an end is acknowledged while the answer to its start is overdue")
{
  RepeatedStart cell;
  cell.EndTask();
  CHECK(cell.mCell.Acknowledged() == 0);
  cell.Answer();
  CHECK(cell.mCell.Acknowledged() == 0);
  CHECK(cell.mCell.mCell.NeedsRenewal("w", cell.mCell.mNow));
}

// Guards against a listing that shows the run before the outcome of its start
// order tells of the attempt that got no answer.
TEST_CASE("an end is acknowledged while its start is still repeated")
{
  RepeatedStart cell;
  cell.mCell.List({ { { "a", 0, 0, 0 }, 1, "", 100, std::nullopt } }, {});
  cell.EndTask();
  CHECK(cell.mCell.Acknowledged() == 0);
  cell.Answer();
  CHECK(cell.mCell.Acknowledged() == 0);
  cell.mCell.mNow += kMaxCallDelay;
  cell.mCell.List({}, { DoneEnd(1, 0) });
  CHECK(cell.mCell.Acknowledged() == 1);
}

// Guards against a wait for attempts that don't exist.
TEST_CASE("an end waits although all attempts of its start were answered")
{
  RepeatedStart cell;
  cell.EndTask();
  CHECK(cell.mCell.Acknowledged() == 0);
  cell.mCell.mCell.OnOrderReply(
    "w", cell.mStart, WorkerReply(OrderDone{ 1 }), cell.mCell.mNow);
  cell.mCell.List({}, { DoneEnd(1, 0) });
  CHECK(cell.mCell.Acknowledged() == 1);
  CHECK_FALSE(cell.mCell.mCell.NeedsRenewal("w", cell.mCell.mNow));
}

// Guards against ends that nobody hears of, since a worker lists a limited
// number of them.
TEST_CASE("ends that may not be acknowledged hide newer ones")
{
  RepeatedStart cell;
  cell.Answer();
  cell.EndTask();
  WorkerStatus full{ 0, 5, {}, { DoneEnd(1, 0) } };
  full.mHasMoreEnds = true;
  cell.mCell.ListStatus(full);
  CHECK(cell.mCell.Acknowledged() == 1);
}

// Guards against an idle worker whose next process isn't asked until the
// directory has shown it.
TEST_CASE("an idle worker isn't asked while a copy of a start may follow")
{
  RepeatedStart cell;
  cell.Answer();
  cell.EndTask();
  REQUIRE(cell.mCell.mCell.Workers().find("w")->second.mRuns.empty());
  CHECK(cell.mCell.mCell.NeedsRenewal("w", cell.mCell.mNow));
  cell.mCell.mNow += kMaxCallDelay;
  cell.mCell.List({}, { DoneEnd(1, 0) });
  CHECK(cell.mCell.Acknowledged() == 1);
  CHECK_FALSE(cell.mCell.mCell.NeedsRenewal("w", cell.mCell.mNow));
}

// Guards against the next owner taking an idle worker for one that it has
// nothing to wait for at.
TEST_CASE("an owner that hands over forgets a copy of a start that may follow")
{
  RepeatedStart cell;
  cell.Answer();
  cell.EndTask();
  Cell& owner = cell.mCell.mCell;
  CHECK(owner.TakeReleaseChanges(cell.mCell.mNow).mWorkers->size() == 1);
  cell.mCell.mNow += kMaxCallDelay;
  CHECK(owner.TakeReleaseChanges(cell.mCell.mNow).mWorkers->empty());
}

// Guards against a next process that carries out calls to the former one until
// a listing has shown it.
TEST_CASE("a worker is asked under its former token after its connection broke")
{
  RepeatedStart cell;
  cell.Answer();
  FencingToken before = cell.Token();
  cell.mCell.mCell.OnConnectionBroken("w", cell.mCell.mNow);
  FencingToken after = cell.Token();
  CHECK(after > before);
  // No further one is needed until the worker has answered.
  cell.mCell.Commit();
  cell.mCell.mCell.OnConnectionBroken("w", cell.mCell.mNow);
  CHECK(cell.Token() == after);
  CHECK_FALSE(cell.mCell.mCell.MayStartOn("w"));
  cell.mCell.List({ { { "a", 0, 0, 0 }, 1, "", 100, std::nullopt } }, {});
  CHECK(cell.mCell.mCell.MayStartOn("w"));
}

// Guards against a commit for each connection that breaks.
TEST_CASE(
  "a broken connection raises the token although all calls were answered")
{
  SingleWorkerCell cell;
  cell.Submit("a", ChainOf({ 1 }));
  REQUIRE(cell.PlanAndAnswer().size() == 1);
  cell.mCell.OnConnectionBroken("w", cell.mNow);
  CHECK(cell.mCell.MayStartOn("w"));
}

// Guards against an owner that doesn't know which starts of the one before got
// no answer, and takes note of their ends at once.
TEST_CASE("an end that the next owner finds is acknowledged at once")
{
  SingleWorkerCell cell;
  cell.Submit("a", ChainOf({ 1 }));
  cell.List({}, { DoneEnd(1, 0) });
  cell.Commit();
  cell.List({}, { DoneEnd(1, 0) });
  CHECK(cell.mCell.PhaseOf("a") == JobPhase::Completed);
  CHECK(cell.Acknowledged() == 0);
  cell.mNow += kMaxCallDelay;
  cell.List({}, { DoneEnd(1, 0) });
  CHECK(cell.Acknowledged() == 1);
}

// Guards against an owner that takes note of the end of a run that it started
// itself while an attempt of the one before may come.
TEST_CASE("an end waits for no copy of an earlier owner's start")
{
  SingleWorkerCell cell;
  cell.mCell.Restore(
    RestoreJob({ "a", "q", ChainOf({ 1 }), 1, {} }, {}), cell.mNow, {});
  std::vector<CellOrder> starts;
  for (int i = 0; i < 110 && starts.empty(); ++i) {
    cell.mNow += 100ms;
    cell.List({}, {});
    starts = cell.PlanAndAnswer();
  }
  REQUIRE(starts.size() == 1);
  const StartRun& start = std::get<StartRun>(starts[0].mCall);
  EndedRun end{ 1, start.mTask, start.mRun, RunEnd::Done, "" };
  cell.List({}, { end });
  cell.Commit();
  cell.List({}, { end });
  CHECK(cell.mCell.PhaseOf("a") == JobPhase::Completed);
  CHECK(cell.Acknowledged() == 0);
  cell.mNow += kMaxCallDelay;
  cell.List({}, { end });
  CHECK(cell.Acknowledged() == 1);
}

// Guards against an end that waits for attempts of its own run only, while one
// of a run that was lost with the worker's process may come.
TEST_CASE("an end is acknowledged while a copy of an earlier start may follow")
{
  RepeatedStart repeated;
  SingleWorkerCell& cell = repeated.mCell;
  const StartRun& lost = std::get<StartRun>(repeated.mStart);
  auto list = [&](std::vector<EndedRun> aEnded) {
    repeated.Token();
    cell.ListStatus({ 0, 6, {}, std::move(aEnded) });
  };
  repeated.Answer();
  cell.mReports[0].mIncarnation = 6;
  cell.mCell.SetWorkers(cell.mReports, cell.mNow);
  list({});
  cell.Commit();
  list({});
  std::optional<StartRun> again;
  for (int i = 0; i < 50 && !again; ++i) {
    cell.mNow += 100ms;
    for (const CellOrder& order : cell.PlanAndAnswer()) {
      if (const auto* start = std::get_if<StartRun>(&order.mCall)) {
        again = *start;
      }
    }
    list({});
  }
  REQUIRE(again);
  CHECK(again->mTask == lost.mTask);
  EndedRun end{ 1, again->mTask, again->mRun, RunEnd::Done, "" };
  list({ end });
  cell.Commit();
  list({ end });
  CHECK(cell.mCell.PhaseOf("a") == JobPhase::Completed);
  CHECK(cell.Acknowledged() == 0);
  cell.mNow += kMaxCallDelay;
  list({ end });
  CHECK(cell.Acknowledged() == 1);
}
