#include "slow_link_store.h"

#include <algorithm>

namespace buckthornshunt::tests {

namespace {

constexpr Duration kLatency = std::chrono::milliseconds(4);
constexpr Duration kStep = std::chrono::milliseconds(10);
/// Largest page of the platform's store.
constexpr std::uint64_t kMaxPageBytes = 1'000'000;

// Bytes of a row on the wire: its value in base64, and its names.
std::uint64_t
WireBytes(const StoredRow& aRow)
{
  constexpr std::uint64_t kOverhead = 80;
  return aRow.mValue.size() * 4 / 3 + kOverhead;
}

std::uint64_t
WireBytes(const std::vector<StoredRow>& aRows)
{
  std::uint64_t n = 0;
  for (const StoredRow& row : aRows) {
    n += WireBytes(row);
  }
  return n;
}

} // namespace

Store
SlowLinkStore::Port()
{
  return InProcessStore{ [this](StoreCall aCall, TimePoint aDeadline) {
    return Call(std::move(aCall), aDeadline);
  } };
}

void
SlowLinkStore::Put(std::string_view aTable,
                   std::string_view aPartition,
                   std::string_view aKey,
                   std::string aValue)
{
  ++mRevision;
  RowName name{ std::string(aTable),
                std::string(aPartition),
                std::string(aKey) };
  mHistory.push_back(
    { std::move(name), std::move(aValue), Revision(mRevision), false });
}

void
SlowLinkStore::Remove(std::string_view aTable,
                      std::string_view aPartition,
                      std::string_view aKey)
{
  Put(aTable, aPartition, aKey, "");
  mHistory.back().mRemoved = true;
}

RowScanPage
SlowLinkStore::Scan(const ScanRows& aScan) const
{
  std::map<RowName, StoredRow> rows;
  for (const StoredRow& row : mHistory) {
    if (row.mName.mTable == aScan.mTable &&
        row.mName.mPartition == aScan.mPartition) {
      rows.insert_or_assign(row.mName, row);
      if (row.mRemoved) {
        rows.erase(row.mName);
      }
    }
  }
  RowScanPage page;
  for (auto& [name, row] : rows) {
    page.mRows.push_back(std::move(row));
  }
  page.mRevision = Revision(mRevision);
  return page;
}

RowFeedPage
SlowLinkStore::Feed(const ReadRowFeed& aRead) const
{
  RowFeedPage page;
  page.mRevision = Revision(mRevision);
  std::uint64_t bytes = 0;
  for (const StoredRow& row : mHistory) {
    if (row.mName.mTable != aRead.mTable || row.mRevision <= aRead.mAfter) {
      continue;
    }
    bytes += WireBytes(row);
    if (bytes > kMaxPageBytes) {
      page.mRevision = page.mRows.back().mRevision;
      break;
    }
    page.mRows.push_back(row);
  }
  return page;
}

bool
SlowLinkStore::HasChanges(const ReadRowFeed& aRead) const
{
  return std::any_of(
    mHistory.begin(), mHistory.end(), [&](const StoredRow& aRow) {
      return aRow.mName.mTable == aRead.mTable && aRow.mRevision > aRead.mAfter;
    });
}

// Returns false if the deadline passed first; what had arrived is discarded.
Task<bool>
SlowLinkStore::Transfer(std::uint64_t aBytes, TimePoint aDeadline)
{
  std::uint64_t arrived = 0;
  ++mTransfers;
  while (arrived < aBytes && mClock.Now() < aDeadline) {
    TimePoint next = std::min(aDeadline, mClock.Now() + kStep);
    co_await mClock.SleepUntil(next);
    if (!mCut) {
      arrived += mBytesPerSecond * static_cast<std::uint64_t>(ToMillis(kStep)) /
                 1000 / static_cast<std::uint64_t>(mTransfers);
    }
  }
  --mTransfers;
  if (arrived < aBytes) {
    mDiscardedBytes += arrived;
  } else {
    mTransferredBytes += aBytes;
  }
  co_return arrived >= aBytes;
}

Task<Expected<StoreReply>>
SlowLinkStore::Call(StoreCall aCall, TimePoint aDeadline)
{
  co_await mClock.Sleep(kLatency);
  StoreReply reply;
  std::uint64_t bytes = 0;
  if (const auto* scan = std::get_if<ScanRows>(&aCall)) {
    RowScanPage page = Scan(*scan);
    bytes = WireBytes(page.mRows);
    reply = std::move(page);
  } else if (const auto* read = std::get_if<ReadRowFeed>(&aCall)) {
    TimePoint end = mClock.Now() + read->mMaxWait;
    while (!HasChanges(*read) && mClock.Now() < end) {
      co_await mClock.Sleep(kStep);
    }
    RowFeedPage page = Feed(*read);
    bytes = WireBytes(page.mRows);
    reply = std::move(page);
  } else {
    co_return Failure(StoreUnavailable{});
  }
  bool complete = co_await Transfer(bytes + 1, aDeadline);
  if (!complete) {
    co_return Failure(TimeoutFailure{});
  }
  co_return reply;
}

} // namespace buckthornshunt::tests
