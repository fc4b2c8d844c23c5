// Tests the edges of the lengths of time that conclusions about runs and
// ownership rest on, with clocks that are 2 % off.

#include "cell_simulation.h"
#include "decide/cell_owner.h"
#include "single_worker_cell.h"

#include <doctest/doctest.h>

using namespace buckthornshunt;
using namespace buckthornshunt::tests;
using namespace std::chrono_literals;

namespace {

const ReportedRun kRun{ { "a", 0, 0, 0 }, 1, "", 100, std::nullopt };

/// What a clock that is 2 % slow needs for a time.
Duration
OnSlowClock(Duration aTime)
{
  return std::chrono::duration_cast<Duration>(aTime / (1 - kMaxClockDrift));
}

/// Starts a task on the worker and leaves it silent, beside an idle one.
struct SilentCell : SingleWorkerCell
{
  explicit SilentCell(std::int64_t aIncarnation)
  {
    Submit("a", ChainOf({ 1 }));
    REQUIRE(PlanAndAnswer().size() == 1);
    ListStatus({ 0, aIncarnation, { kRun }, {} });
    AddIdleWorker("idle");
  }

  void FallSilent()
  {
    mCell.OnNoAnswer("w");
    mCell.OnNoAnswer("w");
  }

  bool StartsElsewhereAt(TimePoint aTime)
  {
    return !mCell.Plan(aTime, {}).empty();
  }
};

} // namespace

// Guards against a run that a slow clock keeps alive when its lease is taken
// for ended.
TEST_CASE("a run is given up before its lease ends on a slow clock")
{
  SilentCell cell(5);
  // Until then a worker that is new to the cell may have a longer one.
  cell.mNow += 5s;
  cell.List({ kRun }, {});
  TimePoint heard = cell.mNow;
  std::int64_t clock = ToMillis(heard.time_since_epoch());
  cell.mNow += 1s;
  RenewLease renewal = cell.mCell.NextRenewal("w", Duration::zero(), cell.mNow);
  REQUIRE(renewal.mLeaseExpiry);
  cell.FallSilent();
  TimePoint end =
    heard +
    OnSlowClock(std::chrono::milliseconds(*renewal.mLeaseExpiry - clock));
  CHECK_FALSE(cell.StartsElsewhereAt(end));
  CHECK(cell.StartsElsewhereAt(end + kLeaseGracePeriod + 1ms));
}

// Guards against a call that the next process carries out as late as is
// reckoned with, and by which it holds the longest lease on a slow clock.
TEST_CASE("a run is given up before a late call's lease ends")
{
  SilentCell cell(6);
  TimePoint heard = cell.mNow;
  cell.FallSilent();
  TimePoint end =
    heard + kMaxCallDelay + OnSlowClock(CellDurations{}.mMaxRunLeaseDuration);
  CHECK_FALSE(cell.StartsElsewhereAt(end));
  CHECK(cell.StartsElsewhereAt(end + kLeaseGracePeriod + 1ms));
}

// Guards against two owners, one with a slow clock and one with a fast one.
TEST_CASE("a cell is taken over before its owner's lease ends on a slow clock")
{
  OwnerObservation observation;
  observation.mRow.mNode = "other";
  observation.mUnchangedSince = TimePoint(100s);
  LocalNode self;
  self.mNode = "self";
  auto fast = std::chrono::duration_cast<Duration>(
    OnSlowClock(kOwnerLeaseDuration) * (1 + kMaxClockDrift));
  CHECK(
    EvaluateOwnership(observation, self, observation.mUnchangedSince + fast) ==
    OwnershipState::Held);
  CHECK(EvaluateOwnership(observation,
                          self,
                          observation.mUnchangedSince + kTakeoverTimeout +
                            1ms) == OwnershipState::Free);
}

TEST_CASE("ends are acknowledged by a listing that is too old")
{
  SingleWorkerCell cell;
  cell.Submit("a", ChainOf({ 2 }));
  REQUIRE(cell.PlanAndAnswer().size() == 2);
  cell.List({}, { DoneEnd(1, 0) });
  cell.Commit();
  cell.List({}, { DoneEnd(1, 0) });
  cell.mNow += kMaxAcknowledgementDelay + 1ms;
  CHECK(cell.Acknowledged() == 0);
  cell.mNow -= 1ms;
  CHECK(cell.Acknowledged() == 1);
}
