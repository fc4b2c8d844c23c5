#include "services/table_service.h"

#include "kernel/log.h"
#include "wire/row_codec.h"

#include <algorithm>

namespace buckthornshunt {

namespace {

constexpr std::string_view kPart = "table";
constexpr Duration kReadInterval = std::chrono::seconds(1);
constexpr Duration kMaxReadInterval = std::chrono::seconds(5);
constexpr Duration kReadTimeout = std::chrono::seconds(2);
constexpr Duration kMinResolveRetryInterval = std::chrono::milliseconds(50);
constexpr Duration kMaxResolveRetryInterval = std::chrono::seconds(1);

/// Maximum random reduction of an interval, in percent, so that nodes don't
/// poll in step.
constexpr std::uint64_t kJitterPercent = 20;

/// Encoded size of a row in bytes, besides its key and value.
constexpr std::size_t kRowOverhead = 60;

// Bytes of the rows in a call. The framing is the same for every call and isn't
// counted.
std::int64_t
RowBytes(const PlatformCall& aCall)
{
  std::size_t n = 0;
  if (const auto* commit = std::get_if<CommitRows>(&aCall)) {
    for (const RowWrite& write : commit->mWrites) {
      n += kRowOverhead + write.mKey.size() + write.mValue.size();
    }
  }
  return static_cast<std::int64_t>(n);
}

std::int64_t
RowBytes(const Expected<PlatformReply>& aReply)
{
  const auto* reply = std::get_if<PlatformReply>(&aReply);
  if (reply == nullptr) {
    return 0;
  }
  std::size_t n = 0;
  if (const auto* batch = std::get_if<RowBatch>(reply)) {
    for (const Row& row : batch->mRows) {
      n += kRowOverhead + row.mKey.size() + row.mValue.size();
    }
  }
  if (const auto* list = std::get_if<VmList>(reply)) {
    for (const VmListing& vm : list->mWorkers) {
      n += kRowOverhead + vm.mVm.size() + vm.mDataCentre.size() +
           vm.mRack.size() + vm.mEndpoint.mHost.size();
    }
  }
  return static_cast<std::int64_t>(n);
}

Duration
Jittered(Duration aInterval, std::uint64_t aRandom)
{
  return aInterval -
         aInterval * static_cast<std::int64_t>(aRandom % kJitterPercent) / 100;
}

} // namespace

RowWatch::RowWatch(asio::io_context& aContext, std::string_view aPrefix)
  : mPrefix(aPrefix)
  , mChanged(aContext)
{
}

Task<void>
RowWatch::Next()
{
  while (!mDirty) {
    co_await mChanged.Wait();
  }
  mDirty = false;
}

TableService::TableService(Kernel& aKernel, Platform aPlatform)
  : mKernel(aKernel)
  , mPlatform(std::move(aPlatform))
  , mRefreshEvent(aKernel.Context())
  , mTasks(aKernel.Context(), &aKernel.Groups())
{
}

leaf::result<void>
TableService::Start()
{
  mTasks.Spawn("table follow", PollRows());
  return {};
}

Task<void>
TableService::Stop()
{
  mStopping = true;
  mTasks.CancelAll();
  co_await mTasks.Join();
}

std::shared_ptr<RowWatch>
TableService::Watch(std::string_view aPrefix)
{
  auto watch = std::make_shared<RowWatch>(mKernel.Context(), aPrefix);
  mWatches.push_back(watch);
  return watch;
}

void
TableService::Merge(const RowBatch& aBatch)
{
  std::vector<std::string> changed = mView.Merge(aBatch);
  if (changed.empty()) {
    return;
  }
  std::erase_if(mWatches, [](const auto& aWatch) { return aWatch.expired(); });
  for (const auto& weak : mWatches) {
    std::shared_ptr<RowWatch> watch = weak.lock();
    bool affected =
      std::any_of(changed.begin(), changed.end(), [&](std::string_view aKey) {
        return aKey.starts_with(watch->mPrefix);
      });
    if (affected) {
      watch->mDirty = true;
      watch->mChanged.NotifyAll();
    }
  }
}

void
TableService::RequestRefresh()
{
  mRefreshRequested = true;
  mRefreshEvent.NotifyAll();
}

// Polls the rows that changed since the last read. While the platform doesn't
// answer, the interval doubles up to kMaxReadInterval; peers can still send
// rows meanwhile.
Task<void>
TableService::PollRows()
{
  Clock& clock = mKernel.GetClock();
  Duration interval = kReadInterval;
  while (!mStopping) {
    mRefreshRequested = false;
    TimePoint deadline = clock.Now() + kReadTimeout;
    auto batch = co_await ReadPrefix(
      std::string(kControlPrefix), mView.Position(), deadline);
    if (Ok(batch)) {
      Merge(std::get<RowBatch>(batch));
      interval = kReadInterval;
    } else {
      interval = std::min(interval * 2, kMaxReadInterval);
    }
    TimePoint next = clock.Now() + Jittered(interval, mKernel.Random());
    Watchdog pollTimer(clock, next, [this] { RequestRefresh(); });
    while (!mRefreshRequested && !mStopping) {
      co_await mRefreshEvent.Wait();
    }
  }
}

Task<Expected<PlatformReply>>
TableService::Call(PlatformCall aCall, TimePoint aDeadline)
{
  Metrics& metrics = mKernel.GetMetrics();
  metrics.GetCounter("platform_calls_total").Add();
  metrics.GetCounter("platform_bytes_total").Add(RowBytes(aCall));
  auto reply = co_await CallPlatform(mPlatform, std::move(aCall), aDeadline);
  metrics.GetCounter("platform_bytes_total").Add(RowBytes(reply));
  bool answered =
    Ok(reply) ||
    std::holds_alternative<CommitConflict>(std::get<Failure>(reply)) ||
    std::holds_alternative<NotFound>(std::get<Failure>(reply));
  if (answered != mReachable) {
    LogInfo(kPart,
            answered ? "platform is reachable" : "platform is unreachable");
  }
  if (!answered) {
    mKernel.GetMetrics().GetCounter("platform_failures_total").Add();
  }
  mReachable = answered;
  co_return reply;
}

Task<Expected<RowBatch>>
TableService::ReadPrefix(std::string aPrefix,
                         Revision aAfter,
                         TimePoint aDeadline)
{
  PlatformCall call = ReadRows{ std::move(aPrefix), aAfter };
  auto reply = co_await Call(std::move(call), aDeadline);
  if (!Ok(reply)) {
    co_return std::get<Failure>(std::move(reply));
  }
  co_return std::get<RowBatch>(std::get<PlatformReply>(std::move(reply)));
}

Task<Expected<RowRead>>
TableService::Read(std::string aKey, TimePoint aDeadline)
{
  PlatformCall call = ReadRow{ std::move(aKey) };
  auto reply = co_await Call(std::move(call), aDeadline);
  if (!Ok(reply)) {
    co_return std::get<Failure>(std::move(reply));
  }
  co_return std::get<RowRead>(std::get<PlatformReply>(std::move(reply)));
}

Task<Expected<VmList>>
TableService::List(std::string aDataCentre,
                   std::string aKnownTag,
                   TimePoint aDeadline)
{
  PlatformCall call = ListVms{ std::move(aDataCentre), std::move(aKnownTag) };
  auto reply = co_await Call(std::move(call), aDeadline);
  if (!Ok(reply)) {
    co_return std::get<Failure>(std::move(reply));
  }
  co_return std::get<VmList>(std::get<PlatformReply>(std::move(reply)));
}

Task<Expected<std::monostate>>
TableService::Reboot(std::string aVm, TimePoint aDeadline)
{
  PlatformCall call = RebootVm{ std::move(aVm) };
  auto reply = co_await Call(std::move(call), aDeadline);
  if (!Ok(reply)) {
    co_return std::get<Failure>(std::move(reply));
  }
  co_return std::monostate{};
}

Task<Expected<std::monostate>>
TableService::PutObjectBytes(std::string aName,
                             std::string aBytes,
                             TimePoint aDeadline)
{
  PlatformCall call = PutObject{ std::move(aName), std::move(aBytes) };
  auto reply = co_await Call(std::move(call), aDeadline);
  if (!Ok(reply)) {
    co_return std::get<Failure>(std::move(reply));
  }
  co_return std::monostate{};
}

Task<Expected<std::string>>
TableService::GetObjectBytes(std::string aName, TimePoint aDeadline)
{
  PlatformCall call = GetObject{ std::move(aName) };
  auto reply = co_await Call(std::move(call), aDeadline);
  if (!Ok(reply)) {
    co_return std::get<Failure>(std::move(reply));
  }
  auto& object = std::get<ObjectRead>(std::get<PlatformReply>(reply));
  co_return std::move(object.mBytes);
}

Task<Expected<Revision>>
TableService::Commit(CommitRows aCommit, TimePoint aDeadline)
{
  mKernel.GetMetrics().GetCounter("platform_commits_total").Add();
  PlatformCall call = aCommit;
  auto reply = co_await Call(std::move(call), aDeadline);
  if (Ok(reply)) {
    RequestRefresh();
    co_return std::get<Committed>(std::get<PlatformReply>(reply)).mRevision;
  }
  Failure failure = std::get<Failure>(std::move(reply));
  bool definite = std::holds_alternative<CommitConflict>(failure) ||
                  std::holds_alternative<StoreUnavailable>(failure);
  if (definite) {
    co_return failure;
  }
  auto settled = co_await ResolveCommit(std::move(aCommit), aDeadline);
  co_return settled;
}

// Determines the outcome of a commit whose answer was lost, from the first row:
// it holds the value to be written, or it still has the expected revision, in
// which case the same commit can safely be sent again, or another writer has
// changed it since.
Task<Expected<Revision>>
TableService::ResolveCommit(CommitRows aCommit, TimePoint aDeadline)
{
  Clock& clock = mKernel.GetClock();
  mKernel.GetMetrics().GetCounter("platform_commits_settled_total").Add();
  const RowWrite first = aCommit.mWrites.front();
  Duration retryInterval = kMinResolveRetryInterval;
  while (clock.Now() + retryInterval < aDeadline) {
    co_await clock.Sleep(retryInterval);
    retryInterval = std::min(retryInterval * 2, kMaxResolveRetryInterval);
    auto read = co_await Read(first.mKey, aDeadline);
    if (!Ok(read)) {
      continue;
    }
    const std::optional<Row>& row = std::get<RowRead>(read).mRow;
    Revision revision = row ? row->mRevision : Revision{};
    bool written = first.mDelete ? !row : row && row->mValue == first.mValue;
    if (written) {
      RequestRefresh();
      co_return revision;
    }
    if (revision != first.mExpectedRevision) {
      co_return Failure(CommitOutcomeUnknown{});
    }
    PlatformCall call = aCommit;
    auto reply = co_await Call(std::move(call), aDeadline);
    if (Ok(reply)) {
      RequestRefresh();
      co_return std::get<Committed>(std::get<PlatformReply>(reply)).mRevision;
    }
  }
  co_return Failure(CommitOutcomeUnknown{});
}

} // namespace buckthornshunt
