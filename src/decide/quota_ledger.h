#ifndef BUCKTHORNSHUNT_DECIDE_QUOTA_LEDGER_H
#define BUCKTHORNSHUNT_DECIDE_QUOTA_LEDGER_H

#include "buckthornshunt/workload.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornshunt {

/// A cell's part of an organisation's maximum.
struct QuotaGrant
{
  /// What the organisation's tasks may hold in the cell.
  Resources mGranted;
  /// What they could hold if it was granted; zero if they need no more.
  Resources mWanted;
  /// Owner that wrote the grant, and number of its write.
  std::uint32_t mTerm = 0;
  std::uint64_t mSequence = 0;

  friend bool operator==(const QuotaGrant&, const QuotaGrant&) = default;
};

/// Row of an organisation: the grants of all cells, by cell.
using QuotaRow = std::map<std::string, QuotaGrant, std::less<>>;

/// An organisation's use of a cell.
struct QuotaUse
{
  /// What its runs hold, or may hold.
  Resources mHeld;
  /// mHeld and what its tasks need that could start now.
  Resources mNeeded;
  /// The next of these tasks, or a whole gang, for which a worker has room;
  /// zero if there is none.
  Resources mNextTask;
};

/// A row to write, on condition that it still has the revision.
struct QuotaWrite
{
  std::string mOrganisation;
  Revision mRevision{};
  QuotaRow mRow;
};

/// A cell's view of the grants of all organisations. What a cell's tasks hold
/// is within its grant, and the grants of all cells add up to no more than the
/// organisation's maximum, so that each owner decides on starts alone, also
/// while it can't reach the store or the others. Two things are above it for
/// some time: what ran when a maximum was set or lowered, which is granted and
/// not stopped, and one task that fits no other way.
///
/// A grant rises once the write is confirmed, and falls when the write is sent.
/// Only one write is in progress at a time; it is repeated until it is
/// answered.
class QuotaLedger
{
public:
  /// aTerm is the owner's term of the cell.
  QuotaLedger(std::string_view aCell, std::uint32_t aTerm);

  /// aCells is the number of cells that share the maxima.
  void SetConfig(const WorkloadConfig& aConfig, std::size_t aCells);

  /// Whether some organisation has a maximum.
  bool IsLimited() const { return !mMaxima.empty(); }
  /// Null if the organisation has no maximum.
  const Resources* MaximumOf(std::string_view aOrganisation) const;

  /// Notes a row as stored; older ones than the known one are ignored.
  void OnRow(std::string_view aOrganisation,
             const QuotaRow& aRow,
             Revision aRevision);
  /// The row can't be read: the organisation's grants aren't changed until a
  /// newer one has been.
  void OnUnreadableRow(std::string_view aOrganisation);
  /// All rows have been read since the cell was taken over.
  void OnRead() { mRead = true; }

  /// The grant that earlier owners of the cell left; none if they left none.
  std::optional<Resources> InheritedGrant(std::string_view aOrganisation) const;

  /// What the organisation's tasks may hold in the cell now. Meaningful only if
  /// the organisation has a maximum.
  Resources Allowance(std::string_view aOrganisation) const;

  /// Changes that the cell needs, at most aMax; none while a write is in
  /// progress. Limits of starts follow the use in any case.
  std::vector<QuotaWrite> NextWrite(
    const std::map<std::string, QuotaUse, std::less<>>& aUse,
    std::size_t aMax,
    TimePoint aNow);
  /// The write in progress took effect.
  void OnWritten(Revision aRevision);
  /// The write in progress had no effect, as some row has changed; the present
  /// rows have been noted by OnRow.
  void OnRefused();

private:
  struct Known
  {
    QuotaRow mRow;
    Revision mRevision{};
    bool mUnreadable = false;
    TimePoint mWrittenAt = TimePoint::min();
    /// What starts may hold, while other cells need a part of the grant.
    std::optional<Resources> mStartLimit;
    std::optional<Resources> mInheritedGrant;
    /// When a turn with a task beyond the cell's share began, and when the last
    /// one ended.
    std::optional<TimePoint> mTurnBegan;
    TimePoint mTurnEnded = TimePoint::min();
  };

  /// One amount of the grants of an organisation.
  struct Shares
  {
    std::int64_t mMaximum = 0;
    std::int64_t mGranted = 0;
    std::int64_t mGrantedToOthers = 0;
    /// What other cells need, as far as it is known.
    std::vector<std::int64_t> mOtherNeeds;
    bool mOthersWant = false;
  };

  /// Next value of one amount.
  struct NextShare
  {
    std::int64_t mGranted = 0;
    std::int64_t mWanted = 0;
    /// What starts may hold, if other cells need a part of the grant.
    std::optional<std::int64_t> mLimit;
  };

  QuotaGrant Own(const Known& aKnown) const;
  Shares SharesOf(const Known& aKnown,
                  const Resources& aMaximum,
                  std::int64_t Resources::*aAmount) const;
  NextShare Next(const Shares& aShares,
                 std::int64_t aHeld,
                 std::int64_t aNeeded,
                 bool aFirst) const;
  /// Computes the next grant, and updates the limit of starts.
  QuotaGrant UpdateGrant(Known& aKnown,
                         const Resources& aMaximum,
                         const QuotaUse& aUse,
                         TimePoint aNow) const;
  void TakeTurn(Known& aKnown,
                const Resources& aMaximum,
                const QuotaUse& aUse,
                QuotaGrant& aNext,
                TimePoint aNow) const;
  void GrantOversizedTask(Known& aKnown,
                          const Resources& aMaximum,
                          const QuotaUse& aUse,
                          QuotaGrant& aNext) const;
  bool IsDue(std::string_view aOrganisation,
             const Known& aKnown,
             const QuotaGrant& aNext,
             TimePoint aNow) const;

  std::string mCell;
  std::uint32_t mTerm;
  std::uint64_t mSequence = 0;
  std::size_t mCells = 1;
  bool mRead = false;
  std::map<std::string, Resources, std::less<>> mMaxima;
  std::map<std::string, Known, std::less<>> mKnown;
  /// Organisations whose row this owner has written, so that no write of an
  /// earlier owner can take effect any more.
  std::set<std::string, std::less<>> mClaimed;
  /// The write in progress.
  std::vector<QuotaWrite> mInFlight;
};

/// Whether aNeed fits aAllowance beside aHeld, in the amounts that aMaximum
/// limits.
bool
FitsAllowance(const Resources& aMaximum,
              const Resources& aAllowance,
              const Resources& aHeld,
              const Resources& aNeed);

} // namespace buckthornshunt

#endif
