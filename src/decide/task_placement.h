#ifndef BUCKTHORNSHUNT_DECIDE_TASK_PLACEMENT_H
#define BUCKTHORNSHUNT_DECIDE_TASK_PLACEMENT_H

#include "buckthornshunt/workload.h"

#include <cstddef>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace buckthornshunt {

/// A worker as seen by task placement.
struct PlacementTarget
{
  std::string_view mId;
  std::string_view mRack;
  std::span<const std::string> mLabels;
  Resources mCapacity;
  Resources mReserved;
  /// Part of mReserved that long-running tasks hold.
  Resources mLongRunning;
  /// Gets no new tasks for now.
  bool mUnschedulable = false;
  /// Active tasks of the step that is being placed.
  std::uint32_t mStepTasks = 0;
  /// Its runs and the task that is being placed slow each other down.
  bool mInterferes = false;
};

/// Requirements of a task on its worker.
struct TaskRequirements
{
  Resources mResources;
  std::string_view mRequiredLabel;
  std::string_view mPreferredRack;
  std::uint32_t mMaxPerWorker = 0;
  /// Worker of the task's last failed run; used only if no other fits.
  std::string_view mAvoidedWorker;
  /// Prefer the emptiest worker with room to the fullest.
  bool mSpread = false;
};

/// Resources reserved for each task; best-effort tasks reserve no processor
/// time.
Resources
ReservedResources(const StepSpec& aStep);

/// Image of a step whose tasks slow others down or are slowed down; empty for
/// other steps.
std::string_view
ImageToWatch(const StepSpec& aStep);

/// Index of the worker to run a task; none if it fits nowhere now.
std::optional<std::size_t>
PickWorker(std::span<const PlacementTarget> aWorkers,
           const TaskRequirements& aRequirements);

bool
HasLabel(const PlacementTarget& aWorker, std::string_view aLabel);

/// Whether a worker could run the task if it ran nothing but its long-running
/// tasks.
bool
FitsBesideLongRunning(const PlacementTarget& aWorker,
                      const TaskRequirements& aRequirements);

/// Number of equal tasks that the workers could take now, at most aMax.
std::uint32_t
CountSlots(std::span<const PlacementTarget> aWorkers,
           const TaskRequirements& aRequirements,
           std::uint32_t aMax);

} // namespace buckthornshunt

#endif
