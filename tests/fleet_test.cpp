// The plan of the fleet, and the measure of demand that it is made from.

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

  PoolUse& Report(std::string_view aPool)
  {
    PoolUse use;
    use.mAt = mView.mNow;
    for (const PoolVm& vm : mView.mVms) {
      if (vm.mPool == aPool) {
        use.mWorkers[vm.mWorker] = {};
      }
    }
    return mView.mPools[std::string(aPool)] = use;
  }

  void Wave(std::vector<std::string> aVms, std::uint32_t aMostAtOnce)
  {
    WaveProgress wave;
    wave.mOrder = { 1, std::move(aVms), 20s, aMostAtOnce };
    wave.mSeen = mView.mNow;
    mView.mWaves[1] = wave;
  }

  FleetView mView;
};

std::size_t
InWave(const FleetPlanChange& aChange)
{
  std::size_t n = 0;
  for (const auto& [vm, intent] : aChange.mBegin) {
    n += intent.mWave != 0 ? 1 : 0;
  }
  return n;
}

} // namespace

TEST_CASE("a wave takes no more VMs than may be down at once")
{
  Fleet fleet;
  fleet.Wave({ "off0", "off1", "off2", "a0", "b0" }, 2);
  CHECK(InWave(PlanFleet(fleet.mView)) == 2);
}

TEST_CASE("VMs that are down already count against a wave's limit")
{
  Fleet fleet;
  fleet.Wave({ "off0", "off1", "a0" }, 2);
  fleet.mView.mVms[8].mState = PoolVmState::Down;
  CHECK(InWave(PlanFleet(fleet.mView)) == 1);
}

TEST_CASE("a pool whose cell hasn't reported is not taken for empty")
{
  Fleet fleet;
  fleet.mView.mPools.clear();
  fleet.Wave({ "a0", "b0" }, 2);
  FleetPlanChange change = PlanFleet(fleet.mView);
  CHECK(change.mBegin.empty());
  CHECK(change.mOrder.empty());
}

TEST_CASE("an order goes out only for a sealed and empty worker")
{
  Fleet fleet;
  FleetIntent intent;
  intent.mWave = 1;
  intent.mWorker = "w-a0";
  intent.mSince = fleet.mView.mNow;
  fleet.mView.mIntents["a0"] = intent;
  CHECK(PlanFleet(fleet.mView).mOrder.empty());
  WorkerUse& use = fleet.mView.mPools["a"].mWorkers["w-a0"];
  use.mSealed = true;
  use.mRuns = 1;
  CHECK(PlanFleet(fleet.mView).mOrder.empty());
  use.mRuns = 0;
  CHECK(PlanFleet(fleet.mView).mOrder.size() == 1);
}

TEST_CASE("a wave is completed only when every VM that is left is done")
{
  Fleet fleet;
  fleet.Wave({ "off0", "gone" }, 1);
  CHECK(PlanFleet(fleet.mView).mCompleted.empty());
  fleet.mView.mWaves[1].mDone.insert("off0");
  CHECK(PlanFleet(fleet.mView).mCompleted.size() == 1);
}

TEST_CASE("VMs that are off are moved to a pool whose demand has risen")
{
  Fleet fleet;
  fleet.mView.mPools["a"].mAskedSupported = 250;
  fleet.mView.mPools["a"].mAskedMean = 300;
  FleetPlanChange change = PlanFleet(fleet.mView);
  int off = 0;
  for (const auto& [vm, intent] : change.mBegin) {
    CHECK(intent.mToPool == "a");
    off += vm.starts_with("off") ? 1 : 0;
  }
  CHECK(off == 4);
}

TEST_CASE("a pool keeps the VMs that its tasks need to stay apart")
{
  Fleet fleet;
  fleet.mView.mPools["a"].mAskedSupported = 1000;
  fleet.mView.mPools["b"].mLeastVms = 3;
  for (const auto& [vm, intent] : PlanFleet(fleet.mView).mBegin) {
    CHECK_FALSE(vm.starts_with("b"));
  }
}

TEST_CASE("a single large job is no demand, a stream of jobs is")
{
  DemandMeter meter;
  TimePoint now(100s);
  meter.Note("q", 500, now);
  CHECK(meter.At(now).mSupported == doctest::Approx(0));
  DemandMeter stream;
  for (int i = 0; i < 50; ++i) {
    now += 40ms;
    stream.Note("q", 10, now);
  }
  DemandLevel level = stream.At(now);
  CHECK(level.mSupported > 200);
  CHECK(level.mMean < 300);
  CHECK(stream.At(now + 10s).mMean < 1);
}

TEST_CASE("a rise of the demand shows within half a second")
{
  // A turn of 29 jobs a second of 10 core-seconds, whose sizes differ by four.
  DemandMeter meter;
  TimePoint now(100s);
  for (int i = 0; i < 5; ++i) {
    meter.Note("q", 10, now);
    now += 3s;
  }
  CHECK(meter.At(now).mSupported == doctest::Approx(0));
  for (int i = 0; i < 14; ++i) {
    meter.Note("q", i % 2 == 0 ? 4 : 16, now);
    now += 35ms;
  }
  CHECK(meter.At(now).mSupported > 200);
  // The rise is taken to go on for the time of a move.
  CHECK(meter.At(now).mSupported < 800);
}

TEST_CASE("a cell is free after its row stood still, at once for a successor")
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

TEST_CASE("VMs that run nothing leave a pool whose last jobs use little")
{
  // The turn of a has ended: one long task runs on and nothing waits, while the
  // demand has moved on to b.
  Fleet fleet;
  PoolUse& a = fleet.mView.mPools["a"];
  a.mBusyCores = 4;
  a.mWorkers["w-a0"].mRuns = 1;
  fleet.mView.mPools["b"].mAskedSupported = 260;
  std::erase_if(fleet.mView.mVms,
                [](const PoolVm& aVm) { return aVm.mPool == "off"; });
  int moved = 0;
  for (const auto& [vm, intent] : PlanFleet(fleet.mView).mBegin) {
    CHECK(vm != "a0");
    moved += intent.mToPool == "b" ? 1 : 0;
  }
  CHECK(moved == 3);
  // As long as tasks of a wait for room, its VMs stay.
  a.mWaitingCores = 120;
  CHECK(PlanFleet(fleet.mView).mBegin.empty());
}

TEST_CASE("nodes with room claim a free cell before small ones")
{
  // Sizes of the platform's grown fleets.
  NodeCapacity large{ 0.5, 200 };
  NodeCapacity small{ 0.12, 10 };
  CHECK(ClaimDelay(large, 0) < ClaimDelay(large, 1));
  CHECK(ClaimDelay(large, 1) < ClaimDelay(small, 0));
  // A lost owner isn't missed for much longer than it takes to notice.
  CHECK(ClaimDelay({ 0.01, 1 }, 0) < 1s);
}

TEST_CASE("a worker's life is over once the list shows its VM without it")
{
  TimePoint listed(100s);
  WorkerLife life{ "vm", 5, listed - 10s };
  PoolVm vm;
  vm.mVm = "vm";
  vm.mPool = "p";
  vm.mWorker = "w";
  CHECK_FALSE(ListShowsEnd("w", "p", life, &vm, listed));
  CHECK_FALSE(ListShowsEnd("w", "p", life, nullptr, listed));
  vm.mState = PoolVmState::Down;
  CHECK(ListShowsEnd("w", "p", life, &vm, listed));
  vm.mState = PoolVmState::Moving;
  CHECK(ListShowsEnd("w", "p", life, &vm, listed));
  vm.mState = PoolVmState::Up;
  vm.mWorker = "next";
  CHECK(ListShowsEnd("w", "p", life, &vm, listed));
  // Neither a state that isn't known nor a missing id proves anything.
  vm.mState = PoolVmState::Unknown;
  CHECK_FALSE(ListShowsEnd("w", "p", life, &vm, listed));
  vm.mState = PoolVmState::Up;
  vm.mWorker.clear();
  CHECK_FALSE(ListShowsEnd("w", "p", life, &vm, listed));
  vm.mPool = "off";
  CHECK(ListShowsEnd("w", "p", life, &vm, listed));
  // The list lags: it may still show the state before a new life.
  life.mSeen = listed - 1s;
  CHECK_FALSE(ListShowsEnd("w", "p", life, &vm, listed));
}

TEST_CASE("a wave leaves a pool in its turn alone until time runs short")
{
  Fleet fleet;
  fleet.mView.mPools["a"].mAskedSupported = 100;
  fleet.Wave({ "a0", "b0" }, 2);
  std::erase_if(fleet.mView.mVms,
                [](const PoolVm& aVm) { return aVm.mPool == "off"; });
  std::vector<std::string> taken;
  for (const auto& [vm, intent] : PlanFleet(fleet.mView).mBegin) {
    if (intent.mWave != 0) {
      taken.push_back(vm);
    }
  }
  CHECK(taken == std::vector<std::string>{ "b0" });
  fleet.mView.mWaves[1].mSeen = fleet.mView.mNow - 13s;
  CHECK(InWave(PlanFleet(fleet.mView)) == 2);
}

TEST_CASE("VMs that a turn leaves idle go where the next one may begin")
{
  // a had its turn: it holds the VMs of b and of the spare pool.
  Fleet fleet;
  for (PoolVm& vm : fleet.mView.mVms) {
    vm.mPool = vm.mVm.starts_with("b0") ? "b" : "a";
  }
  fleet.Report("a");
  fleet.Report("b");
  int back = 0;
  int off = 0;
  for (const auto& [vm, intent] : PlanFleet(fleet.mView).mBegin) {
    back += intent.mToPool == "b" ? 1 : 0;
    off += intent.mToPool == "off" ? 1 : 0;
  }
  // Of an even share of four, 0.7 are kept ready: two in each pool.
  CHECK(back == 1);
  CHECK(off == 8);
}

TEST_CASE("a pool gives away nothing while it takes VMs in for a rise")
{
  Fleet fleet;
  PoolUse& a = fleet.mView.mPools["a"];
  a.mAskedSupported = 100;
  a.mAskedMean = 10;
  for (const auto& [vm, intent] : PlanFleet(fleet.mView).mBegin) {
    CHECK_FALSE(vm.starts_with("a"));
  }
}

TEST_CASE("a wave takes no more VMs than it must while a pool lacks some")
{
  Fleet fleet;
  fleet.Wave({ "off0", "off1", "off2", "off3" }, 4);
  CHECK(InWave(PlanFleet(fleet.mView)) == 4);
  fleet.mView.mPools["a"].mAskedSupported = 1000;
  // Four VMs of 4 s each within 20 s, of which the last 4 s are kept, and half
  // as much again.
  CHECK(InWave(PlanFleet(fleet.mView)) == 2);
  fleet.mView.mWaves[1].mSeen = fleet.mView.mNow - 13s;
  CHECK(InWave(PlanFleet(fleet.mView)) == 4);
}

TEST_CASE("a larger node asks for the cell of a small one, not of its equal")
{
  NodeCapacity large{ 0.5, 200 };
  NodeCapacity small{ 0.12, 10 };
  OwnerRow row;
  row.mBaseClaimDelay = ClaimDelay(small, 0);
  CHECK(ShouldRequestHandoff(ClaimDelay(large, 0), row));
  CHECK(ShouldRequestHandoff(ClaimDelay(large, 1), row));
  CHECK_FALSE(ShouldRequestHandoff(ClaimDelay(large, 2), row));
  CHECK_FALSE(ShouldRequestHandoff(ClaimDelay(small, 0), row));
  row.mBaseClaimDelay = ClaimDelay(large, 0);
  CHECK_FALSE(ShouldRequestHandoff(ClaimDelay(large, 0), row));
  // Nobody is asked for a cell that is free.
  row.mBaseClaimDelay = ClaimDelay(small, 0);
  row.mReleased = true;
  CHECK_FALSE(ShouldRequestHandoff(ClaimDelay(large, 0), row));
}
