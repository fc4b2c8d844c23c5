// Tests what the rows of ended jobs tell a later owner of their cell.

#include "cell_simulation.h"
#include "single_worker_cell.h"

#include <doctest/doctest.h>

#include <map>
#include <string>

using namespace buckthornshunt;
using namespace buckthornshunt::tests;
using namespace std::chrono_literals;

namespace {

/// The rows of a cell's jobs.
struct JobRows
{
  void Apply(const CellChanges& aChanges)
  {
    for (const StoredJob& job : aChanges.mNewJobs) {
      mJobs.insert_or_assign(job.mId, job);
    }
    for (const auto& [id, progress] : aChanges.mProgress) {
      mProgress.insert_or_assign(id, progress);
    }
    for (const std::string& id : aChanges.mEndedJobs) {
      mJobs.erase(id);
    }
    for (const std::string& id : aChanges.mExpiredJobs) {
      mProgress.erase(id);
    }
  }

  void Restore(Cell& aCell, TimePoint aNow) const
  {
    for (const auto& [id, job] : mJobs) {
      auto progress = mProgress.find(id);
      aCell.Restore(RestoreJob(job,
                               progress == mProgress.end() ? StoredProgress{}
                                                           : progress->second),
                    aNow,
                    {});
    }
    for (const auto& [id, progress] : mProgress) {
      if (!mJobs.contains(id)) {
        aCell.RestoreEnded(id, progress, aNow);
      }
    }
  }

  std::map<std::string, StoredJob> mJobs;
  std::map<std::string, StoredProgress> mProgress;
};

void
Commit(SingleWorkerCell& aCell, JobRows& aRows)
{
  CellChanges changes = aCell.mCell.TakeChanges(aCell.mNow);
  aRows.Apply(changes);
  aCell.mCell.OnCommitted(changes, aCell.mNow);
}

/// Commits until the rows of ended jobs have expired.
void
PassRetention(SingleWorkerCell& aCell, JobRows& aRows)
{
  aCell.mNow += 2 * CellDurations{}.mStatusRetention + 2s;
  Commit(aCell, aRows);
}

/// Starts that the next owner orders by the rows.
std::size_t
StartsOfNextOwner(const JobRows& aRows)
{
  SingleWorkerCell next;
  aRows.Restore(next.mCell, next.mNow);
  return next.Plan().size();
}

} // namespace

// Guards against a job that was cancelled before its first commit being new to
// the next owner, once its end has expired.
TEST_CASE("a job that is cancelled before it is stored runs after its expiry")
{
  SingleWorkerCell cell;
  JobRows rows;
  cell.mCell.Submit({ "a", "q", ChainOf({ 1 }), {} }, cell.mNow);
  cell.mCell.Cancel("a", cell.mNow);
  Commit(cell, rows);
  CHECK(cell.mCell.IsStored("a"));
  CHECK(cell.mCell.PhaseOf("a") == JobPhase::Cancelled);
  CHECK(rows.mJobs.empty());
  CHECK(rows.mProgress.at("a").mPhase == JobPhase::Cancelled);
  CHECK(StartsOfNextOwner(rows) == 0);
  PassRetention(cell, rows);
  CHECK(rows.mProgress.empty());
  CHECK(StartsOfNextOwner(rows) == 0);
}

// Guards against the first row of a commit whose outcome isn't known outliving
// the end of the job, which is stored after it.
TEST_CASE("a job that is cancelled while its commit is in doubt stays stored")
{
  SingleWorkerCell cell;
  JobRows rows;
  cell.mCell.Submit({ "a", "q", ChainOf({ 1 }), {} }, cell.mNow);
  CellChanges inDoubt = cell.mCell.TakeChanges(cell.mNow);
  rows.Apply(inDoubt);
  cell.mCell.Cancel("a", cell.mNow);
  cell.mCell.OnNotCommitted(inDoubt);
  Commit(cell, rows);
  CHECK(cell.mCell.PhaseOf("a") == JobPhase::Cancelled);
  CHECK(rows.mJobs.empty());
  PassRetention(cell, rows);
  CHECK(StartsOfNextOwner(rows) == 0);
}

// Guards against the first row of a job that fails before it is stored, as its
// rows don't fit.
TEST_CASE("a job that is abandoned before it is stored runs after its expiry")
{
  SingleWorkerCell cell;
  JobRows rows;
  cell.mCell.Submit({ "a", "q", ChainOf({ 1 }), {} }, cell.mNow);
  cell.mCell.Abandon("a", cell.mNow);
  Commit(cell, rows);
  CHECK(cell.mCell.PhaseOf("a") == JobPhase::Failed);
  CHECK(rows.mJobs.empty());
  PassRetention(cell, rows);
  CHECK(StartsOfNextOwner(rows) == 0);
}

// Guards against both rows of an ended job, left by an earlier version, of
// which only the second one expires.
TEST_CASE("an owner that finds both rows of an ended job keeps the first one")
{
  SingleWorkerCell first;
  JobRows rows;
  first.mCell.Submit({ "a", "q", ChainOf({ 1 }), {} }, first.mNow);
  Commit(first, rows);
  StoredProgress end;
  end.mPhase = JobPhase::Cancelled;
  end.mQueue = "q";
  rows.mProgress.emplace("a", end);

  SingleWorkerCell cell;
  rows.Restore(cell.mCell, cell.mNow);
  CHECK(cell.mCell.PhaseOf("a") == JobPhase::Cancelled);
  Commit(cell, rows);
  CHECK(rows.mJobs.empty());
  CHECK(rows.mProgress.at("a").mPhase == JobPhase::Cancelled);
  PassRetention(cell, rows);
  CHECK(rows.mProgress.empty());
  CHECK(StartsOfNextOwner(rows) == 0);
}

// Guards against an end being stored and removed by the same commit.
TEST_CASE("the end of a job expires while it waits to be stored")
{
  SingleWorkerCell first;
  JobRows rows;
  first.mCell.Submit({ "a", "q", ChainOf({ 1 }), {} }, first.mNow);
  Commit(first, rows);
  StoredProgress end;
  end.mPhase = JobPhase::Cancelled;
  end.mQueue = "q";
  rows.mProgress.emplace("a", end);

  SingleWorkerCell cell;
  rows.Restore(cell.mCell, cell.mNow);
  cell.mNow += 2 * CellDurations{}.mStatusRetention + 2s;
  CellChanges changes = cell.mCell.TakeChanges(cell.mNow);
  CHECK(changes.mEndedJobs.size() == 1);
  CHECK(changes.mExpiredJobs.empty());
}
