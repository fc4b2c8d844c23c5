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
struct PlacementTarget
{
  std::string_view mId;
  std::string_view mRack;
  std::span<const std::string> mLabels;
  Resources mCapacity;
  Resources mReserved;
  /// Takes no new tasks at present.
  bool mUnschedulable = false;
  /// Tasks of the step in question that are here.
  std::uint32_t mStepTasks = 0;
};

/// What a task needs of the worker that is to run it.
struct TaskRequirements
{
  Resources mResources;
  std::string_view mRequiredLabel;
  std::string_view mPreferredRack;
  std::uint32_t mMaxPerWorker = 0;
  /// Worker that failed the task before; taken only if no other fits.
  std::string_view mAvoidedWorker;
};

/// What a step reserves on a worker; filling tasks reserve no processor time.
Resources
ReservedResources(const StepSpec& aStep);

/// Index of the worker to run a task; none if it fits nowhere now.
std::optional<std::size_t>
PickWorker(std::span<const PlacementTarget> aWorkers,
           const TaskRequirements& aRequirements);

/// Some worker could run the task if it were empty.
bool
FitsWhenEmpty(std::span<const PlacementTarget> aWorkers,
              const TaskRequirements& aRequirements);

} // namespace buckthornshunt

#endif
