#include "decide/cell.h"

#include <algorithm>
#include <utility>

namespace buckthornshunt {

namespace {

/// Workers that may crash during runs of a task before its job fails. With the
/// first limit the cause may be any of the worker's runs; the second holds if
/// the last one ran no other short task.
constexpr std::uint32_t kMaxCrashes = 4;
constexpr std::uint32_t kMaxCrashesAlone = 3;
/// Crashes with a common cause that don't count for a task. Tasks that crash
/// their workers may do so together.
constexpr std::uint32_t kMaxExcusedCrashes = 3;

/// Crashes have a common cause if within this time at least so many workers
/// were lost, and three quarters of a rack, a data centre or the pool.
constexpr Duration kCommonCauseWindow = std::chrono::seconds(1);
constexpr std::size_t kMinCommonLosses = 3;
/// Time within which the losses of other workers may become known, which lasts
/// as long as a lease if a worker isn't back.
constexpr Duration kCountedCrashRetention = std::chrono::seconds(10);

/// The directory drops a worker after three silent heartbeats. One that is
/// still listed by then is contacted like a new one.
constexpr Duration kEndedWorkerRetention = std::chrono::seconds(10);
/// Bounds the rate of renewals of a worker whose runs are overdue.
constexpr Duration kMinTimeToNextEnd = std::chrono::milliseconds(100);

} // namespace

void
Cell::SetWorkers(std::span<const WorkerReport> aReports, TimePoint aNow)
{
  mLoadMeasuredAt.reset();
  for (auto& [id, worker] : mWorkers) {
    worker.mInDirectory = false;
    worker.mListed = false;
  }
  for (const WorkerReport& report : aReports) {
    if (report.mPool != mPool) {
      continue;
    }
    auto [it, added] = mWorkers.try_emplace(report.mId);
    CellWorker& worker = it->second;
    if (added) {
      // The cell may have known an earlier incarnation, and forgotten it.
      worker.mToken = mNewestToken;
    }
    ReportIncarnation(worker, report, aNow);
    bool moved = worker.mReport.mEndpoint != report.mEndpoint;
    mWorkersDirty = mWorkersDirty || (moved && worker.mPersisted);
    worker.mReport = report;
    worker.mInDirectory = true;
    worker.mListed = !worker.mEnded;
  }
  std::erase_if(mWorkers, [&](const auto& aEntry) {
    const CellWorker& worker = aEntry.second;
    // Runs that an earlier owner started may exist until the lease expires.
    bool unknown =
      worker.mInheritedRunsUnknown && aNow <= worker.InheritedRunExpiry();
    // The directory lists a worker for seconds after its end; if it were
    // forgotten by then, it would be taken for a new one.
    bool listedSinceEnd =
      worker.mEnded && aNow > worker.mEndedAt + kEndedWorkerRetention;
    // One that the directory has dropped may be back before it is listed.
    bool mayStartLate = !worker.mEnded && worker.MayStartLate(aNow);
    bool removable = (!worker.mInDirectory || listedSinceEnd) &&
                     worker.mRuns.empty() && !unknown && !mayStartLate;
    mWorkersDirty = mWorkersDirty || (removable && worker.mPersisted);
    return removable;
  });
}

// Which runs the new incarnation has, only a listing tells. Until then nothing
// is started there and no run is taken for ended.
void
Cell::ReportIncarnation(CellWorker& aWorker,
                        const WorkerReport& aReport,
                        TimePoint aNow)
{
  bool restarted =
    aReport.mIncarnation > aWorker.mIncarnation && aWorker.mIncarnation != 0;
  if (!restarted) {
    aWorker.mIncarnation = std::max(aWorker.mIncarnation, aReport.mIncarnation);
    return;
  }
  if (aReport.mIncarnation > aWorker.mReport.mIncarnation) {
    RecordRestart(aWorker, aReport.mIncarnation, false, aNow);
    aWorker.mDrainedBeforeRestart = aWorker.mReport.mDraining;
    aWorker.mMissedAnswers = 0;
    RequireNewToken(aWorker, aNow);
    aWorker.MarkLost(aNow);
  }
  if (aWorker.mRuns.empty()) {
    BeginIncarnation(aWorker, aNow);
    aWorker.mIncarnation = aReport.mIncarnation;
  }
}

void
Cell::SetNewestToken(FencingToken aToken)
{
  mNewestToken = std::max(mNewestToken, aToken);
}

FencingToken
Cell::TokenFor(const CellWorker& aWorker) const
{
  return std::max(mToken, aWorker.mToken);
}

bool
Cell::IsSuperseded(std::string_view aWorker, FencingToken aToken) const
{
  auto it = mWorkers.find(aWorker);
  return it != mWorkers.end() && aToken < TokenFor(it->second);
}

bool
Cell::AwaitsNewToken(std::string_view aWorker) const
{
  auto it = mWorkers.find(aWorker);
  return it != mWorkers.end() && it->second.mNeedsNewToken &&
         mNewestToken <= TokenFor(it->second);
}

bool
Cell::HasNewToken(std::string_view aWorker) const
{
  auto it = mWorkers.find(aWorker);
  return it != mWorkers.end() && it->second.mNeedsNewToken &&
         mNewestToken > TokenFor(it->second);
}

// Calls that were meant for the earlier incarnation are carried out by the next
// one, also late: they would start runs again, extend its lease and let it
// forget ends. Once it has answered under a higher token, it refuses them. If
// it doesn't answer, it may still carry them out.
void
Cell::RequireNewToken(CellWorker& aWorker, TimePoint aNow) const
{
  aWorker.mTokenAccepted = false;
  aWorker.mInContactSince.reset();
  aWorker.mNeedsNewToken = true;
  ExtendLaterLease(aWorker, aNow);
}

void
Cell::SetDraining(std::string_view aWorker, bool aDraining)
{
  if (CellWorker* worker = FindWorker(aWorker)) {
    worker->mDraining = aDraining;
    mLoadMeasuredAt.reset();
  }
}

// Orders that were meant for an earlier incarnation carry leases by its clock,
// which the next one may shorten only to the maximum.
Duration
Cell::LongestLease() const
{
  return std::chrono::duration_cast<Duration>(mTimes.mMaxRunLeaseDuration /
                                              (1 - kMaxClockDrift)) +
         kLeaseGracePeriod;
}

void
Cell::ExtendLease(CellWorker& aWorker, TimePoint aNow) const
{
  aWorker.mLeaseExpiry = std::max(aWorker.mLeaseExpiry, aNow + LongestLease());
}

// A call that was sent by aNow may be carried out late.
void
Cell::ExtendLaterLease(CellWorker& aWorker, TimePoint aNow) const
{
  aWorker.mLaterLeaseExpiry =
    std::max(aWorker.mLaterLeaseExpiry, aNow + kMaxCallDelay + LongestLease());
}

// The worker may have begun to drain, or restarted, while the order was queued.
bool
Cell::MayStartOn(std::string_view aWorker) const
{
  auto it = mWorkers.find(aWorker);
  return it != mWorkers.end() && it->second.mListed &&
         it->second.IsReportCurrent() && it->second.mTokenAccepted &&
         !it->second.mReport.mDraining && !it->second.mDraining;
}

bool
Cell::AwaitsStart(std::string_view aWorker, const StartRun& aStart) const
{
  auto worker = mWorkers.find(aWorker);
  if (worker == mWorkers.end()) {
    return false;
  }
  auto run = worker->second.mRuns.find(aStart.mTask);
  return run != worker->second.mRuns.end() && run->second.mRun == aStart.mRun &&
         run->second.mStage == ActiveRun::Stage::Starting;
}

bool
Cell::NeedsRenewal(std::string_view aWorker, TimePoint aNow) const
{
  auto it = mWorkers.find(aWorker);
  if (it == mWorkers.end()) {
    return false;
  }
  const CellWorker& worker = it->second;
  if (worker.mEnded) {
    return false;
  }
  // An unreachable worker is probed until it answers and can be used again. A
  // pending renewal tells at once that the process has ended.
  return !worker.mRuns.empty() || !worker.mTokenAccepted ||
         worker.mMissedAnswers > 0 || worker.mNeedsProbe ||
         worker.MayStartLate(aNow) || !worker.mUnsettledEnds.empty() ||
         worker.mHasMoreEnds || worker.mLastSeenEnd > worker.mLastCommittedEnd;
}

bool
Cell::IsAcknowledgementOverdue(std::string_view aWorker, TimePoint aNow) const
{
  auto it = mWorkers.find(aWorker);
  return it != mWorkers.end() && it->second.mAcknowledgementDue &&
         it->second.mTokenAccepted &&
         aNow - kAcknowledgementInterval >= it->second.mAcknowledgedAt;
}

// The lease end is a time of the worker's clock, which is known only as of its
// last answer; assuming that it runs slow never grants too much. A worker that
// doesn't answer gets no extension, so that its runs expire.
std::int64_t
Cell::GrantLease(CellWorker& aWorker, TimePoint aNow)
{
  double elapsed =
    ToSeconds(aNow - aWorker.mClockReceivedAt) * (1 - kMaxClockDrift);
  std::int64_t clock =
    aWorker.mWorkerClockMs + static_cast<std::int64_t>(elapsed * 1000);
  std::int64_t end = clock + ToMillis(mTimes.mRunLeaseDuration);
  double remaining = static_cast<double>(end - aWorker.mWorkerClockMs) / 1000;
  TimePoint expiry =
    aWorker.mClockReceivedAt +
    std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(remaining / (1 - kMaxClockDrift))) +
    kLeaseGracePeriod;
  aWorker.mLeaseExpiry = std::max(aWorker.mLeaseExpiry, expiry);
  ExtendLaterLease(aWorker, aNow);
  return end;
}

RenewLease
Cell::NextRenewal(std::string_view aWorker, Duration aMaxWait, TimePoint aNow)
{
  RenewLease renewal;
  renewal.mToken = mToken;
  CellWorker* worker = FindWorker(aWorker);
  if (worker == nullptr) {
    return renewal;
  }
  if (worker->mNeedsNewToken && mNewestToken > TokenFor(*worker)) {
    worker->mToken = mNewestToken;
    worker->mTokenRaisedAt = aNow;
    worker->mNeedsNewToken = false;
  }
  renewal.mToken = TokenFor(*worker);
  // The next incarnation would forget ends that nobody has read, so they are
  // acknowledged to the one that has just listed them.
  bool restarted = worker->mReport.mIncarnation > worker->mIncarnation;
  bool listedNow = aNow <= worker->mLastAnswerAt + kMaxAcknowledgementDelay;
  if (worker->mAcknowledgementDue && !restarted && listedNow) {
    renewal.mAcknowledgedSequence = worker->LastSettledEnd(aNow);
    std::erase_if(worker->mUnsettledEnds, [&](const auto& aEntry) {
      return aEntry.first <= renewal.mAcknowledgedSequence;
    });
    worker->mAcknowledgedAt = aNow;
  }
  bool mayWait = worker->mTokenAccepted && !worker->mHasMoreEnds;
  renewal.mMaxWait = mayWait ? std::min(aMaxWait, worker->TimeToNextEnd(aNow))
                             : Duration::zero();
  if (worker->mTokenAccepted &&
      worker->mMissedAnswers < kMissedAnswersUntilSuspected) {
    renewal.mLeaseExpiry = GrantLease(*worker, aNow);
  }
  return renewal;
}

// A loss whose runs aren't known to be lost yet counts too, since the owner
// learns of crashes one by one.
bool
CellWorker::IsLossConfirmed() const
{
  return mEnded || !mListed || mMissedAnswers > 0 || mRestartUnresolved ||
         mReport.mIncarnation > mIncarnation || mRestartedAt >= mLostAt;
}

bool
Cell::HasCommonCause(const CellWorker& aWorker) const
{
  struct Group
  {
    std::size_t mWorkers = 0;
    std::size_t mLost = 0;
    void Add(bool aLost)
    {
      ++mWorkers;
      mLost += aLost ? 1 : 0;
    }
    bool HasFailed() const
    {
      return mLost >= kMinCommonLosses && 4 * mLost >= 3 * mWorkers;
    }
  };
  Group rack;
  Group dataCentre;
  Group pool;
  const WorkerReport& report = aWorker.mReport;
  for (const auto& [id, other] : mWorkers) {
    bool together = aWorker.mLostAt != TimePoint::min() &&
                    other.mLostAt >= aWorker.mLostAt - kCommonCauseWindow &&
                    other.mLostAt <= aWorker.mLostAt + kCommonCauseWindow;
    bool lost = &other == &aWorker || (together && other.IsLossConfirmed());
    pool.Add(lost);
    if (other.mReport.mDataCentre != report.mDataCentre) {
      continue;
    }
    dataCentre.Add(lost);
    if (other.mReport.mRack == report.mRack) {
      rack.Add(lost);
    }
  }
  return (!report.mRack.empty() && rack.HasFailed()) ||
         (!report.mDataCentre.empty() && dataCentre.HasFailed()) ||
         pool.HasFailed();
}

// The first crashes of a group are recorded before the others are known.
void
Cell::WithdrawExplainedCrashes(TimePoint aNow)
{
  std::erase_if(mCountedCrashes, [&](const CountedCrash& aCrash) {
    if (aCrash.mAt < aNow - kCountedCrashRetention) {
      return true;
    }
    const CellWorker* worker = FindWorker(aCrash.mWorker);
    bool lostAgain = worker != nullptr && worker->mLostAt > aCrash.mAt;
    if (worker == nullptr || lostAgain || !HasCommonCause(*worker)) {
      return false;
    }
    for (const TaskId& id : aCrash.mTasks) {
      CellJob* job = FindJob(id.mJob);
      if (job == nullptr || !job->IsLive()) {
        continue;
      }
      auto occurrence = job->mOccurrences.find(id.mOccurrence);
      if (occurrence == job->mOccurrences.end()) {
        continue;
      }
      TaskRecord& task = occurrence->second.mSteps[id.mStep].mTasks[id.mIndex];
      if (task.mCrashes > 0 && task.mExcusedCrashes < kMaxExcusedCrashes) {
        --task.mCrashes;
        ++task.mExcusedCrashes;
        MarkDirty(*job);
      }
    }
    return true;
  });
}

// Which of its runs crashed a worker isn't known, so each of their tasks is a
// suspect, unless many workers were lost together. Suspects are started apart
// from each other where there is room, the second time without short
// neighbours, and the next crash tells. Runs that may not have begun aren't
// counted. A long-running task meets unrelated crashes in the course of time,
// so it is never given up.
void
Cell::RecordCrash(CellWorker& aWorker,
                  std::span<const TaskId> aLost,
                  TimePoint aNow)
{
  // The loss of an idle worker may explain the crashes of others.
  WithdrawExplainedCrashes(aNow);
  if (aLost.empty() || aWorker.mDraining || aWorker.mReport.mDraining ||
      aWorker.mDrainedBeforeRestart) {
    return;
  }
  bool explained = HasCommonCause(aWorker);
  WorkerCrash crash{ aWorker.mReport.mId, aWorker.mIncarnation, explained, {} };
  CountedCrash counted{ aNow, aWorker.mReport.mId, {} };
  std::vector<CellJob*> failed;
  auto shortRuns = std::count_if(
    aWorker.mRuns.begin(), aWorker.mRuns.end(), [](const auto& aEntry) {
      return !aEntry.second.mLongRunning;
    });
  for (const TaskId& id : aLost) {
    const ActiveRun& run = aWorker.mRuns.find(id)->second;
    CellJob* job = FindJob(id.mJob);
    bool counts = !run.mLongRunning && job != nullptr && job->IsLive();
    if (!counts) {
      continue;
    }
    auto occurrence = job->mOccurrences.find(id.mOccurrence);
    if (occurrence == job->mOccurrences.end()) {
      continue;
    }
    TaskRecord& task = occurrence->second.mSteps[id.mStep].mTasks[id.mIndex];
    if (task.mStage != TaskStage::Active ||
        task.mWorker != aWorker.mReport.mId) {
      continue;
    }
    task.mLastFailedWorker = aWorker.mReport.mId;
    bool givenUp = false;
    if (explained && task.mExcusedCrashes < kMaxExcusedCrashes) {
      ++task.mExcusedCrashes;
    } else {
      ++task.mCrashes;
      MarkDirty(*job);
      counted.mTasks.push_back(id);
      givenUp = task.mCrashes >= kMaxCrashes ||
                (task.mCrashes >= kMaxCrashesAlone && shortRuns == 1);
    }
    if (givenUp) {
      failed.push_back(job);
    }
    crash.mRuns.push_back({ id, run.mRun, task.mCrashes, givenUp });
  }
  for (CellJob* job : failed) {
    FailJob(*job, aNow);
  }
  if (!counted.mTasks.empty()) {
    mCountedCrashes.push_back(std::move(counted));
  }
  if (!crash.mRuns.empty()) {
    mCrashes.push_back(std::move(crash));
  }
}

std::vector<WorkerCrash>
Cell::TakeCrashes()
{
  return std::exchange(mCrashes, {});
}

std::string_view
ToString(RunLossCause aCause)
{
  switch (aCause) {
    case RunLossCause::LeaseExpired:
      return "lease_expired";
    case RunLossCause::Restarted:
      return "restarted";
    case RunLossCause::WorkerEnded:
      break;
  }
  return "worker_ended";
}

std::string_view
ToString(InheritedProof aProof)
{
  switch (aProof) {
    case InheritedProof::Listing:
      return "listing";
    case InheritedProof::LeaseExpired:
      return "lease_expired";
    case InheritedProof::WorkerEnded:
      break;
  }
  return "worker_ended";
}

namespace {

std::size_t
CountUnlisted(const CellWorker& aWorker, std::span<const TaskId> aTasks)
{
  return static_cast<std::size_t>(
    std::count_if(aTasks.begin(), aTasks.end(), [&](const TaskId& aTask) {
      return !aWorker.mRuns.find(aTask)->second.mReported;
    }));
}

std::size_t
CountUnanswered(const CellWorker& aWorker, std::span<const TaskId> aTasks)
{
  return static_cast<std::size_t>(
    std::count_if(aTasks.begin(), aTasks.end(), [&](const TaskId& aTask) {
      ActiveRun::Stage stage = aWorker.mRuns.find(aTask)->second.mStage;
      return stage == ActiveRun::Stage::Starting ||
             stage == ActiveRun::Stage::Unconfirmed;
    }));
}

} // namespace

void
Cell::RecordRunLoss(const CellWorker& aWorker,
                    RunLossCause aCause,
                    std::span<const TaskId> aLost,
                    TimePoint aNow)
{
  if (!aLost.empty()) {
    mRunLosses.push_back({ aWorker.mReport.mId,
                           aWorker.mIncarnation,
                           aCause,
                           aLost.size(),
                           CountUnlisted(aWorker, aLost),
                           CountUnanswered(aWorker, aLost),
                           aNow - aWorker.mLastAnswerAt });
  }
}

void
Cell::RecordRestart(const CellWorker& aWorker,
                    std::int64_t aTo,
                    bool aByListing,
                    TimePoint aNow)
{
  std::vector<TaskId> tasks = aWorker.Tasks();
  mWorkerNotices.emplace_back(WorkerRestart{ aWorker.mReport.mId,
                                             aWorker.mIncarnation,
                                             aTo,
                                             aByListing,
                                             tasks.size(),
                                             CountUnlisted(aWorker, tasks),
                                             CountUnanswered(aWorker, tasks),
                                             aNow - aWorker.mLastAnswerAt });
}

void
Cell::ResolveInheritedRuns(CellWorker& aWorker, InheritedProof aProof)
{
  if (aWorker.mInheritedRunsUnknown) {
    aWorker.mInheritedRunsUnknown = false;
    mWorkerNotices.emplace_back(InheritedRunsResolved{
      aWorker.mReport.mId, aWorker.mIncarnation, aProof });
  }
}

std::vector<WorkerNotice>
Cell::TakeWorkerNotices()
{
  return std::exchange(mWorkerNotices, {});
}

std::vector<RunLoss>
Cell::TakeRunLosses()
{
  return std::exchange(mRunLosses, {});
}

// Confirmed runs are left to the first listing under a new token. An order in
// flight may still start its run in the new incarnation, so that run is stopped
// first; what the earlier one has confirmed as stopped isn't known to the new
// one.
void
Cell::BeginIncarnation(CellWorker& aWorker, TimePoint aNow)
{
  for (auto& [task, run] : aWorker.mRuns) {
    run.mReported = false;
    run.mRateUncertain = true;
    if (run.mStage == ActiveRun::Stage::Starting) {
      run.mLateStartUntil = aNow + kMaxCallDelay;
    }
    if (run.mStage != ActiveRun::Stage::Running) {
      run.mStage = ActiveRun::Stage::Stopping;
      run.mStopSent = false;
      run.mStopAcknowledgedAt.reset();
      StopGangOf(task, run.mRun, aNow);
    }
  }
  aWorker.MarkLost(aNow);
  aWorker.mRestartUnresolved = true;
  aWorker.mRestartedAt = aNow;
  aWorker.mEnded = false;
  aWorker.mHasMoreEnds = false;
  aWorker.mAcknowledgementDue = false;
  aWorker.mEndsFollowed = true;
  aWorker.mLastSeenEnd = 0;
  aWorker.mLastCommittedEnd = 0;
  aWorker.mUncommittedEnds.clear();
  aWorker.mUnsettledEnds.clear();
  aWorker.mEndsSeenAhead.clear();
  aWorker.mMissedAnswers = 0;
  aWorker.mConsecutiveFailures = 0;
}

// The confirmed runs that the new incarnation doesn't list ended with the
// earlier one, and can't be started by it any more.
void
Cell::RemoveLostRuns(CellWorker& aWorker,
                     const std::set<TaskId>& aPresent,
                     TimePoint aSent,
                     TimePoint aNow)
{
  std::vector<TaskId> lost;
  for (const auto& [task, run] : aWorker.mRuns) {
    if (run.mStage == ActiveRun::Stage::Running && run.mStageSince < aSent &&
        !aPresent.contains(task)) {
      lost.push_back(task);
    }
  }
  RecordCrash(aWorker, lost, aNow);
  RecordRunLoss(aWorker, RunLossCause::Restarted, lost, aNow);
  for (const TaskId& task : lost) {
    RemoveLostRun(aWorker, task, aNow);
  }
  aWorker.mRestartUnresolved = false;
  aWorker.mDrainedBeforeRestart = false;
}

void
CellWorker::AddRun(const TaskId& aTask, const ActiveRun& aRun)
{
  mReserved += aRun.mReserved;
  if (aRun.mLongRunning) {
    mLongRunning += aRun.mReserved;
  }
  mIsolatedRuns += aRun.mIsolated ? 1 : 0;
  mRuns.emplace(aTask, aRun);
}

// Run times vary, and rare ones are many times longer than the mean: a run is
// expected to last half as long again as it has lasted already.
Duration
CellWorker::TimeToNextEnd(TimePoint aNow) const
{
  Duration next = Duration::max();
  for (const auto& [task, run] : mRuns) {
    if (!run.mLongRunning) {
      Duration age = aNow - run.mStartedAt;
      next = std::min(next, std::max(run.mExpectedRunTime - age, age / 2));
    }
  }
  return std::max(next, kMinTimeToNextEnd);
}

std::vector<TaskId>
CellWorker::Tasks() const
{
  std::vector<TaskId> tasks;
  for (const auto& [task, run] : mRuns) {
    tasks.push_back(task);
  }
  return tasks;
}

std::vector<TaskId>
CellWorker::RunningTasks() const
{
  std::vector<TaskId> tasks;
  for (const auto& [task, run] : mRuns) {
    if (run.mStage == ActiveRun::Stage::Running) {
      tasks.push_back(task);
    }
  }
  return tasks;
}

bool
CellWorker::MayStartLate(TimePoint aNow) const
{
  return aNow < mLateStartsUntil ||
         std::any_of(mRuns.begin(), mRuns.end(), [](const auto& aEntry) {
           return aEntry.second.mStartInFlight;
         });
}

// The connections of a worker that has been cut off, or has restarted, soon
// break again without a notice. Those that haven't for as long as a call may be
// late are relied on.
bool
CellWorker::WouldNoticeRestart(TimePoint aNow) const
{
  return mListed && mInContactSince && aNow >= *mInContactSince + kMaxCallDelay;
}

// The next process refuses late attempts of a start once it has accepted a
// higher token, which it is sent at once if the end of the former one is
// noticed. A worker lists a limited number of ends, the oldest first: those
// that can't be acknowledged must not hide the newer ones.
std::uint64_t
CellWorker::LastSettledEnd(TimePoint aNow) const
{
  bool noticed = WouldNoticeRestart(aNow);
  auto unsettled = std::find_if(
    mUnsettledEnds.begin(), mUnsettledEnds.end(), [&](const auto& aEntry) {
      const UnsettledEnd& end = aEntry.second;
      return aNow < end.mEarlierStartsUntil ||
             (aNow < end.mUntil && (end.mStartInFlight || !noticed));
    });
  return mHasMoreEnds || unsettled == mUnsettledEnds.end()
           ? mLastCommittedEnd
           : std::min(mLastCommittedEnd, unsettled->first - 1);
}

// Settled ends stay until they are acknowledged, so that the worker is asked.
void
CellWorker::SettleEndsOf(const StartRun& aStart,
                         bool aAttemptUnanswered,
                         TimePoint aNow)
{
  for (auto& [sequence, end] : mUnsettledEnds) {
    if (end.mStartInFlight && end.mTask == aStart.mTask &&
        end.mRun == aStart.mRun) {
      end.mStartInFlight = false;
      end.mUntil = aAttemptUnanswered ? aNow + kMaxCallDelay : aNow;
    }
  }
}

bool
CellWorker::MayOutliveIncarnation(const ActiveRun& aRun, TimePoint aNow)
{
  bool startMayFollow = aRun.mLateStartUntil && aNow < *aRun.mLateStartUntil;
  bool unlisted = !aRun.mReported && aNow < aRun.mStageSince + kMaxVmListAge;
  return aRun.mStartInFlight || startMayFollow || unlisted;
}

// The directory drops a process after three silent heartbeats, sooner than a
// lease expires. One that it still lists was alive after the last call to it.
bool
CellWorker::IsKnownIncarnationListed() const
{
  return mListed && mReport.mIncarnation == mIncarnation && !mRestartUnresolved;
}

bool
CellWorker::IsReportCurrent() const
{
  return mReport.mIncarnation == 0 || mReport.mIncarnation >= mIncarnation;
}

TimePoint
CellWorker::RunExpiry(const ActiveRun& aRun) const
{
  bool sinceLastCall = IsKnownIncarnationListed() && !aRun.MayStartLate();
  return sinceLastCall || aRun.IsOfKnownIncarnation()
           ? mLeaseExpiry
           : std::max(mLeaseExpiry, mLaterLeaseExpiry);
}

TimePoint
CellWorker::InheritedRunExpiry() const
{
  return mRestartUnresolved ? std::max(mLeaseExpiry, mLaterLeaseExpiry)
                            : mLeaseExpiry;
}

void
Cell::AddRun(CellWorker& aWorker, const TaskId& aTask, const ActiveRun& aRun)
{
  if (!aRun.mOrganisation.empty()) {
    mHeld[aRun.mOrganisation] += aRun.mHeld;
  }
  aWorker.AddRun(aTask, aRun);
}

void
Cell::ReleaseRun(CellWorker& aWorker, const TaskId& aTask)
{
  auto it = aWorker.mRuns.find(aTask);
  if (it != aWorker.mRuns.end()) {
    if (auto held = mHeld.find(it->second.mOrganisation); held != mHeld.end()) {
      held->second -= it->second.mHeld;
    }
    aWorker.mReserved -= it->second.mReserved;
    if (it->second.mLongRunning) {
      aWorker.mLongRunning -= it->second.mReserved;
    }
    aWorker.mIsolatedRuns -= it->second.mIsolated ? 1 : 0;
    aWorker.mRuns.erase(it);
  }
}

void
Cell::RemoveRun(CellWorker& aWorker, const TaskId& aTask)
{
  auto run = aWorker.mRuns.find(aTask);
  if (run != aWorker.mRuns.end() && run->second.mLateStartUntil) {
    RecordEarlierStart(aTask, *run->second.mLateStartUntil);
  }
  // aTask may refer to the entry that ReleaseRun erases, so that call is last.
  ResetToIdle(aTask, aWorker.mReport.mId);
  ReleaseRun(aWorker, aTask);
}

void
Cell::RemoveLostRun(CellWorker& aWorker, const TaskId& aTask, TimePoint aNow)
{
  // aTask may refer to the entry that RemoveRun erases, so that call is last.
  StopGangOf(aTask, aWorker.mRuns.find(aTask)->second.mRun, aNow);
  RemoveRun(aWorker, aTask);
}

TaskRecord*
Cell::FindTask(const TaskId& aTask)
{
  CellJob* job = FindJob(aTask.mJob);
  if (job == nullptr) {
    return nullptr;
  }
  auto occurrence = job->mOccurrences.find(aTask.mOccurrence);
  if (occurrence == job->mOccurrences.end() ||
      aTask.mStep >= occurrence->second.mSteps.size()) {
    return nullptr;
  }
  std::vector<TaskRecord>& tasks =
    occurrence->second.mSteps[aTask.mStep].mTasks;
  return aTask.mIndex < tasks.size() ? &tasks[aTask.mIndex] : nullptr;
}

void
Cell::RecordEarlierStart(const TaskId& aTask, TimePoint aUntil)
{
  if (TaskRecord* task = FindTask(aTask)) {
    task->mEarlierStartsUntil = std::max(task->mEarlierStartsUntil, aUntil);
  }
}

// The task's active run has certainly ended without a result.
void
Cell::ResetToIdle(const TaskId& aTask, std::string_view aWorker)
{
  CellJob* job = FindJob(aTask.mJob);
  if (job == nullptr) {
    return;
  }
  auto occurrence = job->mOccurrences.find(aTask.mOccurrence);
  if (occurrence == job->mOccurrences.end()) {
    return;
  }
  StepRecord& step = occurrence->second.mSteps[aTask.mStep];
  TaskRecord& task = step.mTasks[aTask.mIndex];
  if (task.mStage == TaskStage::Active && task.mWorker == aWorker) {
    task.mStage = TaskStage::Idle;
    task.mWorker.clear();
    --step.mActiveTasks;
  }
}

void
Cell::RequestStop(ActiveRun& aRun, TimePoint aNow)
{
  if (aRun.mStage != ActiveRun::Stage::Stopping) {
    aRun.mStage = ActiveRun::Stage::Stopping;
    aRun.mStageSince = aNow;
    aRun.mStopSent = false;
    aRun.mStopAcknowledgedAt.reset();
  }
}

void
Cell::StopRunsOf(const CellJob& aJob, TimePoint aNow)
{
  for (auto& [id, worker] : mWorkers) {
    auto it = worker.mRuns.lower_bound(TaskId{ aJob.mId, 0, 0, 0 });
    for (; it != worker.mRuns.end() && it->first.mJob == aJob.mId; ++it) {
      RequestStop(it->second, aNow);
    }
  }
}

// They would wait for the missing one, and end alone.
void
Cell::StopGangOf(const TaskId& aMember, std::uint64_t aRun, TimePoint aNow)
{
  const CellJob* job = FindJob(aMember.mJob);
  bool gang = job != nullptr && aMember.mStep < job->mSpec.mSteps.size() &&
              job->mSpec.mSteps[aMember.mStep].mGang;
  if (!gang) {
    return;
  }
  TaskId first{ aMember.mJob, aMember.mOccurrence, aMember.mStep, 0 };
  for (auto& [id, worker] : mWorkers) {
    auto it = worker.mRuns.lower_bound(first);
    for (; it != worker.mRuns.end() && it->first.mJob == first.mJob &&
           it->first.mOccurrence == first.mOccurrence &&
           it->first.mStep == first.mStep;
         ++it) {
      if (it->second.mRun == aRun) {
        RequestStop(it->second, aNow);
      }
    }
  }
}

// Listings may arrive before the first plan creates the occurrence.
OccurrenceRecord*
Cell::OpenOccurrence(CellJob& aJob, std::uint32_t aNumber)
{
  bool done = std::find(aJob.mDoneOccurrences.begin(),
                        aJob.mDoneOccurrences.end(),
                        aNumber) != aJob.mDoneOccurrences.end();
  if (done || aNumber >= aJob.OccurrenceCount()) {
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
  if (!aJob.mDirty) {
    aJob.mDirty = true;
    aJob.mDirtySince = ++mLastChange;
    mDirtyJobs.push_back(aJob.mId);
  }
}

} // namespace buckthornshunt
