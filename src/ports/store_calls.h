#ifndef BUCKTHORNSHUNT_PORTS_STORE_CALLS_H
#define BUCKTHORNSHUNT_PORTS_STORE_CALLS_H

#include "buckthornshunt/failure.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace buckthornshunt {

/// Identifies a row. Commits within one partition are cheap.
struct RowName
{
  std::string mTable;
  std::string mPartition;
  std::string mKey;

  friend auto operator<=>(const RowName&, const RowName&) = default;
};

struct StoredRow
{
  RowName mName;
  std::string mValue;
  /// Revision of the commit that wrote the row.
  Revision mRevision{};
  /// The row was removed; set only in replies to ReadRowFeed.
  bool mRemoved = false;
  /// Why the row can't be read; empty for a readable row. An unreadable row has
  /// no value, and revision 0 if that can't be read either.
  std::string mFault = {};
};

/// Revision that a row must have; 0 for a row that must not exist.
struct RowCondition
{
  RowName mName;
  Revision mRevision{};
};

struct RowPut
{
  RowName mName;
  std::string mValue;
};

/// Writes and removes rows atomically if every condition holds.
struct ConditionalCommit
{
  std::vector<RowCondition> mConditions;
  std::vector<RowPut> mPuts;
  std::vector<RowName> mRemoves;
};

/// Reads one page of rows of a partition, starting at mFirstKey.
struct ScanRows
{
  std::string mTable;
  std::string mPartition;
  std::string mFirstKey;
};

/// Reads the rows of a table that changed after a revision; if there are none,
/// waits up to mMaxWait for a change.
struct ReadRowFeed
{
  std::string mTable;
  Revision mAfter{};
  Duration mMaxWait{};
};

using StoreCall = std::variant<ConditionalCommit, ScanRows, ReadRowFeed>;

struct CommitDone
{
  Revision mRevision{};
};

/// A condition didn't hold; nothing was changed.
struct CommitRefused
{
  /// Current state of the existing rows that the conditions name.
  std::vector<StoredRow> mRows;
};

struct RowScanPage
{
  std::vector<StoredRow> mRows;
  bool mHasMore = false;
  /// Number of rows that are left out, since their key can't be read.
  std::size_t mUnnamedRows = 0;
  /// Latest revision of the store at the time of the read.
  Revision mRevision{};
};

struct RowFeedPage
{
  std::vector<StoredRow> mRows;
  /// Value of ReadRowFeed::mAfter for the next read.
  Revision mRevision{};
  /// As in RowScanPage.
  std::size_t mUnnamedRows = 0;
};

/// The store no longer has the changes after the requested revision.
struct HistoryCompacted
{};

using StoreReply = std::variant<CommitDone,
                                CommitRefused,
                                RowScanPage,
                                RowFeedPage,
                                HistoryCompacted>;

} // namespace buckthornshunt

#endif
