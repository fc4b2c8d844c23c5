#ifndef BUCKTHORNSHUNT_TESTS_SLOW_LINK_STORE_H
#define BUCKTHORNSHUNT_TESTS_SLOW_LINK_STORE_H

#include "kernel/clock.h"
#include "ports/store.h"

#include <map>
#include <string_view>
#include <vector>

namespace buckthornshunt::tests {

/// A store that keeps its history and is reached over a link of limited
/// bandwidth, which all replies share.
class SlowLinkStore
{
public:
  SlowLinkStore(Clock& aClock, std::uint64_t aBytesPerSecond)
    : mClock(aClock)
    , mBytesPerSecond(aBytesPerSecond)
  {
  }

  Store Port();

  void Put(std::string_view aTable,
           std::string_view aPartition,
           std::string_view aKey,
           std::string aValue);

  void Remove(std::string_view aTable,
              std::string_view aPartition,
              std::string_view aKey);

  /// While set, no byte passes.
  bool mCut = false;
  /// Bytes of replies that were discarded, since they weren't complete in time.
  std::uint64_t mDiscardedBytes = 0;
  /// Bytes of complete replies.
  std::uint64_t mTransferredBytes = 0;

private:
  Task<Expected<StoreReply>> Call(StoreCall aCall, TimePoint aDeadline);
  Task<bool> Transfer(std::uint64_t aBytes, TimePoint aDeadline);
  RowScanPage Scan(const ScanRows& aScan) const;
  RowFeedPage Feed(const ReadRowFeed& aRead) const;
  bool HasChanges(const ReadRowFeed& aRead) const;

  Clock& mClock;
  std::uint64_t mBytesPerSecond;
  std::uint64_t mRevision = 0;
  /// All changes in order.
  std::vector<StoredRow> mHistory;
  int mTransfers = 0;
};

} // namespace buckthornshunt::tests

#endif
