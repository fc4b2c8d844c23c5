#ifndef BUCKTHORNSHUNT_DECIDE_TABLE_REPLICA_H
#define BUCKTHORNSHUNT_DECIDE_TABLE_REPLICA_H

#include "buckthornshunt/types.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornshunt {

/// One row of the platform's table as of its last commit.
struct Row
{
  std::string mKey;
  std::string mValue;
  Revision mRevision{};
  WallTime mCommitted;
  /// The row was deleted; mValue is empty.
  bool mDeleted = false;

  friend bool operator==(const Row&, const Row&) = default;
};

/// All rows that changed after mAfter, up to and including mUpTo.
struct RowBatch
{
  Revision mAfter{};
  Revision mUpTo{};
  std::vector<Row> mRows;
};

/// A node's replica of the control rows of the platform's table. Batches may
/// come from the platform or from any peer, in any order and repeatedly; the
/// replica never reverts to an earlier revision.
class TableReplica
{
public:
  /// Revision up to which the replica is complete.
  Revision Position() const { return mPosition; }

  /// Applies a batch and returns the keys that changed. Ignores a batch that
  /// starts beyond Position(), since it would leave a gap.
  std::vector<std::string> Merge(const RowBatch& aBatch);

  /// Returns the row of that key; null if it is missing or deleted.
  const Row* Find(std::string_view aKey) const;

  /// Calls aVisit for each row that isn't deleted and whose key starts with
  /// aPrefix, in the order of keys.
  void ForEach(std::string_view aPrefix,
               const std::function<void(const Row&)>& aVisit) const;

  /// Returns the changes that a replica at aPosition lacks.
  RowBatch Since(Revision aPosition) const;

  std::size_t Size() const { return mRows.size(); }

private:
  Revision mPosition{};
  std::map<std::string, Row, std::less<>> mRows;
  /// Keys by the revision of their last change, so that Since needs no scan of
  /// all rows.
  std::multimap<Revision, std::string_view> mByRevision;

  bool ApplyRow(const Row& aRow);
};

} // namespace buckthornshunt

#endif
