#ifndef BUCKTHORNSHUNT_SERVICES_CELL_SERVICE_H
#define BUCKTHORNSHUNT_SERVICES_CELL_SERVICE_H

#include "services/cell_runtime.h"
#include "wire/relay_codec.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace buckthornshunt {

class DirectoryService;
class OwnerService;
class RelayService;

/// Takes over cells without an owner and runs those that this node owns. A cell
/// is a pool that at least one queue sends its jobs to.
class CellService
{
public:
  static constexpr std::string_view kName = "cells";

  CellService(Kernel& aKernel, CellPorts aPorts, CellDurations aTimes);

  leaf::result<void> Start();
  /// Releases every cell.
  Task<void> Stop();

  /// Returns the cell, or null if this node doesn't own it.
  std::shared_ptr<CellRuntime> Find(std::string_view aPool) const;

  /// Answers a call to a pool; NotOwner if this node doesn't own its cell.
  Task<OwnerReply> Handle(RelayedCall aCall);

  const std::map<std::string, std::shared_ptr<CellRuntime>, std::less<>>&
  Owned() const
  {
    return mOwned;
  }

private:
  Task<void> WatchCells();
  Task<void> WatchDirectory();
  Task<void> TakeOver(std::string aPool);
  Task<void> StopLostCell(std::shared_ptr<CellRuntime> aRuntime);
  void MaybeTakeOver(std::string_view aPool);
  void MaybeRequestHandoff(std::string_view aPool);
  Task<void> RequestHandoff(std::string aPool, Endpoint aOwner);
  Task<Json> OnHandoffRequest(Json aBody);
  Task<void> HandOff(std::shared_ptr<CellRuntime> aRuntime);
  std::size_t ClaimOrder(std::string_view aPool) const;
  Duration ClaimDelayWithJitter();

  Kernel& mKernel;
  CellPorts mPorts;
  CellDurations mTimes;
  DirectoryService* mDirectory = nullptr;
  OwnerService* mOwners = nullptr;
  RelayService* mRelay = nullptr;
  TaskGroup mTasks;
  bool mStopping = false;
  std::map<std::string, std::shared_ptr<CellRuntime>, std::less<>> mOwned;
  /// When this node last requested a handoff from a smaller one.
  TimePoint mHandoffRequestedAt;
  /// Pools whose takeover is in progress.
  std::map<std::string, bool, std::less<>> mPendingTakeovers;
};

} // namespace buckthornshunt

#endif
