// Tests which cells the fleet's owner takes for ones that may have runs.

#include "decide/fleet_cells.h"
#include "decide/fleet_plan.h"

#include <doctest/doctest.h>

using namespace buckthornshunt;
using namespace std::chrono_literals;

namespace {

constexpr Duration kRunLease = 10s;

bool
MayHaveRunsAt(const CellEvidence& aEvidence, TimePoint aNow)
{
  return MayHaveRuns(aEvidence, kRunLease, aNow);
}

} // namespace

// Guards against the VMs of a pool being taken for empty since none of its
// queues is known.
TEST_CASE("a cell with an owner row is left out as its pool has no queue")
{
  OwnerObservation owner;
  owner.mUnchangedSince = TimePoint(100s);
  CellEvidence cell{ false, true, true, &owner };
  CHECK(MayHaveRunsAt(cell, TimePoint(100s)));
  CHECK(MayHaveRunsAt(cell, TimePoint(1000s)));
  owner.mRow.mReleased = true;
  CHECK(MayHaveRunsAt(cell, TimePoint(1000s)));
  cell.mOwner = nullptr;
  CHECK_FALSE(MayHaveRunsAt(cell, TimePoint(100s)));
  cell.mHasQueue = true;
  CHECK(MayHaveRunsAt(cell, TimePoint(100s)));
}

// Guards against a cell being taken for one that has had no owner before its
// row has been read.
TEST_CASE("a cell whose row hasn't been read is taken for empty")
{
  for (bool configured : { true, false }) {
    CellEvidence cell{ false, configured, false, nullptr };
    CHECK(MayHaveRunsAt(cell, TimePoint(100s)));
    cell.mRowRead = true;
    CHECK_FALSE(MayHaveRunsAt(cell, TimePoint(100s)));
  }
}

// Guards against the VMs of a pool that no node owns any more being kept from
// maintenance for ever, or taken while the leases of its last runs hold.
TEST_CASE("the cell of a removed pool has runs for ever, or none at once")
{
  OwnerObservation owner;
  owner.mUnchangedSince = TimePoint(100s);
  CellEvidence cell{ false, false, true, &owner };
  CHECK(MayHaveRunsAt(cell, TimePoint(100s) + kTakeoverTimeout + kRunLease));
  CHECK_FALSE(MayHaveRunsAt(cell, TimePoint(120s)));
  owner.mUnchangedSince = TimePoint(119s);
  CHECK(MayHaveRunsAt(cell, TimePoint(120s)));
}

// Guards against runs that a pool has kept since before it became the spare
// one.
TEST_CASE("a wave takes the VMs with runs of a pool that has become the spare")
{
  FleetView view;
  view.mNow = TimePoint(100s);
  view.mPoolConfigs = { { "off", true, true } };
  for (const char* name : { "m0", "m1" }) {
    view.mVms.push_back({ name,
                          "off",
                          PoolVmState::Up,
                          std::string("w-") + name,
                          "rack",
                          { 32000, 100000, 0 } });
  }
  WaveProgress wave;
  wave.mOrder = { 1, { "m0", "m1" }, 20s, 2 };
  wave.mFirstSeen = view.mNow;
  view.mWaves[1] = wave;
  view.mCells = { "off" };
  CHECK(PlanFleet(view).mReadyVms.empty());
  PoolUsage& usage = view.mUsages["off"];
  usage.mReportedAt = view.mNow;
  usage.mWorkers["w-m0"].mRuns = 1;
  CHECK(PlanFleet(view).mReadyVms == std::vector<std::string>{ "m1" });
  view.mCells.clear();
  CHECK(PlanFleet(view).mReadyVms.size() == 2);
}
