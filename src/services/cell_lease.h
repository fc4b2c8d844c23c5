#ifndef BUCKTHORNSHUNT_SERVICES_CELL_LEASE_H
#define BUCKTHORNSHUNT_SERVICES_CELL_LEASE_H

#include "decide/cell_owner.h"
#include "kernel/kernel.h"
#include "ports/store.h"

#include <optional>
#include <string>
#include <string_view>

namespace buckthornshunt {

/// Table of the rows that say who owns a cell; the part is the cell's name.
constexpr std::string_view kCellTable = "cells";
constexpr std::string_view kOwnerKey = "owner";

/// This node's ownership of a cell, from a claim that took effect until another
/// node's claim does.
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
  /// Revision of the row as this node wrote it last.
  Revision CurrentRevision() const { return mRevision; }
  /// Revision of the claim; rises from owner to owner.
  std::uint64_t Token() const { return mToken; }

  /// The ownership surely holds now.
  bool IsValid() const;
  /// Orders must have gone out by then.
  TimePoint Expiry() const { return mExpiry; }
  /// A commit has been under way for longer than the store usually takes.
  bool IsCommitOverdue() const;
  bool Lost() const { return mLost; }
  void MarkLost(std::string_view aWhy);

  /// Records workers that nothing may be started on, with the next commit.
  void SetSealed(std::vector<std::string> aWorkers);

  /// Commits rows together with the renewal of the ownership. Tries until it
  /// is known to have taken effect, which gives true, or the cell is lost. A
  /// release gives up after the lease.
  Task<bool> Commit(ConditionalCommit aRows, bool aRelease);

private:
  Kernel& mKernel;
  Store& mStore;
  std::string mCell;
  OwnerRow mRow;
  Revision mRevision;
  std::uint64_t mToken;
  TimePoint mExpiry;
  /// Sending of the commit that is under way.
  std::optional<TimePoint> mCommitSentAt;
  bool mLost = false;
};

/// A claim that took effect.
struct ClaimResult
{
  OwnerRow mRow;
  Revision mRevision{};
  TimePoint mSentAt;
};

/// Claims a cell whose row was last seen as aSighting, null for a cell without
/// a row. None if another node has changed the row; aSeen then holds what it
/// is now.
Task<std::optional<ClaimResult>>
ClaimCell(Kernel& aKernel,
          Store& aStore,
          std::string aCell,
          LocalNode aSelf,
          std::optional<OwnerObservation> aSighting,
          std::optional<OwnerObservation>& aSeen);

} // namespace buckthornshunt

#endif
