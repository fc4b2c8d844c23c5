#ifndef BUCKTHORNSHUNT_SERVICES_OWNER_SERVICE_H
#define BUCKTHORNSHUNT_SERVICES_OWNER_SERVICE_H

#include "decide/cell_owner.h"
#include "decide/fleet_layout.h"
#include "kernel/entry_log.h"
#include "kernel/kernel.h"
#include "kernel/wait.h"
#include "ports/store.h"
#include "services/cell_lease.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornshunt {

/// Watches the owner rows of cells and the layout of the fleet.
class OwnerService
{
public:
  static constexpr std::string_view kName = "owners";

  /// aDefault is the layout while the store has none; without one, the layout
  /// isn't known until the fleet's owner has stored it.
  OwnerService(Kernel& aKernel,
               Store& aStore,
               LocalNode aSelf,
               std::optional<FleetLayout> aDefault = FleetLayout{});

  leaf::result<void> Start();
  Task<void> Stop();

  const LocalNode& Self() const { return mSelf; }

  /// The fleet's layout; none while it isn't known.
  std::optional<FleetLayout> Layout() const;

  /// Records the layout that this node wrote or received.
  void ObserveLayout(const FleetLayout& aLayout);

  /// Adds a cell to those that are watched.
  void Watch(std::string_view aCell);

  /// Owner row of a cell as last seen; null if none has been seen.
  const OwnerObservation* LastSeen(std::string_view aCell) const;

  /// Cells that have jobs of the queue, by their rows as last seen.
  std::set<std::string> CellsWithJobsOf(std::string_view aQueue) const;

  /// True if the cell has been read, so that a missing row means "no owner".
  bool HasBeenRead(std::string_view aCell) const;

  /// Records a row that this node wrote or received.
  void ObserveRow(std::string_view aCell,
                  const OwnerRow& aRow,
                  Revision aRevision);

  /// Requests an early read, since the known rows seem to be out of date.
  void Refresh() { mRefreshDue.Set(); }

  /// Notified after every read and every change.
  Event& Changed() { return mChanged; }

  /// When the rows were last read.
  TimePoint ReadAt() const { return mReadAt; }

private:
  Task<void> WatchRows();
  Task<bool> ReadAll();
  Task<bool> ReadChanges();
  void ApplyRow(const StoredRow& aRow);
  void ApplyLayoutRow(const StoredRow& aRow);
  void InferLayout();
  bool HasOverdueOwner() const;
  void OnReadSucceeded();

  Kernel& mKernel;
  Store& mStore;
  LocalNode mSelf;
  TaskGroup mTasks;
  AutoResetEvent mRefreshDue;
  Event mChanged;
  std::optional<FleetLayout> mDefaultLayout;
  std::optional<FleetLayout> mLayout;
  bool mLayoutUnreadable = false;
  std::map<std::string, bool, std::less<>> mCells;
  std::map<std::string, OwnerObservation, std::less<>> mLastSeen;
  Revision mRevision{};
  bool mFollowing = false;
  TimePoint mReadAt;
  MalformedEntryLog mMalformed;
};

} // namespace buckthornshunt

#endif
