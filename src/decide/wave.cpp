#include "decide/wave.h"

#include <algorithm>
#include <array>
#include <map>

namespace buckthornshunt {

namespace {

constexpr std::array<std::string_view, 3> kWaveStateNames = { "running",
                                                              "paused",
                                                              "done" };

constexpr double kMillisPerDay = 24.0 * 3600 * 1000;

/// Progress of a wave in one rack.
struct RackProgress
{
  std::vector<const FleetVm*> mPendingVms;
  int mVmsUnderWay = 0;
  WallTime mOldestMaintenance{ INT64_MAX };
};

bool
NeedsMaintenance(const FleetVm& aVm, const Wave& aWave)
{
  return aVm.mRow.mLastMaintained < aWave.mStarted;
}

bool
IsUnderWay(const VmOwnership& aRow)
{
  bool leavesForMaintenance =
    aRow.mState == VmState::Leaving && aRow.mNextPool.empty();
  return leavesForMaintenance || aRow.mState == VmState::Maintenance;
}

using Racks = std::map<std::string, RackProgress, std::less<>>;

Racks
GroupByRack(std::span<const FleetVm> aFleet, const Wave& aWave)
{
  Racks racks;
  for (const FleetVm& vm : aFleet) {
    if (!vm.mOwned) {
      continue;
    }
    RackProgress& rack = racks[vm.mListing.mRack];
    rack.mVmsUnderWay += IsUnderWay(vm.mRow) ? 1 : 0;
    if (vm.mRow.mState == VmState::Serving && NeedsMaintenance(vm, aWave)) {
      rack.mPendingVms.push_back(&vm);
      rack.mOldestMaintenance =
        std::min(rack.mOldestMaintenance, vm.mRow.mLastMaintained);
    }
  }
  return racks;
}

// Whether the VM was lost in maintenance since the wave's start; the
// maintenance itself may be the cause.
bool
LostInWave(const FleetVm& aVm, const Wave& aWave)
{
  return aVm.mOwned && aVm.mRow.mState == VmState::Lost &&
         aVm.mRow.mInMaintenance && aVm.mRow.mStateSince >= aWave.mStarted;
}

// First pool that would have fewer VMs than it needs; empty if none.
std::string
PoolWithoutMargin(const SiteConfig& aSite,
                  std::span<const FleetVm> aFleet,
                  const RackProgress& aRack)
{
  std::map<std::string, int> taken;
  for (const FleetVm* vm : aRack.mPendingVms) {
    ++taken[vm->mRow.mPool];
  }
  for (const PoolAvailability& standing : AssessPools(aSite, aFleet)) {
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
  return kWaveStateNames[static_cast<std::size_t>(aState)];
}

bool
ParseWaveState(std::string_view aText, WaveState& aState)
{
  for (std::size_t i = 0; i < kWaveStateNames.size(); ++i) {
    if (kWaveStateNames[i] == aText) {
      aState = static_cast<WaveState>(i);
      return true;
    }
  }
  return false;
}

// The rack with the VM that was maintained longest ago goes first. Racks whose
// maintenance would leave a pool with too few VMs are skipped.
WaveStep
NextWaveStep(const SiteConfig& aSite,
             std::span<const FleetVm> aFleet,
             const Wave& aWave)
{
  for (const FleetVm& vm : aFleet) {
    if (LostInWave(vm, aWave)) {
      return PauseWave{ "VM " + vm.mRow.mVm +
                        " did not return from maintenance" };
    }
  }
  Racks racks = GroupByRack(aFleet, aWave);
  int underWay = 0;
  std::vector<const Racks::value_type*> due;
  for (const auto& entry : racks) {
    underWay += entry.second.mVmsUnderWay > 0 ? 1 : 0;
    if (!entry.second.mPendingVms.empty()) {
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
    return aOne->second.mOldestMaintenance < aTwo->second.mOldestMaintenance;
  });
  std::string blocking;
  for (const auto* entry : due) {
    std::string pool = PoolWithoutMargin(aSite, aFleet, entry->second);
    if (!pool.empty()) {
      blocking = std::move(pool);
      continue;
    }
    MaintainRack step{ entry->first, {} };
    for (const FleetVm* vm : entry->second.mPendingVms) {
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
  double minDays = aSite.mMaintenance.mPeriodDays;
  for (const FleetVm& vm : aFleet) {
    if (vm.mOwned && vm.mRow.mState != VmState::Retired) {
      auto age =
        static_cast<double>(aNow.mMillis - vm.mRow.mLastMaintained.mMillis);
      minDays =
        std::min(minDays, aSite.mMaintenance.mPeriodDays - age / kMillisPerDay);
    }
  }
  return minDays;
}

} // namespace buckthornshunt
