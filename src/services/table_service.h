#ifndef BUCKTHORNSHUNT_SERVICES_TABLE_SERVICE_H
#define BUCKTHORNSHUNT_SERVICES_TABLE_SERVICE_H

#include "kernel/kernel.h"
#include "ports/platform.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornshunt {

/// Notifies one service of changes to the control rows under a key prefix.
class RowWatch
{
public:
  RowWatch(asio::io_context& aContext, std::string_view aPrefix);

  /// Completes once a row under the prefix has changed since the previous call;
  /// the first call completes at once.
  Task<void> Next();

private:
  friend class TableService;

  std::string mPrefix;
  bool mDirty = true;
  Event mChanged;
};

/// This node's copy of the control rows, and its client of the platform.
class TableService
{
public:
  static constexpr std::string_view kName = "table";

  TableService(Kernel& aKernel, Platform aPlatform);

  leaf::result<void> Start();
  Task<void> Stop();

  const TableReplica& View() const { return mView; }

  /// True if the platform answered the last call, even with CommitConflict or
  /// NotFound.
  bool PlatformReachable() const { return mReachable; }

  /// Merges rows that a peer sent into this node's copy.
  void Merge(const RowBatch& aBatch);

  /// Reads new rows at once instead of after the poll interval.
  void RequestRefresh();

  /// Watches a key prefix until the returned pointer is destroyed.
  std::shared_ptr<RowWatch> Watch(std::string_view aPrefix);

  /// Writes rows. If the answer is lost, the outcome is determined by reading:
  /// CommitOutcomeUnknown means that the rows don't show it, StoreUnavailable
  /// that nothing was written.
  Task<Expected<Revision>> Commit(CommitRows aCommit, TimePoint aDeadline);

  /// Reads one row from the platform; no value if it doesn't exist.
  Task<Expected<RowRead>> Read(std::string aKey, TimePoint aDeadline);

  Task<Expected<RowBatch>> ReadPrefix(std::string aPrefix,
                                      Revision aAfter,
                                      TimePoint aDeadline);

  /// Lists the VMs of a data centre; mUnchanged is set if the list still has
  /// the tag aKnownTag.
  Task<Expected<VmList>> List(std::string aDataCentre,
                              std::string aKnownTag,
                              TimePoint aDeadline);

  /// Asks the platform to restart a worker VM.
  Task<Expected<std::monostate>> Reboot(std::string aVm, TimePoint aDeadline);

  /// Writes and reads objects of the platform's object store.
  Task<Expected<std::monostate>> PutObjectBytes(std::string aName,
                                                std::string aBytes,
                                                TimePoint aDeadline);
  Task<Expected<std::string>> GetObjectBytes(std::string aName,
                                             TimePoint aDeadline);

private:
  Task<void> PollRows();
  Task<Expected<PlatformReply>> Call(PlatformCall aCall, TimePoint aDeadline);
  Task<Expected<Revision>> ResolveCommit(CommitRows aCommit,
                                         TimePoint aDeadline);

  Kernel& mKernel;
  Platform mPlatform;
  TableReplica mView;
  bool mReachable = false;
  bool mStopping = false;
  bool mRefreshRequested = false;
  Event mRefreshEvent;
  std::vector<std::weak_ptr<RowWatch>> mWatches;
  TaskGroup mTasks;
};

} // namespace buckthornshunt

#endif
