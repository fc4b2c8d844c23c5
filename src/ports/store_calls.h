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

/// Names a row. Rows of one part can be changed together cheaply.
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
  /// Commit that wrote the row.
  Revision mRevision{};
  /// Only in what a feed returns: the row was removed.
  bool mRemoved = false;
};

/// Revision that a row must still have; 0 for a row that must not exist.
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

/// Writes rows if every condition holds, or nothing.
struct ConditionalCommit
{
  std::vector<RowCondition> mConditions;
  std::vector<RowPut> mPuts;
  std::vector<RowName> mRemoves;
};

/// Asks for the rows of one part with keys from mFrom on, at most one page.
struct ScanRows
{
  std::string mTable;
  std::string mPartition;
  std::string mFirstKey;
};

/// Asks for the rows of a table that changed after a revision; waits up to
/// mWait for a first one.
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

/// A condition didn't hold; nothing was written.
struct CommitRefused
{
  /// Present rows of those named in the conditions, as far as they exist.
  std::vector<StoredRow> mRows;
};

struct RowScanPage
{
  std::vector<StoredRow> mRows;
  bool mHasMore = false;
  /// Newest revision of the store at the moment of the read.
  Revision mRevision{};
};

struct RowFeedPage
{
  std::vector<StoredRow> mRows;
  /// Revision to go on from.
  Revision mRevision{};
};

/// The store no longer knows what changed after the revision asked for.
struct HistoryCompacted
{};

using StoreReply = std::variant<CommitDone,
                                CommitRefused,
                                RowScanPage,
                                RowFeedPage,
                                HistoryCompacted>;

} // namespace buckthornshunt

#endif
