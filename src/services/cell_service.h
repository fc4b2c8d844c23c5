#ifndef BUCKTHORNSHUNT_SERVICES_CELL_SERVICE_H
#define BUCKTHORNSHUNT_SERVICES_CELL_SERVICE_H

#include "services/cell_runtime.h"
#include "wire/relay_codec.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornshunt {

class DirectoryService;
class OwnerService;
class RelayService;

/// Takes over cells without an owner and runs those that this node owns. Each
/// pool that at least one queue sends its jobs to has a cell in each shard of
/// the fleet.
class CellService
{
public:
  static constexpr std::string_view kName = "cells";

  CellService(Kernel& aKernel, CellPorts aPorts, CellDurations aTimes);

  leaf::result<void> Start();
  /// Takes over no further cell and releases all cells at the same time, until
  /// aDeadline at the latest.
  Task<void> Drain(TimePoint aDeadline);
  /// Ends what is left; drains first unless Drain was called.
  Task<void> Stop();

  /// Returns the cell, or null if this node doesn't own it.
  std::shared_ptr<CellRuntime> Find(std::string_view aCell) const;

  /// Answers a call to a cell; NotOwner if this node doesn't own it.
  Task<OwnerReply> Handle(RelayedCall aCall);

  const std::map<std::string, std::shared_ptr<CellRuntime>, std::less<>>&
  Owned() const
  {
    return mOwned;
  }

private:
  Task<void> WatchCells();
  Task<void> WatchDirectory();
  Task<void> TakeOver(CellId aCell);
  Task<void> ClaimFreeCell(CellId aCell);
  Task<void> ReleaseClaim(std::string aCell, ClaimResult aClaim);
  void BeginRelease(std::shared_ptr<CellRuntime> aRuntime, TimePoint aDeadline);
  Task<void> ReleaseCell(std::shared_ptr<CellRuntime> aRuntime,
                         TimePoint aDeadline);
  void MaybeTakeOver(const CellId& aCell);
  void MaybeRequestHandoff(std::string_view aCell);
  Task<void> RequestHandoff(std::string aCell,
                            Endpoint aOwner,
                            Duration aDelay);
  Duration DelayWithOtherCells() const;
  bool MayHandOff(const Json& aBody) const;
  Task<Json> OnHandoffRequest(Json aBody);
  std::vector<CellId> CellsWithJobs(const WorkloadConfig& aConfig,
                                    const FleetLayout& aLayout);
  std::size_t ClaimOrder(std::string_view aCell) const;
  Duration ClaimDelayWithJitter();

  Kernel& mKernel;
  CellPorts mPorts;
  CellDurations mTimes;
  DirectoryService* mDirectory = nullptr;
  OwnerService* mOwners = nullptr;
  RelayService* mRelay = nullptr;
  TaskGroup mTasks;
  TaskGroup mTakeovers;
  /// Ends by itself: a cancelled release would destroy a running cell.
  TaskGroup mReleases;
  bool mStopping = false;
  TimePoint mDrainDeadline;
  /// Notified when a drain begins, and when a takeover or a release has ended.
  Event mDrainProgress;
  std::map<std::string, std::shared_ptr<CellRuntime>, std::less<>> mOwned;
  /// Cells that are being released, handed off or were lost.
  std::set<std::shared_ptr<CellRuntime>> mReleasing;
  /// When this node last requested a handoff from a smaller one.
  TimePoint mHandoffRequestedAt;
  /// Cells whose takeover is in progress.
  std::map<std::string, bool, std::less<>> mPendingTakeovers;
};

} // namespace buckthornshunt

#endif
