#ifndef BUCKTHORNSHUNT_DECIDE_CELL_H
#define BUCKTHORNSHUNT_DECIDE_CELL_H

#include "decide/admission.h"
#include "decide/cell_job.h"
#include "decide/demand.h"
#include "decide/fleet_plan.h"
#include "decide/task_placement.h"
#include "ports/worker_calls.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornshunt {

/// Missed answers after which a worker gets nothing new: one may be a
/// connection that was reset.
constexpr int kMissedAnswersUntilSuspected = 2;

/// A worker's clock may run this much slower or faster than ours, in parts of
/// one; from the platform's contract.
constexpr double kMaxClockDrift = 0.02;
/// Allowance for answers that were read late.
constexpr Duration kLeaseGracePeriod = std::chrono::milliseconds(200);

/// Times of the platform that a cell plans with.
struct CellDurations
{
  /// Lease that each renewal grants to what a worker runs.
  Duration mRunLeaseDuration = std::chrono::seconds(7);
  /// Time after its end for which a job's state can be asked.
  Duration mStatusRetention = std::chrono::seconds(120);
};

/// What a cell knows of a run that is, or may be, on a worker.
struct ActiveRun
{
  enum class Stage : std::uint8_t
  {
    /// The order to start is on its way.
    Starting,
    /// The start got no answer; it may have happened, or may still.
    Unconfirmed,
    Running,
    /// To be stopped, so that it can't run or start there any more.
    Stopping
  };

  std::uint64_t mRun = 0;
  Stage mStage = Stage::Starting;
  /// Start of the present stage.
  TimePoint mStageSince;
  bool mStopSent = false;
  TimePoint mStopSentAt;
  /// A stop was carried out; listings asked for later tell what is left.
  std::optional<TimePoint> mStopAcknowledgedAt;
  Resources mReserved;
  bool mBestEffort = false;
  bool mLongRunning = false;
  int mRatePercent = 0;
  int mTargetRatePercent = 100;
  std::optional<double> mGauge;
  Duration mTailLatencyTarget{};
  TimePoint mStartedAt;
};

/// A worker as its cell's owner knows it.
struct CellWorker
{
  WorkerReport mReport;
  /// The directory lists it.
  bool mListed = false;
  /// It has accepted this owner's token in its present life.
  bool mTokenAccepted = false;
  /// It is in the cell's durable set, so a next owner will look there.
  bool mPersisted = false;
  /// It is about to leave the pool or to be maintained; nothing new starts.
  bool mDraining = false;
  /// Runs may be on it that an earlier owner started.
  bool mInheritedRunsUnknown = false;
  /// It is surely gone.
  bool mEnded = false;
  /// It was said to be gone and hasn't been asked since.
  bool mNeedsProbe = false;
  std::int64_t mIncarnation = 0;
  std::int64_t mWorkerClockMs = 0;
  /// When mWorkerClockMs was received.
  TimePoint mClockReceivedAt;
  /// When every lease granted so far has surely ended.
  TimePoint mLeaseExpiry;
  TimePoint mLastAnswerAt;
  int mMissedAnswers = 0;
  std::uint64_t mLastSeenEnd = 0;
  std::uint64_t mLastCommittedEnd = 0;
  Resources mReserved;
  std::map<TaskId, ActiveRun> mRuns;
  /// Failed runs in a row, of different jobs.
  int mConsecutiveFailures = 0;
  std::string mLastFailedJob;
  TimePoint mAvoidUntil;
  TimePoint mRateAdjustedAt;
};

/// An order to one worker.
struct CellOrder
{
  std::string mWorker;
  WorkerCall mCall;
};

/// Rows that the next commit writes.
struct CellChanges
{
  std::vector<StoredJob> mNewJobs;
  std::vector<std::pair<std::string, StoredProgress>> mProgress;
  /// Jobs whose first row is no longer needed.
  std::vector<std::string> mEndedJobs;
  /// Jobs that nobody can ask for any more.
  std::vector<std::string> mExpiredJobs;
  /// Durable set of workers, if it changed.
  std::optional<std::vector<WorkerAddress>> mWorkers;
  /// Ends that the rows cover, by worker.
  std::map<std::string, std::uint64_t> mLastEnds;

  bool Empty() const;
};

/// A job submitted to a cell.
struct Submission
{
  std::string mId;
  std::string mQueue;
  JobSpec mSpec;
  WallTime mSubmittedAt;
};

enum class SubmitResult : std::uint8_t
{
  /// The job is there; it counts as accepted once it is stored.
  Accepted,
  Rejected
};

/// A question which workers may run a step.
struct AdviceRequest
{
  std::string mJob;
  std::uint32_t mOccurrence = 0;
  std::uint32_t mStep = 0;
  std::vector<std::string> mWorkers;
};

/// Load of a pool.
struct PoolSummary
{
  std::string mPool;
  double mBacklogCoreSeconds = 0;
  /// Cores that tasks which end by themselves hold, or could hold.
  double mBusyCores = 0;
  double mCapacityCores = 0;
};

/// The jobs and workers of one pool, and every decision about them. It has no
/// input or output: its owner carries out what Plan returns, reports what
/// came of it, and commits what TakeChanges returns.
class Cell
{
public:
  Cell(CellDurations aTimes,
       FencingToken aToken,
       std::uint32_t aTerm,
       TimePoint aTakenOver);

  // Configuration.
  void SetConfig(const WorkloadConfig& aConfig, std::string_view aPool);

  // State taken over from the store.
  void Restore(CellJob aJob, TimePoint aNow, WallTime aWallNow);
  void RestoreEnded(std::string_view aId,
                    const StoredProgress& aProgress,
                    TimePoint aNow);
  void RestoreWorkers(std::span<const WorkerAddress> aWorkers, TimePoint aNow);

  // Callers.
  SubmitResult Submit(Submission aSubmission, TimePoint aNow);
  /// Cores of VMs that are on their way into the pool.
  void SetIncomingCores(double aCores) { mIncomingCores = aCores; }
  /// When to come back after a refusal; aJitter of 0 to 1.
  Duration RetryAfterFor(const Submission& aSubmission,
                         TimePoint aNow,
                         double aJitter) const;
  /// False if no such job exists.
  bool Cancel(std::string_view aId, TimePoint aNow);
  std::optional<JobPhase> PhaseOf(std::string_view aId) const;
  /// The job's latest change is committed.
  bool IsStored(std::string_view aId) const;
  std::uint64_t Waiting(std::string_view aQueue) const;

  // Workers.
  void SetWorkers(std::span<const WorkerReport> aReports, TimePoint aNow);
  void SetDraining(std::string_view aWorker, bool aDraining);
  RenewLease NextRenewal(std::string_view aWorker,
                         Duration aWait,
                         TimePoint aNow);
  void OnListing(std::string_view aWorker,
                 const WorkerListing& aListing,
                 TimePoint aSent,
                 TimePoint aNow);
  void OnNoAnswer(std::string_view aWorker);
  void OnOtherWorker(std::string_view aWorker, TimePoint aNow);
  /// The worker's life that began at aBorn is surely over; false if that was
  /// known or another life is there.
  bool OnWorkerEnded(std::string_view aWorker,
                     std::int64_t aIncarnation,
                     TimePoint aNow);
  void OnOrderReply(std::string_view aWorker,
                    const WorkerCall& aCall,
                    const Expected<WorkerReply>& aReply,
                    TimePoint aNow);

  // Advice.
  std::vector<AdviceRequest> TakeAdviceRequests();
  void OnAdvice(const AdviceRequest& aRequest,
                std::map<std::string, std::string, std::less<>> aTickets,
                Duration aValid,
                TimePoint aNow);

  /// Orders that are to go out now.
  std::vector<CellOrder> Plan(TimePoint aNow, WallTime aWallNow);

  // Commits.
  CellChanges TakeChanges(TimePoint aNow);
  /// As TakeChanges, for an owner that gives no more orders: the set of workers
  /// holds only those that may still run something.
  CellChanges TakeReleaseChanges(TimePoint aNow);
  void OnCommitted(const CellChanges& aChanges, TimePoint aNow);
  /// A commit that surely had no effect; its changes are due again.
  void OnNotCommitted(const CellChanges& aChanges);

  /// A start that was planned may still go out to the worker.
  bool MayStartOn(std::string_view aWorker) const;

  bool Fenced() const { return mFenced; }
  const std::map<std::string, CellWorker, std::less<>>& Workers() const
  {
    return mWorkers;
  }
  const std::map<std::string, CellJob, std::less<>>& Jobs() const
  {
    return mJobs;
  }
  /// Worker has something to renew a lease for, or must be asked first.
  bool NeedsRenewal(std::string_view aWorker) const;
  PoolSummary Summary() const;
  /// Use of the pool, for the plan of the whole fleet.
  PoolUse Use(TimePoint aNow) const;

private:
  /// Decaying sums of what the ended runs of a queue took.
  struct QueueStats
  {
    double mObservedSeconds = 0;
    double mEstimatedSeconds = 0;
    double mRuns = 0;
  };
  struct Candidate;

  CellWorker* FindWorker(std::string_view aId);
  CellJob* FindJob(std::string_view aId);
  const QueueConfig* FindQueue(std::string_view aName) const;
  const QueueConfig* QueueOf(const CellJob& aJob) const;
  RunTimeModel ModelOf(std::string_view aQueue) const;
  Duration ObjectiveOf(std::string_view aQueue, const JobSpec& aSpec) const;
  PoolLoad CurrentLoad() const;
  JobDemand DemandOf(std::string_view aQueue,
                     const JobSpec& aSpec,
                     TimePoint aFirstSeen,
                     TimePoint aNow) const;

  void MarkDirty(CellJob& aJob);
  /// The occurrence's record; null if it is done or doesn't exist.
  OccurrenceRecord* OpenOccurrence(CellJob& aJob, std::uint32_t aNumber);
  void BeginIncarnation(CellWorker& aWorker, TimePoint aNow);
  void EndIncarnation(CellWorker& aWorker, TimePoint aNow);
  void ReleaseRun(CellWorker& aWorker, const TaskId& aTask);
  void RemoveRun(CellWorker& aWorker, const TaskId& aTask);
  void ResetToIdle(const TaskId& aTask, std::string_view aWorker);
  void RequestStop(ActiveRun& aRun, TimePoint aNow);
  void StopRunsOf(const CellJob& aJob, TimePoint aNow);
  void OnRunEnded(CellWorker& aWorker, const EndedRun& aEnd, TimePoint aNow);
  void OnTaskDone(CellJob& aJob, const TaskId& aTask, TimePoint aNow);
  void OnTaskFailed(CellWorker& aWorker,
                    CellJob& aJob,
                    const EndedRun& aEnd,
                    TimePoint aNow);
  void UpdatePresentRun(CellWorker& aWorker,
                        const PresentRun& aPresent,
                        TimePoint aSent,
                        TimePoint aNow);
  void ResolveAbsentRuns(CellWorker& aWorker,
                         const std::set<TaskId>& aPresent,
                         TimePoint aSent,
                         TimePoint aNow);
  void RecordRunTime(const CellJob& aJob, const TaskId& aTask, Duration aTook);

  void ExpireLeases(TimePoint aNow);
  void OpenOccurrences(WallTime aWallNow);
  bool InheritedRunsKnown(TimePoint aNow) const;
  void PlanStops(TimePoint aNow, std::vector<CellOrder>& aOrders);
  void PlanEvacuation(TimePoint aNow);
  void PlanRates(TimePoint aNow, std::vector<CellOrder>& aOrders);
  void PlanStarts(TimePoint aNow, std::vector<CellOrder>& aOrders);
  void CollectCandidates(TimePoint aNow, std::vector<Candidate>& aOut);
  bool PlaceStep(const Candidate& aCandidate,
                 std::vector<PlacementTarget>& aTargets,
                 std::span<CellWorker* const> aWorkers,
                 TimePoint aNow,
                 std::vector<CellOrder>& aOrders);
  static void ReserveTarget(const Candidate& aCandidate,
                            std::vector<PlacementTarget>& aTargets);
  /// Room of every worker, and beside it the worker.
  std::vector<PlacementTarget> PlacementTargets(
    TimePoint aNow,
    std::vector<CellWorker*>& aWorkers);
  bool Usable(const CellWorker& aWorker, TimePoint aNow) const;
  void StartTask(CellWorker& aWorker,
                 CellJob& aJob,
                 const TaskId& aTask,
                 std::uint64_t aRun,
                 TimePoint aNow,
                 std::vector<CellOrder>& aOrders);
  std::int64_t GrantLease(CellWorker& aWorker, TimePoint aNow);
  std::uint32_t CountUnavailableTasks(const CellJob& aJob,
                                      std::uint32_t aOccurrence,
                                      std::uint32_t aStep,
                                      const TaskId& aExcluded,
                                      TimePoint aNow) const;

  CellDurations mTimes;
  FencingToken mToken;
  std::uint32_t mTerm;
  TimePoint mTakenOver;
  bool mFenced = false;
  WorkloadConfig mConfig;
  /// The queues of mConfig by name.
  std::map<std::string, const QueueConfig*, std::less<>> mQueues;
  std::string mPool;
  std::map<std::string, CellJob, std::less<>> mJobs;
  std::map<std::string, CellWorker, std::less<>> mWorkers;
  std::set<std::string, std::less<>> mLiveJobs;
  std::set<std::string> mDirtyJobs;
  bool mWorkersDirty = false;
  std::map<std::string, QueueStats, std::less<>> mQueueStats;
  /// First attempts of jobs that were turned away.
  std::map<std::string, TimePoint, std::less<>> mRejectedFirstSeen;
  DemandMeter mDemand;
  double mIncomingCores = 0;
};

} // namespace buckthornshunt

#endif
