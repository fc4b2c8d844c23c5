#include "decide/cell.h"

#include <algorithm>

namespace buckthornshunt {

namespace {

/// A job that fails on several workers says nothing about them; a worker that
/// fails this many jobs in a row gets no new runs for kAvoidDuration.
constexpr int kFailuresUntilAvoided = 3;
constexpr Duration kAvoidDuration = std::chrono::seconds(3);
/// Backoff before a failed task is retried, multiplied by its failures.
constexpr Duration kRetryBackoff = std::chrono::milliseconds(50);
/// Delay before a long-running task is restarted.
constexpr Duration kRestartDelay = std::chrono::milliseconds(100);
/// Weight of a new run in the decaying sums.
constexpr double kNewRunWeight = 0.005;
constexpr double kMinEstimateSeconds = 0.05;

} // namespace

// The sums decay, so that they follow a changed workload within a few hundred
// runs.
void
Cell::RecordRunTime(const CellJob& aJob, const TaskId& aTask, Duration aRunTime)
{
  QueueStats& stats = mQueueStats[aJob.mQueue];
  double estimate = ToSeconds(aJob.mSpec.mSteps[aTask.mStep].mEstimatedRunTime);
  stats.mObservedSeconds =
    stats.mObservedSeconds * (1 - kNewRunWeight) + ToSeconds(aRunTime);
  stats.mEstimatedSeconds = stats.mEstimatedSeconds * (1 - kNewRunWeight) +
                            std::max(estimate, kMinEstimateSeconds);
  stats.mRuns = stats.mRuns * (1 - kNewRunWeight) + 1;
}

void
Cell::OnTaskDone(CellJob& aJob, const TaskId& aTask, TimePoint aNow)
{
  auto it = aJob.mOccurrences.find(aTask.mOccurrence);
  if (it == aJob.mOccurrences.end()) {
    return;
  }
  OccurrenceRecord& occurrence = it->second;
  StepRecord& step = occurrence.mSteps[aTask.mStep];
  bool gang = aJob.mSpec.mSteps[aTask.mStep].mGang;
  std::uint32_t before = step.mDoneTasks;
  for (std::uint32_t i = 0; i < step.mTasks.size(); ++i) {
    TaskRecord& task = step.mTasks[i];
    bool counts = i == aTask.mIndex || gang;
    if (!counts || task.mStage == TaskStage::Done) {
      continue;
    }
    // The end of one member completes the gang; the others end by themselves.
    if (task.mStage == TaskStage::Active) {
      --step.mActiveTasks;
    }
    task.mStage = TaskStage::Done;
    task.mWorker.clear();
    ++step.mDoneTasks;
  }
  // An end that is listed several times counts once.
  if (step.mDoneTasks == before || step.mDoneTasks < step.mTasks.size()) {
    return;
  }
  ++occurrence.mDoneSteps;
  if (occurrence.mDoneSteps == occurrence.mSteps.size()) {
    aJob.mDoneOccurrences.push_back(aTask.mOccurrence);
    aJob.mOccurrences.erase(it);
  }
  if (!aJob.IsLive()) {
    aJob.mEndedAt = aNow;
    mLiveJobs.erase(aJob.mId);
  }
}

void
Cell::OnTaskFailed(CellWorker& aWorker,
                   CellJob& aJob,
                   const EndedRun& aEnd,
                   TimePoint aNow)
{
  auto it = aJob.mOccurrences.find(aEnd.mTask.mOccurrence);
  if (it == aJob.mOccurrences.end()) {
    return;
  }
  const StepSpec& spec = aJob.mSpec.mSteps[aEnd.mTask.mStep];
  StepRecord& step = it->second.mSteps[aEnd.mTask.mStep];
  TaskRecord& task = step.mTasks[aEnd.mTask.mIndex];
  task.mLastFailedWorker = aWorker.mReport.mId;
  if (aWorker.mLastFailedJob != aJob.mId) {
    aWorker.mLastFailedJob = aJob.mId;
    if (++aWorker.mConsecutiveFailures >= kFailuresUntilAvoided) {
      aWorker.mAvoidUntil = aNow + kAvoidDuration;
    }
  }
  if (spec.mLongRunning) {
    task.mNotBefore = aNow + kRestartDelay;
    return;
  }
  // A committed failure is listed until it is acknowledged, also to the next
  // owner; and an abandoned run may be reported as failed after a later run.
  std::vector<std::uint64_t>& runs = task.mFailedRuns;
  if (std::find(runs.begin(), runs.end(), aEnd.mRun) != runs.end()) {
    return;
  }
  runs.push_back(aEnd.mRun);
  std::size_t failures = CountFailures(spec, step, aEnd.mTask.mIndex);
  task.mNotBefore = aNow + kRetryBackoff * static_cast<int>(failures);
  const QueueConfig* queue = QueueOf(aJob);
  std::uint32_t maxAttempts = queue == nullptr ? 1 : queue->mMaxAttempts;
  if (failures >= maxAttempts) {
    FailJob(aJob, aNow);
  }
}

void
Cell::FailJob(CellJob& aJob, TimePoint aNow)
{
  if (!aJob.IsLive()) {
    return;
  }
  aJob.mFailed = true;
  aJob.mEndedAt = aNow;
  mLiveJobs.erase(aJob.mId);
  MarkDirty(aJob);
  StopRunsOf(aJob, aNow);
}

// The next process knows nothing of the end, and would carry out a late attempt
// of the start. What ends without a result is started again in any case.
void
Cell::RecordUnsettledEnd(CellWorker& aWorker,
                         const ActiveRun& aRun,
                         const EndedRun& aEnd,
                         TimePoint aNow)
{
  bool counts = !aRun.mLongRunning &&
                (aEnd.mEnd == RunEnd::Done || aEnd.mEnd == RunEnd::Failed);
  UnsettledEnd end;
  end.mTask = aEnd.mTask;
  end.mRun = aEnd.mRun;
  end.mStartInFlight = aRun.mStartInFlight;
  end.mUntil = aRun.mStartInFlight ? aNow + kMaxCallDelay
                                   : aRun.mLateStartUntil.value_or(aNow);
  if (const TaskRecord* task = FindTask(aEnd.mTask)) {
    end.mEarlierStartsUntil = task->mEarlierStartsUntil;
  }
  const CellJob* job = FindJob(aEnd.mTask.mJob);
  if (job == nullptr || job->mInherited) {
    // An attempt of the earlier owner may have got no answer.
    end.mEarlierStartsUntil =
      std::max(end.mEarlierStartsUntil, mTakenOver + kMaxCallDelay);
  }
  if (counts && aNow < std::max(end.mUntil, end.mEarlierStartsUntil)) {
    aWorker.mUnsettledEnds.emplace(aEnd.mSequence, end);
  }
}

void
Cell::OnRunEnded(CellWorker& aWorker, const EndedRun& aEnd, TimePoint aNow)
{
  auto active = aWorker.mRuns.find(aEnd.mTask);
  bool current =
    active != aWorker.mRuns.end() && active->second.mRun == aEnd.mRun;
  Duration runTime{};
  if (current) {
    runTime = aNow - active->second.mStartedAt;
    RecordUnsettledEnd(aWorker, active->second, aEnd, aNow);
    RemoveRun(aWorker, aEnd.mTask);
  }
  CellJob* job = FindJob(aEnd.mTask.mJob);
  bool known =
    job != nullptr && aEnd.mTask.mStep < job->mSpec.mSteps.size() &&
    aEnd.mTask.mIndex < job->mSpec.mSteps[aEnd.mTask.mStep].mTaskCount;
  if (!current && aNow < mTakenOver + kMaxCallDelay) {
    // An attempt of the earlier owner may have got no answer.
    ActiveRun inherited;
    inherited.mLongRunning =
      known && job->mSpec.mSteps[aEnd.mTask.mStep].mLongRunning;
    inherited.mLateStartUntil = mTakenOver + kMaxCallDelay;
    RecordUnsettledEnd(aWorker, inherited, aEnd, aNow);
  }
  if (!known || !job->IsLive()) {
    return;
  }
  job->mStarted = true;
  job->mBegun = true;
  OccurrenceRecord* occurrence = OpenOccurrence(*job, aEnd.mTask.mOccurrence);
  if (occurrence == nullptr) {
    return;
  }
  TaskRecord& task =
    occurrence->mSteps[aEnd.mTask.mStep].mTasks[aEnd.mTask.mIndex];
  bool longRunning = job->mSpec.mSteps[aEnd.mTask.mStep].mLongRunning;
  if (task.mStage != TaskStage::Done && !aEnd.mCheckpoint.empty()) {
    task.mCheckpoint = aEnd.mCheckpoint;
  }
  if (aEnd.mEnd == RunEnd::Done && !longRunning) {
    aWorker.mConsecutiveFailures = 0;
    // Another active run of the task is redundant.
    if (task.mStage == TaskStage::Active) {
      CellWorker* other = FindWorker(task.mWorker);
      if (other != nullptr) {
        auto run = other->mRuns.find(aEnd.mTask);
        if (run != other->mRuns.end()) {
          RequestStop(run->second, aNow);
        }
      }
    }
    if (current) {
      RecordRunTime(*job, aEnd.mTask, runTime);
    }
    OnTaskDone(*job, aEnd.mTask, aNow);
  } else if (aEnd.mEnd == RunEnd::Failed) {
    OnTaskFailed(aWorker, *job, aEnd, aNow);
  } else if (longRunning) {
    task.mNotBefore = aNow + kRestartDelay;
  }
  if (!longRunning) {
    MarkDirty(*job);
  }
}

void
Cell::UpdatePresentRun(CellWorker& aWorker,
                       const ReportedRun& aPresent,
                       TimePoint aSent,
                       TimePoint aNow)
{
  auto it = aWorker.mRuns.find(aPresent.mTask);
  if (it != aWorker.mRuns.end() && it->second.mRun == aPresent.mRun) {
    ActiveRun& run = it->second;
    run.mReported = true;
    if (run.mLateStartUntil && aSent > *run.mLateStartUntil) {
      run.mLateStartUntil.reset();
    }
    if (run.mStage == ActiveRun::Stage::Starting ||
        run.mStage == ActiveRun::Stage::Unconfirmed) {
      run.mStage = ActiveRun::Stage::Running;
      run.mStageSince = aNow;
    }
    run.mRatePercent = aPresent.mSpeedPercent;
    run.mGauge = aPresent.mGauge;
    // The run is still listed after its stop was confirmed: stop it again.
    if (run.mStopAcknowledgedAt &&
        *run.mStopAcknowledgedAt + std::chrono::seconds(1) < aSent) {
      run.mStopAcknowledgedAt.reset();
      run.mStopSent = false;
    }
  } else if (it == aWorker.mRuns.end()) {
    ActiveRun run;
    run.mRun = aPresent.mRun;
    run.mStage = ActiveRun::Stage::Stopping;
    run.mStageSince = aNow;
    run.mReported = true;
    run.mRateUncertain = true;
    if (aNow < mTakenOver + kMaxCallDelay) {
      // An attempt of the earlier owner may have got no answer.
      run.mLateStartUntil = mTakenOver + kMaxCallDelay;
    }
    run.mStartedAt = aNow;
    CellJob* job = FindJob(aPresent.mTask.mJob);
    bool known = job != nullptr &&
                 aPresent.mTask.mStep < job->mSpec.mSteps.size() &&
                 aPresent.mTask.mIndex <
                   job->mSpec.mSteps[aPresent.mTask.mStep].mTaskCount;
    if (known) {
      const StepSpec& spec = job->mSpec.mSteps[aPresent.mTask.mStep];
      run.mReserved = ReservedResources(spec);
      run.mOrganisation = job->mOrganisation;
      run.mHeld = spec.mTaskResources;
      run.mImage = ImageToWatch(spec);
      run.mBestEffort = spec.mBestEffort;
      run.mLongRunning = spec.mLongRunning;
      run.mTailLatencyTarget = spec.mTailLatencyTarget;
      run.mExpectedRunTime =
        ExpectedRunTime(ModelOf(job->mQueue), spec.mEstimatedRunTime);
      OccurrenceRecord* occurrence =
        job->IsLive() ? OpenOccurrence(*job, aPresent.mTask.mOccurrence)
                      : nullptr;
      if (occurrence != nullptr) {
        StepRecord& step = occurrence->mSteps[aPresent.mTask.mStep];
        TaskRecord& task = step.mTasks[aPresent.mTask.mIndex];
        job->mStarted = true;
        job->mBegun = true;
        // Adopts an earlier owner's run if the task has no other run.
        if (task.mStage == TaskStage::Idle) {
          task.mStage = TaskStage::Active;
          task.mWorker = aWorker.mReport.mId;
          ++step.mActiveTasks;
          run.mStage = ActiveRun::Stage::Running;
          run.mEarlierCrashes = task.mCrashes;
        }
      }
    }
    AddRun(aWorker, aPresent.mTask, run);
  } else {
    // A delayed order started another run of the same task. The record switches
    // to the listed run, which is stopped.
    if (it->second.mStage != ActiveRun::Stage::Stopping) {
      RequestStop(it->second, aNow);
    }
    it->second.mRun = std::max(it->second.mRun, aPresent.mRun);
  }
  CellJob* job = FindJob(aPresent.mTask.mJob);
  if (job != nullptr && !aPresent.mCheckpoint.empty()) {
    auto occurrence = job->mOccurrences.find(aPresent.mTask.mOccurrence);
    if (occurrence != job->mOccurrences.end() &&
        aPresent.mTask.mStep < occurrence->second.mSteps.size() &&
        aPresent.mTask.mIndex <
          occurrence->second.mSteps[aPresent.mTask.mStep].mTasks.size()) {
      occurrence->second.mSteps[aPresent.mTask.mStep]
        .mTasks[aPresent.mTask.mIndex]
        .mCheckpoint = aPresent.mCheckpoint;
    }
  }
}

// Only a listing requested after the answer to a start or stop is conclusive. A
// run that it doesn't show is stopped first, so that a delayed order can't
// start it, and removed only when the stop is confirmed.
void
Cell::ResolveAbsentRuns(CellWorker& aWorker,
                        const std::set<TaskId>& aPresent,
                        TimePoint aSent,
                        TimePoint aNow)
{
  std::vector<TaskId> confirmed;
  for (auto& [task, run] : aWorker.mRuns) {
    if (aPresent.contains(task) || run.mStageSince >= aSent) {
      continue;
    }
    if (run.mStage == ActiveRun::Stage::Stopping) {
      bool stopped =
        run.mStopAcknowledgedAt && *run.mStopAcknowledgedAt < aSent;
      // A worker may refuse every stop.
      TimePoint lastStart = run.mStageSince + kMaxCallDelay;
      bool startIsOver =
        aSent > std::max(lastStart, run.mLateStartUntil.value_or(lastStart));
      if (stopped || startIsOver) {
        confirmed.push_back(task);
      }
    } else if (run.mStage != ActiveRun::Stage::Starting) {
      RequestStop(run, aNow);
      StopGangOf(task, run.mRun, aNow);
    }
  }
  for (const TaskId& task : confirmed) {
    RemoveRun(aWorker, task);
  }
}

// A worker numbers its ends without gaps and lists them until they are
// acknowledged.
void
Cell::RecordForgottenEnds(const CellWorker& aWorker,
                          const WorkerStatus& aListing)
{
  if (!aWorker.mEndsFollowed || aListing.mEndedRuns.empty()) {
    return;
  }
  std::uint64_t first = aListing.mEndedRuns.front().mSequence;
  std::uint64_t readable = aListing.mFirstUnreadableEnd.value_or(first);
  std::uint64_t next = aWorker.mLastSeenEnd + 1;
  if (first > next && readable >= first) {
    mWorkerNotices.emplace_back(EndsForgotten{
      aWorker.mReport.mId, aWorker.mIncarnation, next, first - 1 });
  }
}

// Ends are acknowledged up to mLastSeenEnd, and the worker forgets them then,
// so it stays before an end that can't be read.
void
Cell::ProcessEndedRuns(CellWorker& aWorker,
                       const WorkerStatus& aListing,
                       TimePoint aNow)
{
  RecordForgottenEnds(aWorker, aListing);
  const std::optional<std::uint64_t>& gap = aListing.mFirstUnreadableEnd;
  for (const EndedRun& end : aListing.mEndedRuns) {
    if (!aWorker.HasSeenEnd(end.mSequence)) {
      OnRunEnded(aWorker, end, aNow);
    }
    if (gap && end.mSequence >= *gap) {
      aWorker.mEndsSeenAhead.insert(end.mSequence);
    } else {
      aWorker.mLastSeenEnd = std::max(aWorker.mLastSeenEnd, end.mSequence);
    }
  }
  if (!gap) {
    aWorker.mEndsSeenAhead.clear();
  }
  aWorker.mEndsFollowed = true;
  std::uint64_t settled = aWorker.LastSettledEnd(aNow);
  aWorker.mAcknowledgementDue = std::any_of(
    aListing.mEndedRuns.begin(),
    aListing.mEndedRuns.end(),
    [&](const EndedRun& aEnd) { return aEnd.mSequence <= settled; });
  std::deque<ProcessedEnds>& uncommitted = aWorker.mUncommittedEnds;
  std::uint64_t last = uncommitted.empty() ? aWorker.mLastCommittedEnd
                                           : uncommitted.back().mSequence;
  if (aWorker.mLastSeenEnd > last) {
    uncommitted.push_back({ mLastChange, aWorker.mLastSeenEnd });
  }
}

void
Cell::OnListing(std::string_view aWorker,
                const WorkerStatus& aListing,
                TimePoint aSent,
                TimePoint aNow)
{
  CellWorker* worker = FindWorker(aWorker);
  if (worker == nullptr) {
    return;
  }
  bool newIncarnation =
    aListing.mIncarnation > worker->mIncarnation && worker->mIncarnation != 0;
  bool fromEarlierIncarnation =
    aListing.mIncarnation != 0 && aListing.mIncarnation < worker->mIncarnation;
  if (fromEarlierIncarnation) {
    return;
  }
  if (newIncarnation) {
    bool reported = worker->mReport.mIncarnation >= aListing.mIncarnation;
    if (!reported) {
      RecordRestart(*worker, aListing.mIncarnation, true, aNow);
      worker->mDrainedBeforeRestart = worker->mReport.mDraining;
    }
    // The token was raised once the directory had reported the restart.
    bool raised = reported && !worker->mNeedsNewToken;
    BeginIncarnation(*worker, aNow);
    if (!raised) {
      RequireNewToken(*worker, aNow);
    }
    // It has carried out calls to the earlier one, and does until it has
    // accepted the token.
    worker->mLeaseExpiry =
      std::max(worker->mLeaseExpiry, worker->mLaterLeaseExpiry);
  }
  worker->mIncarnation = std::max(worker->mIncarnation, aListing.mIncarnation);
  worker->mWorkerClockMs = aListing.mClockMs;
  worker->mClockReceivedAt = aNow;
  worker->mLastAnswerAt = aNow;
  worker->mMissedAnswers = 0;
  worker->mNeedsProbe = false;
  bool firstContact = !worker->mTokenAccepted;
  worker->mTokenAccepted =
    !worker->mNeedsNewToken && aSent >= worker->mTokenRaisedAt;
  if (firstContact && worker->mTokenAccepted) {
    // Calls under an earlier token have had an effect until now at most.
    worker->mLeaseExpiry = aNow;
    ExtendLease(*worker, aNow);
  }
  if (worker->mTokenAccepted &&
      worker->mAcceptedIncarnation != worker->mIncarnation) {
    worker->mAcceptedIncarnation = worker->mIncarnation;
    mWorkersDirty = mWorkersDirty || worker->mPersisted;
  }
  worker->mHasMoreEnds = aListing.mHasMoreEnds;
  if (worker->mTokenAccepted && !worker->mInContactSince) {
    worker->mInContactSince = aNow;
  }
  // A row that can't be read, or that doesn't fit the listing, may stand for
  // any task: none of the runs that aren't listed is taken for ended, so that
  // no task starts a second time.
  bool complete = aListing.IsComplete() && worker->mTokenAccepted;
  if (complete) {
    ResolveInheritedRuns(*worker, InheritedProof::Listing);
  }
  if (!worker->mPersisted) {
    mWorkersDirty = true;
  }
  ProcessEndedRuns(*worker, aListing, aNow);
  std::set<TaskId> present;
  for (const ReportedRun& run : aListing.mActiveRuns) {
    present.insert(run.mTask);
    UpdatePresentRun(*worker, run, aSent, aNow);
  }
  if (complete && worker->mRestartUnresolved) {
    RemoveLostRuns(*worker, present, aSent, aNow);
  }
  if (complete) {
    ResolveAbsentRuns(*worker, present, aSent, aNow);
  }
}

void
Cell::OnNoAnswer(std::string_view aWorker)
{
  if (CellWorker* worker = FindWorker(aWorker)) {
    ++worker->mMissedAnswers;
    worker->mInContactSince.reset();
  }
}

void
Cell::OnRenewalAttemptLost(std::string_view aWorker)
{
  if (CellWorker* worker = FindWorker(aWorker)) {
    worker->mInContactSince.reset();
  }
}

// The next process under the id may be up before anything else tells of it, and
// would carry out late starts until it has accepted a higher token. A process
// that goes on accepts that token as well.
void
Cell::OnConnectionBroken(std::string_view aWorker, TimePoint aNow)
{
  CellWorker* worker = FindWorker(aWorker);
  if (worker == nullptr) {
    return;
  }
  worker->mInContactSince.reset();
  if (worker->mTokenAccepted && worker->MayStartLate(aNow)) {
    RequireNewToken(*worker, aNow);
  }
}

// Another worker answers at the address, so the earlier one has ended.
void
Cell::OnOtherWorker(std::string_view aWorker, TimePoint aNow)
{
  if (CellWorker* worker = FindWorker(aWorker)) {
    EndIncarnation(*worker, aNow);
  }
}

// All runs of the incarnation are gone, and so are its delayed orders.
void
Cell::EndIncarnation(CellWorker& aWorker, TimePoint aNow)
{
  aWorker.MarkLost(aNow);
  RecordCrash(aWorker, aWorker.RunningTasks(), aNow);
  aWorker.mEnded = true;
  aWorker.mEndedAt = aNow;
  aWorker.mListed = false;
  mWorkersDirty = mWorkersDirty || aWorker.mPersisted;
  aWorker.mPersisted = false;
  ResolveInheritedRuns(aWorker, InheritedProof::WorkerEnded);
  aWorker.mLeaseExpiry = aNow;
  RecordRunLoss(aWorker, RunLossCause::WorkerEnded, aWorker.Tasks(), aNow);
  while (!aWorker.mRuns.empty()) {
    RemoveLostRun(aWorker, aWorker.mRuns.begin()->first, aNow);
  }
}

// The VM's next worker may have the same id, so only the reported incarnation
// is ended.
bool
Cell::OnWorkerEnded(std::string_view aWorker,
                    std::int64_t aIncarnation,
                    TimePoint aNow)
{
  CellWorker* worker = FindWorker(aWorker);
  // An unlisted worker of an earlier owner has no known incarnation; the
  // reported one is its last. A worker that answers is alive: the platform also
  // confirms an order that was executed before this incarnation began. It is
  // probed once more, since an idle worker may not have been asked for long.
  bool answers =
    worker != nullptr && worker->mTokenAccepted && worker->mMissedAnswers == 0;
  if (answers && worker->mIncarnation == aIncarnation) {
    worker->mNeedsProbe = true;
  }
  // Of a later incarnation, which the directory has reported or which has
  // answered, its listing tells.
  std::int64_t latest = worker == nullptr ? 0 : worker->LatestIncarnation();
  // The earlier owner may have started runs on the next incarnation meanwhile.
  bool inheritedSince = worker != nullptr && worker->mInheritedRunsUnknown &&
                        aNow < mTakenOver + kMaxVmListAge;
  bool matches = worker != nullptr && !answers && !worker->mEnded &&
                 !inheritedSince && (latest == aIncarnation || latest == 0);
  if (!matches) {
    return false;
  }
  // The worker may have restarted since, and carried out orders that the cell
  // sent to the incarnation that has ended. It gets no new ones until a listing
  // tells, or until the list of VMs is younger than these runs.
  std::vector<TaskId> lost;
  for (const auto& [task, run] : worker->mRuns) {
    if (!CellWorker::MayOutliveIncarnation(run, aNow)) {
      lost.push_back(task);
    }
  }
  if (lost.size() == worker->mRuns.size()) {
    EndIncarnation(*worker, aNow);
    return true;
  }
  std::erase_if(lost, [&](const TaskId& aTask) {
    return worker->mRuns.find(aTask)->second.mStage !=
           ActiveRun::Stage::Running;
  });
  RecordCrash(*worker, lost, aNow);
  RecordRunLoss(*worker, RunLossCause::WorkerEnded, lost, aNow);
  for (const TaskId& task : lost) {
    RemoveRun(*worker, task);
  }
  worker->mTokenAccepted = false;
  ExtendLease(*worker, aNow);
  return false;
}

// Unlike the list of VMs, the confirmation can't be out of date, so that the
// worker needs no probe.
bool
Cell::OnWorkerMoved(std::string_view aWorker,
                    std::int64_t aIncarnation,
                    TimePoint aNow)
{
  CellWorker* worker = FindWorker(aWorker);
  bool matches = worker != nullptr && !worker->mEnded &&
                 worker->mIncarnation == aIncarnation &&
                 worker->LatestIncarnation() == aIncarnation;
  if (matches) {
    EndIncarnation(*worker, aNow);
    mLoadMeasuredAt.reset();
  }
  return matches;
}

namespace {

struct TokenVisitor
{
  FencingToken operator()(const RequestAdvice&) const { return {}; }
  template<class Call>
  FencingToken operator()(const Call& aCall) const
  {
    return aCall.mToken;
  }
};

FencingToken
TokenOf(const WorkerCall& aCall)
{
  return std::visit(TokenVisitor{}, aCall);
}

} // namespace

void
Cell::OnOrderReply(std::string_view aWorker,
                   const WorkerCall& aCall,
                   const Expected<WorkerReply>& aReply,
                   TimePoint aNow,
                   bool aAttemptUnanswered)
{
  CellWorker* worker = FindWorker(aWorker);
  if (worker == nullptr) {
    return;
  }
  if (const auto* throttle = std::get_if<ThrottleRun>(&aCall)) {
    bool carriedOut = Ok(aReply) && std::holds_alternative<OrderDone>(
                                      std::get<WorkerReply>(aReply));
    auto run = worker->mRuns.find(throttle->mTask);
    if (!carriedOut && run != worker->mRuns.end() &&
        run->second.mRun == throttle->mRun) {
      run->second.mRateUncertain = true;
    }
    return;
  }
  const auto* start = std::get_if<StartRun>(&aCall);
  const auto* stop = std::get_if<StopRun>(&aCall);
  if (start == nullptr && stop == nullptr) {
    return;
  }
  bool neverSent = !Ok(aReply) && std::holds_alternative<ConnectFailure>(
                                    std::get<Failure>(aReply));
  bool unanswered = aAttemptUnanswered || (!Ok(aReply) && !neverSent);
  if (start != nullptr) {
    worker->SettleEndsOf(*start, unanswered, aNow);
    if (unanswered) {
      worker->mLateStartsUntil = aNow + kMaxCallDelay;
    }
  }
  const TaskId& task = start != nullptr ? start->mTask : stop->mTask;
  std::uint64_t number = start != nullptr ? start->mRun : stop->mRun;
  auto it = worker->mRuns.find(task);
  if (it == worker->mRuns.end() || it->second.mRun != number) {
    if (start != nullptr && unanswered) {
      RecordEarlierStart(task, aNow + kMaxCallDelay);
    }
    return;
  }
  ActiveRun& run = it->second;
  const WorkerReply* reply =
    Ok(aReply) ? &std::get<WorkerReply>(aReply) : nullptr;
  const auto* refused =
    reply == nullptr ? nullptr : std::get_if<OrderRefused>(reply);
  bool done = reply != nullptr && std::holds_alternative<OrderDone>(*reply);
  bool fenced = refused != nullptr && refused->mReason == StartRefusal::Fenced;
  if (fenced && !IsSuperseded(aWorker, TokenOf(aCall))) {
    mFenced = true;
    return;
  }
  if (reply != nullptr && std::holds_alternative<IncarnationMismatch>(*reply)) {
    EndIncarnation(*worker, aNow);
    return;
  }
  if (stop != nullptr) {
    // A failed stop is sent again after an interval. A worker that refuses it
    // as unhealthy has done nothing; one that calls the run stale starts it no
    // more.
    bool stale =
      refused != nullptr && refused->mReason == StartRefusal::StaleRun;
    if (done || stale) {
      run.mStopAcknowledgedAt = aNow;
    }
    return;
  }
  run.mStartInFlight = false;
  if (unanswered) {
    run.mLateStartUntil = aNow + kMaxCallDelay;
    ExtendLaterLease(*worker, aNow);
  }
  if (run.mStage != ActiveRun::Stage::Starting) {
    return;
  }
  run.mStageSince = aNow;
  bool notStarted = neverSent || (refused != nullptr && !fenced &&
                                  refused->mReason != StartRefusal::StaleRun);
  if (!notStarted) {
    // Without an answer the run may exist until the next listing.
    run.mStage =
      done ? ActiveRun::Stage::Running : ActiveRun::Stage::Unconfirmed;
    if (CellJob* job = FindJob(task.mJob)) {
      job->mBegun = true;
    }
    return;
  }
  RemoveRun(*worker, task);
  if (neverSent) {
    ++worker->mMissedAnswers;
  } else if (refused->mReason == StartRefusal::Rejected) {
    worker->mAvoidUntil = aNow + kAvoidDuration / 3;
  } else if (refused->mReason == StartRefusal::InsufficientCapacity) {
    // The worker has runs that the listings don't show yet.
    worker->mAvoidUntil = aNow + kRetryBackoff;
  }
  CellJob* job = FindJob(task.mJob);
  if (job == nullptr) {
    return;
  }
  if (refused != nullptr && refused->mReason == StartRefusal::InvalidTicket) {
    auto occurrence = job->mOccurrences.find(task.mOccurrence);
    if (occurrence != job->mOccurrences.end()) {
      occurrence->second.mSteps[task.mStep].mTickets.clear();
    }
  }
  StopGangOf(task, number, aNow);
}

} // namespace buckthornshunt
