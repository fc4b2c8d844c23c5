#include "services/directory_service.h"

#include "kernel/log.h"
#include "platform/directory_codec.h"
#include "wire/json_fields.h"

#include <set>
#include <utility>

namespace buckthornshunt {

namespace {

constexpr std::string_view kPart = "directory";

/// How long the store may hold a long poll; short, since a silent connection is
/// detected only when it ends.
constexpr Duration kFeedPollDuration = std::chrono::milliseconds(900);
constexpr Duration kFeedGracePeriod = std::chrono::milliseconds(900);
constexpr Duration kScanTimeout = std::chrono::milliseconds(1500);
/// Avoids a storm of retries during an outage.
constexpr Duration kRetryInterval = std::chrono::milliseconds(250);
/// Pause since the last read, as of a suspended process, from which the table
/// is read.
constexpr Duration kMaxFeedGap =
  kFeedPollDuration + kFeedGracePeriod + 2 * kRetryInterval;

} // namespace

DirectoryService::DirectoryService(Kernel& aKernel, Store& aStore)
  : mKernel(aKernel)
  , mStore(aStore)
  , mTasks(aKernel.Context(), &aKernel.Groups())
  , mChanged(aKernel.Context())
  , mWorkersSubscribed(aKernel.Context())
  , mMalformed(aKernel.GetMetrics(), kPart)
{
  mOperatorTable.mTable = platform::kOperatorTable;
  mWorkerTable.mTable = platform::kWorkerTable;
}

leaf::result<void>
DirectoryService::Start()
{
  mTasks.Spawn("operator", Follow(mOperatorTable));
  mTasks.Spawn("workers", FollowWorkers());
  return {};
}

Task<void>
DirectoryService::Stop()
{
  mTasks.CancelAll();
  co_await mTasks.Join();
}

DirectoryService::WorkerSubscription
DirectoryService::SubscribeToWorkers()
{
  mWorkersSubscribed.NotifyAll();
  return mSubscribers;
}

std::vector<WorkerReport>
DirectoryService::Workers() const
{
  std::vector<WorkerReport> reports;
  reports.reserve(mWorkers.size());
  for (const auto& [id, report] : mWorkers) {
    reports.push_back(report);
  }
  return reports;
}

std::optional<WorkerIncarnation>
DirectoryService::FindIncarnation(std::string_view aWorker) const
{
  auto it = mWorkers.find(aWorker);
  if (it == mWorkers.end()) {
    return std::nullopt;
  }
  auto seen = mIncarnationSeenAt.find(aWorker);
  return WorkerIncarnation{ it->second.mVm,
                            it->second.mIncarnation,
                            seen->second };
}

TimePoint
DirectoryService::WaveSeenAt(std::uint64_t aNumber) const
{
  auto it = mWaveSeenAt.find(aNumber);
  return it == mWaveSeenAt.end() ? TimePoint{} : it->second;
}

Task<void>
DirectoryService::Follow(FollowedTable& aTable)
{
  while (true) {
    co_await ReadOnce(aTable);
    if (aTable.mFailedReads > 0) {
      co_await mKernel.GetClock().Sleep(kRetryInterval);
    }
  }
}

// Only owners of cells and of the fleet need the workers. Their heartbeats are
// most of what the store's tables change, so every other node's cost would grow
// with the fleet. Each worker writes its entry every second or two; with a
// delay between reads, one call returns many changes.
Task<void>
DirectoryService::FollowWorkers()
{
  while (true) {
    while (mSubscribers.use_count() == 1) {
      ForgetWorkers();
      co_await mWorkersSubscribed.Wait();
    }
    co_await ReadOnce(mWorkerTable);
    co_await mKernel.GetClock().Sleep(kRetryInterval);
  }
}

// The feed holds every change since the last read, the table only the latest of
// each row. Over a slow link the changes of an outage take longer than a read
// may, however often it is retried.
Task<void>
DirectoryService::ReadOnce(FollowedTable& aTable)
{
  TimePoint began = mKernel.GetClock().Now();
  Expected<std::monostate> outcome;
  if (began - aTable.mReadAt > kMaxFeedGap) {
    aTable.mScanned = false;
  }
  if (aTable.mScanned) {
    outcome = co_await FollowChanges(aTable);
  } else {
    outcome = co_await ScanAll(aTable);
  }
  RecordRead(aTable, outcome, began);
  if (std::exchange(mDirty, false)) {
    mChanged.NotifyAll();
  }
}

// The table's revision is kept, so that no later scan may be older.
void
DirectoryService::ForgetWorkers()
{
  mWorkersKnown = false;
  mWorkers.clear();
  mIncarnationSeenAt.clear();
  mWorkerTable.mRows.clear();
  mWorkerTable.mScanned = false;
}

// Failed reads are at least kRetryInterval apart, which bounds the log.
void
DirectoryService::RecordRead(FollowedTable& aTable,
                             const Expected<std::monostate>& aOutcome,
                             TimePoint aBegan)
{
  TimePoint now = mKernel.GetClock().Now();
  if (!Ok(aOutcome)) {
    if (aTable.mFailedReads == 0) {
      aTable.mFailingSince = aBegan;
    }
    ++aTable.mFailedReads;
    LogWarn(kPart,
            "store lost table={} revision={} scan={} ms={} failed={} why={}",
            aTable.mTable,
            ToNumber(aTable.mRevision),
            aTable.mScanned ? 0 : 1,
            ToMillis(now - aBegan),
            aTable.mFailedReads,
            Describe(std::get<Failure>(aOutcome)));
    mKernel.GetMetrics().GetCounter("directory_failed_reads_total").Add();
    aTable.mScanned = false;
    return;
  }
  if (aTable.mFailedReads > 0) {
    LogInfo(kPart,
            "store regained table={} revision={} ms={} failed={} away_ms={}",
            aTable.mTable,
            ToNumber(aTable.mRevision),
            ToMillis(now - aBegan),
            aTable.mFailedReads,
            ToMillis(now - aTable.mFailingSince));
  }
  aTable.mFailedReads = 0;
}

// Reads the whole table. Missing rows are dropped only if the read is newer
// than their known revision.
Task<Expected<std::monostate>>
DirectoryService::ScanAll(FollowedTable& aTable)
{
  TimePoint began = mKernel.GetClock().Now();
  std::map<std::string, Revision> found;
  std::vector<StoredRow> rows;
  Revision revision{};
  std::string from;
  bool more = true;
  while (more) {
    ScanRows scan{ aTable.mTable, "", from };
    TimePoint deadline = mKernel.GetClock().Now() + kScanTimeout;
    auto reply = co_await CallStoreFor<RowScanPage>(mStore, scan, deadline);
    if (!Ok(reply)) {
      co_return std::get<Failure>(std::move(reply));
    }
    RowScanPage page = std::get<RowScanPage>(std::move(reply));
    revision =
      from.empty() ? page.mRevision : std::min(revision, page.mRevision);
    RecordUnnamed(aTable, page.mUnnamedRows);
    more = page.mHasMore && !page.mRows.empty();
    if (more) {
      // The next key in byte order after the last one read.
      from = page.mRows.back().mName.mKey + '\0';
    }
    for (StoredRow& row : page.mRows) {
      found[row.mName.mKey] = row.mRevision;
      rows.push_back(std::move(row));
    }
  }
  if (revision < aTable.mRevision) {
    LogWarn(kPart,
            "stale scan ignored table={} revision={} known={}",
            aTable.mTable,
            ToNumber(revision),
            ToNumber(aTable.mRevision));
    co_return Failure(StateConflict{ "stale scan" });
  }
  for (const StoredRow& row : rows) {
    Apply(aTable, row);
  }
  std::vector<std::string> removedKeys;
  for (const auto& [key, known] : aTable.mRows) {
    if (!found.contains(key) && known <= revision) {
      removedKeys.push_back(key);
    }
  }
  for (const std::string& key : removedKeys) {
    StoredRow removed{ { aTable.mTable, "", key }, {}, revision, true };
    Apply(aTable, removed);
  }
  aTable.mRevision = revision;
  aTable.mScanned = true;
  aTable.mReadAt = mKernel.GetClock().Now();
  aTable.mCurrentAsOf = began;
  if (&aTable == &mWorkerTable) {
    mDirty = mDirty || !mWorkersKnown;
    mWorkersKnown = true;
  }
  co_return std::monostate{};
}

Task<Expected<std::monostate>>
DirectoryService::FollowChanges(FollowedTable& aTable)
{
  ReadRowFeed follow{ aTable.mTable, aTable.mRevision, kFeedPollDuration };
  TimePoint sent = mKernel.GetClock().Now();
  TimePoint deadline = sent + kFeedPollDuration + kFeedGracePeriod;
  auto reply = co_await CallStore(mStore, follow, deadline);
  if (!Ok(reply)) {
    co_return std::get<Failure>(std::move(reply));
  }
  const StoreReply& storeReply = std::get<StoreReply>(reply);
  if (std::holds_alternative<HistoryCompacted>(storeReply)) {
    LogInfo(kPart,
            "history dropped table={} revision={}, reading the whole table",
            aTable.mTable,
            ToNumber(aTable.mRevision));
    aTable.mScanned = false;
    co_return std::monostate{};
  }
  const auto* changes = std::get_if<RowFeedPage>(&storeReply);
  if (changes == nullptr) {
    co_return Failure(ProtocolFailure{});
  }
  RecordUnnamed(aTable, changes->mUnnamedRows);
  std::set<std::string_view> keys;
  for (const StoredRow& row : changes->mRows) {
    keys.insert(row.mName.mKey);
    Apply(aTable, row);
  }
  aTable.mRevision = std::max(aTable.mRevision, changes->mRevision);
  aTable.mReadAt = mKernel.GetClock().Now();
  aTable.mCurrentAsOf = sent;
  // Rows change faster than the feed is read, so the table is shorter.
  if (!keys.empty() && keys.size() * 2 <= changes->mRows.size()) {
    aTable.mScanned = false;
  }
  co_return std::monostate{};
}

void
DirectoryService::Apply(FollowedTable& aTable, const StoredRow& aRow)
{
  // Without a revision an unreadable row can't be told from an older one; it is
  // applied, and so is the next readable one.
  bool hasRevision = aRow.mRevision != Revision{};
  auto known = aTable.mRows.find(aRow.mName.mKey);
  if (hasRevision && known != aTable.mRows.end() &&
      aRow.mRevision <= known->second) {
    return;
  }
  if (hasRevision) {
    aTable.mRows[aRow.mName.mKey] = aRow.mRevision;
  }
  if (!aRow.mFault.empty()) {
    mMalformed.Record(aTable.mTable, aRow.mName.mKey, aRow.mFault);
  }
  if (&aTable == &mOperatorTable) {
    ApplyOperatorRow(aRow);
  } else {
    ApplyWorkerRow(aRow);
  }
}

void
DirectoryService::RecordUnnamed(const FollowedTable& aTable, std::size_t aRows)
{
  for (std::size_t i = 0; i < aRows; ++i) {
    mMalformed.Record(aTable.mTable, "", "no key");
  }
}

void
DirectoryService::ApplyOperatorRow(const StoredRow& aRow)
{
  // An order that was given stays in force while its row can't be read.
  if (aRow.mRemoved || !aRow.mFault.empty()) {
    if (aRow.mName.mKey == platform::kConfigKey) {
      mConfigSuperseded =
        mConfigSuperseded.value_or(mOperatorTable.mCurrentAsOf);
    }
    return;
  }
  if (aRow.mName.mKey == platform::kConfigKey) {
    ApplyConfigRow(aRow);
    return;
  }
  auto wave = platform::ParseWaveKey(aRow.mName.mKey);
  if (!wave) {
    return;
  }
  auto order = ToExpected<WaveOrder>(
    [&] { return platform::DecodeWaveOrder(aRow.mValue); });
  if (!Ok(order)) {
    mMalformed.Record(platform::kOperatorTable,
                      aRow.mName.mKey,
                      Describe(std::get<Failure>(order)));
    return;
  }
  mMalformed.Clear(platform::kOperatorTable, aRow.mName.mKey);
  WaveOrder& waveOrder = std::get<WaveOrder>(order);
  LogInfo(kPart,
          "wave {} seen vms={} at_once={} deadline_s={}",
          *wave,
          waveOrder.mVms.size(),
          waveOrder.mMaxConcurrent,
          ToSeconds(waveOrder.mDeadline));
  mDirty = true;
  mWaveSeenAt.try_emplace(*wave, mKernel.GetClock().Now());
  mWaves.insert_or_assign(*wave, std::move(waveOrder));
}

// A configuration that can't be decoded leaves the current one in force.
void
DirectoryService::ApplyConfigRow(const StoredRow& aRow)
{
  auto config = ToExpected<WorkloadConfig>(
    [&] { return platform::DecodeWorkloadConfig(aRow.mValue); });
  if (!Ok(config)) {
    mMalformed.Record(platform::kOperatorTable,
                      aRow.mName.mKey,
                      Describe(std::get<Failure>(config)));
    mConfigSuperseded = mConfigSuperseded.value_or(mOperatorTable.mCurrentAsOf);
    return;
  }
  mMalformed.Clear(platform::kOperatorTable, aRow.mName.mKey);
  mConfigSuperseded.reset();
  WorkloadConfig& newConfig = std::get<WorkloadConfig>(config);
  if (mConfig && newConfig.mVersion <= mConfig->mVersion) {
    return;
  }
  LogInfo(kPart,
          "configuration in force version={} before={} queues={} pools={} "
          "organisations={}",
          ToNumber(newConfig.mVersion),
          mConfig ? ToNumber(mConfig->mVersion) : 0,
          newConfig.mQueues.size(),
          newConfig.mPools.size(),
          newConfig.mOrganisations ? newConfig.mOrganisations->size() : 0);
  mDirty = true;
  if (mConfig) {
    mMoves.Record(*mConfig, newConfig, mKernel.GetClock().Now());
  }
  mConfig = std::make_shared<const WorkloadConfig>(std::move(newConfig));
}

void
DirectoryService::ApplyWorkerRow(const StoredRow& aRow)
{
  const std::string& id = aRow.mName.mKey;
  auto before = mWorkers.find(id);
  if (aRow.mRemoved) {
    if (before != mWorkers.end()) {
      LogInfo(kPart,
              "worker {} removed pool={} revision={}",
              id,
              before->second.mPool,
              ToNumber(aRow.mRevision));
      mWorkers.erase(before);
      mIncarnationSeenAt.erase(id);
      mDirty = true;
    }
    mMalformed.Clear(platform::kWorkerTable, id);
    return;
  }
  auto report = ToExpected<WorkerReport>(
    [&] { return platform::DecodeWorkerReport(id, aRow.mValue); });
  // A malformed entry names no worker to use; runs on an earlier one are known
  // to the cell, which waits for their leases.
  if (!Ok(report)) {
    if (aRow.mFault.empty()) {
      mMalformed.Record(
        platform::kWorkerTable, id, Describe(std::get<Failure>(report)));
    }
    mDirty = mWorkers.erase(id) > 0 || mDirty;
    mIncarnationSeenAt.erase(id);
    return;
  }
  mMalformed.Clear(platform::kWorkerTable, id);
  WorkerReport& workerReport = std::get<WorkerReport>(report);
  bool changed = before == mWorkers.end() ||
                 before->second.mDraining != workerReport.mDraining ||
                 before->second.mIncarnation != workerReport.mIncarnation ||
                 before->second.mPool != workerReport.mPool;
  bool sameIncarnation =
    before != mWorkers.end() &&
    before->second.mIncarnation == workerReport.mIncarnation &&
    before->second.mVm == workerReport.mVm;
  if (!sameIncarnation) {
    mIncarnationSeenAt.insert_or_assign(id, mKernel.GetClock().Now());
  }
  if (changed) {
    LogInfo(kPart,
            "worker {} pool={} vm={} born={} draining={} revision={}",
            id,
            workerReport.mPool,
            workerReport.mVm,
            workerReport.mIncarnation,
            workerReport.mDraining ? 1 : 0,
            ToNumber(aRow.mRevision));
  }
  mDirty = mDirty || before == mWorkers.end() || before->second != workerReport;
  mWorkers.insert_or_assign(id, std::move(workerReport));
}

} // namespace buckthornshunt
