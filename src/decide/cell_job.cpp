#include "decide/cell_job.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace buckthornshunt {

namespace {

constexpr double kMillisPerCore = 1000.0;

// A task with an estimate of zero still takes some time.
constexpr Duration kMinEstimate = std::chrono::milliseconds(50);

std::uint32_t
RemainingTasks(const StepSpec& aStep,
               const OccurrenceRecord* aOccurrence,
               std::size_t aAt)
{
  return aOccurrence == nullptr
           ? aStep.mTaskCount
           : aStep.mTaskCount - aOccurrence->mSteps[aAt].mDoneTasks;
}

} // namespace

bool
CellJob::IsLive() const
{
  return !mCancelled && !mFailed && !AllDone();
}

bool
CellJob::IsLongRunning() const
{
  return std::any_of(mSpec.mSteps.begin(),
                     mSpec.mSteps.end(),
                     [](const StepSpec& aStep) { return aStep.mLongRunning; });
}

std::uint32_t
CellJob::OccurrenceCount() const
{
  return std::max<std::uint32_t>(mSpec.mOccurrences, 1);
}

bool
CellJob::AllDone() const
{
  return mDoneOccurrences.size() >= OccurrenceCount();
}

JobPhase
CellJob::NextPhase() const
{
  if (AllDone()) {
    return JobPhase::Completed;
  }
  if (mCancelled) {
    return JobPhase::Cancelled;
  }
  if (mFailed) {
    return JobPhase::Failed;
  }
  return mStarted ? JobPhase::Running : JobPhase::Pending;
}

// The errors of both values are multiplicative, hence a weighted geometric
// mean.
double
RunTimeModel::ExpectedSeconds(Duration aEstimate) const
{
  constexpr double kEstimateWeight = 0.3;
  double estimate =
    ToSeconds(std::max(aEstimate, kMinEstimate)) * mEstimateScale;
  if (mMeanSeconds <= 0) {
    return estimate;
  }
  return std::pow(estimate, kEstimateWeight) *
         std::pow(mMeanSeconds, 1 - kEstimateWeight);
}

Duration
ExpectedRunTime(const RunTimeModel& aModel, Duration aEstimate)
{
  auto expected = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(aModel.ExpectedSeconds(aEstimate)));
  return std::max(expected, kMinEstimate);
}

std::size_t
CountFailures(const StepSpec& aSpec,
              const StepRecord& aStep,
              std::uint32_t aTask)
{
  if (!aSpec.mGang) {
    return aStep.mTasks[aTask].mFailedRuns.size();
  }
  std::set<std::uint64_t> runs;
  for (const TaskRecord& task : aStep.mTasks) {
    runs.insert(task.mFailedRuns.begin(), task.mFailedRuns.end());
  }
  return runs.size();
}

OccurrenceRecord
MakeOccurrence(const JobSpec& aSpec)
{
  OccurrenceRecord occurrence;
  occurrence.mSteps.resize(aSpec.mSteps.size());
  for (std::size_t i = 0; i < aSpec.mSteps.size(); ++i) {
    occurrence.mSteps[i].mTasks.resize(aSpec.mSteps[i].mTaskCount);
  }
  return occurrence;
}

bool
IsStepReady(const JobSpec& aSpec,
            const OccurrenceRecord& aOccurrence,
            std::size_t aStep)
{
  const std::vector<std::uint32_t>& after = aSpec.mSteps[aStep].mDependencies;
  return std::all_of(after.begin(), after.end(), [&](std::uint32_t aBefore) {
    return aOccurrence.mSteps[aBefore].mDoneTasks ==
           aSpec.mSteps[aBefore].mTaskCount;
  });
}

StoredProgress
ProgressOf(const CellJob& aJob)
{
  StoredProgress progress;
  progress.mPhase = aJob.NextPhase();
  progress.mQueue = aJob.mQueue;
  progress.mOrganisation = aJob.mOrganisation;
  progress.mDoneOccurrences = aJob.mDoneOccurrences;
  if (!aJob.IsLive()) {
    return progress;
  }
  for (const auto& [number, occurrence] : aJob.mOccurrences) {
    for (std::uint32_t s = 0; s < occurrence.mSteps.size(); ++s) {
      const std::vector<TaskRecord>& tasks = occurrence.mSteps[s].mTasks;
      for (std::uint32_t i = 0; i < tasks.size(); ++i) {
        const TaskRecord& task = tasks[i];
        bool done = task.mStage == TaskStage::Done;
        bool changed = done || !task.mFailedRuns.empty() ||
                       !task.mCheckpoint.empty() || task.mCrashes > 0;
        if (changed) {
          progress.mTasks.push_back({ number,
                                      s,
                                      i,
                                      done,
                                      task.mFailedRuns,
                                      done ? "" : task.mCheckpoint,
                                      done ? 0 : task.mCrashes });
        }
      }
    }
  }
  return progress;
}

CellJob
RestoreJob(const StoredJob& aStored, const StoredProgress& aProgress)
{
  CellJob job;
  job.mId = aStored.mId;
  job.mQueue = aStored.mQueue;
  job.mOrganisation = aStored.mOrganisation;
  job.mSpec = aStored.mSpec;
  job.mAcceptedTerm = aStored.mAcceptedTerm;
  job.mSubmitted = aStored.mSubmitted;
  job.mStored = true;
  job.mInherited = true;
  job.mInheritedHold = aProgress.mHeld;
  job.mDoneOccurrences = aProgress.mDoneOccurrences;
  job.mCancelled = aProgress.mPhase == JobPhase::Cancelled;
  job.mFailed = aProgress.mPhase == JobPhase::Failed;
  for (const StoredTask& task : aProgress.mTasks) {
    bool known = task.mStep < job.mSpec.mSteps.size() &&
                 task.mIndex < job.mSpec.mSteps[task.mStep].mTaskCount;
    if (!known) {
      continue;
    }
    auto [it, added] = job.mOccurrences.try_emplace(task.mOccurrence);
    if (added) {
      it->second = MakeOccurrence(job.mSpec);
    }
    StepRecord& step = it->second.mSteps[task.mStep];
    TaskRecord& record = step.mTasks[task.mIndex];
    record.mFailedRuns = task.mFailedRuns;
    record.mCheckpoint = task.mCheckpoint;
    record.mCrashes = task.mCrashes;
    job.mStarted = true;
    job.mBegun = true;
    if (task.mDone) {
      record.mStage = TaskStage::Done;
      ++step.mDoneTasks;
      it->second.mDoneSteps += step.mDoneTasks == step.mTasks.size() ? 1 : 0;
    }
  }
  return job;
}

Duration
RemainingCriticalPath(const JobSpec& aSpec,
                      const OccurrenceRecord* aOccurrence,
                      const RunTimeModel& aModel)
{
  std::vector<Duration> finishTimes(aSpec.mSteps.size());
  Duration longest{};
  for (std::size_t i = 0; i < aSpec.mSteps.size(); ++i) {
    const StepSpec& step = aSpec.mSteps[i];
    Duration start{};
    for (std::uint32_t before : step.mDependencies) {
      start = std::max(start, finishTimes[before]);
    }
    bool unfinished = RemainingTasks(step, aOccurrence, i) > 0;
    finishTimes[i] =
      start + (unfinished ? ExpectedRunTime(aModel, step.mEstimatedRunTime)
                          : Duration{});
    longest = std::max(longest, finishTimes[i]);
  }
  return longest;
}

double
InitialCores(const JobSpec& aSpec)
{
  double cores = 0;
  for (const StepSpec& step : aSpec.mSteps) {
    if (step.mDependencies.empty()) {
      cores += static_cast<double>(step.mTaskResources.mCpuMillis) *
               step.mTaskCount / kMillisPerCore;
    }
  }
  return cores;
}

double
WaitingCores(const CellJob& aJob)
{
  if (!aJob.mStored || aJob.IsLongRunning()) {
    return 0;
  }
  double cores = 0;
  for (const auto& [number, occurrence] : aJob.mOccurrences) {
    for (std::size_t i = 0; i < occurrence.mSteps.size(); ++i) {
      const StepRecord& step = occurrence.mSteps[i];
      const StepSpec& spec = aJob.mSpec.mSteps[i];
      if (spec.mBestEffort || !IsStepReady(aJob.mSpec, occurrence, i)) {
        continue;
      }
      std::size_t idle =
        step.mTasks.size() - step.mDoneTasks - step.mActiveTasks;
      cores += static_cast<double>(spec.mTaskResources.mCpuMillis) *
               static_cast<double>(idle) / kMillisPerCore;
    }
  }
  return cores;
}

double
RemainingCoreSeconds(const JobSpec& aSpec,
                     const OccurrenceRecord* aOccurrence,
                     const RunTimeModel& aModel)
{
  double total = 0;
  for (std::size_t i = 0; i < aSpec.mSteps.size(); ++i) {
    const StepSpec& step = aSpec.mSteps[i];
    if (step.mLongRunning) {
      continue;
    }
    double cores =
      static_cast<double>(step.mTaskResources.mCpuMillis) / kMillisPerCore;
    total += cores * RemainingTasks(step, aOccurrence, i) *
             ToSeconds(ExpectedRunTime(aModel, step.mEstimatedRunTime));
  }
  return total;
}

} // namespace buckthornshunt
