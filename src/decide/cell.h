#ifndef BUCKTHORNSHUNT_DECIDE_CELL_H
#define BUCKTHORNSHUNT_DECIDE_CELL_H

#include "decide/admission.h"
#include "decide/cell_job.h"
#include "decide/demand.h"
#include "decide/fair_share.h"
#include "decide/fleet_plan.h"
#include "decide/interference.h"
#include "decide/quota_ledger.h"
#include "decide/task_placement.h"
#include "ports/worker_calls.h"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace buckthornshunt {

/// Consecutive unanswered requests after which a worker gets no new runs; a
/// single one may be a reset connection.
constexpr int kMissedAnswersUntilSuspected = 2;

/// Maximum relative drift of a worker's clock from ours, as a fraction; from
/// the platform's contract.
constexpr double kMaxClockDrift = 0.02;
/// Allowance for answers that are read late.
constexpr Duration kLeaseGracePeriod = std::chrono::milliseconds(200);

/// Time within which a worker carries out a call that it doesn't answer. The
/// platform says "seconds" and names no bound.
constexpr Duration kMaxCallDelay = std::chrono::seconds(12);

/// Maximum age of the listing by which ends are acknowledged, below the time
/// that a worker takes to restart.
constexpr Duration kMaxAcknowledgementDelay = std::chrono::milliseconds(100);
/// Interval within which ends are acknowledged that the worker still lists.
constexpr Duration kAcknowledgementInterval = std::chrono::seconds(1);

/// Platform settings that a cell plans with.
struct CellDurations
{
  /// Lease that each renewal grants to the worker's runs.
  Duration mRunLeaseDuration = std::chrono::seconds(7);
  /// Limit to which workers shorten a longer lease.
  Duration mMaxRunLeaseDuration = std::chrono::seconds(10);
  /// How long the state of an ended job can be queried.
  Duration mStatusRetention = std::chrono::seconds(120);
  /// Tasks whose images slow each other down run apart where there is room.
  bool mSeparateInterference = true;
};

/// A run that is, or may be, on a worker.
struct ActiveRun
{
  enum class Stage : std::uint8_t
  {
    /// The start order is in flight.
    Starting,
    /// The start got no answer; the run may exist or may still start.
    Unconfirmed,
    Running,
    /// Being stopped, so that it can neither run nor start on the worker.
    Stopping
  };

  std::uint64_t mRun = 0;
  Stage mStage = Stage::Starting;
  /// When the current stage began.
  TimePoint mStageSince;
  /// A listing of the worker's known incarnation has shown the run. The reply
  /// to a start order doesn't tell which incarnation carried it out.
  bool mReported = false;
  /// Until when an attempt of its start that got no answer may be carried out;
  /// none once a later listing has shown the run.
  std::optional<TimePoint> mLateStartUntil;
  /// The outcome of its start order is outstanding, so that an attempt may have
  /// got no answer.
  bool mStartInFlight = false;
  bool mStopSent = false;
  TimePoint mStopSentAt;
  /// When the worker confirmed the stop; a listing requested later shows
  /// whether the run is gone.
  std::optional<TimePoint> mStopAcknowledgedAt;
  Resources mReserved;
  /// Counts towards the maximum of the organisation, empty for none.
  std::string mOrganisation;
  Resources mHeld;
  /// Program of a best-effort task, or of one with a tail latency target.
  std::string mImage;
  bool mBestEffort = false;
  bool mLongRunning = false;
  /// Crashes of workers during earlier runs of the task.
  std::uint32_t mEarlierCrashes = 0;
  /// Shares the worker with no other short task.
  bool mIsolated = false;
  int mRatePercent = 0;
  int mTargetRatePercent = 100;
  /// Its process may run it at another rate: the order was meant for the former
  /// process, was given by an earlier owner, or got no answer.
  bool mRateUncertain = false;
  /// Tail latency in milliseconds, for runs with a target.
  std::optional<double> mGauge;
  Duration mTailLatencyTarget{};
  TimePoint mStartedAt;
  /// Expected run time; of no meaning for a long-running task.
  Duration mExpectedRunTime{};

  /// Whether an attempt of its start may still be carried out.
  bool MayStartLate() const { return mStartInFlight || mLateStartUntil; }
  /// Whether no incarnation after the known one can have the run.
  bool IsOfKnownIncarnation() const { return mReported && !MayStartLate(); }
};

/// Crashes during runs of a task from which it runs without short neighbours.
constexpr std::uint32_t kCrashesUntilIsolated = 2;

/// An end that would be followed by another run if the worker's next
/// incarnation carried out an attempt of the start.
struct UnsettledEnd
{
  TaskId mTask;
  std::uint64_t mRun = 0;
  /// The outcome of the start order is outstanding.
  bool mStartInFlight = false;
  /// Until when an attempt may be carried out.
  TimePoint mUntil;
  /// The same for attempts to start earlier runs of the task.
  TimePoint mEarlierStartsUntil = TimePoint::min();
};

/// Ends of a worker's runs that have been processed by some moment.
struct ProcessedEnds
{
  /// Number of the cell's last change by then.
  std::uint64_t mLastChange = 0;
  std::uint64_t mSequence = 0;
};

/// A worker's state, as known to the cell's owner.
struct CellWorker
{
  WorkerReport mReport;
  bool mInDirectory = false;
  /// Listed in the directory and not known to have ended.
  bool mListed = false;
  /// The current incarnation has accepted the fencing token of its calls.
  bool mTokenAccepted = false;
  /// Token of the calls to the worker; 0 stands for that of the cell.
  FencingToken mToken{};
  /// When mToken was raised.
  TimePoint mTokenRaisedAt = TimePoint::min();
  /// The worker has restarted, and the new incarnation would still carry out
  /// calls that were meant for the earlier one.
  bool mNeedsNewToken = false;
  /// Some runs may have ended with an earlier incarnation.
  bool mRestartUnresolved = false;
  /// Part of the cell's stored worker set, which the next owner queries.
  bool mPersisted = false;
  /// Emptied before it leaves the pool or is maintained; gets no new runs.
  bool mDraining = false;
  /// May hold runs of an earlier owner that aren't known yet.
  bool mInheritedRunsUnknown = false;
  /// The known incarnation has certainly ended.
  bool mEnded = false;
  TimePoint mEndedAt;
  /// Reported gone, and not probed since.
  bool mNeedsProbe = false;
  /// Start of its process in milliseconds; 0 if unknown. The directory may
  /// already report a later one, which counts from its first listing on if only
  /// that tells which runs it has.
  std::int64_t mIncarnation = 0;
  /// The last one that has accepted a token of its own, which the next owner is
  /// told: a later one may carry out calls that were meant for it.
  std::int64_t mAcceptedIncarnation = 0;
  /// When the known incarnation became known in place of an earlier one.
  TimePoint mRestartedAt = TimePoint::min();
  /// The known incarnation was draining when the directory reported a later
  /// one.
  bool mDrainedBeforeRestart = false;
  std::int64_t mWorkerClockMs = 0;
  /// When mWorkerClockMs was received.
  TimePoint mClockReceivedAt;
  /// When every lease granted so far has certainly expired at the known
  /// incarnation, on our clock.
  TimePoint mLeaseExpiry;
  /// The same for a later incarnation that carries out calls to the known one.
  TimePoint mLaterLeaseExpiry = TimePoint::min();
  TimePoint mLastAnswerAt;
  /// Since when the known incarnation has answered each renewal and kept its
  /// connections; none while a later answer is awaited.
  std::optional<TimePoint> mInContactSince;
  /// First sign after an answer that the worker may be lost.
  TimePoint mLostAt = TimePoint::min();
  int mMissedAnswers = 0;
  /// Until when an attempt of a start that got no answer may be carried out.
  TimePoint mLateStartsUntil = TimePoint::min();
  /// All ended runs up to this position have been processed.
  std::uint64_t mLastSeenEnd = 0;
  /// The list of the known incarnation is followed from its first end on.
  bool mEndsFollowed = false;
  /// Later ones that have been, beyond one that can't be read.
  std::set<std::uint64_t> mEndsSeenAhead;
  std::uint64_t mLastCommittedEnd = 0;
  /// By their numbers.
  std::map<std::uint64_t, UnsettledEnd> mUnsettledEnds;
  /// The worker may still list ends that can be acknowledged.
  bool mAcknowledgementDue = false;
  TimePoint mAcknowledgedAt = TimePoint::min();
  /// The last listing left ended runs out.
  bool mHasMoreEnds = false;
  /// Later ones, oldest first.
  std::deque<ProcessedEnds> mUncommittedEnds;
  Resources mReserved;
  /// Part of mReserved that long-running tasks hold.
  Resources mLongRunning;
  std::map<TaskId, ActiveRun> mRuns;
  /// Runs in mRuns that share the worker with no other short task.
  std::uint32_t mIsolatedRuns = 0;
  /// Failed runs since the last success; consecutive ones of a job count once.
  int mConsecutiveFailures = 0;
  std::string mLastFailedJob;
  TimePoint mAvoidUntil;
  TimePoint mRateAdjustedAt;

  void AddRun(const TaskId& aTask, const ActiveRun& aRun);
  std::vector<TaskId> Tasks() const;
  /// Tasks whose runs are confirmed.
  std::vector<TaskId> RunningTasks() const;
  /// Time until the next end of a short run is due.
  Duration TimeToNextEnd(TimePoint aNow) const;
  /// Whether the run may belong to an incarnation after the known one, of which
  /// the platform's list of VMs shows at aNow that it has ended.
  static bool MayOutliveIncarnation(const ActiveRun& aRun, TimePoint aNow);
  /// When the run has certainly ended, if the worker doesn't answer.
  TimePoint RunExpiry(const ActiveRun& aRun) const;
  /// The same for runs of earlier owners that aren't known.
  TimePoint InheritedRunExpiry() const;
  /// Whether a start that was sent may still be carried out, also by the next
  /// incarnation.
  bool MayStartLate(TimePoint aNow) const;
  /// Whether a pending renewal would tell at once that the process has ended.
  bool WouldNoticeRestart(TimePoint aNow) const;
  /// The last end that may be acknowledged.
  std::uint64_t LastSettledEnd(TimePoint aNow) const;
  /// Settles ends that were listed before the outcome of their start arrived.
  void SettleEndsOf(const StartRun& aStart,
                    bool aAttemptUnanswered,
                    TimePoint aNow);
  /// Whether the directory lists the known incarnation, and no later one.
  bool IsKnownIncarnationListed() const;
  /// Whether mReport may describe the known incarnation. A listing shows a
  /// later one before the directory does.
  bool IsReportCurrent() const;
  /// The known incarnation, or a later one that the directory has reported.
  std::int64_t LatestIncarnation() const
  {
    return std::max(mIncarnation, mReport.mIncarnation);
  }

  void MarkLost(TimePoint aNow)
  {
    if (mLostAt <= mLastAnswerAt) {
      mLostAt = aNow;
    }
  }
  /// Whether its last loss goes on, or was followed by another incarnation.
  bool IsLossConfirmed() const;

  bool HasSeenEnd(std::uint64_t aSequence) const
  {
    return aSequence <= mLastSeenEnd || mEndsSeenAhead.contains(aSequence);
  }
};

struct CellOrder
{
  std::string mWorker;
  WorkerCall mCall;
};

/// Ends of a worker's incarnation that a commit covers.
struct CoveredEnds
{
  std::int64_t mIncarnation = 0;
  std::uint64_t mSequence = 0;
};

/// Row changes of one commit.
struct CellChanges
{
  std::vector<StoredJob> mNewJobs;
  std::vector<std::pair<std::string, StoredProgress>> mProgress;
  /// Ended jobs, whose first row is deleted.
  std::vector<std::string> mEndedJobs;
  /// Jobs past their status retention, whose progress row is deleted.
  std::vector<std::string> mExpiredJobs;
  /// The stored worker set, if it changed.
  std::optional<std::vector<WorkerAddress>> mWorkers;
  /// The last end that the rows cover, by worker.
  std::map<std::string, CoveredEnds> mLastEnds;

  bool Empty() const;
  /// Number of rows of jobs.
  std::size_t Rows() const;
};

/// A job submitted to a cell.
struct Submission
{
  std::string mId;
  std::string mQueue;
  JobSpec mSpec;
  WallTime mSubmittedAt;
  /// Of the caller; empty on a public queue.
  std::string mOrganisation = {};
};

enum class SubmitResult : std::uint8_t
{
  /// The cell has the job; it may be acknowledged once it is stored.
  Accepted,
  Rejected
};

/// Asks the advice service which workers may run a step.
struct AdviceRequest
{
  std::string mJob;
  std::uint32_t mOccurrence = 0;
  std::uint32_t mStep = 0;
  /// Latest known incarnation of each worker, by id.
  std::map<std::string, std::int64_t, std::less<>> mWorkers;
};

/// A worker crashed with runs on it.
struct WorkerCrash
{
  struct Run
  {
    TaskId mTask;
    std::uint64_t mRun = 0;
    /// Crashes during runs of the task, with this one.
    std::uint32_t mCrashes = 0;
    /// The task is given up, and its job fails.
    bool mGivenUp = false;
  };

  std::string mWorker;
  std::int64_t mIncarnation = 0;
  /// Other workers were lost at the same time, and the crash isn't counted.
  bool mExplained = false;
  std::vector<Run> mRuns;
};

/// Why the runs of a worker were taken for ended without a listing.
enum class RunLossCause : std::uint8_t
{
  LeaseExpired,
  Restarted,
  /// By the list of VMs, a confirmed move, or another worker at its address.
  WorkerEnded
};

std::string_view
ToString(RunLossCause aCause);

/// Runs that a worker lost without listing their ends.
struct RunLoss
{
  std::string mWorker;
  std::int64_t mIncarnation = 0;
  RunLossCause mCause = RunLossCause::LeaseExpired;
  std::size_t mRuns = 0;
  /// Those of them that no listing of the known incarnation has shown.
  std::size_t mUnlisted = 0;
  /// Those of them whose start got no answer.
  std::size_t mUnanswered = 0;
  /// Time since the worker's last answer.
  Duration mSilence{};
};

/// A worker has restarted under its id.
struct WorkerRestart
{
  std::string mWorker;
  std::int64_t mFrom = 0;
  std::int64_t mTo = 0;
  /// Shown by a listing, and not by the directory.
  bool mByListing = false;
  std::size_t mRuns = 0;
  std::size_t mUnlisted = 0;
  std::size_t mUnanswered = 0;
  /// Time since the worker's last answer.
  Duration mSilence{};
};

/// How the runs of earlier owners on a worker became known.
enum class InheritedProof : std::uint8_t
{
  Listing,
  LeaseExpired,
  WorkerEnded
};

std::string_view
ToString(InheritedProof aProof);

struct InheritedRunsResolved
{
  std::string mWorker;
  std::int64_t mIncarnation = 0;
  InheritedProof mProof = InheritedProof::Listing;
};

/// Ends that a worker's list left out before this owner had read them. Another
/// call than the owner's present ones has acknowledged them.
struct EndsForgotten
{
  std::string mWorker;
  std::int64_t mIncarnation = 0;
  std::uint64_t mFirst = 0;
  std::uint64_t mLast = 0;
};

/// Why tasks that are ready don't run.
enum class WaitReason : std::uint8_t
{
  /// Suspects of crashes that are kept apart from other tasks.
  Suspect,
  /// An earlier owner's runs on some worker aren't known.
  InheritedRunsUnknown,
  /// A run on a worker that is gone or silent hasn't certainly ended.
  RunHeld,
  Backoff,
  Advice,
  Quota,
  NoRoom
};

std::string_view
ToString(WaitReason aReason);

std::string_view
ToString(ActiveRun::Stage aStage);

/// Tasks of a step that have been ready for long and don't run.
struct TasksWaiting
{
  std::string mJob;
  std::uint32_t mOccurrence = 0;
  std::uint32_t mStep = 0;
  std::size_t mTasks = 0;
  Duration mFor{};
  WaitReason mReason = WaitReason::NoRoom;
  /// Of the run that is held: its worker, its stage, and the time until it has
  /// certainly ended if the worker doesn't answer.
  std::string mWorker;
  ActiveRun::Stage mStage = ActiveRun::Stage::Starting;
  Duration mUntilExpiry{};
};

using WorkerNotice = std::
  variant<WorkerRestart, InheritedRunsResolved, EndsForgotten, TasksWaiting>;

/// Cores of a pool.
struct PoolSummary
{
  /// Busy and total cores, without those that long-running tasks hold.
  double mBusyCores = 0;
  double mCapacityCores = 0;
};

/// Scheduler of one pool: its jobs, its workers and all decisions about them.
/// Does no I/O: the caller sends the orders that Plan returns, reports their
/// results, and commits the rows that TakeChanges returns.
class Cell
{
public:
  /// aName is that of the cell's grants of organisations' maxima.
  Cell(CellDurations aTimes,
       FencingToken aToken,
       std::uint32_t aTerm,
       TimePoint aTakenOver,
       std::string_view aName = {});

  /// Sets the token for calls to workers that restart from now on. It is higher
  /// than those that this owner has used, and lower than the next owner's.
  void SetNewestToken(FencingToken aToken);

  // Configuration.
  /// aCells is the number of cells that share organisations' maxima.
  void SetConfig(const WorkloadConfig& aConfig,
                 std::string_view aPool,
                 std::size_t aCells = 1);

  // State restored from the store.
  void Restore(CellJob aJob, TimePoint aNow, WallTime aWallNow);
  void RestoreEnded(std::string_view aId,
                    const StoredProgress& aProgress,
                    TimePoint aNow);
  void RestoreWorkers(std::span<const WorkerAddress> aWorkers, TimePoint aNow);

  // Callers.
  SubmitResult Submit(Submission aSubmission, TimePoint aNow);
  /// Whether new jobs of the queue belong to this cell.
  bool AcceptsQueue(std::string_view aQueue) const;
  /// Accepts no new jobs of the queue until the configuration is at least that
  /// version and sends them here.
  void CloseQueue(std::string_view aQueue, ConfigVersion aVersion);
  /// Queues of which the cell has jobs, also ended ones.
  std::vector<std::string> QueuesWithJobs() const;
  /// Cores of VMs that are being moved into the pool.
  void SetIncomingCores(double aCores);
  /// Delay before a rejected submission is retried; aJitter is in [0, 1].
  Duration RetryAfterFor(const Submission& aSubmission,
                         TimePoint aNow,
                         double aJitter);
  /// The pool's load: measured at intervals that grow with the cell, plus the
  /// jobs accepted since.
  const PoolLoad& Load(TimePoint aNow);
  /// Fails a job whose progress can't be stored.
  void Abandon(std::string_view aId, TimePoint aNow);
  /// False if no such job exists.
  bool Cancel(std::string_view aId, TimePoint aNow);
  std::optional<JobPhase> PhaseOf(std::string_view aId) const;
  /// False if the job is hidden from callers of the organisation.
  bool MayAccess(std::string_view aId, std::string_view aOrganisation) const;
  /// Whether the job's latest change is committed.
  bool IsStored(std::string_view aId) const;
  /// Whether a change of the job is in a commit whose outcome isn't known.
  bool IsCommitting(std::string_view aId) const;
  std::uint64_t Waiting(std::string_view aQueue) const;

  // Workers.
  void SetWorkers(std::span<const WorkerReport> aReports, TimePoint aNow);
  void SetDraining(std::string_view aWorker, bool aDraining);
  /// Renewal that waits for an end until one is due, at most for aMaxWait.
  RenewLease NextRenewal(std::string_view aWorker,
                         Duration aMaxWait,
                         TimePoint aNow);
  void OnListing(std::string_view aWorker,
                 const WorkerStatus& aListing,
                 TimePoint aSent,
                 TimePoint aNow);
  /// Handles a renewal that got no answer.
  void OnNoAnswer(std::string_view aWorker);
  /// Handles an attempt of a renewal that got none; the next one may get it.
  void OnRenewalAttemptLost(std::string_view aWorker);
  /// Handles a connection to the worker that broke or was refused, as when its
  /// process ends.
  void OnConnectionBroken(std::string_view aWorker, TimePoint aNow);
  void OnOtherWorker(std::string_view aWorker, TimePoint aNow);
  /// Handles the platform's report that an incarnation has ended; false if that
  /// was known, the worker answers, another incarnation is registered or some
  /// run may belong to the next one.
  bool OnWorkerEnded(std::string_view aWorker,
                     std::int64_t aIncarnation,
                     TimePoint aNow);
  /// Handles the platform's confirmation that the worker's VM has been moved;
  /// false if the incarnation isn't the known one or its end was known.
  bool OnWorkerMoved(std::string_view aWorker,
                     std::int64_t aIncarnation,
                     TimePoint aNow);
  void OnOrderReply(std::string_view aWorker,
                    const WorkerCall& aCall,
                    const Expected<WorkerReply>& aReply,
                    TimePoint aNow,
                    bool aAttemptUnanswered = false);

  // Advice.
  std::vector<AdviceRequest> TakeAdviceRequests();
  void OnAdvice(const AdviceRequest& aRequest,
                const std::map<std::string, std::string, std::less<>>& aTickets,
                Duration aValid,
                TimePoint aNow);

  /// Crashes of workers since the last call.
  std::vector<WorkerCrash> TakeCrashes();
  /// Runs lost by workers since the last call.
  std::vector<RunLoss> TakeRunLosses();
  std::vector<WorkerNotice> TakeWorkerNotices();

  /// Orders to send now.
  std::vector<CellOrder> Plan(TimePoint aNow, WallTime aWallNow);

  // Organisations' maxima.
  QuotaLedger& Quotas() { return mQuotas; }
  /// Changes that the cell's grants need after a plan; as
  /// QuotaLedger::NextWrite.
  std::vector<QuotaWrite> NextQuotaWrite(std::size_t aMax, TimePoint aNow);
  /// What the organisation's tasks hold, or may hold.
  Resources HeldBy(std::string_view aOrganisation) const;
  /// Number of steps that planning passes have left waiting for a grant.
  std::uint64_t QuotaWaits() const { return mQuotaWaits; }

  /// Images that have begun to interfere since the last call.
  std::vector<InterferingPair> TakeInterferingPairs()
  {
    return mInterference.TakeNewPairs();
  }

  // Commits.
  CellChanges TakeChanges(TimePoint aNow);
  /// Whether TakeChanges would return the changes of all jobs.
  bool FitsOneCommit() const;
  /// Number of jobs with changes that wait for a commit.
  std::size_t UncommittedJobs() const { return mDirtyJobs.size(); }
  /// As TakeChanges, for an owner that sends no more orders: the worker set
  /// holds only those that may still run something. All changes must fit.
  CellChanges TakeReleaseChanges(TimePoint aNow);
  void OnCommitted(const CellChanges& aChanges, TimePoint aNow);
  /// The commit certainly had no effect; its changes are queued again.
  void OnNotCommitted(const CellChanges& aChanges);

  /// Whether the call's token is below that of the worker's calls, so that its
  /// refusal doesn't mean that the cell has another owner.
  bool IsSuperseded(std::string_view aWorker, FencingToken aToken) const;
  /// Whether the worker waits for a token that no commit has brought yet.
  bool AwaitsNewToken(std::string_view aWorker) const;
  /// Whether the next renewal brings the worker a higher token.
  bool HasNewToken(std::string_view aWorker) const;

  /// Whether a planned start may still be sent to the worker.
  bool MayStartOn(std::string_view aWorker) const;
  /// Whether the outcome of the start is unknown and the run still wanted.
  bool AwaitsStart(std::string_view aWorker, const StartRun& aStart) const;

  bool Fenced() const { return mFenced; }
  const std::map<std::string, CellWorker, std::less<>>& Workers() const
  {
    return mWorkers;
  }
  const std::map<std::string, CellJob, std::less<>>& Jobs() const
  {
    return mJobs;
  }
  /// Whether the worker has runs, has ends to acknowledge, must be probed or
  /// may carry a start out late.
  bool NeedsRenewal(std::string_view aWorker, TimePoint aNow) const;
  /// Whether its ends should be acknowledged without a pause after the listing
  /// that has just been received.
  bool IsAcknowledgementOverdue(std::string_view aWorker, TimePoint aNow) const;
  PoolSummary Summary() const;
  /// Usage of the pool, for the fleet plan.
  PoolUsage Use(TimePoint aNow) const;

private:
  /// Exponentially decaying sums over the ended runs of a queue.
  struct QueueStats
  {
    double mObservedSeconds = 0;
    double mEstimatedSeconds = 0;
    double mRuns = 0;
  };
  struct Candidate;
  /// A crash that has been counted for its tasks.
  struct CountedCrash
  {
    TimePoint mAt;
    std::string mWorker;
    std::vector<TaskId> mTasks;
  };
  /// Where the long-running tasks can run that have no worker or are to leave
  /// theirs.
  struct LongRunningRoom
  {
    /// Those on draining workers that another worker has room for.
    std::set<TaskId> mMovable;
    /// Number of these tasks by the worker that has room for them.
    std::map<std::string_view, std::uint32_t> mExpectedRuns;
    /// Additional workers that the others need.
    std::uint32_t mMissingWorkers = 0;
  };
  /// Outcome of the placement of a step's idle tasks.
  enum class Placement : std::uint8_t
  {
    AllPlaced,
    /// Some wait for a time, for advice, or for other tasks of the job.
    Waiting,
    /// Some wait for a grant of their organisation's maximum.
    OverQuota,
    /// No worker has room for some of them.
    NoRoom
  };

  CellWorker* FindWorker(std::string_view aId);
  CellJob* FindJob(std::string_view aId);
  const QueueConfig* FindQueue(std::string_view aName) const;
  const QueueConfig* QueueOf(const CellJob& aJob) const;
  RunTimeModel ModelOf(std::string_view aQueue) const;
  Duration ObjectiveOf(std::string_view aQueue, const JobSpec& aSpec) const;
  PoolLoad MeasureLoad(TimePoint aNow) const;
  bool HasImpossibleStep(const JobSpec& aSpec) const;
  JobDemand DemandOf(std::string_view aQueue,
                     const JobSpec& aSpec,
                     TimePoint aFirstSeen,
                     TimePoint aNow) const;

  CellJob& AddJob(CellJob aJob);
  void MarkDirty(CellJob& aJob);
  std::vector<CellJob*> TakeDirtyJobs();
  std::uint64_t LastCoveredChange() const;
  /// Finds or creates an occurrence's record; null if it is done or out of
  /// range.
  OccurrenceRecord* OpenOccurrence(CellJob& aJob, std::uint32_t aNumber);
  void ReportIncarnation(CellWorker& aWorker,
                         const WorkerReport& aReport,
                         TimePoint aNow);
  void BeginIncarnation(CellWorker& aWorker, TimePoint aNow);
  void RequireNewToken(CellWorker& aWorker, TimePoint aNow) const;
  Duration LongestLease() const;
  void ExtendLaterLease(CellWorker& aWorker, TimePoint aNow) const;
  FencingToken TokenFor(const CellWorker& aWorker) const;
  void RemoveLostRuns(CellWorker& aWorker,
                      const std::set<TaskId>& aPresent,
                      TimePoint aSent,
                      TimePoint aNow);
  void EndIncarnation(CellWorker& aWorker, TimePoint aNow);
  void AddRun(CellWorker& aWorker, const TaskId& aTask, const ActiveRun& aRun);
  /// What the runs of a job hold.
  Resources HeldByJob(std::string_view aJob) const;
  void UpdateInheritedHolds(TimePoint aNow);
  bool HasRuns(std::string_view aJob) const;
  bool ShouldAdmitJob(std::string_view aOrganisation,
                      const JobDemand& aDemand,
                      TimePoint aNow);
  void AdvanceFairShare(TimePoint aNow);
  void PlaceCandidates(std::span<const Candidate> aCandidates,
                       TimePoint aNow,
                       std::vector<CellOrder>& aOrders);
  void AddQuotaNeed(const CellJob& aJob);
  void AddQuotaNeed(const Candidate& aCandidate,
                    std::span<const PlacementTarget> aTargets);
  bool HasInterferingNeighbour(const CellWorker& aWorker,
                               const StepSpec& aSpec,
                               TimePoint aNow) const;
  void RecordTails(const CellWorker& aWorker, TimePoint aNow);
  bool ShouldThrottle(const CellWorker& aWorker,
                      const ActiveRun& aRun,
                      TimePoint aNow) const;
  void ReleaseRun(CellWorker& aWorker, const TaskId& aTask);
  void RemoveRun(CellWorker& aWorker, const TaskId& aTask);
  /// Removes a run that ended with its incarnation.
  void RemoveLostRun(CellWorker& aWorker, const TaskId& aTask, TimePoint aNow);
  void RecordRunLoss(const CellWorker& aWorker,
                     RunLossCause aCause,
                     std::span<const TaskId> aLost,
                     TimePoint aNow);
  void RecordRestart(const CellWorker& aWorker,
                     std::int64_t aTo,
                     bool aByListing,
                     TimePoint aNow);
  void ResolveInheritedRuns(CellWorker& aWorker, InheritedProof aProof);
  void RecordForgottenEnds(const CellWorker& aWorker,
                           const WorkerStatus& aListing);
  void ResetToIdle(const TaskId& aTask, std::string_view aWorker);
  /// Null for unknown tasks and for those of occurrences that aren't open.
  TaskRecord* FindTask(const TaskId& aTask);
  /// Records that an attempt to start a run that is over may still come.
  void RecordEarlierStart(const TaskId& aTask, TimePoint aUntil);
  void RecordCrash(CellWorker& aWorker,
                   std::span<const TaskId> aLost,
                   TimePoint aNow);
  bool HasCommonCause(const CellWorker& aWorker) const;
  void WithdrawExplainedCrashes(TimePoint aNow);
  void FailJob(CellJob& aJob, TimePoint aNow);
  void RequestStop(ActiveRun& aRun, TimePoint aNow);
  void StopRunsOf(const CellJob& aJob, TimePoint aNow);
  /// Stops the other members of the gang, if the task is of one.
  void StopGangOf(const TaskId& aMember, std::uint64_t aRun, TimePoint aNow);
  void OnRunEnded(CellWorker& aWorker, const EndedRun& aEnd, TimePoint aNow);
  void OnTaskDone(CellJob& aJob, const TaskId& aTask, TimePoint aNow);
  void OnTaskFailed(CellWorker& aWorker,
                    CellJob& aJob,
                    const EndedRun& aEnd,
                    TimePoint aNow);
  void UpdatePresentRun(CellWorker& aWorker,
                        const ReportedRun& aPresent,
                        TimePoint aSent,
                        TimePoint aNow);
  void RecordUnsettledEnd(CellWorker& aWorker,
                          const ActiveRun& aRun,
                          const EndedRun& aEnd,
                          TimePoint aNow);
  void ProcessEndedRuns(CellWorker& aWorker,
                        const WorkerStatus& aListing,
                        TimePoint aNow);
  void ResolveAbsentRuns(CellWorker& aWorker,
                         const std::set<TaskId>& aPresent,
                         TimePoint aSent,
                         TimePoint aNow);
  void RecordRunTime(const CellJob& aJob,
                     const TaskId& aTask,
                     Duration aRunTime);

  void ExpireLeases(TimePoint aNow);
  void OpenOccurrences(WallTime aWallNow);
  bool InheritedRunsKnown(TimePoint aNow) const;
  void PlanStops(TimePoint aNow, std::vector<CellOrder>& aOrders);
  LongRunningRoom FindLongRunningRoom(TimePoint aNow) const;
  void PlanEvacuation(TimePoint aNow);
  void PlanRates(TimePoint aNow, std::vector<CellOrder>& aOrders);
  void RecordWaitingTasks(TimePoint aNow);
  std::optional<TasksWaiting> FindWaitingTasks(const CellJob& aJob,
                                               std::uint32_t aOccurrence,
                                               std::uint32_t aStep,
                                               bool aInheritedRunsKnown,
                                               TimePoint aNow) const;
  void RemoveStaleTickets(StepRecord& aStep, TimePoint aNow) const;
  void PlanStarts(TimePoint aNow, std::vector<CellOrder>& aOrders);
  void CollectCandidates(TimePoint aNow, std::vector<Candidate>& aOut);
  Placement PlaceStep(const Candidate& aCandidate,
                      std::vector<PlacementTarget>& aTargets,
                      std::span<CellWorker* const> aWorkers,
                      TimePoint aNow,
                      std::vector<CellOrder>& aOrders);
  static void ReserveTarget(const Candidate& aCandidate,
                            std::vector<PlacementTarget>& aTargets);
  /// A placement target for every worker; aWorkers gets the workers in the same
  /// order.
  std::vector<PlacementTarget> PlacementTargets(
    TimePoint aNow,
    std::vector<CellWorker*>& aWorkers);
  bool Usable(const CellWorker& aWorker, TimePoint aNow) const;
  std::size_t CountIsolationSlots(TimePoint aNow) const;
  void ReserveForIsolation(const TaskRequirements& aRequirements,
                           std::vector<PlacementTarget>& aTargets);
  void StartTask(CellWorker& aWorker,
                 CellJob& aJob,
                 const TaskId& aTask,
                 std::uint64_t aRun,
                 bool aIsolated,
                 TimePoint aNow,
                 std::vector<CellOrder>& aOrders);
  std::int64_t GrantLease(CellWorker& aWorker, TimePoint aNow);
  void ExtendLease(CellWorker& aWorker, TimePoint aNow) const;
  std::uint32_t CountUnavailableTasks(const CellJob& aJob,
                                      std::uint32_t aOccurrence,
                                      std::uint32_t aStep,
                                      const TaskId& aExcluded,
                                      TimePoint aNow) const;

  CellDurations mTimes;
  FencingToken mToken;
  FencingToken mNewestToken;
  std::uint32_t mTerm;
  TimePoint mTakenOver;
  bool mFenced = false;
  WorkloadConfig mConfig;
  /// Indices of the queues of mConfig by name.
  std::map<std::string, std::size_t, std::less<>> mQueues;
  std::string mPool;
  std::map<std::string, CellJob, std::less<>> mJobs;
  /// Number of jobs in mJobs by queue.
  std::map<std::string, std::size_t, std::less<>> mJobsByQueue;
  /// Version of the configuration that sends each closed queue elsewhere.
  std::map<std::string, ConfigVersion, std::less<>> mClosedQueues;
  std::map<std::string, CellWorker, std::less<>> mWorkers;
  std::set<std::string, std::less<>> mLiveJobs;
  /// Jobs with changes that no commit holds yet, in the order of the changes.
  std::vector<std::string> mDirtyJobs;
  /// Number of the last change that made a job dirty.
  std::uint64_t mLastChange = 0;
  TimePoint mNextExpirySearch = TimePoint::min();
  bool mWorkersDirty = false;
  std::map<std::string, QueueStats, std::less<>> mQueueStats;
  /// First submission of each rejected job.
  std::map<std::string, TimePoint, std::less<>> mRejectedFirstSeen;
  DemandEstimator mDemand;
  QuotaLedger mQuotas;
  /// What runs hold, by organisation.
  std::map<std::string, Resources, std::less<>> mHeld;
  /// What runs of earlier owners that aren't known may hold.
  std::map<std::string, Resources, std::less<>> mInheritedHolds;
  bool mInheritedHoldsOver = false;
  /// Use of limited organisations, as of the last plan.
  std::map<std::string, QuotaUse, std::less<>> mQuotaUse;
  std::uint64_t mQuotaWaits = 0;
  FairShare mFairShare;
  TimePoint mFairShareDue = TimePoint::min();
  /// Cores that organisations share.
  double mSharedCores = 0;
  InterferenceTable mInterference;
  std::vector<WorkerCrash> mCrashes;
  /// Oldest first; those that a common cause may still explain.
  std::deque<CountedCrash> mCountedCrashes;
  /// Workers that the present planning pass may still set apart for suspects.
  std::size_t mIsolationSlots = 0;
  std::vector<RunLoss> mRunLosses;
  std::vector<WorkerNotice> mWorkerNotices;
  TimePoint mNextWaitSearch = TimePoint::min();
  double mIncomingCores = 0;
  PoolLoad mLoad;
  /// When mLoad was measured; none if it must be measured again.
  std::optional<TimePoint> mLoadMeasuredAt;
};

} // namespace buckthornshunt

#endif
