#include "decide/cell.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace buckthornshunt {

namespace {

/// First attempts remembered for jobs that were turned away.
constexpr std::size_t kMostTurnedAway = 20'000;
/// Ended runs before their mean is believed.
constexpr double kRunsToLearn = 10;

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
  bool same = aConfig.mVersion == mConfig.mVersion && aPool == mPool &&
              ToNumber(aConfig.mVersion) != 0;
  if (same) {
    return;
  }
  mConfig = aConfig;
  mPool = aPool;
  mQueues.clear();
  for (const QueueConfig& queue : mConfig.mQueues) {
    mQueues.emplace(queue.mName, &queue);
  }
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
Cell::QueueNamed(std::string_view aName) const
{
  auto it = mQueues.find(aName);
  return it == mQueues.end() ? nullptr : it->second;
}

const QueueConfig*
Cell::QueueOf(const CellJob& aJob) const
{
  return QueueNamed(aJob.mQueue);
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
  const QueueConfig* queue = QueueNamed(aQueue);
  double stretch = queue == nullptr ? 1.0 : queue->mTargetStretch;
  Duration latency = queue == nullptr ? Duration{} : queue->mTargetLatency;
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
    worker.mReport.mVm = address.mVm;
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
    mDemand.RecordArrival(job.mQueue, demand.mCoreSeconds, aNow);
  }
  if (plain && !ShouldAdmit(LoadNow(), demand)) {
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

PoolUsage
Cell::Use(TimePoint aNow) const
{
  PoolUsage use;
  DemandEstimate asked = mDemand.Estimate(aNow);
  use.mForecastDemandCores = asked.mForecastCores;
  use.mMeanDemandCores = asked.mMeanCores;
  use.mBusyCores = Summary().mBusyCores;
  for (const std::string& id : mLive) {
    const CellJob& job = mJobs.find(id)->second;
    use.mWaitingCores += WaitingCores(job);
    for (const StepSpec& step : job.mSpec.mSteps) {
      if (step.mMaxPerWorker > 0) {
        std::uint32_t vms =
          (step.mTaskCount + step.mMaxPerWorker - 1) / step.mMaxPerWorker;
        use.mMinVms = std::max(use.mMinVms, vms);
      }
    }
  }
  for (const auto& [id, worker] : mWorkers) {
    WorkerUsage& at = use.mWorkers[id];
    if (!worker.mListed) {
      at.mUnlisted = UnlistedWorker{ worker.mReport.mVm, worker.mBorn };
    }
    at.mRuns = static_cast<std::uint32_t>(worker.mRuns.size());
    at.mSealed = worker.mSealed && worker.mContacted;
    for (const auto& [task, run] : worker.mRuns) {
      if (run.mLongRunning) {
        at.mHasLongRunning = true;
        use.mLongRunningCores +=
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

} // namespace buckthornshunt
