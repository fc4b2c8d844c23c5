#include "services/owner_service.h"

#include "kernel/log.h"
#include "wire/cell_codec.h"

#include <algorithm>

namespace buckthornshunt {

namespace {

constexpr std::string_view kPart = "owners";

/// Interval between reads, the same as between the renewals of an owner.
constexpr Duration kReadInterval = std::chrono::milliseconds(500);
/// Interval while an owner has missed two renewals, and the age of its row by
/// then.
constexpr Duration kOverdueReadInterval = std::chrono::milliseconds(100);
constexpr Duration kOwnerOverdueDelay = std::chrono::milliseconds(1300);
/// Minimum interval between requested reads.
constexpr Duration kMinReadInterval = std::chrono::milliseconds(60);
constexpr Duration kReadTimeout = std::chrono::milliseconds(700);

} // namespace

OwnerService::OwnerService(Kernel& aKernel,
                           Store& aStore,
                           LocalNode aSelf,
                           std::optional<FleetLayout> aDefault)
  : mKernel(aKernel)
  , mStore(aStore)
  , mSelf(std::move(aSelf))
  , mTasks(aKernel.Context(), &aKernel.Groups())
  , mRefreshDue(aKernel.Context())
  , mChanged(aKernel.Context())
  , mDefaultLayout(aDefault)
  , mMalformed(aKernel.GetMetrics(), kPart)
{
}

leaf::result<void>
OwnerService::Start()
{
  Watch(kFleetCell);
  mTasks.Spawn("watch", WatchRows());
  return {};
}

Task<void>
OwnerService::Stop()
{
  mTasks.CancelAll();
  co_await mTasks.Join();
}

void
OwnerService::Watch(std::string_view aCell)
{
  if (mCells.try_emplace(std::string(aCell), false).second) {
    mFollowing = false;
    mRefreshDue.Set();
  }
}

std::optional<FleetLayout>
OwnerService::Layout() const
{
  bool useDefault = !mLayout && !mLayoutUnreadable && HasBeenRead(kFleetCell);
  return useDefault ? mDefaultLayout : mLayout;
}

void
OwnerService::ObserveLayout(const FleetLayout& aLayout)
{
  if (!mLayout) {
    LogInfo(kPart, "layout shards={}", aLayout.mShards);
    mLayout = aLayout;
    mChanged.NotifyAll();
  }
}

const OwnerObservation*
OwnerService::LastSeen(std::string_view aCell) const
{
  auto it = mLastSeen.find(aCell);
  return it == mLastSeen.end() ? nullptr : &it->second;
}

std::set<std::string>
OwnerService::CellsWithJobsOf(std::string_view aQueue) const
{
  std::set<std::string> cells;
  for (const auto& [cell, observation] : mLastSeen) {
    const std::vector<std::string>& queues = observation.mRow.mQueues;
    if (std::find(queues.begin(), queues.end(), aQueue) != queues.end()) {
      cells.insert(cell);
    }
  }
  return cells;
}

bool
OwnerService::HasBeenRead(std::string_view aCell) const
{
  auto it = mCells.find(aCell);
  return it != mCells.end() && it->second;
}

Task<void>
OwnerService::WatchRows()
{
  Clock& clock = mKernel.GetClock();
  while (true) {
    bool ok = false;
    if (clock.Now() - mReadAt > kMaxOwnerReadInterval) {
      mFollowing = false;
    }
    if (mFollowing) {
      ok = co_await ReadChanges();
    } else {
      ok = co_await ReadAll();
    }
    if (ok) {
      OnReadSucceeded();
    }
    co_await clock.Sleep(kMinReadInterval);
    TimePoint deadline =
      clock.Now() + (HasOverdueOwner() ? kOverdueReadInterval : kReadInterval);
    co_await mRefreshDue.WaitAndReset(clock, deadline);
  }
}

// True if an owner has missed renewals, so that its cell may be taken over
// soon.
bool
OwnerService::HasOverdueOwner() const
{
  TimePoint now = mKernel.GetClock().Now();
  return std::any_of(
    mLastSeen.begin(), mLastSeen.end(), [&](const auto& aEntry) {
      Duration longer = TakeoverTimeout(aEntry.second.mRow) - kTakeoverTimeout;
      return now > aEntry.second.mUnchangedSince + kOwnerOverdueDelay + longer;
    });
}

// While reads failed, an owner may have been unable to renew its row as well,
// so the time without renewal is counted anew.
void
OwnerService::OnReadSucceeded()
{
  TimePoint now = mKernel.GetClock().Now();
  if (now - mReadAt > kMaxOwnerReadInterval) {
    for (auto& [cell, sighting] : mLastSeen) {
      sighting.mUnchangedSince = now;
    }
  }
  mReadAt = now;
  mChanged.NotifyAll();
}

Task<bool>
OwnerService::ReadAll()
{
  std::vector<std::string> cells;
  for (const auto& [cell, read] : mCells) {
    cells.push_back(cell);
  }
  std::optional<Revision> revision;
  for (const std::string& cell : cells) {
    ScanRows scan{ std::string(kCellTable), cell, "" };
    TimePoint deadline = mKernel.GetClock().Now() + kReadTimeout;
    auto reply = co_await CallStoreFor<RowScanPage>(mStore, scan, deadline);
    if (!Ok(reply)) {
      co_return false;
    }
    const RowScanPage& page = std::get<RowScanPage>(reply);
    for (const StoredRow& row : page.mRows) {
      ApplyRow(row);
    }
    revision = revision ? std::min(*revision, page.mRevision) : page.mRevision;
    mCells[cell] = true;
  }
  if (revision && cells.size() == mCells.size()) {
    mRevision = std::max(mRevision, *revision);
    mFollowing = true;
  }
  co_return true;
}

Task<bool>
OwnerService::ReadChanges()
{
  ReadRowFeed follow{ std::string(kCellTable), mRevision, Duration::zero() };
  TimePoint deadline = mKernel.GetClock().Now() + kReadTimeout;
  auto reply = co_await CallStore(mStore, follow, deadline);
  if (!Ok(reply)) {
    // The feed holds every change since the last read, which may take longer
    // than a read may; the rows themselves are few.
    mFollowing = false;
    co_return false;
  }
  const StoreReply& storeReply = std::get<StoreReply>(reply);
  if (std::holds_alternative<HistoryCompacted>(storeReply)) {
    mFollowing = false;
    mRefreshDue.Set();
    co_return false;
  }
  if (const auto* changes = std::get_if<RowFeedPage>(&storeReply)) {
    for (const StoredRow& row : changes->mRows) {
      ApplyRow(row);
    }
    mRevision = std::max(mRevision, changes->mRevision);
    InferLayout();
  }
  co_return true;
}

// A cell has its first owner after the layout is stored, so a cell with an
// owner in a fleet without a layout is that of an earlier version, by which
// fleets were undivided. Only the feed shows the two in the order in which they
// were written.
void
OwnerService::InferLayout()
{
  bool anyOwner =
    std::any_of(mLastSeen.begin(), mLastSeen.end(), [&](const auto& aEntry) {
      return aEntry.first != kFleetCell && aEntry.second.mRevision <= mRevision;
    });
  if (!mLayout && !mLayoutUnreadable && anyOwner) {
    ObserveLayout(FleetLayout{});
  }
}

// A row that can't be read may be the layout in force, so no other one is used
// beside it.
void
OwnerService::ApplyLayoutRow(const StoredRow& aRow)
{
  auto layout =
    ToExpected<FleetLayout>([&] { return DecodeLayout(aRow.mValue); });
  std::string name = aRow.mName.mPartition + "/" + aRow.mName.mKey;
  if (Ok(layout)) {
    mMalformed.Clear(kCellTable, name);
    ObserveLayout(std::get<FleetLayout>(layout));
  } else {
    mLayoutUnreadable = true;
    mMalformed.Record(kCellTable,
                      name,
                      aRow.mFault.empty() ? Describe(std::get<Failure>(layout))
                                          : aRow.mFault);
  }
}

void
OwnerService::ApplyRow(const StoredRow& aRow)
{
  bool isLayout =
    aRow.mName.mPartition == kFleetCell && aRow.mName.mKey == kLayoutKey;
  if (isLayout && !aRow.mRemoved) {
    ApplyLayoutRow(aRow);
    return;
  }
  if (aRow.mName.mKey != kOwnerKey || aRow.mRemoved) {
    return;
  }
  auto row = ToExpected<OwnerRow>([&] { return DecodeOwnerRow(aRow.mValue); });
  if (!Ok(row)) {
    // A part of the row, such as a term without an address, says nothing: the
    // last readable row stays, and no claim succeeds under its revision.
    mMalformed.Record(kCellTable,
                      aRow.mName.mPartition + "/owner",
                      aRow.mFault.empty() ? Describe(std::get<Failure>(row))
                                          : aRow.mFault);
    return;
  }
  mMalformed.Clear(kCellTable, aRow.mName.mPartition + "/owner");
  ObserveRow(aRow.mName.mPartition, std::get<OwnerRow>(row), aRow.mRevision);
}

void
OwnerService::ObserveRow(std::string_view aCell,
                         const OwnerRow& aRow,
                         Revision aRevision)
{
  auto it = mLastSeen.find(aCell);
  bool newer = it == mLastSeen.end() || it->second.mRevision < aRevision;
  if (!newer) {
    return;
  }
  bool ownerChanged = it == mLastSeen.end() ||
                      it->second.mRow.mTerm != aRow.mTerm ||
                      it->second.mRow.mReleased != aRow.mReleased;
  if (ownerChanged) {
    LogInfo(kPart,
            "cell {} owner={} term={} released={} revision={}",
            aCell,
            aRow.mNode,
            aRow.mTerm,
            aRow.mReleased ? 1 : 0,
            ToNumber(aRevision));
  }
  mLastSeen.insert_or_assign(
    std::string(aCell),
    OwnerObservation{ aRow, aRevision, mKernel.GetClock().Now() });
  mChanged.NotifyAll();
}

} // namespace buckthornshunt
