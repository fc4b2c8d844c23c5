// Fleet plans, demand estimates and cell ownership.

#include "decide/cell_owner.h"
#include "decide/demand.h"
#include "decide/fleet_plan.h"

#include <doctest/doctest.h>

using namespace buckthornshunt;
using namespace std::chrono_literals;

namespace {

/// Two pools with a queue and a spare pool, of four VMs each.
struct Fleet
{
  Fleet()
  {
    mView.mNow = TimePoint(100s);
    mView.mPoolConfigs = { { "a", true, false },
                           { "b", true, false },
                           { "off", true, true } };
    mView.mCells = { "a", "b" };
    for (const char* pool : { "a", "b", "off" }) {
      for (int i = 0; i < 4; ++i) {
        std::string name = std::string(pool) + std::to_string(i);
        mView.mVms.push_back({ name,
                               pool,
                               PoolVmState::Up,
                               "w-" + name,
                               "rack",
                               { 32000, 100000, 0 } });
      }
    }
    Report("a");
    Report("b");
  }

  PoolUsage& Report(std::string_view aPool)
  {
    PoolUsage use;
    use.mReportedAt = mView.mNow;
    for (const PoolVm& vm : mView.mVms) {
      if (vm.mPool == aPool) {
        use.mWorkers[vm.mWorker] = {};
      }
    }
    return mView.mUsages[std::string(aPool)] = use;
  }

  void Wave(std::vector<std::string> aVms, std::uint32_t aMaxDown)
  {
    WaveProgress wave;
    wave.mOrder = { 1, std::move(aVms), 20s, aMaxDown };
    wave.mFirstSeen = mView.mNow;
    mView.mWaves[1] = wave;
  }

  FleetView mView;
};

std::size_t
CountInWave(const FleetPlan& aChange)
{
  std::size_t n = 0;
  for (const auto& [vm, intent] : aChange.mNewIntents) {
    n += intent.mWave != 0 ? 1 : 0;
  }
  return n;
}

} // namespace

TEST_CASE("a wave takes no more VMs than its limit")
{
  Fleet fleet;
  fleet.Wave({ "off0", "off1", "off2", "a0", "b0" }, 2);
  CHECK(CountInWave(PlanFleet(fleet.mView)) == 2);
}

TEST_CASE("VMs that are already down count against a wave's limit")
{
  Fleet fleet;
  fleet.Wave({ "off0", "off1", "a0" }, 2);
  fleet.mView.mVms[8].mState = PoolVmState::Down;
  CHECK(CountInWave(PlanFleet(fleet.mView)) == 1);
}

TEST_CASE("a pool without a report is not treated as empty")
{
  Fleet fleet;
  fleet.mView.mUsages.clear();
  fleet.Wave({ "a0", "b0" }, 2);
  FleetPlan change = PlanFleet(fleet.mView);
  CHECK(change.mNewIntents.empty());
  CHECK(change.mReadyVms.empty());
}

TEST_CASE("an order is sent only for a sealed and empty worker")
{
  Fleet fleet;
  FleetIntent intent;
  intent.mWave = 1;
  intent.mWorker = "w-a0";
  intent.mCreatedAt = fleet.mView.mNow;
  fleet.mView.mIntents["a0"] = intent;
  CHECK(PlanFleet(fleet.mView).mReadyVms.empty());
  WorkerUsage& use = fleet.mView.mUsages["a"].mWorkers["w-a0"];
  use.mSealed = true;
  use.mRuns = 1;
  CHECK(PlanFleet(fleet.mView).mReadyVms.empty());
  use.mRuns = 0;
  CHECK(PlanFleet(fleet.mView).mReadyVms.size() == 1);
}

TEST_CASE("a wave completes only when every remaining VM is maintained")
{
  Fleet fleet;
  fleet.Wave({ "off0", "gone" }, 1);
  CHECK(PlanFleet(fleet.mView).mCompletedWaves.empty());
  fleet.mView.mWaves[1].mMaintainedVms.insert("off0");
  CHECK(PlanFleet(fleet.mView).mCompletedWaves.size() == 1);
}

// A new owner of the fleet reads the progress of a wave before its order, and
// would store the wave as completed with VMs that haven't been maintained.
TEST_CASE("a wave whose order hasn't been read is not completed")
{
  Fleet fleet;
  WaveProgress restored;
  restored.mFirstSeen = fleet.mView.mNow - 5s;
  restored.mMaintainedVms = { "off0" };
  fleet.mView.mWaves[1] = restored;
  FleetPlan change = PlanFleet(fleet.mView);
  CHECK(change.mCompletedWaves.empty());
  CHECK(CountInWave(change) == 0);
}

// An entry of the list whose VM can't be read would pass for a VM that is gone.
TEST_CASE("a wave waits for a VM that an unreadable entry may stand for")
{
  Fleet fleet;
  fleet.Wave({ "unread" }, 1);
  fleet.mView.mHasUnnamedVms = true;
  CHECK(PlanFleet(fleet.mView).mCompletedWaves.empty());
  fleet.mView.mHasUnnamedVms = false;
  CHECK(PlanFleet(fleet.mView).mCompletedWaves.size() == 1);
}

TEST_CASE("spare VMs move to a pool whose demand has risen")
{
  Fleet fleet;
  fleet.mView.mUsages["a"].mForecastDemandCores = 250;
  fleet.mView.mUsages["a"].mMeanDemandCores = 300;
  FleetPlan change = PlanFleet(fleet.mView);
  int off = 0;
  for (const auto& [vm, intent] : change.mNewIntents) {
    CHECK(intent.mTargetPool == "a");
    off += vm.starts_with("off") ? 1 : 0;
  }
  CHECK(off == 4);
}

TEST_CASE("a pool keeps the VMs that its limits on tasks per VM require")
{
  Fleet fleet;
  fleet.mView.mUsages["a"].mForecastDemandCores = 1000;
  fleet.mView.mUsages["b"].mMinVms = 3;
  for (const auto& [vm, intent] : PlanFleet(fleet.mView).mNewIntents) {
    CHECK_FALSE(vm.starts_with("b"));
  }
}

// Guards against tasks that last waiting for room beside idle VMs.
TEST_CASE("long-running tasks without room bring no VMs into their pool")
{
  Fleet fleet;
  for (auto& [id, worker] : fleet.mView.mUsages["b"].mWorkers) {
    worker.mRuns = 1;
  }
  fleet.mView.mUsages["a"].mMissingVms = 2;
  FleetPlan plan = PlanFleet(fleet.mView);
  CHECK(plan.mNewIntents.size() == 2);
  for (const auto& [vm, intent] : plan.mNewIntents) {
    CHECK(intent.mTargetPool == "a");
  }
  // VMs on their way count, and so do those that the cell doesn't know yet.
  fleet.mView.mIntents = plan.mNewIntents;
  CHECK(PlanFleet(fleet.mView).mNewIntents.empty());
  fleet.mView.mIntents.clear();
  for (PoolVm& vm : fleet.mView.mVms) {
    if (plan.mNewIntents.contains(vm.mVm)) {
      vm.mPool = "a";
      vm.mWorker += "-next";
    }
  }
  CHECK(PlanFleet(fleet.mView).mNewIntents.empty());
}

// Guards against a wave and the limit of unavailable tasks holding each other
// up: the wave keeps the workers sealed on which the tasks could start.
TEST_CASE("a wave keeps VMs sealed whose tasks have no room elsewhere")
{
  Fleet fleet;
  std::erase_if(fleet.mView.mVms,
                [](const PoolVm& aVm) { return aVm.mPool != "a"; });
  fleet.Wave({ "a0", "a1" }, 2);
  PoolUsage& use = fleet.Report("a");
  for (auto& [id, worker] : use.mWorkers) {
    worker.mRuns = 3;
    worker.mHasLongRunning = true;
  }
  FleetIntent intent;
  intent.mWave = 1;
  intent.mWorker = "w-a0";
  intent.mCreatedAt = fleet.mView.mNow;
  fleet.mView.mIntents["a0"] = intent;
  fleet.mView.mNow += 7s;
  use.mReportedAt = fleet.mView.mNow;
  CHECK(PlanFleet(fleet.mView).mCancelledIntents.empty());
  use.mMissingVms = 1;
  FleetPlan plan = PlanFleet(fleet.mView);
  CHECK(plan.mCancelledIntents == std::vector<std::string>{ "a0" });
  // Nor does it take another one there, even if it is late.
  fleet.mView.mNow += 60s;
  use.mReportedAt = fleet.mView.mNow;
  fleet.mView.mIntents.clear();
  CHECK(CountInWave(PlanFleet(fleet.mView)) == 0);
  use.mMissingVms = 0;
  CHECK(CountInWave(PlanFleet(fleet.mView)) > 0);
}

TEST_CASE("a stream of jobs counts as demand, a single large job doesn't")
{
  DemandEstimator meter;
  TimePoint now(100s);
  meter.RecordArrival("q", 500, now);
  CHECK(meter.Estimate(now).mForecastCores == doctest::Approx(0));
  DemandEstimator stream;
  for (int i = 0; i < 50; ++i) {
    now += 40ms;
    stream.RecordArrival("q", 10, now);
  }
  DemandEstimate level = stream.Estimate(now);
  CHECK(level.mForecastCores > 200);
  CHECK(level.mMeanCores < 300);
  CHECK(stream.Estimate(now + 10s).mMeanCores < 1);
}

TEST_CASE("a demand burst is detected within half a second")
{
  // A burst of 29 jobs/s of 10 core-seconds on average; sizes vary fourfold.
  DemandEstimator meter;
  TimePoint now(100s);
  for (int i = 0; i < 5; ++i) {
    meter.RecordArrival("q", 10, now);
    now += 3s;
  }
  CHECK(meter.Estimate(now).mForecastCores == doctest::Approx(0));
  for (int i = 0; i < 14; ++i) {
    meter.RecordArrival("q", i % 2 == 0 ? 4 : 16, now);
    now += 35ms;
  }
  CHECK(meter.Estimate(now).mForecastCores > 200);
  // The rise is extrapolated by the time of a move.
  CHECK(meter.Estimate(now).mForecastCores < 800);
}

TEST_CASE("a cell is free when its lease is over, at once for a successor")
{
  LocalNode self{ "n", { "10.0.0.1", 7 }, Incarnation(2) };
  OwnerObservation sighting;
  sighting.mRow.mNode = "m";
  sighting.mRow.mPeerEndpoint = { "10.0.0.2", 7 };
  sighting.mUnchangedSince = TimePoint(100s);
  TimePoint soon = TimePoint(100s) + kOwnerLeaseDuration;
  CHECK(EvaluateOwnership(sighting, self, soon) == OwnershipState::Held);
  TimePoint late = TimePoint(100s) + kTakeoverTimeout + 1ms;
  CHECK(EvaluateOwnership(sighting, self, late) == OwnershipState::Free);
  sighting.mRow.mReleased = true;
  CHECK(EvaluateOwnership(sighting, self, soon) == OwnershipState::Free);
  sighting.mRow.mReleased = false;
  sighting.mRow.mNode = "n";
  sighting.mRow.mPeerEndpoint = self.mPeerEndpoint;
  sighting.mRow.mIncarnation = Incarnation(1);
  CHECK(EvaluateOwnership(sighting, self, soon) == OwnershipState::Free);
}

TEST_CASE("idle VMs leave a pool whose remaining jobs need few cores")
{
  // The peak of a has ended: one long task still runs and nothing waits, while
  // the demand has moved to b.
  Fleet fleet;
  PoolUsage& a = fleet.mView.mUsages["a"];
  a.mBusyCores = 4;
  a.mWorkers["w-a0"].mRuns = 1;
  fleet.mView.mUsages["b"].mForecastDemandCores = 260;
  std::erase_if(fleet.mView.mVms,
                [](const PoolVm& aVm) { return aVm.mPool == "off"; });
  int moved = 0;
  for (const auto& [vm, intent] : PlanFleet(fleet.mView).mNewIntents) {
    CHECK(vm != "a0");
    moved += intent.mTargetPool == "b" ? 1 : 0;
  }
  CHECK(moved == 3);
  // The VMs of a stay while tasks of a wait for room.
  a.mWaitingCores = 120;
  CHECK(PlanFleet(fleet.mView).mNewIntents.empty());
}

TEST_CASE("large nodes claim a free cell before small ones")
{
  // Sizes of the platform's grown fleets.
  NodeCapacity large{ 0.5, 200 };
  NodeCapacity small{ 0.12, 10 };
  CHECK(ClaimDelay(large, 0) < ClaimDelay(large, 1));
  CHECK(ClaimDelay(large, 1) < ClaimDelay(small, 0));
  // A takeover takes little longer than the detection of the owner's loss.
  CHECK(ClaimDelay({ 0.01, 1 }, 0) < 1s);
}

TEST_CASE("a worker has ended once the list shows its VM without it")
{
  TimePoint listed(100s);
  WorkerIncarnation incarnation{ "vm", 5, listed - 10s };
  PoolVm vm;
  vm.mVm = "vm";
  vm.mPool = "p";
  vm.mWorker = "w";
  CHECK_FALSE(
    ListProvesWorkerEnded("w", "p", incarnation, &vm, listed, listed));
  CHECK_FALSE(
    ListProvesWorkerEnded("w", "p", incarnation, nullptr, listed, listed));
  vm.mState = PoolVmState::Down;
  CHECK(ListProvesWorkerEnded("w", "p", incarnation, &vm, listed, listed));
  vm.mState = PoolVmState::Moving;
  CHECK(ListProvesWorkerEnded("w", "p", incarnation, &vm, listed, listed));
  vm.mState = PoolVmState::Up;
  vm.mWorker = "next";
  CHECK(ListProvesWorkerEnded("w", "p", incarnation, &vm, listed, listed));
  // Neither an unknown state nor a missing id is conclusive.
  vm.mState = PoolVmState::Unknown;
  CHECK_FALSE(
    ListProvesWorkerEnded("w", "p", incarnation, &vm, listed, listed));
  vm.mState = PoolVmState::Up;
  vm.mWorker.clear();
  CHECK_FALSE(
    ListProvesWorkerEnded("w", "p", incarnation, &vm, listed, listed));
  vm.mPool = "off";
  CHECK(ListProvesWorkerEnded("w", "p", incarnation, &vm, listed, listed));
  // Guards against the last list of a machine service that is away.
  CHECK_FALSE(
    ListProvesWorkerEnded("w", "p", incarnation, &vm, listed, listed + 2s));
  // The list lags, so it may show the state before a new incarnation.
  incarnation.mFirstSeen = listed - 1s;
  CHECK_FALSE(
    ListProvesWorkerEnded("w", "p", incarnation, &vm, listed, listed));
}

TEST_CASE("a wave skips a pool in its peak until its deadline is near")
{
  Fleet fleet;
  fleet.mView.mUsages["a"].mForecastDemandCores = 100;
  fleet.Wave({ "a0", "b0" }, 2);
  std::erase_if(fleet.mView.mVms,
                [](const PoolVm& aVm) { return aVm.mPool == "off"; });
  std::vector<std::string> taken;
  for (const auto& [vm, intent] : PlanFleet(fleet.mView).mNewIntents) {
    if (intent.mWave != 0) {
      taken.push_back(vm);
    }
  }
  CHECK(taken == std::vector<std::string>{ "b0" });
  fleet.mView.mWaves[1].mFirstSeen = fleet.mView.mNow - 13s;
  CHECK(CountInWave(PlanFleet(fleet.mView)) == 2);
}

TEST_CASE("idle VMs after a peak restore the standby of other pools")
{
  // After its peak, a holds VMs of b and of the spare pool.
  Fleet fleet;
  for (PoolVm& vm : fleet.mView.mVms) {
    vm.mPool = vm.mVm.starts_with("b0") ? "b" : "a";
  }
  fleet.Report("a");
  fleet.Report("b");
  int back = 0;
  int off = 0;
  for (const auto& [vm, intent] : PlanFleet(fleet.mView).mNewIntents) {
    back += intent.mTargetPool == "b" ? 1 : 0;
    off += intent.mTargetPool == "off" ? 1 : 0;
  }
  // The standby is 0.7 of an even share of four VMs: two in each pool.
  CHECK(back == 1);
  CHECK(off == 8);
}

TEST_CASE("a confirmed move ends its worker, and a maintenance seals it")
{
  Fleet fleet;
  TimePoint confirmedAt = fleet.mView.mNow;
  FleetIntent move;
  move.mTargetPool = "b";
  move.mWorker = "w-a0";
  WorkerIncarnation before{ "a0", 5, confirmedAt - 10s };
  WorkerIncarnation after{ "a0", 6, confirmedAt + 2s };
  CHECK_FALSE(MoveProvesWorkerEnded("w-a0", "a", before, move));
  move.mConfirmed = true;
  move.mConfirmedAt = confirmedAt;
  CHECK(MoveProvesWorkerEnded("w-a0", "a", before, move));
  CHECK_FALSE(MoveProvesWorkerEnded("w-a0", "a", after, move));
  CHECK_FALSE(MoveProvesWorkerEnded("w-a1", "a", before, move));
  // The VM's worker in the pool to which it has moved may have the same id.
  CHECK_FALSE(MoveProvesWorkerEnded("w-a0", "b", before, move));

  FleetIntent maintenance = move;
  maintenance.mTargetPool.clear();
  maintenance.mWave = 1;
  CHECK_FALSE(MoveProvesWorkerEnded("w-a0", "a", before, maintenance));
  fleet.mView.mIntents["a0"] = maintenance;
  std::vector<std::string> sealed = { "w-a0" };
  CHECK(WorkersToSeal(fleet.mView, 0, confirmedAt + 1s) == sealed);
  CHECK(WorkersToSeal(fleet.mView, 0, confirmedAt + 3s).empty());
}

TEST_CASE("a VM that may not be ordered yet is not emptied for a move")
{
  Fleet fleet;
  fleet.mView.mVms[8].mPool = fleet.mView.mVms[9].mPool = "a";
  fleet.mView.mVms[8].mWorker = "w-8";
  fleet.mView.mVms[9].mWorker = "w-9";
  fleet.Report("a");
  CHECK(PlanFleet(fleet.mView).mNewIntents.size() > 0);
  for (const PoolVm& vm : fleet.mView.mVms) {
    fleet.mView.mHeldVms.insert(vm.mVm);
  }
  CHECK(PlanFleet(fleet.mView).mNewIntents.empty());
  fleet.mView.mUsages["b"].mForecastDemandCores = 1000;
  CHECK(PlanFleet(fleet.mView).mNewIntents.empty());
  fleet.mView.mHeldVms.erase("off3");
  CHECK(PlanFleet(fleet.mView).mNewIntents.size() == 1);
}

TEST_CASE("a pool gives no VMs away during a demand burst")
{
  Fleet fleet;
  PoolUsage& a = fleet.mView.mUsages["a"];
  a.mForecastDemandCores = 100;
  a.mMeanDemandCores = 10;
  for (const auto& [vm, intent] : PlanFleet(fleet.mView).mNewIntents) {
    CHECK_FALSE(vm.starts_with("a"));
  }
}

TEST_CASE("a wave keeps to the required pace while a pool lacks VMs")
{
  Fleet fleet;
  fleet.Wave({ "off0", "off1", "off2", "off3" }, 4);
  CHECK(CountInWave(PlanFleet(fleet.mView)) == 4);
  fleet.mView.mUsages["a"].mForecastDemandCores = 1000;
  // Four VMs of 4 s each in 20 s less a reserve of 4 s need a concurrency of 1;
  // the pace factor of 1.5 rounds it up to 2.
  CHECK(CountInWave(PlanFleet(fleet.mView)) == 2);
  fleet.mView.mWaves[1].mFirstSeen = fleet.mView.mNow - 13s;
  CHECK(CountInWave(PlanFleet(fleet.mView)) == 4);
}

TEST_CASE("a larger node requests the cell of a smaller one, not of an equal")
{
  NodeCapacity large{ 0.5, 200 };
  NodeCapacity small{ 0.12, 10 };
  OwnerRow row;
  row.mClaimDelay = ClaimDelay(small, 0);
  CHECK(ShouldRequestHandoff(ClaimDelay(large, 0), row));
  CHECK(ShouldRequestHandoff(ClaimDelay(large, 1), row));
  CHECK_FALSE(ShouldRequestHandoff(ClaimDelay(large, 2), row));
  CHECK_FALSE(ShouldRequestHandoff(ClaimDelay(small, 0), row));
  row.mClaimDelay = ClaimDelay(large, 0);
  CHECK_FALSE(ShouldRequestHandoff(ClaimDelay(large, 0), row));
  // A released cell needs no handoff.
  row.mClaimDelay = ClaimDelay(small, 0);
  row.mReleased = true;
  CHECK_FALSE(ShouldRequestHandoff(ClaimDelay(large, 0), row));
}
