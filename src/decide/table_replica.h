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

/// Every row that changed after mAfter up to mUpTo.
struct RowBatch
{
  Revision mAfter{};
  Revision mUpTo{};
  std::vector<Row> mRows;
};

/// A node's copy of the control rows of the platform's table. Batches may
/// come from the platform or from any peer, in any order and repeatedly; the
/// copy never goes back.
class TableReplica
{
public:
  /// Revision up to which the copy is complete.
  Revision Position() const { return mPosition; }

  /// Takes over a batch and returns the keys that changed. A batch that
  /// starts beyond Position() would leave a gap and changes nothing.
  std::vector<std::string> Merge(const RowBatch& aBatch);

  /// The live row of that key, or nullptr.
  const Row* Find(std::string_view aKey) const;

  /// Calls aVisit for each live row whose key starts with aPrefix, in order.
  void ForEach(std::string_view aPrefix,
               const std::function<void(const Row&)>& aVisit) const;

  /// What a node with that position needs to catch up.
  RowBatch Since(Revision aPosition) const;

  std::size_t Size() const { return mRows.size(); }

private:
  Revision mPosition{};
  std::map<std::string, Row, std::less<>> mRows;
  /// Keys by the revision of their last change, to answer Since without a
  /// walk over all rows.
  std::multimap<Revision, std::string_view> mByRevision;

  bool ApplyRow(const Row& aRow);
};

} // namespace buckthornshunt

#endif
