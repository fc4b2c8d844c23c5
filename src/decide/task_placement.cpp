#include "decide/task_placement.h"

#include <algorithm>
#include <tuple>

namespace buckthornshunt {

bool
HasLabel(const PlacementTarget& aWorker, std::string_view aLabel)
{
  return aLabel.empty() ||
         std::find(aWorker.mLabels.begin(), aWorker.mLabels.end(), aLabel) !=
           aWorker.mLabels.end();
}

Resources
ReservedResources(const StepSpec& aStep)
{
  Resources reserved = aStep.mTaskResources;
  if (aStep.mBestEffort) {
    reserved.mCpuMillis = 0;
  }
  return reserved;
}

std::string_view
ImageToWatch(const StepSpec& aStep)
{
  bool watched =
    aStep.mBestEffort || aStep.mTailLatencyTarget > Duration::zero();
  return watched ? std::string_view(aStep.mImage) : std::string_view();
}

// Best fit unless tasks are spread: the fullest worker with enough room. This
// keeps whole workers free for large tasks, and workers that stay empty can
// leave the pool.
std::optional<std::size_t>
PickWorker(std::span<const PlacementTarget> aWorkers,
           const TaskRequirements& aRequirements)
{
  using Score = std::tuple<bool, bool, bool, std::int64_t>;
  std::optional<std::size_t> best;
  Score bestScore;
  for (std::size_t i = 0; i < aWorkers.size(); ++i) {
    const PlacementTarget& worker = aWorkers[i];
    bool atTaskLimit = aRequirements.mMaxPerWorker > 0 &&
                       worker.mStepTasks >= aRequirements.mMaxPerWorker;
    if (worker.mUnschedulable || atTaskLimit ||
        !HasLabel(worker, aRequirements.mRequiredLabel) ||
        !Fits(worker.mCapacity, worker.mReserved, aRequirements.mResources)) {
      continue;
    }
    bool otherRack = !aRequirements.mPreferredRack.empty() &&
                     worker.mRack != aRequirements.mPreferredRack;
    std::int64_t free =
      worker.mCapacity.mCpuMillis - worker.mReserved.mCpuMillis;
    Score score{ worker.mId == aRequirements.mAvoidedWorker,
                 worker.mInterferes,
                 otherRack,
                 aRequirements.mSpread ? -free : free };
    if (!best || score < bestScore) {
      best = i;
      bestScore = score;
    }
  }
  return best;
}

bool
FitsBesideLongRunning(const PlacementTarget& aWorker,
                      const TaskRequirements& aRequirements)
{
  return HasLabel(aWorker, aRequirements.mRequiredLabel) &&
         Fits(
           aWorker.mCapacity, aWorker.mLongRunning, aRequirements.mResources);
}

std::uint32_t
CountSlots(std::span<const PlacementTarget> aWorkers,
           const TaskRequirements& aRequirements,
           std::uint32_t aMax)
{
  std::uint32_t slots = 0;
  for (const PlacementTarget& worker : aWorkers) {
    bool usable =
      !worker.mUnschedulable && HasLabel(worker, aRequirements.mRequiredLabel);
    std::uint32_t limit =
      aRequirements.mMaxPerWorker == 0 ? aMax : aRequirements.mMaxPerWorker;
    Resources reserved = worker.mReserved;
    for (std::uint32_t i = 0; usable && i < limit && slots < aMax; ++i) {
      usable = Fits(worker.mCapacity, reserved, aRequirements.mResources);
      reserved += aRequirements.mResources;
      slots += usable ? 1 : 0;
    }
  }
  return slots;
}

} // namespace buckthornshunt
