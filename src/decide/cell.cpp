#include "decide/cell.h"

#include "decide/caller_access.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace buckthornshunt {

namespace {

/// Limit on the remembered first submissions of rejected jobs.
constexpr std::size_t kMaxRejectedJobs = 20'000;
/// Minimum age of a measured load before it is measured again, and additions
/// for each job and worker that is counted: a pool in overload then spends a
/// bounded part of its owner's time on admission, however many jobs are
/// submitted.
constexpr Duration kLoadRefreshInterval = std::chrono::milliseconds(10);
constexpr Duration kLoadRefreshIntervalPerItem = std::chrono::microseconds(100);
/// Interval at which virtual time advances.
constexpr Duration kFairShareInterval = std::chrono::milliseconds(50);
/// Ended runs of a queue before their mean run time is used.
constexpr double kMinRunsForMean = 10;

} // namespace

bool
CellChanges::Empty() const
{
  return mNewJobs.empty() && mProgress.empty() && mEndedJobs.empty() &&
         mExpiredJobs.empty() && !mWorkers;
}

std::size_t
CellChanges::Rows() const
{
  return mNewJobs.size() + mProgress.size() + mEndedJobs.size() +
         mExpiredJobs.size();
}

Cell::Cell(CellDurations aTimes,
           FencingToken aToken,
           std::uint32_t aTerm,
           TimePoint aTakenOver,
           std::string_view aName)
  : mTimes(aTimes)
  , mToken(aToken)
  , mNewestToken(aToken)
  , mTerm(aTerm)
  , mTakenOver(aTakenOver)
  , mQuotas(aName, aTerm)
{
}

void
Cell::SetConfig(const WorkloadConfig& aConfig,
                std::string_view aPool,
                std::size_t aCells)
{
  bool same = aConfig.mVersion == mConfig.mVersion && aPool == mPool &&
              ToNumber(aConfig.mVersion) != 0;
  if (same) {
    return;
  }
  mConfig = aConfig;
  mPool = aPool;
  mQuotas.SetConfig(aConfig, aCells);
  mFairShare.SetConfig(aConfig);
  std::erase_if(mClosedQueues, [&](const auto& aEntry) {
    return aEntry.second <= mConfig.mVersion;
  });
  mQueues.clear();
  for (std::size_t i = 0; i < mConfig.mQueues.size(); ++i) {
    mQueues.emplace(mConfig.mQueues[i].mName, i);
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
Cell::FindQueue(std::string_view aName) const
{
  auto it = mQueues.find(aName);
  return it == mQueues.end() ? nullptr : &mConfig.mQueues[it->second];
}

const QueueConfig*
Cell::QueueOf(const CellJob& aJob) const
{
  return FindQueue(aJob.mQueue);
}

RunTimeModel
Cell::ModelOf(std::string_view aQueue) const
{
  auto it = mQueueStats.find(aQueue);
  if (it == mQueueStats.end() || it->second.mRuns < kMinRunsForMean) {
    return {};
  }
  const QueueStats& stats = it->second;
  return { stats.mObservedSeconds / stats.mRuns,
           stats.mObservedSeconds / stats.mEstimatedSeconds };
}

Duration
Cell::ObjectiveOf(std::string_view aQueue, const JobSpec& aSpec) const
{
  const QueueConfig* queue = FindQueue(aQueue);
  double stretch = queue == nullptr ? 1.0 : queue->mTargetStretch;
  Duration latency = queue == nullptr ? Duration{} : queue->mTargetLatency;
  double chain =
    ToSeconds(RemainingCriticalPath(aSpec, nullptr, ModelOf(aQueue)));
  return latency + std::chrono::duration_cast<Duration>(
                     std::chrono::duration<double>(stretch * chain));
}

// --- State restored from the store

void
Cell::Restore(CellJob aJob, TimePoint aNow, WallTime aWallNow)
{
  // The first submission isn't stored; the time of acceptance replaces it.
  std::int64_t age =
    std::max<std::int64_t>(aWallNow.mMillis - aJob.mSubmitted.mMillis, 0);
  aJob.mFirstSeen = aNow - std::chrono::milliseconds(age);
  bool live = aJob.IsLive();
  if (live) {
    mLiveJobs.insert(aJob.mId);
  } else {
    aJob.mCommittedPhase = aJob.NextPhase();
    aJob.mEndedAt = aNow;
  }
  CellJob& job = AddJob(std::move(aJob));
  // Earlier versions could leave the first row of an ended job. It is removed
  // before the progress expires.
  if (!live) {
    MarkDirty(job);
  }
}

void
Cell::RestoreEnded(std::string_view aId,
                   const StoredProgress& aProgress,
                   TimePoint aNow)
{
  CellJob job;
  job.mId = aId;
  job.mQueue = aProgress.mQueue;
  job.mOrganisation = aProgress.mOrganisation;
  job.mInheritedHold = aProgress.mHeld;
  job.mStored = true;
  job.mInherited = true;
  job.mCancelled = aProgress.mPhase == JobPhase::Cancelled;
  job.mFailed = aProgress.mPhase == JobPhase::Failed;
  job.mDoneOccurrences = aProgress.mDoneOccurrences;
  job.mCommittedPhase = aProgress.mPhase;
  job.mEndedAt = aNow;
  AddJob(std::move(job));
}

void
Cell::RestoreWorkers(std::span<const WorkerAddress> aWorkers, TimePoint aNow)
{
  for (const WorkerAddress& address : aWorkers) {
    CellWorker& worker = mWorkers[address.mId];
    worker.mReport.mId = address.mId;
    worker.mReport.mEndpoint = address.mEndpoint;
    worker.mReport.mVm = address.mVm;
    worker.mIncarnation = address.mIncarnation;
    worker.mAcceptedIncarnation = address.mIncarnation;
    worker.mPersisted = true;
    worker.mInheritedRunsUnknown = true;
    // Starts of the earlier owner may have got no answer.
    worker.mLateStartsUntil = aNow + kMaxCallDelay;
    // It may have restarted, and run things under the longest lease.
    ExtendLease(worker, aNow);
    ExtendLaterLease(worker, aNow);
  }
}

// --- Callers

SubmitResult
Cell::Submit(Submission aSubmission, TimePoint aNow)
{
  if (FindJob(aSubmission.mId) != nullptr) {
    return SubmitResult::Accepted;
  }
  TimePoint firstSeen = aNow;
  if (auto it = mRejectedFirstSeen.find(aSubmission.mId);
      it != mRejectedFirstSeen.end()) {
    firstSeen = it->second;
  }
  CellJob job;
  job.mId = aSubmission.mId;
  job.mQueue = aSubmission.mQueue;
  job.mOrganisation = std::move(aSubmission.mOrganisation);
  job.mSpec = std::move(aSubmission.mSpec);
  job.mAcceptedTerm = mTerm;
  job.mSubmitted = aSubmission.mSubmittedAt;
  job.mFirstSeen = firstSeen;
  bool plain = !job.IsLongRunning() && job.mSpec.mOccurrences == 0;
  JobDemand demand = DemandOf(job.mQueue, job.mSpec, firstSeen, aNow);
  if (plain && firstSeen == aNow) {
    mDemand.RecordArrival(job.mQueue, demand.mCoreSeconds, aNow);
  }
  if (plain && !ShouldAdmitJob(job.mOrganisation, demand, aNow)) {
    if (mRejectedFirstSeen.size() < kMaxRejectedJobs) {
      mRejectedFirstSeen.emplace(job.mId, firstSeen);
    }
    return SubmitResult::Rejected;
  }
  mRejectedFirstSeen.erase(job.mId);
  job.mFairTag = mFairShare.Add(job.mOrganisation, demand.mCoreSeconds);
  if (plain) {
    mLoad.mBacklogCoreSeconds += demand.mCoreSeconds;
    mLoad.mFreeCores -= demand.mInitialCores;
  }
  mLiveJobs.insert(job.mId);
  MarkDirty(AddJob(std::move(job)));
  return SubmitResult::Accepted;
}

// Free room serves whoever asks. Once the backlog is too long, jobs are still
// accepted of organisations whose share of the pool is in time for them: their
// jobs go before those of organisations that are ahead of their share.
bool
Cell::ShouldAdmitJob(std::string_view aOrganisation,
                     const JobDemand& aDemand,
                     TimePoint aNow)
{
  const PoolLoad& load = Load(aNow);
  if (ShouldAdmit(load, aDemand)) {
    return true;
  }
  if (!mFairShare.IsActive() || aOrganisation.empty()) {
    return false;
  }
  AdvanceFairShare(aNow);
  Duration inShare =
    mFairShare.TimeToFinish(aOrganisation, aDemand.mCoreSeconds, mSharedCores);
  return ShouldAdmitInShare(inShare, aDemand);
}

// The jobs are counted at intervals, which keeps the cost of a flood down.
void
Cell::AdvanceFairShare(TimePoint aNow)
{
  if (!mFairShare.IsActive() || aNow < mFairShareDue) {
    return;
  }
  mFairShareDue = aNow + kFairShareInterval;
  std::map<std::string_view, std::size_t> jobs;
  for (const std::string& id : mLiveJobs) {
    const CellJob& job = mJobs.find(id)->second;
    if (!job.mOrganisation.empty() && !job.IsLongRunning()) {
      ++jobs[job.mOrganisation];
    }
  }
  PoolSummary summary = Summary();
  mSharedCores = summary.mCapacityCores;
  mFairShare.Advance(jobs, summary.mBusyCores, aNow);
}

CellJob&
Cell::AddJob(CellJob aJob)
{
  ++mJobsByQueue[aJob.mQueue];
  return mJobs.insert_or_assign(aJob.mId, std::move(aJob)).first->second;
}

// The jobs of a queue that has moved stay in the cell that accepted them. A
// submission that a node sends here by an earlier configuration must not be
// accepted once another node has found that the job isn't here.
bool
Cell::AcceptsQueue(std::string_view aQueue) const
{
  auto closed = mClosedQueues.find(aQueue);
  if (closed != mClosedQueues.end() && closed->second > mConfig.mVersion) {
    return false;
  }
  const QueueConfig* queue = FindQueue(aQueue);
  return queue == nullptr || queue->mPool == mPool;
}

void
Cell::CloseQueue(std::string_view aQueue, ConfigVersion aVersion)
{
  if (aVersion > mConfig.mVersion) {
    ConfigVersion& closed = mClosedQueues[std::string(aQueue)];
    closed = std::max(closed, aVersion);
  }
}

std::vector<std::string>
Cell::QueuesWithJobs() const
{
  std::vector<std::string> queues;
  queues.reserve(mJobsByQueue.size());
  for (const auto& [name, jobs] : mJobsByQueue) {
    queues.push_back(name);
  }
  return queues;
}

Duration
Cell::RetryAfterFor(const Submission& aSubmission,
                    TimePoint aNow,
                    double aJitter)
{
  auto it = mRejectedFirstSeen.find(aSubmission.mId);
  TimePoint firstSeen = it == mRejectedFirstSeen.end() ? aNow : it->second;
  return RetryAfter(
    Load(aNow),
    DemandOf(aSubmission.mQueue, aSubmission.mSpec, firstSeen, aNow),
    aJitter);
}

PoolUsage
Cell::Use(TimePoint aNow) const
{
  PoolUsage use;
  DemandEstimate demand = mDemand.Estimate(aNow);
  use.mForecastDemandCores = demand.mForecastCores;
  use.mMeanDemandCores = demand.mMeanCores;
  use.mBusyCores = Summary().mBusyCores;
  for (const std::string& id : mLiveJobs) {
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
  LongRunningRoom room = FindLongRunningRoom(aNow);
  use.mMissingVms = room.mMissingWorkers;
  for (const auto& [id, worker] : mWorkers) {
    WorkerUsage& workerUse = use.mWorkers[id];
    // A list of VMs must be younger than what it is compared with.
    if (!worker.mListed && aNow >= worker.mRestartedAt + kMaxVmListAge) {
      workerUse.mUnlisted =
        UnlistedWorker{ worker.mReport.mVm, worker.mIncarnation };
    }
    workerUse.mRuns = static_cast<std::uint32_t>(worker.mRuns.size());
    if (auto it = room.mExpectedRuns.find(id); it != room.mExpectedRuns.end()) {
      workerUse.mRuns += it->second;
    }
    workerUse.mSealed = worker.mDraining && worker.mTokenAccepted;
    for (const auto& [task, run] : worker.mRuns) {
      if (run.mLongRunning) {
        workerUse.mHasLongRunning = true;
        use.mLongRunningCores +=
          static_cast<double>(run.mReserved.mCpuMillis) / 1000;
      }
    }
  }
  return use;
}

void
Cell::SetIncomingCores(double aCores)
{
  mIncomingCores = aCores;
  mLoad.mIncomingCores = aCores;
}

const PoolLoad&
Cell::Load(TimePoint aNow)
{
  auto items = static_cast<int>(mLiveJobs.size() + mWorkers.size());
  Duration interval =
    kLoadRefreshInterval + kLoadRefreshIntervalPerItem * items;
  if (!mLoadMeasuredAt || aNow >= *mLoadMeasuredAt + interval) {
    mLoad = MeasureLoad(aNow);
    mLoadMeasuredAt = aNow;
  }
  return mLoad;
}

// No listed worker has the label or the size that some step needs, so that the
// job can't end as long as this lasts.
bool
Cell::HasImpossibleStep(const JobSpec& aSpec) const
{
  return std::any_of(
    aSpec.mSteps.begin(), aSpec.mSteps.end(), [&](const StepSpec& aStep) {
      Resources need = ReservedResources(aStep);
      return std::none_of(
        mWorkers.begin(), mWorkers.end(), [&](const auto& aEntry) {
          const CellWorker& worker = aEntry.second;
          const std::vector<std::string>& labels = worker.mReport.mLabels;
          bool labelled =
            aStep.mRequiredLabel.empty() ||
            std::find(labels.begin(), labels.end(), aStep.mRequiredLabel) !=
              labels.end();
          return worker.mListed && labelled &&
                 Fits(worker.mReport.mCapacity, Resources{}, need);
        });
    });
}

// After a takeover the jobs of the earlier owner may have to wait for leases of
// workers that can't be reached, while the others are idle. Neither these until
// they can start nor jobs that can't end keep new jobs from starting.
PoolLoad
Cell::MeasureLoad(TimePoint aNow) const
{
  PoolSummary summary = Summary();
  PoolLoad load;
  load.mCores = summary.mCapacityCores;
  load.mIncomingCores = mIncomingCores;
  load.mFreeCores = summary.mCapacityCores - summary.mBusyCores;
  bool inheritedRunsKnown = InheritedRunsKnown(aNow);
  for (const std::string& id : mLiveJobs) {
    const CellJob& job = mJobs.find(id)->second;
    bool mayStart = inheritedRunsKnown || !job.mInherited;
    if (job.IsLongRunning() || !mayStart ||
        (summary.mCapacityCores > 0 && HasImpossibleStep(job.mSpec))) {
      continue;
    }
    if (!job.mStarted) {
      load.mFreeCores -= InitialCores(job.mSpec);
    }
    if (job.mSpec.mOccurrences == 0) {
      auto occurrence = job.mOccurrences.find(0);
      load.mBacklogCoreSeconds += RemainingCoreSeconds(
        job.mSpec,
        occurrence == job.mOccurrences.end() ? nullptr : &occurrence->second,
        ModelOf(job.mQueue));
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
  demand.mInitialCores = InitialCores(aSpec);
  demand.mCriticalPath = RemainingCriticalPath(aSpec, nullptr, model);
  demand.mTimeLeft = aFirstSeen + ObjectiveOf(aQueue, aSpec) - aNow;
  return demand;
}

void
Cell::Abandon(std::string_view aId, TimePoint aNow)
{
  if (CellJob* job = FindJob(aId)) {
    FailJob(*job, aNow);
  }
}

bool
Cell::Cancel(std::string_view aId, TimePoint aNow)
{
  CellJob* job = FindJob(aId);
  if (job == nullptr) {
    return false;
  }
  if (job->IsLive()) {
    job->mCancelled = true;
    job->mEndedAt = aNow;
    mLiveJobs.erase(job->mId);
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
  if (job.mCommittedPhase != JobPhase::Pending) {
    return job.mCommittedPhase;
  }
  // An end that isn't committed yet may be lost.
  return job.mStarted ? JobPhase::Running : JobPhase::Pending;
}

bool
Cell::MayAccess(std::string_view aId, std::string_view aOrganisation) const
{
  auto it = mJobs.find(aId);
  return it == mJobs.end() ||
         MayAccessJob(aOrganisation, it->second.mOrganisation);
}

bool
Cell::IsStored(std::string_view aId) const
{
  auto it = mJobs.find(aId);
  return it != mJobs.end() && it->second.mStored && !it->second.mDirty &&
         !it->second.mCommitting;
}

bool
Cell::IsCommitting(std::string_view aId) const
{
  auto it = mJobs.find(aId);
  return it != mJobs.end() && it->second.mCommitting;
}

std::uint64_t
Cell::Waiting(std::string_view aQueue) const
{
  return static_cast<std::uint64_t>(std::count_if(
    mLiveJobs.begin(), mLiveJobs.end(), [&](const std::string& aId) {
      const CellJob& job = mJobs.find(aId)->second;
      return job.mQueue == aQueue && job.mStored && !job.mBegun;
    }));
}

} // namespace buckthornshunt
