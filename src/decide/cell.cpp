#include "decide/cell.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace buckthornshunt {

namespace {

/// A worker's clock may run this much slower or faster than ours, in parts of
/// one; from the platform's contract.
constexpr double kClockDrift = 0.02;
/// Allowance for answers that were read late.
constexpr Duration kLeaseSlack = std::chrono::milliseconds(200);
/// A start that several workers failed says nothing about them; a worker that
/// failed this many jobs in a row is left alone for a while.
constexpr int kFailuresUntilAvoided = 3;
constexpr Duration kAvoidFor = std::chrono::seconds(3);
/// Pause before a failed task runs again, by its failures.
constexpr Duration kRetryPause = std::chrono::milliseconds(50);
/// Pause before a task that lasts is started again.
constexpr Duration kRestartPause = std::chrono::milliseconds(100);
/// First attempts remembered for jobs that were turned away.
constexpr std::size_t kMostTurnedAway = 20'000;
/// Weight of a new observation in a mean.
constexpr double kLearningRate = 0.005;
/// Ended runs before their mean is believed.
constexpr double kRunsToLearn = 10;
constexpr double kLeastEstimateSeconds = 0.05;

} // namespace

bool
CellChanges::Empty() const
{
  return mNewJobs.empty() && mProgress.empty() && mEnded.empty() &&
         mForgotten.empty() && !mWorkers;
}

Cell::Cell(CellTimes aTimes,
           FencingToken aToken,
           std::uint32_t aTerm,
           TimePoint aTakenOver)
  : mTimes(aTimes)
  , mToken(aToken)
  , mTerm(aTerm)
  , mTakenOver(aTakenOver)
{
}

void
Cell::SetConfig(const WorkloadConfig& aConfig, std::string_view aPool)
{
  mConfig = aConfig;
  mPool = aPool;
}

CellWorker*
Cell::FindWorker(std::string_view aId)
{
  auto it = mWorkers.find(aId);
  return it == mWorkers.end() ? nullptr : &it->second;
}

CellJob*
Cell::FindJob(std::string_view aId)
{
  auto it = mJobs.find(aId);
  return it == mJobs.end() ? nullptr : &it->second;
}

const QueueConfig*
Cell::QueueOf(const CellJob& aJob) const
{
  return mConfig.FindQueueByName(aJob.mQueue);
}

RunTimeModel
Cell::ModelOf(std::string_view aQueue) const
{
  auto it = mStats.find(aQueue);
  if (it == mStats.end() || it->second.mRuns < kRunsToLearn) {
    return {};
  }
  const QueueStats& stats = it->second;
  return { stats.mObserved / stats.mRuns, stats.mObserved / stats.mEstimated };
}

Duration
Cell::ObjectiveOf(std::string_view aQueue, const JobSpec& aSpec) const
{
  const QueueConfig* queue = mConfig.FindQueueByName(aQueue);
  double stretch = queue == nullptr ? 1.0 : queue->mStretch;
  Duration latency = queue == nullptr ? Duration{} : queue->mLatency;
  double chain = ToSeconds(RemainingChain(aSpec, nullptr, ModelOf(aQueue)));
  return latency + std::chrono::duration_cast<Duration>(
                     std::chrono::duration<double>(stretch * chain));
}

// --- State taken over

void
Cell::Restore(CellJob aJob, TimePoint aNow, WallTime aWallNow)
{
  // The caller's first attempt isn't stored; the acceptance stands for it.
  std::int64_t age =
    std::max<std::int64_t>(aWallNow.mMillis - aJob.mSubmitted.mMillis, 0);
  aJob.mFirstSeen = aNow - std::chrono::milliseconds(age);
  std::string id = aJob.mId;
  if (aJob.Live()) {
    mLive.insert(id);
  } else {
    aJob.mCommitted = aJob.NextPhase();
    aJob.mEnded = aNow;
  }
  mJobs.insert_or_assign(std::move(id), std::move(aJob));
}

void
Cell::RestoreEnded(std::string_view aId,
                   const StoredProgress& aProgress,
                   TimePoint aNow)
{
  CellJob job;
  job.mId = aId;
  job.mQueue = aProgress.mQueue;
  job.mStored = true;
  job.mInherited = true;
  job.mCancelled = aProgress.mPhase == JobPhase::Cancelled;
  job.mFailed = aProgress.mPhase == JobPhase::Failed;
  job.mDoneOccurrences = aProgress.mDoneOccurrences;
  job.mCommitted = aProgress.mPhase;
  job.mEnded = aNow;
  mJobs.insert_or_assign(std::string(aId), std::move(job));
}

void
Cell::RestoreWorkers(std::span<const WorkerAddress> aWorkers, TimePoint aNow)
{
  for (const WorkerAddress& address : aWorkers) {
    CellWorker& worker = mWorkers[address.mId];
    worker.mReport.mId = address.mId;
    worker.mReport.mEndpoint = address.mEndpoint;
    worker.mDurable = true;
    worker.mInherited = true;
    worker.mLeaseOver = aNow +
                        std::chrono::duration_cast<Duration>(
                          mTimes.mRunLease / (1 - kClockDrift)) +
                        kLeaseSlack;
  }
}

// --- Callers

SubmitResult
Cell::Submit(Submission aSubmission, TimePoint aNow)
{
  if (FindJob(aSubmission.mId) != nullptr) {
    return SubmitResult::Taken;
  }
  TimePoint firstSeen = aNow;
  if (auto it = mTurnedAway.find(aSubmission.mId); it != mTurnedAway.end()) {
    firstSeen = it->second;
  }
  CellJob job;
  job.mId = aSubmission.mId;
  job.mQueue = aSubmission.mQueue;
  job.mSpec = std::move(aSubmission.mSpec);
  job.mAcceptedTerm = mTerm;
  job.mSubmitted = aSubmission.mNow;
  job.mFirstSeen = firstSeen;
  bool plain = !job.LongRunning() && job.mSpec.mOccurrences == 0;
  JobDemand demand = DemandOf(job.mQueue, job.mSpec, firstSeen, aNow);
  if (plain && firstSeen == aNow) {
    mDemand.Note(demand.mCoreSeconds, aNow);
  }
  if (plain && !ShouldAdmit(LoadNow(), demand)) {
    ++mRefused;
    if (mTurnedAway.size() < kMostTurnedAway) {
      mTurnedAway.emplace(job.mId, firstSeen);
    }
    return SubmitResult::Refused;
  }
  mTurnedAway.erase(job.mId);
  mLive.insert(job.mId);
  CellJob& held = mJobs[job.mId];
  held = std::move(job);
  MarkDirty(held);
  return SubmitResult::Taken;
}

Duration
Cell::RetryAfterFor(const Submission& aSubmission,
                    TimePoint aNow,
                    double aJitter) const
{
  auto it = mTurnedAway.find(aSubmission.mId);
  TimePoint firstSeen = it == mTurnedAway.end() ? aNow : it->second;
  return RetryAfter(
    LoadNow(),
    DemandOf(aSubmission.mQueue, aSubmission.mSpec, firstSeen, aNow),
    aJitter);
}

PoolUse
Cell::Use(TimePoint aNow) const
{
  PoolUse use;
  use.mBacklog = Summary().mBacklogCoreSeconds;
  DemandRange asked = mDemand.At(aNow);
  use.mAskedLeast = asked.mLeast;
  use.mAskedMost = asked.mMost;
  for (const std::string& id : mLive) {
    for (const StepSpec& step : mJobs.find(id)->second.mSpec.mSteps) {
      if (step.mMostPerWorker > 0) {
        std::uint32_t vms =
          (step.mTasks + step.mMostPerWorker - 1) / step.mMostPerWorker;
        use.mLeastVms = std::max(use.mLeastVms, vms);
      }
    }
  }
  for (const auto& [id, worker] : mWorkers) {
    if (!worker.mListed) {
      continue;
    }
    WorkerUse& at = use.mWorkers[id];
    at.mRuns = static_cast<std::uint32_t>(worker.mRuns.size());
    at.mSealed = worker.mSealed && worker.mContacted;
    for (const auto& [task, run] : worker.mRuns) {
      if (run.mLongRunning) {
        at.mLasting = true;
        use.mLastingCores +=
          static_cast<double>(run.mReserved.mCpuMillis) / 1000;
      }
    }
  }
  return use;
}

PoolLoad
Cell::LoadNow() const
{
  PoolSummary summary = Summary();
  PoolLoad load;
  load.mBacklog = summary.mBacklogCoreSeconds;
  load.mCores = summary.mCapacityCores;
  load.mIncomingCores = mIncomingCores;
  load.mFreeCores = summary.mCapacityCores - summary.mBusyCores;
  for (const std::string& id : mLive) {
    const CellJob& job = mJobs.find(id)->second;
    if (!job.mStarted && !job.LongRunning()) {
      load.mFreeCores -= FirstCores(job.mSpec);
    }
  }
  return load;
}

JobDemand
Cell::DemandOf(std::string_view aQueue,
               const JobSpec& aSpec,
               TimePoint aFirstSeen,
               TimePoint aNow) const
{
  RunTimeModel model = ModelOf(aQueue);
  JobDemand demand;
  demand.mCoreSeconds = RemainingCoreSeconds(aSpec, nullptr, model);
  demand.mFirstCores = FirstCores(aSpec);
  demand.mChain = RemainingChain(aSpec, nullptr, model);
  demand.mTimeLeft = aFirstSeen + ObjectiveOf(aQueue, aSpec) - aNow;
  return demand;
}

bool
Cell::Cancel(std::string_view aId, TimePoint aNow)
{
  CellJob* job = FindJob(aId);
  if (job == nullptr) {
    return false;
  }
  if (job->Live()) {
    job->mCancelled = true;
    job->mEnded = aNow;
    mLive.erase(job->mId);
    MarkDirty(*job);
    StopRunsOf(*job, aNow);
  }
  return true;
}

std::optional<JobPhase>
Cell::PhaseOf(std::string_view aId) const
{
  auto it = mJobs.find(aId);
  if (it == mJobs.end() || !it->second.mStored) {
    return std::nullopt;
  }
  const CellJob& job = it->second;
  if (job.mCommitted != JobPhase::Pending) {
    return job.mCommitted;
  }
  // An end that isn't committed yet might be taken back.
  return job.mStarted ? JobPhase::Running : JobPhase::Pending;
}

bool
Cell::IsStored(std::string_view aId) const
{
  auto it = mJobs.find(aId);
  return it != mJobs.end() && it->second.mStored && !it->second.mDirty &&
         !it->second.mCommitting;
}

std::uint64_t
Cell::Waiting(std::string_view aQueue) const
{
  return static_cast<std::uint64_t>(
    std::count_if(mLive.begin(), mLive.end(), [&](const std::string& aId) {
      const CellJob& job = mJobs.find(aId)->second;
      return job.mQueue == aQueue && job.mStored && !job.mStarted;
    }));
}

// --- Workers

void
Cell::SetWorkers(std::span<const WorkerReport> aReports, TimePoint aNow)
{
  for (auto& [id, worker] : mWorkers) {
    worker.mListed = false;
  }
  for (const WorkerReport& report : aReports) {
    if (report.mPool != mPool) {
      continue;
    }
    CellWorker& worker = mWorkers[report.mId];
    bool reborn = report.mBorn > worker.mBorn && worker.mBorn != 0;
    worker.mReport = report;
    if (reborn) {
      StartNewLife(worker, aNow);
    }
    worker.mListed = !worker.mEnded;
    worker.mBorn = std::max(worker.mBorn, report.mBorn);
  }
  std::erase_if(mWorkers, [&](const auto& aEntry) {
    const CellWorker& worker = aEntry.second;
    // What an earlier owner started there isn't known before its lease is over.
    bool unknown = worker.mInherited && aNow <= worker.mLeaseOver;
    bool gone = !worker.mListed && worker.mRuns.empty() && !unknown;
    mWorkersDirty = mWorkersDirty || (gone && worker.mDurable);
    return gone;
  });
}

void
Cell::Seal(std::string_view aWorker, bool aSealed)
{
  if (CellWorker* worker = FindWorker(aWorker)) {
    worker->mSealed = aSealed;
  }
}

bool
Cell::NeedsRenewal(std::string_view aWorker) const
{
  auto it = mWorkers.find(aWorker);
  if (it == mWorkers.end()) {
    return false;
  }
  const CellWorker& worker = it->second;
  if (worker.mEnded) {
    return false;
  }
  // A silent worker is asked until it answers; only then is it used again.
  return !worker.mRuns.empty() || !worker.mContacted || worker.mMissed > 0 ||
         worker.mDoubted || worker.mSeenEnds > worker.mCommittedEnds;
}

// The end of the lease is told on the worker's clock, which is only known as
// of its last answer; assuming that it is slow never grants too much. A worker
// that doesn't answer gets no longer lease, so that its runs lapse in time.
std::int64_t
Cell::GrantLease(CellWorker& aWorker, TimePoint aNow)
{
  double since = ToSeconds(aNow - aWorker.mClockAt) * (1 - kClockDrift);
  std::int64_t clock = aWorker.mClock + static_cast<std::int64_t>(since * 1000);
  std::int64_t end = clock + ToMillis(mTimes.mRunLease);
  double left = static_cast<double>(end - aWorker.mClock) / 1000;
  TimePoint over = aWorker.mClockAt +
                   std::chrono::duration_cast<Duration>(
                     std::chrono::duration<double>(left / (1 - kClockDrift))) +
                   kLeaseSlack;
  aWorker.mLeaseOver = std::max(aWorker.mLeaseOver, over);
  return end;
}

RenewLease
Cell::NextRenewal(std::string_view aWorker, Duration aWait, TimePoint aNow)
{
  RenewLease renewal;
  renewal.mToken = mToken;
  CellWorker* worker = FindWorker(aWorker);
  if (worker == nullptr) {
    return renewal;
  }
  renewal.mCommittedEnds = worker->mCommittedEnds;
  renewal.mWait = worker->mContacted ? aWait : Duration::zero();
  if (worker->mContacted && worker->mMissed < kMissesUntilSuspect) {
    renewal.mLeaseEnd = GrantLease(*worker, aNow);
  }
  return renewal;
}

// Runs of the earlier life are gone. An order that was on its way may still
// start its run in the new life, so that one is stopped first.
void
Cell::StartNewLife(CellWorker& aWorker, TimePoint aNow)
{
  std::vector<TaskId> gone;
  for (auto& [task, run] : aWorker.mRuns) {
    bool certain = run.mStage == ActiveRun::Stage::Running;
    if (certain) {
      gone.push_back(task);
    } else {
      StopRunOn(run, aNow);
      run.mStopSent = false;
    }
  }
  for (const TaskId& task : gone) {
    LoseRun(aWorker, task);
  }
  aWorker.mContacted = false;
  aWorker.mEnded = false;
  aWorker.mInherited = false;
  aWorker.mSeenEnds = 0;
  aWorker.mCommittedEnds = 0;
  aWorker.mMissed = 0;
  aWorker.mFailuresInRow = 0;
}

void
Cell::ReleaseRun(CellWorker& aWorker, const TaskId& aTask)
{
  auto it = aWorker.mRuns.find(aTask);
  if (it != aWorker.mRuns.end()) {
    aWorker.mUsed -= it->second.mReserved;
    aWorker.mRuns.erase(it);
  }
}

void
Cell::LoseRun(CellWorker& aWorker, const TaskId& aTask)
{
  // The task may be named by the entry that goes last.
  TaskGone(aTask, aWorker.mReport.mId);
  ReleaseRun(aWorker, aTask);
}

// The task's active run is surely over without an end that counts.
void
Cell::TaskGone(const TaskId& aTask, std::string_view aWorker)
{
  CellJob* job = FindJob(aTask.mJob);
  if (job == nullptr) {
    return;
  }
  auto run = job->mOccurrences.find(aTask.mOccurrence);
  if (run == job->mOccurrences.end()) {
    return;
  }
  StepRecord& step = run->second.mSteps[aTask.mStep];
  TaskRecord& task = step.mTasks[aTask.mIndex];
  if (task.mStage == TaskStage::Active && task.mWorker == aWorker) {
    task.mStage = TaskStage::Idle;
    task.mWorker.clear();
    --step.mActive;
  }
}

void
Cell::StopRunOn(ActiveRun& aRun, TimePoint aNow)
{
  if (aRun.mStage != ActiveRun::Stage::Stopping) {
    aRun.mStage = ActiveRun::Stage::Stopping;
    aRun.mSince = aNow;
    aRun.mStopSent = false;
    aRun.mStoppedAt.reset();
  }
}

void
Cell::StopRunsOf(const CellJob& aJob, TimePoint aNow)
{
  for (auto& [id, worker] : mWorkers) {
    auto it = worker.mRuns.lower_bound(TaskId{ aJob.mId, 0, 0, 0 });
    for (; it != worker.mRuns.end() && it->first.mJob == aJob.mId; ++it) {
      StopRunOn(it->second, aNow);
    }
  }
}

// Reports of workers may come before the first plan opens the occurrence.
OccurrenceRecord*
Cell::OpenOccurrence(CellJob& aJob, std::uint32_t aNumber)
{
  bool done = std::find(aJob.mDoneOccurrences.begin(),
                        aJob.mDoneOccurrences.end(),
                        aNumber) != aJob.mDoneOccurrences.end();
  if (done || aNumber >= aJob.Occurrences()) {
    return nullptr;
  }
  auto [it, added] = aJob.mOccurrences.try_emplace(aNumber);
  if (added) {
    it->second = MakeOccurrence(aJob.mSpec);
  }
  return &it->second;
}

void
Cell::MarkDirty(CellJob& aJob)
{
  aJob.mDirty = true;
  mDirty.insert(aJob.mId);
}

// Sums decay, so that a change of the work shows after some hundred runs.
void
Cell::LearnRunTime(const CellJob& aJob, const TaskId& aTask, Duration aTook)
{
  QueueStats& stats = mStats[aJob.mQueue];
  double estimate = ToSeconds(aJob.mSpec.mSteps[aTask.mStep].mEstimate);
  stats.mObserved = stats.mObserved * (1 - kLearningRate) + ToSeconds(aTook);
  stats.mEstimated = stats.mEstimated * (1 - kLearningRate) +
                     std::max(estimate, kLeastEstimateSeconds);
  stats.mRuns = stats.mRuns * (1 - kLearningRate) + 1;
}

void
Cell::OnTaskDone(CellJob& aJob, const TaskId& aTask, TimePoint aNow)
{
  auto at = aJob.mOccurrences.find(aTask.mOccurrence);
  if (at == aJob.mOccurrences.end()) {
    return;
  }
  OccurrenceRecord& run = at->second;
  StepRecord& step = run.mSteps[aTask.mStep];
  bool gang = aJob.mSpec.mSteps[aTask.mStep].mGang;
  std::uint32_t before = step.mDone;
  for (std::uint32_t i = 0; i < step.mTasks.size(); ++i) {
    TaskRecord& task = step.mTasks[i];
    bool counts = i == aTask.mIndex || gang;
    if (!counts || task.mStage == TaskStage::Done) {
      continue;
    }
    // One end of a gang stands for all; its other members end by themselves.
    if (task.mStage == TaskStage::Active) {
      --step.mActive;
    }
    task.mStage = TaskStage::Done;
    task.mWorker.clear();
    ++step.mDone;
  }
  // An end may be listed again; it counts once.
  if (step.mDone == before || step.mDone < step.mTasks.size()) {
    return;
  }
  ++run.mDoneSteps;
  if (run.mDoneSteps == run.mSteps.size()) {
    aJob.mDoneOccurrences.push_back(aTask.mOccurrence);
    aJob.mOccurrences.erase(at);
  }
  if (!aJob.Live()) {
    aJob.mEnded = aNow;
    mLive.erase(aJob.mId);
  }
}

void
Cell::OnTaskFailed(CellWorker& aWorker,
                   CellJob& aJob,
                   const EndedRun& aEnd,
                   TimePoint aNow)
{
  auto at = aJob.mOccurrences.find(aEnd.mTask.mOccurrence);
  if (at == aJob.mOccurrences.end()) {
    return;
  }
  const StepSpec& spec = aJob.mSpec.mSteps[aEnd.mTask.mStep];
  StepRecord& step = at->second.mSteps[aEnd.mTask.mStep];
  TaskRecord& task = step.mTasks[aEnd.mTask.mIndex];
  task.mFailedOn = aWorker.mReport.mId;
  if (aWorker.mLastFailedJob != aJob.mId) {
    aWorker.mLastFailedJob = aJob.mId;
    if (++aWorker.mFailuresInRow >= kFailuresUntilAvoided) {
      aWorker.mAvoidUntil = aNow + kAvoidFor;
    }
  }
  if (spec.mLongRunning) {
    task.mNotBefore = aNow + kRestartPause;
    return;
  }
  // A failure that is committed is listed again until it is acknowledged, to
  // the next owner too; and a run that was given up may turn out to have
  // failed after a later one did.
  std::vector<std::uint64_t>& runs = task.mFailedRuns;
  if (std::find(runs.begin(), runs.end(), aEnd.mRun) != runs.end()) {
    return;
  }
  runs.push_back(aEnd.mRun);
  std::size_t failures = FailuresOf(spec, step, aEnd.mTask.mIndex);
  task.mNotBefore = aNow + kRetryPause * static_cast<int>(failures);
  const QueueConfig* queue = QueueOf(aJob);
  std::uint32_t most = queue == nullptr ? 1 : queue->mMaxAttempts;
  if (failures >= most && aJob.Live()) {
    aJob.mFailed = true;
    aJob.mEnded = aNow;
    mLive.erase(aJob.mId);
    StopRunsOf(aJob, aNow);
  }
}

void
Cell::OnEnd(CellWorker& aWorker, const EndedRun& aEnd, TimePoint aNow)
{
  auto active = aWorker.mRuns.find(aEnd.mTask);
  bool current =
    active != aWorker.mRuns.end() && active->second.mRun == aEnd.mRun;
  Duration took{};
  if (current) {
    took = aNow - active->second.mStarted;
    LoseRun(aWorker, aEnd.mTask);
  }
  CellJob* job = FindJob(aEnd.mTask.mJob);
  bool known = job != nullptr && aEnd.mTask.mStep < job->mSpec.mSteps.size() &&
               aEnd.mTask.mIndex < job->mSpec.mSteps[aEnd.mTask.mStep].mTasks;
  if (!known || !job->Live()) {
    return;
  }
  job->mStarted = true;
  OccurrenceRecord* occurrence = OpenOccurrence(*job, aEnd.mTask.mOccurrence);
  if (occurrence == nullptr) {
    return;
  }
  TaskRecord& task =
    occurrence->mSteps[aEnd.mTask.mStep].mTasks[aEnd.mTask.mIndex];
  bool lasting = job->mSpec.mSteps[aEnd.mTask.mStep].mLongRunning;
  if (task.mStage != TaskStage::Done && !aEnd.mCheckpoint.empty()) {
    task.mCheckpoint = aEnd.mCheckpoint;
  }
  if (aEnd.mEnd == RunEnd::Done && !lasting) {
    aWorker.mFailuresInRow = 0;
    // Another run of the task has nothing left to do.
    if (task.mStage == TaskStage::Active) {
      CellWorker* other = FindWorker(task.mWorker);
      if (other != nullptr) {
        auto run = other->mRuns.find(aEnd.mTask);
        if (run != other->mRuns.end()) {
          StopRunOn(run->second, aNow);
        }
      }
    }
    if (current) {
      LearnRunTime(*job, aEnd.mTask, took);
    }
    OnTaskDone(*job, aEnd.mTask, aNow);
  } else if (aEnd.mEnd == RunEnd::Failed) {
    OnTaskFailed(aWorker, *job, aEnd, aNow);
  } else if (lasting) {
    task.mNotBefore = aNow + kRestartPause;
  }
  if (!lasting) {
    MarkDirty(*job);
  }
}

void
Cell::NotePresent(CellWorker& aWorker,
                  const PresentRun& aPresent,
                  TimePoint aSent,
                  TimePoint aNow)
{
  auto it = aWorker.mRuns.find(aPresent.mTask);
  if (it != aWorker.mRuns.end() && it->second.mRun == aPresent.mRun) {
    ActiveRun& run = it->second;
    if (run.mStage == ActiveRun::Stage::Starting ||
        run.mStage == ActiveRun::Stage::Unclear) {
      run.mStage = ActiveRun::Stage::Running;
      run.mSince = aNow;
    }
    run.mPercent = aPresent.mPercent;
    run.mGauge = aPresent.mGauge;
    // The stop was asked for before, yet the run is there: ask again.
    if (run.mStoppedAt && *run.mStoppedAt + std::chrono::seconds(1) < aSent) {
      run.mStoppedAt.reset();
      run.mStopSent = false;
    }
  } else if (it == aWorker.mRuns.end()) {
    ActiveRun run;
    run.mRun = aPresent.mRun;
    run.mStage = ActiveRun::Stage::Stopping;
    run.mSince = aNow;
    run.mStarted = aNow;
    CellJob* job = FindJob(aPresent.mTask.mJob);
    bool known =
      job != nullptr && aPresent.mTask.mStep < job->mSpec.mSteps.size() &&
      aPresent.mTask.mIndex < job->mSpec.mSteps[aPresent.mTask.mStep].mTasks;
    if (known) {
      const StepSpec& spec = job->mSpec.mSteps[aPresent.mTask.mStep];
      run.mReserved = ReservedBy(spec);
      run.mFills = spec.mFills;
      run.mLongRunning = spec.mLongRunning;
      run.mTailTarget = spec.mTailTarget;
      OccurrenceRecord* occurrence =
        job->Live() ? OpenOccurrence(*job, aPresent.mTask.mOccurrence)
                    : nullptr;
      if (occurrence != nullptr) {
        StepRecord& step = occurrence->mSteps[aPresent.mTask.mStep];
        TaskRecord& task = step.mTasks[aPresent.mTask.mIndex];
        job->mStarted = true;
        // A run of an earlier owner that nothing speaks against goes on.
        if (task.mStage == TaskStage::Idle) {
          task.mStage = TaskStage::Active;
          task.mWorker = aWorker.mReport.mId;
          ++step.mActive;
          run.mStage = ActiveRun::Stage::Running;
        }
      }
    }
    aWorker.mUsed += run.mReserved;
    aWorker.mRuns.emplace(aPresent.mTask, run);
  } else {
    // An order that came late started another run of the same task. The
    // record follows the one that is there, which is stopped.
    if (it->second.mStage != ActiveRun::Stage::Stopping) {
      StopRunOn(it->second, aNow);
    }
    it->second.mRun = std::max(it->second.mRun, aPresent.mRun);
  }
  CellJob* job = FindJob(aPresent.mTask.mJob);
  if (job != nullptr && !aPresent.mCheckpoint.empty()) {
    auto at = job->mOccurrences.find(aPresent.mTask.mOccurrence);
    if (at != job->mOccurrences.end() &&
        aPresent.mTask.mStep < at->second.mSteps.size() &&
        aPresent.mTask.mIndex <
          at->second.mSteps[aPresent.mTask.mStep].mTasks.size()) {
      at->second.mSteps[aPresent.mTask.mStep]
        .mTasks[aPresent.mTask.mIndex]
        .mCheckpoint = aPresent.mCheckpoint;
    }
  }
}

// A listing that was asked for after a start or a stop was answered tells for
// certain; a run that it doesn't show is stopped first, so that a late order
// can't start it, and given up only when the stop was carried out.
void
Cell::ResolveAbsent(CellWorker& aWorker,
                    const std::set<TaskId>& aPresent,
                    TimePoint aSent,
                    TimePoint aNow)
{
  std::vector<TaskId> gone;
  for (auto& [task, run] : aWorker.mRuns) {
    if (aPresent.contains(task) || run.mSince >= aSent) {
      continue;
    }
    if (run.mStage == ActiveRun::Stage::Stopping) {
      if (run.mStoppedAt && *run.mStoppedAt < aSent) {
        gone.push_back(task);
      }
    } else if (run.mStage != ActiveRun::Stage::Starting) {
      StopRunOn(run, aNow);
    }
  }
  for (const TaskId& task : gone) {
    LoseRun(aWorker, task);
  }
}

void
Cell::OnListing(std::string_view aWorker,
                const WorkerListing& aListing,
                TimePoint aSent,
                TimePoint aNow)
{
  CellWorker* worker = FindWorker(aWorker);
  if (worker == nullptr) {
    return;
  }
  bool reborn = aListing.mBorn > worker->mBorn && worker->mBorn != 0;
  bool fromEarlierLife = aListing.mBorn != 0 && aListing.mBorn < worker->mBorn;
  if (fromEarlierLife) {
    return;
  }
  if (reborn) {
    StartNewLife(*worker, aNow);
  }
  worker->mBorn = std::max(worker->mBorn, aListing.mBorn);
  worker->mClock = aListing.mClock;
  worker->mClockAt = aNow;
  worker->mLastAnswer = aNow;
  worker->mMissed = 0;
  worker->mDoubted = false;
  worker->mContacted = true;
  worker->mInherited = false;
  if (!worker->mDurable) {
    mWorkersDirty = true;
  }
  for (const EndedRun& end : aListing.mEnded) {
    if (end.mSequence > worker->mSeenEnds) {
      OnEnd(*worker, end, aNow);
      worker->mSeenEnds = std::max(worker->mSeenEnds, end.mSequence);
    }
  }
  std::set<TaskId> present;
  for (const PresentRun& run : aListing.mPresent) {
    present.insert(run.mTask);
    NotePresent(*worker, run, aSent, aNow);
  }
  ResolveAbsent(*worker, present, aSent, aNow);
}

void
Cell::OnNoAnswer(std::string_view aWorker, TimePoint)
{
  if (CellWorker* worker = FindWorker(aWorker)) {
    ++worker->mMissed;
  }
}

// The address belongs to another worker, so the earlier one has ended.
void
Cell::OnOtherLife(std::string_view aWorker, TimePoint aNow)
{
  if (CellWorker* worker = FindWorker(aWorker)) {
    EndLife(*worker, aNow);
  }
}

// Everything that the life held is gone, orders that it held back as well.
void
Cell::EndLife(CellWorker& aWorker, TimePoint aNow)
{
  aWorker.mEnded = true;
  aWorker.mListed = false;
  aWorker.mInherited = false;
  aWorker.mLeaseOver = aNow;
  while (!aWorker.mRuns.empty()) {
    LoseRun(aWorker, aWorker.mRuns.begin()->first);
  }
}

// The next worker of the VM may have the same id, so only the life that was
// ended is taken for gone.
bool
Cell::EndWorker(std::string_view aWorker, std::int64_t aBorn, TimePoint aNow)
{
  CellWorker* worker = FindWorker(aWorker);
  // A worker that an earlier owner used and that isn't listed has no known
  // life; the one that was ended is the last it had.
  // One that answers is there: the platform also confirms an order that was
  // carried out before this life began.
  // It is asked once more, as an idle worker may not have been for long.
  bool answers =
    worker != nullptr && worker->mContacted && worker->mMissed == 0;
  if (answers && worker->mBorn == aBorn) {
    worker->mDoubted = true;
  }
  bool matches = worker != nullptr && !answers && !worker->mEnded &&
                 (worker->mBorn == aBorn || worker->mBorn == 0);
  if (!matches) {
    return false;
  }
  EndLife(*worker, aNow);
  return true;
}

void
Cell::OnOrder(std::string_view aWorker,
              const WorkerCall& aCall,
              const Expected<WorkerReply>& aReply,
              TimePoint aNow)
{
  CellWorker* worker = FindWorker(aWorker);
  if (worker == nullptr) {
    return;
  }
  const auto* start = std::get_if<StartRun>(&aCall);
  const auto* stop = std::get_if<StopRun>(&aCall);
  if (start == nullptr && stop == nullptr) {
    return;
  }
  const TaskId& task = start != nullptr ? start->mTask : stop->mTask;
  std::uint64_t number = start != nullptr ? start->mRun : stop->mRun;
  auto it = worker->mRuns.find(task);
  if (it == worker->mRuns.end() || it->second.mRun != number) {
    return;
  }
  ActiveRun& run = it->second;
  const WorkerReply* reply =
    Ok(aReply) ? &std::get<WorkerReply>(aReply) : nullptr;
  const auto* refused =
    reply == nullptr ? nullptr : std::get_if<OrderRefused>(reply);
  bool done = reply != nullptr && std::holds_alternative<OrderDone>(*reply);
  if (refused != nullptr && refused->mReason == StartRefusal::Fenced) {
    mFenced = true;
    return;
  }
  if (reply != nullptr && std::holds_alternative<OtherWorker>(*reply)) {
    EndLife(*worker, aNow);
    return;
  }
  if (stop != nullptr) {
    // One that fails is due again after a pause.
    if (done || refused != nullptr) {
      run.mStoppedAt = aNow;
    }
    return;
  }
  if (run.mStage != ActiveRun::Stage::Starting) {
    return;
  }
  run.mSince = aNow;
  if (done) {
    run.mStage = ActiveRun::Stage::Running;
    return;
  }
  bool neverSent = !Ok(aReply) && std::holds_alternative<ConnectFailure>(
                                    std::get<Failure>(aReply));
  bool nothingDone = neverSent || (refused != nullptr &&
                                   refused->mReason != StartRefusal::OldRun);
  if (!nothingDone) {
    // The next listing tells; until then the run may be there.
    run.mStage = ActiveRun::Stage::Unclear;
    return;
  }
  LoseRun(*worker, task);
  if (neverSent) {
    ++worker->mMissed;
  } else if (refused->mReason == StartRefusal::Rejected) {
    worker->mAvoidUntil = aNow + kAvoidFor / 3;
  } else if (refused->mReason == StartRefusal::NoRoom) {
    // Something is there that the listings didn't show yet.
    worker->mAvoidUntil = aNow + kRetryPause;
  }
  CellJob* job = FindJob(task.mJob);
  if (job == nullptr) {
    return;
  }
  const StepSpec& spec = job->mSpec.mSteps[task.mStep];
  if (refused != nullptr && refused->mReason == StartRefusal::BadTicket) {
    auto at = job->mOccurrences.find(task.mOccurrence);
    if (at != job->mOccurrences.end()) {
      at->second.mSteps[task.mStep].mTickets.clear();
    }
  }
  if (spec.mGang) {
    // The others would wait for the missing member in vain.
    for (auto& [id, other] : mWorkers) {
      for (auto& [otherTask, otherRun] : other.mRuns) {
        bool member = otherTask.mJob == task.mJob &&
                      otherTask.mOccurrence == task.mOccurrence &&
                      otherTask.mStep == task.mStep && otherRun.mRun == number;
        if (member) {
          StopRunOn(otherRun, aNow);
        }
      }
    }
  }
}

// --- Commits

CellChanges
Cell::TakeChanges(TimePoint aNow)
{
  // The store takes 100 entries in a commit; a job may need three.
  constexpr std::size_t kMostJobs = 30;
  CellChanges changes;
  while (!mDirty.empty() && changes.mProgress.size() < kMostJobs &&
         changes.mNewJobs.size() < kMostJobs) {
    std::string id = *mDirty.begin();
    mDirty.erase(mDirty.begin());
    CellJob* job = FindJob(id);
    if (job == nullptr) {
      continue;
    }
    job->mDirty = false;
    job->mCommitting = true;
    if (!job->mStored) {
      changes.mNewJobs.push_back({ job->mId,
                                   job->mQueue,
                                   job->mSpec,
                                   job->mAcceptedTerm,
                                   job->mSubmitted });
      if (job->Live()) {
        continue;
      }
    }
    changes.mProgress.emplace_back(job->mId, ProgressOf(*job));
    if (!job->Live() && job->mStored) {
      changes.mEnded.push_back(job->mId);
    }
  }
  for (auto it = mJobs.begin();
       it != mJobs.end() && changes.mForgotten.size() < kMostJobs;
       ++it) {
    const CellJob& job = it->second;
    if (job.mCommitted != JobPhase::Pending &&
        aNow > job.mEnded + 2 * mTimes.mStatusKept) {
      changes.mForgotten.push_back(job.mId);
    }
  }
  if (mWorkersDirty) {
    mWorkersDirty = false;
    changes.mWorkers.emplace();
    for (const auto& [id, worker] : mWorkers) {
      changes.mWorkers->push_back({ id, worker.mReport.mEndpoint });
    }
  }
  if (mDirty.empty()) {
    for (const auto& [id, worker] : mWorkers) {
      changes.mEnds[id] = worker.mSeenEnds;
    }
  }
  return changes;
}

CellChanges
Cell::TakeReleaseChanges(TimePoint aNow)
{
  CellChanges changes = TakeChanges(aNow);
  changes.mWorkers.emplace();
  for (const auto& [id, worker] : mWorkers) {
    bool unknown = worker.mInherited && aNow <= worker.mLeaseOver;
    if (!worker.mRuns.empty() || unknown) {
      changes.mWorkers->push_back({ id, worker.mReport.mEndpoint });
    }
  }
  return changes;
}

void
Cell::OnCommitted(const CellChanges& aChanges, TimePoint aNow)
{
  for (const StoredJob& stored : aChanges.mNewJobs) {
    if (CellJob* job = FindJob(stored.mId)) {
      job->mStored = true;
      job->mCommitting = false;
    }
  }
  for (const auto& [id, progress] : aChanges.mProgress) {
    CellJob* job = FindJob(id);
    bool ended = progress.mPhase != JobPhase::Pending &&
                 progress.mPhase != JobPhase::Running;
    if (job != nullptr) {
      job->mCommitting = false;
    }
    if (job != nullptr && ended) {
      job->mCommitted = progress.mPhase;
      job->mEnded = aNow;
      job->mOccurrences.clear();
    }
  }
  for (const std::string& id : aChanges.mForgotten) {
    mJobs.erase(id);
  }
  if (aChanges.mWorkers) {
    for (const WorkerAddress& address : *aChanges.mWorkers) {
      if (CellWorker* worker = FindWorker(address.mId)) {
        worker->mDurable = true;
      }
    }
  }
  for (const auto& [id, sequence] : aChanges.mEnds) {
    CellWorker* worker = FindWorker(id);
    if (worker != nullptr && worker->mSeenEnds >= sequence) {
      worker->mCommittedEnds = std::max(worker->mCommittedEnds, sequence);
    }
  }
}

void
Cell::OnNotCommitted(const CellChanges& aChanges)
{
  for (const StoredJob& stored : aChanges.mNewJobs) {
    if (CellJob* job = FindJob(stored.mId)) {
      MarkDirty(*job);
    }
  }
  for (const auto& [id, progress] : aChanges.mProgress) {
    if (CellJob* job = FindJob(id)) {
      MarkDirty(*job);
    }
  }
  mWorkersDirty = mWorkersDirty || aChanges.mWorkers.has_value();
}

PoolSummary
Cell::Summary() const
{
  PoolSummary summary;
  summary.mPool = mPool;
  summary.mRefused = mRefused;
  double lasting = 0;
  double used = 0;
  for (const auto& [id, worker] : mWorkers) {
    bool counts = worker.mListed && !worker.mReport.mDraining &&
                  !worker.mSealed && worker.mMissed < kMissesUntilSuspect;
    if (counts) {
      summary.mCapacityCores +=
        static_cast<double>(worker.mReport.mCapacity.mCpuMillis) / 1000;
    }
    used += static_cast<double>(worker.mUsed.mCpuMillis) / 1000;
    for (const auto& [task, run] : worker.mRuns) {
      if (run.mLongRunning) {
        lasting += static_cast<double>(run.mReserved.mCpuMillis) / 1000;
      }
    }
  }
  summary.mCapacityCores = std::max(summary.mCapacityCores - lasting, 0.0);
  summary.mBusyCores = std::max(used - lasting, 0.0);
  for (const std::string& id : mLive) {
    const CellJob& job = mJobs.find(id)->second;
    if (job.LongRunning() || job.mSpec.mOccurrences > 0) {
      continue;
    }
    auto run = job.mOccurrences.find(0);
    summary.mBacklogCoreSeconds += RemainingCoreSeconds(
      job.mSpec,
      run == job.mOccurrences.end() ? nullptr : &run->second,
      ModelOf(job.mQueue));
  }
  return summary;
}

std::uint32_t
Cell::TakeRefused()
{
  return std::exchange(mRefused, 0);
}

// --- Advice

std::vector<AdviceRequest>
Cell::TakeAdviceRequests()
{
  constexpr std::size_t kMostWorkers = 30;
  std::vector<AdviceRequest> requests;
  for (const std::string& id : mLive) {
    CellJob& job = mJobs.find(id)->second;
    const QueueConfig* queue = QueueOf(job);
    if (queue == nullptr || !queue->mAdvice || !job.mStored) {
      continue;
    }
    for (auto& [number, run] : job.mOccurrences) {
      for (std::uint32_t s = 0; s < run.mSteps.size(); ++s) {
        StepRecord& step = run.mSteps[s];
        bool wanted = !step.mAdviceAsked && step.mTickets.empty() &&
                      step.mDone < step.mTasks.size() &&
                      StepReady(job.mSpec, run, s);
        if (!wanted) {
          continue;
        }
        AdviceRequest request{ id, number, s, {} };
        for (const auto& [worker, state] : mWorkers) {
          if (state.mListed && !state.mReport.mDraining &&
              request.mWorkers.size() < kMostWorkers) {
            request.mWorkers.push_back(worker);
          }
        }
        step.mAdviceAsked = true;
        requests.push_back(std::move(request));
      }
    }
  }
  return requests;
}

void
Cell::OnAdvice(const AdviceRequest& aRequest,
               std::map<std::string, std::string, std::less<>> aTickets,
               Duration aValid,
               TimePoint aNow)
{
  CellJob* job = FindJob(aRequest.mJob);
  if (job == nullptr) {
    return;
  }
  auto run = job->mOccurrences.find(aRequest.mOccurrence);
  if (run == job->mOccurrences.end()) {
    return;
  }
  StepRecord& step = run->second.mSteps[aRequest.mStep];
  step.mAdviceAsked = false;
  step.mTickets = std::move(aTickets);
  step.mTicketsUntil = aNow + aValid;
}

} // namespace buckthornshunt
