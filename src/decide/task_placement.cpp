#include "decide/task_placement.h"

#include <algorithm>
#include <tuple>

namespace buckthornshunt {

namespace {

bool
HasLabel(const WorkerRoom& aWorker, std::string_view aLabel)
{
  return aLabel.empty() ||
         std::find(aWorker.mLabels.begin(), aWorker.mLabels.end(), aLabel) !=
           aWorker.mLabels.end();
}

} // namespace

Resources
ReservedBy(const StepSpec& aStep)
{
  Resources reserved = aStep.mTaskResources;
  if (aStep.mBestEffort) {
    reserved.mCpuMillis = 0;
  }
  return reserved;
}

// Best fit: the fullest worker that still has room. Large tasks then find
// whole workers free, and workers that stay empty can leave the pool.
std::optional<std::size_t>
PickWorker(std::span<const WorkerRoom> aWorkers, const TaskNeed& aNeed)
{
  using Score = std::tuple<bool, bool, std::int64_t>;
  std::optional<std::size_t> best;
  Score bestScore;
  for (std::size_t i = 0; i < aWorkers.size(); ++i) {
    const WorkerRoom& worker = aWorkers[i];
    bool full =
      aNeed.mMostPerWorker > 0 && worker.mOfStep >= aNeed.mMostPerWorker;
    if (worker.mClosed || full || !HasLabel(worker, aNeed.mRequiredLabel) ||
        !Fits(worker.mCapacity, worker.mUsed, aNeed.mResources)) {
      continue;
    }
    bool far =
      !aNeed.mPreferredRack.empty() && worker.mRack != aNeed.mPreferredRack;
    Score score{ worker.mId == aNeed.mAvoid,
                 far,
                 worker.mCapacity.mCpuMillis - worker.mUsed.mCpuMillis };
    if (!best || score < bestScore) {
      best = i;
      bestScore = score;
    }
  }
  return best;
}

bool
CouldEverRun(std::span<const WorkerRoom> aWorkers, const TaskNeed& aNeed)
{
  return std::any_of(
    aWorkers.begin(), aWorkers.end(), [&](const WorkerRoom& aWorker) {
      return HasLabel(aWorker, aNeed.mRequiredLabel) &&
             Fits(aWorker.mCapacity, Resources{}, aNeed.mResources);
    });
}

} // namespace buckthornshunt
