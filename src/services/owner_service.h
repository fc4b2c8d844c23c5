#ifndef BUCKTHORNSHUNT_SERVICES_OWNER_SERVICE_H
#define BUCKTHORNSHUNT_SERVICES_OWNER_SERVICE_H

#include "decide/cell_owner.h"
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

/// Watches who owns which cell.
class OwnerService
{
public:
  static constexpr std::string_view kName = "owners";

  OwnerService(Kernel& aKernel, Store& aStore, LocalNode aSelf);

  leaf::result<void> Start();
  Task<void> Stop();

  const LocalNode& Self() const { return mSelf; }

  /// Cells to watch; names that were given before stay.
  void Watch(std::string_view aCell);

  /// What was last seen of a cell; null before the first look.
  const OwnerObservation* LastSeen(std::string_view aCell) const;

  /// The cell has been looked at, so that a missing row means "no owner".
  bool HasBeenRead(std::string_view aCell) const;

  /// Takes a row that this node wrote or was shown.
  void ObserveRow(std::string_view aCell,
                  const OwnerRow& aRow,
                  Revision aRevision);

  /// Looks again soon, since what is known seems to be out of date.
  void Refresh() { mRefreshDue.Set(); }

  /// Signals every change.
  Event& Changed() { return mChanged; }

  /// When the rows were last read.
  TimePoint ReadAt() const { return mReadAt; }

private:
  Task<void> WatchRows();
  Task<bool> ReadAll();
  Task<bool> ReadChanges();
  void ApplyRow(const StoredRow& aRow);
  bool HasOverdueOwner() const;
  void OnReadSucceeded();

  Kernel& mKernel;
  Store& mStore;
  LocalNode mSelf;
  TaskGroup mTasks;
  AutoResetEvent mRefreshDue;
  Event mChanged;
  std::map<std::string, bool, std::less<>> mCells;
  std::map<std::string, OwnerObservation, std::less<>> mLastSeen;
  Revision mRevision{};
  bool mFollowing = false;
  TimePoint mReadAt;
};

} // namespace buckthornshunt

#endif
