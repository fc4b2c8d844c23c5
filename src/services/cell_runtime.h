#ifndef BUCKTHORNSHUNT_SERVICES_CELL_RUNTIME_H
#define BUCKTHORNSHUNT_SERVICES_CELL_RUNTIME_H

#include "decide/cell.h"
#include "kernel/kernel.h"
#include "kernel/wait.h"
#include "ports/caller_calls.h"
#include "ports/store.h"
#include "ports/workers.h"
#include "services/cell_lease.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornshunt {

class DirectoryService;

/// Tables of a cell's jobs; the part is the cell's name, the key the job.
constexpr std::string_view kJobTable = "jobs";
constexpr std::string_view kProgressTable = "progress";
/// Row beside the owner row: the workers that the owner may have given leases.
constexpr std::string_view kWorkersKey = "workers";

/// What a cell's owner works with.
struct CellPorts
{
  Store* mStore = nullptr;
  Workers* mWorkers = nullptr;
  /// Service that advises on workers; port 0 if there is none.
  Endpoint mAdviceEndpoint;
};

/// Runs a cell that this node owns: carries out what the cell decides, renews
/// the ownership and commits its changes.
class CellRuntime
{
public:
  CellRuntime(Kernel& aKernel,
              const CellPorts& aPorts,
              DirectoryService& aDirectory,
              std::string_view aPool,
              CellDurations aTimes,
              ClaimResult aClaim);

  /// Starts to read the cell's rows and then to act.
  void Start();

  /// Ends every task; gives the cell up in the store if asked to.
  Task<void> Stop(bool aRelease);

  const std::string& Pool() const { return mPool; }

  /// The ownership surely holds now.
  bool HoldsLease() const { return !mReleasing && mLease.IsValid(); }
  /// Another node owns the cell.
  bool Lost() const { return mLease.Lost(); }
  bool Loaded() const { return mLoaded; }

  /// Answers a caller's call.
  Task<CallerReply> Handle(CallerCall aCall, TimePoint aDeadline);

  /// The cell's state; only meaningful once it is loaded.
  Cell& State() { return *mCell; }

  /// Says that the workers or the configuration changed.
  void OnDirectoryChange();

  /// Takes a worker for gone, with everything on it.
  void MarkWorkerGone(std::string_view aWorker, std::int64_t aBorn);

  /// Closes workers for new starts, and records it before it returns true.
  Task<bool> SealWorkers(std::vector<std::string> aWorkers,
                         TimePoint aDeadline);

private:
  /// Orders to a worker, in the order they were decided.
  struct WorkerQueue
  {
    std::deque<WorkerCall> mOrders;
    int mSenders = 0;
    bool mMonitored = false;
  };

  Task<void> Load();
  Task<bool> LoadTable(std::string aTable, std::vector<StoredRow>& aRows);
  void Restore(const std::vector<StoredRow>& aJobs,
               const std::vector<StoredRow>& aProgress,
               const std::vector<StoredRow>& aCells);
  Task<void> PlanLoop();
  Task<void> CommitLoop();
  ConditionalCommit MakeCommit(const CellChanges& aChanges) const;
  Task<void> MonitorWorker(std::string aWorker);
  Task<bool> RenewWorkerLeases(const std::string& aWorker);
  Duration RenewalBackoff(std::string_view aWorker) const;
  Task<void> SendOrders(std::string aWorker);
  Task<void> FetchAdvice(AdviceRequest aRequest);
  void Dispatch(std::vector<CellOrder> aOrders);
  void MonitorWorkers();
  void LogStarts(std::span<const CellOrder> aOrders) const;
  void LogEndedRuns(const CellWorker& aWorker,
                    const WorkerStatus& aListing) const;
  void LogOrder(std::string_view aWorker,
                const WorkerCall& aCall,
                const Expected<WorkerReply>& aReply) const;
  void LogChanges(const CellChanges& aChanges) const;
  void MarkLost(std::string_view aWhy);
  RowName MakeRowName(std::string_view aTable, std::string_view aKey) const;

  Task<CallerReply> Submit(SubmitJob aCall, TimePoint aDeadline);
  Task<CallerReply> Cancel(CancelJob aCall, TimePoint aDeadline);
  Task<bool> AwaitStored(std::string aId, TimePoint aDeadline);

  Kernel& mKernel;
  Clock& mClock;
  CellPorts mPorts;
  DirectoryService& mDirectory;
  std::string mPool;
  CellLease mLease;
  bool mLoaded = false;
  bool mReleasing = false;
  /// A commit is wanted even if no row changed.
  bool mCommitRequested = false;
  bool mSealsCommitted = true;
  /// Changes of the commit that is under way.
  std::optional<CellChanges> mInFlightChanges;
  std::unique_ptr<Cell> mCell;
  TaskGroup mTasks;
  AutoResetEvent mPlanDue;
  AutoResetEvent mCommitDue;
  Event mCommitted;
  Event mWorkersChanged;
  std::map<std::string, WorkerQueue> mWorkerQueues;
};

} // namespace buckthornshunt

#endif
