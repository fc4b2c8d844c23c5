#ifndef BUCKTHORNSHUNT_DECIDE_TASK_PLACEMENT_H
#define BUCKTHORNSHUNT_DECIDE_TASK_PLACEMENT_H

#include "buckthornshunt/workload.h"

#include <cstddef>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace buckthornshunt {

/// What placement knows of a worker.
struct WorkerRoom
{
  std::string_view mId;
  std::string_view mRack;
  std::span<const std::string> mLabels;
  Resources mCapacity;
  Resources mUsed;
  /// Takes no new tasks at present.
  bool mClosed = false;
  /// Tasks of the step in question that are here.
  std::uint32_t mOfStep = 0;
};

/// What a task needs of the worker that is to run it.
struct TaskNeed
{
  Resources mResources;
  std::string_view mRequiredLabel;
  std::string_view mPreferredRack;
  std::uint32_t mMostPerWorker = 0;
  /// Worker that failed the task before; taken only if no other fits.
  std::string_view mAvoid;
};

/// What a step reserves on a worker; filling tasks reserve no processor time.
Resources
ReservedBy(const StepSpec& aStep);

/// Index of the worker to run a task; none if it fits nowhere now.
std::optional<std::size_t>
PickWorker(std::span<const WorkerRoom> aWorkers, const TaskNeed& aNeed);

/// Some worker could run the task if it were empty.
bool
CouldEverRun(std::span<const WorkerRoom> aWorkers, const TaskNeed& aNeed);

} // namespace buckthornshunt

#endif
