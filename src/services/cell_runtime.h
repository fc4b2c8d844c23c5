#ifndef BUCKTHORNSHUNT_SERVICES_CELL_RUNTIME_H
#define BUCKTHORNSHUNT_SERVICES_CELL_RUNTIME_H

#include "decide/answer_timer.h"
#include "decide/cell.h"
#include "decide/fleet_layout.h"
#include "decide/work_pace.h"
#include "kernel/entry_log.h"
#include "kernel/kernel.h"
#include "kernel/wait.h"
#include "ports/caller_calls.h"
#include "ports/store.h"
#include "ports/workers.h"
#include "services/cell_activity.h"
#include "services/cell_lease.h"
#include "services/directory_service.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornshunt {

/// Tables of jobs; the part of a row is its cell's name, the key the job's id.
constexpr std::string_view kJobTable = "jobs";
constexpr std::string_view kProgressTable = "progress";
/// Table of the grants of organisations' maxima, which all cells write; the key
/// of a row is the organisation.
constexpr std::string_view kQuotaTable = "quotas";
constexpr std::string_view kQuotaPartition = "quotas";
/// Key of the row, next to the owner row, of the workers that may hold leases.
constexpr std::string_view kWorkersKey = "workers";

/// External interfaces that a cell's owner uses.
struct CellPorts
{
  Store* mStore = nullptr;
  Workers* mWorkers = nullptr;
  /// Service that advises on the choice of workers; port 0 if there is none.
  Endpoint mAdviceEndpoint;
};

/// Runs a cell that this node owns: sends the cell's orders to workers, renews
/// the lease and commits the cell's changes.
class CellRuntime
{
public:
  CellRuntime(Kernel& aKernel,
              const CellPorts& aPorts,
              DirectoryService& aDirectory,
              FleetLayout aLayout,
              CellId aId,
              CellDurations aTimes,
              ClaimResult aClaim);

  /// Starts to load the cell's rows, then to plan and commit.
  void Start();

  /// Stops every task, then stores the remaining changes and releases the cell
  /// unless it is lost. Gives the release up at aDeadline. Must not be
  /// cancelled.
  Task<void> Stop(TimePoint aDeadline);

  const std::string& Name() const { return mId.mName; }

  /// True if the lease holds and the cell isn't being released.
  bool HoldsLease() const { return !mReleasing && mLease.IsValid(); }
  /// True once the lease has been lost to another node.
  bool Lost() const { return mLease.Lost(); }
  bool Loaded() const { return mLoaded; }

  /// False once the lease is lost or the cell is being released.
  bool Active() const { return !mReleasing && !Lost(); }

  /// Notes what the node's other cells make of its delay in claiming this one.
  void SetClaimDelay(Duration aDelay) { mLease.SetClaimDelay(aDelay); }

  /// Answers a caller's call; ServiceUnavailable if the cell can't take it now.
  Task<CallerReply> Handle(CallerCall aCall, TimePoint aDeadline);

  /// The cell's state; valid only once the cell is loaded.
  Cell& State() { return *mCell; }

  /// Applies the current workers and configuration to the cell.
  void OnDirectoryChange();

  /// Ends the worker incarnation that started at aBorn, with all runs on it.
  void MarkWorkerGone(std::string_view aWorker, std::int64_t aBorn);
  /// Notes that the move of its VM has ended a worker's incarnation.
  void MarkWorkerMoved(std::string_view aWorker, std::int64_t aIncarnation);

  /// Starts nothing new on exactly these workers; true once this is stored.
  Task<bool> SealWorkers(std::vector<std::string> aWorkers,
                         TimePoint aDeadline);

private:
  /// The last attempt of a renewal.
  struct SentRenewal
  {
    TimePoint mAt;
    FencingToken mToken{};
  };

  /// What is known about a job's latest change.
  enum class ChangeState : std::uint8_t
  {
    Stored,
    /// Not stored, and in no commit.
    NotStored,
    Unknown
  };

  struct QueuedOrder
  {
    WorkerCall mCall;
    TimePoint mDecidedAt;
  };

  /// Unsent orders to a worker, in the order they were decided.
  struct WorkerQueue
  {
    explicit WorkerQueue(asio::io_context& aContext);
    /// Notified when the worker may need a renewal.
    Event mChanged;
    std::deque<QueuedOrder> mOrders;
    int mSenders = 0;
    bool mMonitored = false;
    /// Renewed again and again, and not only watched.
    bool mInUse = false;
    AnswerTimer mAnswers;
    /// When it was first asked in vain since its last answer.
    std::optional<TimePoint> mSilentSince;
  };

  Task<void> Load();
  Task<bool> LoadTable(std::string aTable, std::vector<StoredRow>& aRows);
  void Restore(const std::vector<StoredRow>& aJobs,
               const std::vector<StoredRow>& aProgress,
               const std::vector<StoredRow>& aCells);
  void HoldUnreadableJob(const StoredRow& aRow, const Failure& aFailure);
  Task<void> PlanLoop();
  Task<void> PaceLoop();
  Task<void> CommitLoop();
  Task<void> FollowQuotas();
  Task<void> WriteQuotas();
  Task<Expected<Revision>> ReadQuotas(std::optional<Revision> aAfter);
  Task<bool> CommitQuotas(std::vector<QuotaWrite> aWrites);
  void ApplyQuotaRow(const StoredRow& aRow);
  void LogPlanNotices();
  Task<bool> Release(TimePoint aDeadline);
  Task<bool> CommitChanges(CellChanges aChanges,
                           bool aRelease,
                           TimePoint aDeadline);
  ConditionalCommit MakeCommit(CellChanges& aChanges);
  Task<void> MonitorWorker(std::string aWorker);
  Task<Expected<WorkerReply>> SendRenewal(std::string aWorker,
                                          SentRenewal& aSent);
  Task<bool> RenewWorkerLeases(const std::string& aWorker, Duration aPause);
  Duration RenewalBackoff(std::string_view aWorker) const;
  Task<void> SendOrders(std::string aWorker);
  Task<Expected<WorkerReply>> SendOrder(std::string aWorker,
                                        const WorkerCall& aCall,
                                        bool& aUnanswered);
  bool MaySend(std::string_view aWorker, const WorkerCall& aCall) const;
  Task<void> FetchAdvice(AdviceRequest aRequest);
  void Dispatch(std::vector<CellOrder> aOrders);
  WorkerQueue& QueueOf(std::string_view aWorker);
  void NotifyWorker(std::string_view aWorker);
  void NotifyWorkers();
  void SetInUse(WorkerQueue& aQueue, bool aInUse);
  void MonitorWorkers();
  void LogStarts(std::span<const CellOrder> aOrders) const;
  void RecordMalformedRuns(std::string_view aWorker,
                           const WorkerStatus& aListing);
  void RecordCrashes();
  static std::size_t CountNewEnds(const CellWorker& aWorker,
                                  const WorkerStatus& aListing);
  void LogEndedRuns(const CellWorker& aWorker,
                    const WorkerStatus& aListing) const;
  bool IsFromFormerAddress(std::string_view aWorker,
                           const Endpoint& aEndpoint,
                           const Expected<WorkerReply>& aReply) const;
  void LogOrder(std::string_view aWorker,
                const WorkerCall& aCall,
                const Expected<WorkerReply>& aReply,
                bool aUnanswered) const;
  void LogChanges(const CellChanges& aChanges) const;
  void MarkLost(std::string_view aWhy);
  RowName MakeRowName(std::string_view aTable, std::string_view aKey) const;

  Task<CallerReply> Submit(SubmitJob aCall, TimePoint aDeadline);
  Task<CallerReply> Find(LocateJob aCall, TimePoint aDeadline);
  Task<CallerReply> Cancel(CancelJob aCall, TimePoint aDeadline);
  Task<ChangeState> AwaitStored(std::string aId, TimePoint aDeadline);

  Kernel& mKernel;
  Clock& mClock;
  CellPorts mPorts;
  DirectoryService& mDirectory;
  DirectoryService::WorkerSubscription mWorkerSubscription;
  FleetLayout mLayout;
  CellId mId;
  CellLease mLease;
  bool mLoaded = false;
  bool mReleasing = false;
  /// No further change will be stored.
  bool mClosed = false;
  /// Commit even if no row has changed.
  bool mCommitRequested = false;
  bool mSealsCommitted = true;
  /// Changes of the commit in progress.
  std::optional<CellChanges> mInFlightChanges;
  std::unique_ptr<Cell> mCell;
  TaskGroup mTasks;
  AutoResetEvent mPlanDue;
  AutoResetEvent mCommitDue;
  AutoResetEvent mQuotaDue;
  AnswerTimer mQuotaAnswers;
  std::uint64_t mLoggedQuotaWaits = 0;
  Event mCommitted;
  std::map<std::string, WorkerQueue, std::less<>> mWorkerQueues;
  int mWorkersInUse = 0;
  /// Jobs of which a row can't be read.
  std::set<std::string, std::less<>> mUnreadableJobs;
  MalformedEntryLog mMalformed;
  WorkPace mPace;
  CellActivity mActivity;
};

} // namespace buckthornshunt

#endif
