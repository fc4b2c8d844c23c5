#ifndef BUCKTHORNSHUNT_SERVICES_CELL_LEASE_H
#define BUCKTHORNSHUNT_SERVICES_CELL_LEASE_H

#include "decide/answer_timer.h"
#include "decide/cell_owner.h"
#include "kernel/kernel.h"
#include "ports/store.h"

#include <optional>
#include <string>
#include <string_view>

namespace buckthornshunt {

/// Table of owner rows; the part of a row is the name of its cell.
constexpr std::string_view kCellTable = "cells";
constexpr std::string_view kOwnerKey = "owner";
/// Cell whose owner sends the orders for VMs.
constexpr std::string_view kFleetCell = "fleet";
/// Key of the fleet's layout, next to the owner row of the fleet's cell.
constexpr std::string_view kLayoutKey = "layout";

/// This node's lease on a cell, from its successful claim until another node
/// claims the cell.
class CellLease
{
public:
  CellLease(Kernel& aKernel,
            Store& aStore,
            std::string_view aCell,
            OwnerRow aRow,
            Revision aRevision,
            TimePoint aClaimSent);

  const std::string& Cell() const { return mCell; }
  const OwnerRow& Row() const { return mRow; }
  /// Revision of the owner row that this node wrote last.
  Revision CurrentRevision() const { return mRevision; }
  /// Fencing token: revision of the claim, rises from owner to owner.
  std::uint64_t Token() const { return mToken; }

  /// True if the lease holds for at least the safety margin.
  bool IsValid() const;
  /// End of the lease; orders must be sent before.
  TimePoint Expiry() const { return mExpiry; }
  /// True if the commit in progress takes longer than the store usually does.
  bool IsCommitOverdue() const;
  bool Lost() const { return mLost; }
  void MarkLost(std::string_view aWhy);

  /// Sets the workers that get no new runs; stored by the next commit.
  void SetSealed(std::vector<std::string> aWorkers);
  /// Sets the row's queues that have left the cell; stored by the next commit.
  void SetQueues(std::vector<std::string> aQueues);
  /// Sets the row's claim delay; stored by the next commit.
  void SetClaimDelay(Duration aDelay);

  /// Commits rows and renews the lease. Retries until the commit is known to
  /// have taken effect (true), the cell is lost or the deadline has passed
  /// (false). A release stops retrying after the lease duration (false).
  Task<bool> Commit(ConditionalCommit aRows,
                    bool aRelease,
                    TimePoint aDeadline = TimePoint::max());

private:
  Kernel& mKernel;
  Store& mStore;
  std::string mCell;
  OwnerRow mRow;
  Revision mRevision;
  std::uint64_t mToken;
  TimePoint mExpiry;
  AnswerTimer mAnswers;
  /// How long the last commit took.
  Duration mCommitTime{};
  /// When the first attempt of the commit in progress times out.
  std::optional<TimePoint> mCommitDueAt;
  bool mLost = false;
};

/// A successful claim.
struct ClaimResult
{
  OwnerRow mRow;
  Revision mRevision{};
  TimePoint mSentAt;
};

/// Claims a cell whose owner row was last seen as aSighting, null for a cell
/// without a row. Retries until the store answers. None if another node has
/// changed the row; aSeen then holds the current row.
Task<std::optional<ClaimResult>>
ClaimCell(Kernel& aKernel,
          Store& aStore,
          std::string aCell,
          LocalNode aSelf,
          std::optional<OwnerObservation> aSighting,
          std::optional<OwnerObservation>& aSeen);

} // namespace buckthornshunt

#endif
