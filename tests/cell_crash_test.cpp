// Tests what a cell does with the tasks of workers that crash together.

#include "cell_simulation.h"
#include "single_worker_cell.h"

#include <doctest/doctest.h>

using namespace buckthornshunt;
using namespace buckthornshunt::tests;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kWorkersPerDataCentre = 4;
constexpr int kDataCentres = 3;
constexpr int kTasksPerJob = 8;
constexpr Duration kWork = 4s;

std::string
JobName(int aIndex)
{
  return "job" + std::to_string(aIndex);
}

/// A pool in three data centres, and jobs that all start at once.
struct LoadedPool
{
  LoadedPool(std::uint64_t aSeed, int aJobs)
    : mSimulation(aSeed,
                  { .mTaskFailure = 0 },
                  kDataCentres * static_cast<int>(kWorkersPerDataCentre))
    , mJobs(aJobs)
  {
    for (std::size_t i = 0; i < kDataCentres * kWorkersPerDataCentre; ++i) {
      SimWorker& worker = mSimulation.WorkerAt(i);
      worker.mDataCentre = "dc" + std::to_string(i / kWorkersPerDataCentre);
      worker.mRack = worker.mDataCentre + "-r0";
    }
    mSimulation.mTaskTime = kWork;
    mSimulation.Run(500ms);
    for (int i = 0; i < mJobs; ++i) {
      mSimulation.Submit(JobName(i), ChainOf({ kTasksPerJob }, kWork));
    }
    mSimulation.Run(1s);
  }

  // Crashes the first data centre, and returns the tasks that ran there.
  std::vector<TaskId> CrashDataCentre()
  {
    std::vector<TaskId> lost = mSimulation.TasksOn(0, kWorkersPerDataCentre);
    mSimulation.CrashWorkers(0, kWorkersPerDataCentre, 600ms);
    return lost;
  }

  CellSimulation mSimulation;
  int mJobs;
};

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

// Guards against the tasks of workers that crash together waiting for one
// another as suspects.
TEST_CASE("tasks of a crashed data centre wait for one another")
{
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    CAPTURE(seed);
    LoadedPool pool(seed, 24);
    CellSimulation& simulation = pool.mSimulation;
    std::vector<TaskId> lost = pool.CrashDataCentre();
    REQUIRE(lost.size() == 64);
    simulation.Run(600ms);
    simulation.Owner().TakeWorkerNotices();
    simulation.Run(3s);
    std::map<WaitReason, std::size_t> waits = TakeWaits(simulation.Owner());
    CHECK(waits[WaitReason::Suspect] == 0);
    CHECK(waits[WaitReason::RunHeld] == 0);
    CHECK(simulation.CountRunningOrDone(lost) * 10 >= lost.size() * 9);
    simulation.Run(2 * kWork - 3s);
    for (int i = 0; i < pool.mJobs; ++i) {
      CHECK(simulation.StoredPhase(JobName(i)) == JobPhase::Completed);
    }
    CHECK(simulation.Violations().empty());
  }
}

// Guards against tasks that crash their workers together, time after time, and
// are excused by each other.
TEST_CASE("a step whose tasks all crash their workers never fails")
{
  LoadedPool pool(1, 6);
  CellSimulation& simulation = pool.mSimulation;
  int crashes = 0;
  while (simulation.StoredPhase(JobName(0)) != JobPhase::Failed &&
         crashes < 20) {
    simulation.CrashWorkers(0, kDataCentres * kWorkersPerDataCentre, 600ms);
    simulation.Run(3s);
    ++crashes;
  }
  CHECK(crashes <= 8);
}

// Guards against jobs failing because all workers around them crash, again and
// again, with no end as failed.
TEST_CASE("jobs fail since a data centre crashes time and again")
{
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    CAPTURE(seed);
    LoadedPool pool(seed, 6);
    CellSimulation& simulation = pool.mSimulation;
    for (int i = 0; i < 4; ++i) {
      simulation.CrashWorkers(0, kDataCentres * kWorkersPerDataCentre, 600ms);
      simulation.Run(3s);
    }
    simulation.Run(2 * kWork);
    for (int i = 0; i < pool.mJobs; ++i) {
      CHECK(simulation.StoredPhase(JobName(i)) == JobPhase::Completed);
    }
    CHECK(simulation.Violations().empty());
  }
}

// Guards against a time until suspects have run that grows with their number.
TEST_CASE("the more suspects there are the longer each waits")
{
  // Less than half of them run something, so that nothing else explains the
  // crashes.
  constexpr std::size_t kWorkers = 160;
  for (int crashes : { 1, 2 }) {
    for (int suspects : { 10, 100, 1000 }) {
      CAPTURE(crashes);
      CAPTURE(suspects);
      CellSimulation simulation(
        1, { .mTaskFailure = 0 }, static_cast<int>(kWorkers));
      simulation.mTaskTime = 2 * kWork;
      simulation.Run(500ms);
      std::vector<TaskId> tasks;
      for (int i = 0; i < suspects / 10; ++i) {
        simulation.Submit(JobName(i), ChainOf({ 10 }, kWork));
        for (std::uint32_t k = 0; k < 10; ++k) {
          tasks.push_back({ JobName(i), 0, 0, k });
        }
      }
      simulation.Run(500ms);
      REQUIRE(simulation.CountRunningOrDone(tasks) == tasks.size());
      Duration longest{};
      for (int crash = 0; crash < crashes; ++crash) {
        std::vector<std::size_t> loaded;
        for (std::size_t i = 0; i < kWorkers; ++i) {
          if (!simulation.TasksOn(i, 1).empty()) {
            loaded.push_back(i);
          }
        }
        TimePoint crashed = simulation.Now();
        // The second time they are spread, and crash in turn.
        for (std::size_t i : loaded) {
          simulation.CrashWorkers(i, 1, 600ms);
          if (crash > 0) {
            simulation.Run(30ms);
          }
        }
        TimePoint last = simulation.Now();
        while (simulation.CountRunningOrDone(tasks) < tasks.size() &&
               simulation.Now() < crashed + 60s) {
          simulation.Run(10ms);
        }
        longest = std::max<Duration>(longest, simulation.Now() - last);
      }
      MESSAGE(suspects << " suspects of crash " << crashes
                       << " run again after " << ToMillis(longest) << " ms");
      CHECK(longest < 600ms + 3s);
    }
  }
}

// Guards against a job being shown as failed after two crashes of workers that
// ran only its task, with no end as failed.
TEST_CASE("two crashes of workers fail a job")
{
  CellSimulation simulation(1, { .mTaskFailure = 0 }, 6);
  simulation.mTaskTime = kWork;
  simulation.Run(500ms);
  simulation.Submit("a", ChainOf({ 1 }, kWork));
  simulation.Run(1s);
  for (int crash = 0; crash < 2; ++crash) {
    for (std::size_t i = 0; i < 6; ++i) {
      if (!simulation.TasksOn(i, 1).empty()) {
        simulation.CrashWorkers(i, 1, 600ms);
      }
    }
    simulation.Run(3s);
  }
  simulation.Run(2 * kWork);
  CHECK(simulation.StoredPhase("a") == JobPhase::Completed);
}
