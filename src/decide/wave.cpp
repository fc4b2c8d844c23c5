#include "decide/wave.h"

#include <algorithm>
#include <array>
#include <map>

namespace buckthornshunt {

namespace {

constexpr std::array<std::string_view, 3> kStates = { "running",
                                                      "paused",
                                                      "done" };

constexpr double kMillisPerDay = 24.0 * 3600 * 1000;

/// VMs of one rack, as the wave sees them.
struct RackView
{
  std::vector<const FleetVm*> mDue;
  int mUnderWay = 0;
  WallTime mOldest{ INT64_MAX };
};

bool
IsDue(const FleetVm& aVm, const Wave& aWave)
{
  return aVm.mRow.mLastMaintained < aWave.mStarted;
}

bool
UnderWay(const VmOwnership& aRow)
{
  bool leavesForIt = aRow.mState == VmState::Leaving && aRow.mNextPool.empty();
  return leavesForIt || aRow.mState == VmState::Maintenance;
}

using Racks = std::map<std::string, RackView, std::less<>>;

Racks
ViewRacks(std::span<const FleetVm> aFleet, const Wave& aWave)
{
  Racks racks;
  for (const FleetVm& vm : aFleet) {
    if (!vm.mOwned) {
      continue;
    }
    RackView& rack = racks[vm.mListing.mRack];
    rack.mUnderWay += UnderWay(vm.mRow) ? 1 : 0;
    if (vm.mRow.mState == VmState::Serving && IsDue(vm, aWave)) {
      rack.mDue.push_back(&vm);
      rack.mOldest = std::min(rack.mOldest, vm.mRow.mLastMaintained);
    }
  }
  return racks;
}

// A VM that was lost on its way through maintenance, counted by the wave's
// start: it may be a fault of the maintenance itself.
bool
LostInWave(const FleetVm& aVm, const Wave& aWave)
{
  return aVm.mOwned && aVm.mRow.mState == VmState::Lost &&
         aVm.mRow.mInMaintenance && aVm.mRow.mStateSince >= aWave.mStarted;
}

// First pool that would be left with fewer VMs than it needs; empty if none.
std::string
PoolWithoutMargin(const SiteConfig& aSite,
                  std::span<const FleetVm> aFleet,
                  const RackView& aRack)
{
  std::map<std::string, int> taken;
  for (const FleetVm* vm : aRack.mDue) {
    ++taken[vm->mRow.mPool];
  }
  for (const PoolStanding& standing : AssessPools(aSite, aFleet)) {
    auto it = taken.find(standing.mPool);
    if (it != taken.end() &&
        standing.mServing - it->second < standing.mNeeded) {
      return standing.mPool;
    }
  }
  return {};
}

} // namespace

std::string_view
ToString(WaveState aState)
{
  return kStates[static_cast<std::size_t>(aState)];
}

bool
ParseWaveState(std::string_view aText, WaveState& aState)
{
  for (std::size_t i = 0; i < kStates.size(); ++i) {
    if (kStates[i] == aText) {
      aState = static_cast<WaveState>(i);
      return true;
    }
  }
  return false;
}

// The rack with the VM that was maintained longest ago goes first. A rack that
// would break a pool's need is passed over for one that wouldn't.
WaveStep
NextWaveStep(const SiteConfig& aSite,
             std::span<const FleetVm> aFleet,
             const Wave& aWave)
{
  for (const FleetVm& vm : aFleet) {
    if (LostInWave(vm, aWave)) {
      return PauseWave{ "VM " + vm.mRow.mVm + " did not come back" };
    }
  }
  Racks racks = ViewRacks(aFleet, aWave);
  int underWay = 0;
  std::vector<const Racks::value_type*> due;
  for (const auto& entry : racks) {
    underWay += entry.second.mUnderWay > 0 ? 1 : 0;
    if (!entry.second.mDue.empty()) {
      due.push_back(&entry);
    }
  }
  if (due.empty()) {
    return underWay > 0 ? WaveStep(WaitForWave{}) : WaveStep(FinishWave{});
  }
  if (underWay >= aSite.mMaintenance.mMaxConcurrentRacks) {
    return WaitForWave{};
  }
  std::sort(due.begin(), due.end(), [](const auto* aOne, const auto* aTwo) {
    return aOne->second.mOldest < aTwo->second.mOldest;
  });
  std::string blocking;
  for (const auto* entry : due) {
    std::string pool = PoolWithoutMargin(aSite, aFleet, entry->second);
    if (!pool.empty()) {
      blocking = std::move(pool);
      continue;
    }
    TakeRack step{ entry->first, {} };
    for (const FleetVm* vm : entry->second.mDue) {
      step.mVms.push_back(vm->mRow.mVm);
    }
    return step;
  }
  return WaitForWave{ std::move(blocking) };
}

double
DaysUntilOverdue(const SiteConfig& aSite,
                 std::span<const FleetVm> aFleet,
                 WallTime aNow)
{
  double least = aSite.mMaintenance.mPeriodDays;
  for (const FleetVm& vm : aFleet) {
    if (vm.mOwned && vm.mRow.mState != VmState::Retired) {
      auto age =
        static_cast<double>(aNow.mMillis - vm.mRow.mLastMaintained.mMillis);
      least =
        std::min(least, aSite.mMaintenance.mPeriodDays - age / kMillisPerDay);
    }
  }
  return least;
}

} // namespace buckthornshunt
