#include "decide/cell.h"

#include <algorithm>

namespace buckthornshunt {

namespace {

/// Interval of the search for tasks that wait, and the shortest wait that is
/// reported.
constexpr Duration kWaitSearchInterval = std::chrono::seconds(1);
/// Jobs reported by one search.
constexpr std::size_t kMaxWaitNotices = 20;

} // namespace

std::string_view
ToString(WaitReason aReason)
{
  switch (aReason) {
    case WaitReason::Suspect:
      return "suspect";
    case WaitReason::InheritedRunsUnknown:
      return "inherited_runs_unknown";
    case WaitReason::RunHeld:
      return "run_held";
    case WaitReason::Backoff:
      return "backoff";
    case WaitReason::Advice:
      return "advice";
    case WaitReason::Quota:
      return "quota";
    case WaitReason::NoRoom:
      break;
  }
  return "no_room";
}

std::string_view
ToString(ActiveRun::Stage aStage)
{
  switch (aStage) {
    case ActiveRun::Stage::Starting:
      return "starting";
    case ActiveRun::Stage::Unconfirmed:
      return "unconfirmed";
    case ActiveRun::Stage::Running:
      return "running";
    case ActiveRun::Stage::Stopping:
      break;
  }
  return "stopping";
}

// A step that waits for several reasons is reported with the first of them.
std::optional<TasksWaiting>
Cell::FindWaitingTasks(const CellJob& aJob,
                       std::uint32_t aOccurrence,
                       std::uint32_t aStep,
                       bool aInheritedRunsKnown,
                       TimePoint aNow) const
{
  const StepSpec& spec = aJob.mSpec.mSteps[aStep];
  const StepRecord& step =
    aJob.mOccurrences.find(aOccurrence)->second.mSteps[aStep];
  TasksWaiting found;
  found.mJob = aJob.mId;
  found.mOccurrence = aOccurrence;
  found.mStep = aStep;
  std::size_t idle = 0;
  bool anyDue = false;
  bool anySuspect = false;
  for (std::uint32_t i = 0; i < step.mTasks.size(); ++i) {
    const TaskRecord& task = step.mTasks[i];
    if (task.mStage == TaskStage::Idle) {
      ++idle;
      anyDue = anyDue || aNow >= task.mNotBefore;
      anySuspect = anySuspect || task.mAwaitsIsolationSince;
    } else if (task.mStage == TaskStage::Active) {
      auto worker = mWorkers.find(task.mWorker);
      if (worker == mWorkers.end()) {
        continue;
      }
      auto run = worker->second.mRuns.find({ aJob.mId, aOccurrence, aStep, i });
      bool held =
        run != worker->second.mRuns.end() &&
        (!worker->second.mListed || worker->second.mRestartUnresolved ||
         run->second.mStage == ActiveRun::Stage::Stopping ||
         worker->second.mMissedAnswers >= kMissedAnswersUntilSuspected);
      if (held) {
        ++found.mTasks;
        found.mWorker = task.mWorker;
        found.mStage = run->second.mStage;
        found.mUntilExpiry = worker->second.RunExpiry(run->second) - aNow;
      }
    }
  }
  if (idle == 0 && found.mTasks == 0) {
    return std::nullopt;
  }
  const QueueConfig* queue = QueueOf(aJob);
  const Resources* maximum = mQuotas.MaximumOf(aJob.mOrganisation);
  if (idle == 0) {
    found.mReason = WaitReason::RunHeld;
    return found;
  }
  found.mTasks = idle;
  if (aJob.mInherited && !aInheritedRunsKnown) {
    found.mReason = WaitReason::InheritedRunsUnknown;
  } else if (!anyDue) {
    found.mReason = WaitReason::Backoff;
  } else if (queue != nullptr && queue->mAdvice && step.mTickets.empty()) {
    found.mReason = WaitReason::Advice;
  } else if (maximum != nullptr &&
             !FitsAllowance(*maximum,
                            mQuotas.Allowance(aJob.mOrganisation),
                            HeldBy(aJob.mOrganisation),
                            spec.mTaskResources)) {
    found.mReason = WaitReason::Quota;
  } else if (anySuspect) {
    found.mReason = WaitReason::Suspect;
  }
  return found;
}

// What keeps a task from its start has no other trace, as nothing happens.
void
Cell::RecordWaitingTasks(TimePoint aNow)
{
  if (aNow < mNextWaitSearch) {
    return;
  }
  mNextWaitSearch = aNow + kWaitSearchInterval;
  bool inheritedRunsKnown = InheritedRunsKnown(aNow);
  std::size_t reported = 0;
  for (const std::string& id : mLiveJobs) {
    CellJob& job = mJobs.find(id)->second;
    if (!job.mStored) {
      continue;
    }
    std::optional<TasksWaiting> longest;
    for (auto& [number, occurrence] : job.mOccurrences) {
      for (std::uint32_t s = 0; s < occurrence.mSteps.size(); ++s) {
        StepRecord& step = occurrence.mSteps[s];
        if (step.mDoneTasks == step.mTasks.size() ||
            !IsStepReady(job.mSpec, occurrence, s)) {
          continue;
        }
        auto found = FindWaitingTasks(job, number, s, inheritedRunsKnown, aNow);
        if (!found) {
          step.mWaitsSince.reset();
          continue;
        }
        step.mWaitsSince = step.mWaitsSince.value_or(aNow);
        found->mFor = aNow - *step.mWaitsSince;
        if (!longest || found->mFor > longest->mFor) {
          longest = std::move(found);
        }
      }
    }
    bool isLong = longest && longest->mFor >= kWaitSearchInterval;
    if (isLong && reported < kMaxWaitNotices) {
      ++reported;
      mWorkerNotices.emplace_back(std::move(*longest));
    }
  }
}

} // namespace buckthornshunt
