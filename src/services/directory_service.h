#ifndef BUCKTHORNSHUNT_SERVICES_DIRECTORY_SERVICE_H
#define BUCKTHORNSHUNT_SERVICES_DIRECTORY_SERVICE_H

#include "buckthornshunt/workload.h"
#include "decide/queue_moves.h"
#include "kernel/entry_log.h"
#include "kernel/kernel.h"
#include "ports/store.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornshunt {

/// Follows the tables that the operator and the workers write: the workload
/// configuration, maintenance waves and, while somebody subscribes to them, the
/// workers themselves.
class DirectoryService
{
public:
  static constexpr std::string_view kName = "directory";

  /// The workers' table is followed while any subscription exists.
  using WorkerSubscription = std::shared_ptr<const void>;

  DirectoryService(Kernel& aKernel, Store& aStore);

  leaf::result<void> Start();
  Task<void> Stop();

  /// Newest configuration; null until there is one.
  std::shared_ptr<const WorkloadConfig> Config() const { return mConfig; }

  /// Pools that queues used by earlier configurations that this node has read.
  const QueueMoves& Moves() const { return mMoves; }

  /// When the store last said which configuration is the newest; the epoch if
  /// it hasn't.
  TimePoint ConfigReadAt() const { return mOperatorTable.mReadAt; }

  /// Sending time of the last read by which the newest configuration was in
  /// force: no newer one had been accepted by then. The epoch if there was
  /// none.
  TimePoint ConfigCurrentAsOf() const
  {
    return mConfigSuperseded.value_or(mOperatorTable.mCurrentAsOf);
  }

  WorkerSubscription SubscribeToWorkers();

  /// Whether the workers' table has been read since it was subscribed to.
  bool WorkersKnown() const { return mWorkersKnown; }

  /// Workers currently listed; none unless they are known.
  std::vector<WorkerReport> Workers() const;

  /// A worker's current incarnation; none if the worker isn't listed.
  std::optional<WorkerIncarnation> FindIncarnation(
    std::string_view aWorker) const;

  const std::map<std::uint64_t, WaveOrder>& Waves() const { return mWaves; }

  /// When a wave was first seen; the epoch if it wasn't.
  TimePoint WaveSeenAt(std::uint64_t aNumber) const;

  /// Notified after every change of the configuration, the waves or the
  /// workers; a heartbeat alone is none.
  Event& Changed() { return mChanged; }

private:
  struct FollowedTable
  {
    std::string mTable;
    Revision mRevision{};
    /// Revisions of the known rows, so that a stale read reverts nothing.
    std::map<std::string, Revision> mRows;
    bool mScanned = false;
    /// When the last successful read ended, and when it was sent.
    TimePoint mReadAt{};
    TimePoint mCurrentAsOf{};
    /// Reads that failed since then, and when the first of them began.
    int mFailedReads = 0;
    TimePoint mFailingSince{};
  };

  Task<void> Follow(FollowedTable& aTable);
  Task<void> FollowWorkers();
  Task<void> ReadOnce(FollowedTable& aTable);
  void ForgetWorkers();
  Task<Expected<std::monostate>> ScanAll(FollowedTable& aTable);
  Task<Expected<std::monostate>> FollowChanges(FollowedTable& aTable);
  void RecordRead(FollowedTable& aTable,
                  const Expected<std::monostate>& aOutcome,
                  TimePoint aBegan);
  void Apply(FollowedTable& aTable, const StoredRow& aRow);
  void ApplyOperatorRow(const StoredRow& aRow);
  void ApplyWorkerRow(const StoredRow& aRow);
  void ApplyConfigRow(const StoredRow& aRow);
  void RecordUnnamed(const FollowedTable& aTable, std::size_t aRows);

  Kernel& mKernel;
  Store& mStore;
  TaskGroup mTasks;
  Event mChanged;
  FollowedTable mOperatorTable;
  FollowedTable mWorkerTable;
  std::shared_ptr<const WorkloadConfig> mConfig;
  /// As of when mConfig was the newest configuration; set while a newer one
  /// can't be read, which may revoke keys.
  std::optional<TimePoint> mConfigSuperseded;
  QueueMoves mMoves;
  std::map<std::uint64_t, WaveOrder> mWaves;
  std::map<std::uint64_t, TimePoint> mWaveSeenAt;
  /// Shared by all subscriptions.
  WorkerSubscription mSubscribers = std::make_shared<char>();
  Event mWorkersSubscribed;
  bool mWorkersKnown = false;
  /// Whether the rows applied since the last notification changed anything.
  bool mDirty = false;
  std::map<std::string, WorkerReport, std::less<>> mWorkers;
  /// When each listed worker's current incarnation was first seen.
  std::map<std::string, TimePoint, std::less<>> mIncarnationSeenAt;
  MalformedEntryLog mMalformed;
};

} // namespace buckthornshunt

#endif
