#include "decide/table_replica.h"

#include <algorithm>

namespace buckthornshunt {

std::vector<std::string>
TableReplica::Merge(const RowBatch& aBatch)
{
  std::vector<std::string> changed;
  if (aBatch.mAfter > mPosition) {
    return changed;
  }
  for (const Row& row : aBatch.mRows) {
    if (ApplyRow(row)) {
      changed.push_back(row.mKey);
    }
  }
  mPosition = std::max(mPosition, aBatch.mUpTo);
  return changed;
}

// A row is replaced only by a later revision of itself, so a stale batch can't
// overwrite a newer row.
bool
TableReplica::ApplyRow(const Row& aRow)
{
  auto [it, added] = mRows.try_emplace(aRow.mKey);
  if (!added && it->second.mRevision >= aRow.mRevision) {
    return false;
  }
  if (!added) {
    auto [from, to] = mByRevision.equal_range(it->second.mRevision);
    auto at = std::find_if(
      from, to, [&](const auto& aEntry) { return aEntry.second == it->first; });
    mByRevision.erase(at);
  }
  it->second = aRow;
  mByRevision.emplace(aRow.mRevision, it->first);
  return true;
}

const Row*
TableReplica::Find(std::string_view aKey) const
{
  auto it = mRows.find(aKey);
  return it == mRows.end() || it->second.mDeleted ? nullptr : &it->second;
}

void
TableReplica::ForEach(std::string_view aPrefix,
                      const std::function<void(const Row&)>& aVisit) const
{
  for (auto it = mRows.lower_bound(aPrefix); it != mRows.end(); ++it) {
    if (!std::string_view(it->first).starts_with(aPrefix)) {
      return;
    }
    if (!it->second.mDeleted) {
      aVisit(it->second);
    }
  }
}

RowBatch
TableReplica::Since(Revision aPosition) const
{
  RowBatch batch;
  batch.mAfter = aPosition;
  batch.mUpTo = mPosition;
  for (auto it = mByRevision.upper_bound(aPosition); it != mByRevision.end();
       ++it) {
    batch.mRows.push_back(mRows.find(it->second)->second);
  }
  return batch;
}

} // namespace buckthornshunt
