#include "services/cell_runtime.h"

#include "kernel/log.h"
#include "services/directory_service.h"
#include "services/owner_service.h"
#include "wire/cell_codec.h"

#include <algorithm>

namespace buckthornshunt {

namespace {

constexpr std::string_view kPart = "cell";

/// An idle owner renews its row three times per lease.
constexpr Duration kOwnerRenewalInterval = std::chrono::milliseconds(500);
constexpr Duration kLoadRetryInterval = std::chrono::milliseconds(100);
constexpr Duration kScanTimeout = std::chrono::milliseconds(1500);
/// Maximum time between two planning passes of an idle cell.
constexpr Duration kMaxPlanInterval = std::chrono::milliseconds(150);
/// A renewal is a long poll: the worker holds it until a run ends, at most this
/// long.
constexpr Duration kRenewalPollDuration = std::chrono::milliseconds(1500);
constexpr Duration kRenewalGracePeriod = std::chrono::milliseconds(900);
constexpr Duration kRenewalRetryInterval = std::chrono::milliseconds(250);
constexpr int kMaxRenewalBackoffFactor = 4;
/// Shortest interval at which a worker is asked that may have restarted and may
/// carry a start out late.
constexpr Duration kMinRestartRetryInterval = std::chrono::milliseconds(25);
constexpr Duration kOrderTimeout = std::chrono::milliseconds(800);
/// Timeouts of one attempt of a renewal or an order. An answer takes some
/// milliseconds, and up to 0.1 s more while the owner's processor quota is used
/// up.
constexpr AnswerTimer::Bounds kAnswerTimeouts{ std::chrono::milliseconds(200),
                                               std::chrono::milliseconds(800),
                                               std::chrono::milliseconds(400) };
/// Bounds the concurrent orders to one worker.
constexpr int kMaxSendersPerWorker = 4;
/// Limit on the values of a commit: base64 makes a third more of them, and the
/// store accepts 1 MB with the names.
constexpr std::size_t kMaxCommitBytes = 650'000;
/// A feed of grants is held this long without a change.
constexpr Duration kQuotaPollDuration = std::chrono::milliseconds(1500);
constexpr Duration kQuotaReadTimeout = std::chrono::milliseconds(1500);
/// Interval at which a cell looks whether its configuration has maxima.
constexpr Duration kQuotaCheckInterval = std::chrono::milliseconds(500);
constexpr AnswerTimer::Bounds kQuotaCommitTimeouts{
  std::chrono::milliseconds(350),
  std::chrono::milliseconds(2000),
  std::chrono::milliseconds(350)
};
/// Each row takes two of the 100 entries of a commit.
constexpr std::size_t kMaxQuotaRowsPerCommit = 40;
constexpr std::uint64_t kMaxQuotaRetryJitterMs = 20;
constexpr Duration kAdviceGracePeriod = std::chrono::milliseconds(1500);

/// Name of the workers' listings in the log of malformed entries.
constexpr std::string_view kRunTable = "runs";

} // namespace

CellRuntime::WorkerQueue::WorkerQueue(asio::io_context& aContext)
  : mChanged(aContext)
  , mAnswers(kAnswerTimeouts)
{
}

CellRuntime::CellRuntime(Kernel& aKernel,
                         const CellPorts& aPorts,
                         DirectoryService& aDirectory,
                         FleetLayout aLayout,
                         CellId aId,
                         CellDurations aTimes,
                         ClaimResult aClaim)
  : mKernel(aKernel)
  , mClock(aKernel.GetClock())
  , mPorts(aPorts)
  , mDirectory(aDirectory)
  , mWorkerSubscription(aDirectory.SubscribeToWorkers())
  , mLayout(aLayout)
  , mId(std::move(aId))
  , mLease(aKernel,
           *aPorts.mStore,
           mId.mName,
           std::move(aClaim.mRow),
           aClaim.mRevision,
           aClaim.mSentAt)
  , mCell(std::make_unique<Cell>(aTimes,
                                 FencingToken(mLease.Token()),
                                 mLease.Row().mTerm,
                                 aKernel.GetClock().Now(),
                                 mId.mName))
  , mTasks(aKernel.Context(), &aKernel.Groups())
  , mPlanDue(aKernel.Context())
  , mCommitDue(aKernel.Context())
  , mQuotaDue(aKernel.Context())
  , mQuotaAnswers(kQuotaCommitTimeouts)
  , mCommitted(aKernel.Context())
  , mMalformed(aKernel.GetMetrics(), kPart)
  , mActivity(aKernel.GetMetrics())
{
}

void
CellRuntime::Start()
{
  LogInfo(kPart,
          "pool={} taken over term={} token={}",
          mId.mName,
          mLease.Row().mTerm,
          ToNumber(mLease.CurrentRevision()));
  mTasks.Spawn("load", Load());
}

// Sending stops before the release, so that no order is in flight that the next
// owner doesn't know of.
Task<void>
CellRuntime::Stop(TimePoint aDeadline)
{
  mReleasing = true;
  mCommitted.NotifyAll();
  mTasks.CancelAll();
  co_await mTasks.Join();
  if (!Lost()) {
    bool released = co_await Release(aDeadline);
    LogInfo(kPart,
            "pool={} released={} term={}",
            mId.mName,
            released ? 1 : 0,
            mLease.Row().mTerm);
  }
  mClosed = true;
  mWorkerSubscription.reset();
  mCommitted.NotifyAll();
}

// A cell that isn't loaded is released with the rows that its last owner left.
Task<bool>
CellRuntime::Release(TimePoint aDeadline)
{
  if (!mLoaded) {
    bool released = co_await mLease.Commit({}, true, aDeadline);
    co_return released;
  }
  if (mInFlightChanges) {
    // The cancelled commit may or may not have taken effect, so it is repeated.
    mCell->OnNotCommitted(*mInFlightChanges);
  }
  bool ok = true;
  while (ok && !mCell->FitsOneCommit()) {
    CellChanges changes = mCell->TakeChanges(mClock.Now());
    ok = co_await CommitChanges(std::move(changes), false, aDeadline);
  }
  if (ok) {
    CellChanges changes = mCell->TakeReleaseChanges(mClock.Now());
    ok = co_await CommitChanges(std::move(changes), true, aDeadline);
  }
  co_return ok;
}

void
CellRuntime::MarkLost(std::string_view aWhy)
{
  mLease.MarkLost(aWhy);
  mCommitted.NotifyAll();
  NotifyWorkers();
  mPlanDue.Set();
  mCommitDue.Set();
}

CellRuntime::WorkerQueue&
CellRuntime::QueueOf(std::string_view aWorker)
{
  auto it = mWorkerQueues.find(aWorker);
  if (it == mWorkerQueues.end()) {
    it =
      mWorkerQueues.try_emplace(std::string(aWorker), mKernel.Context()).first;
  }
  return it->second;
}

void
CellRuntime::NotifyWorker(std::string_view aWorker)
{
  QueueOf(aWorker).mChanged.NotifyAll();
}

void
CellRuntime::NotifyWorkers()
{
  for (auto& [id, queue] : mWorkerQueues) {
    queue.mChanged.NotifyAll();
  }
}

RowName
CellRuntime::MakeRowName(std::string_view aTable, std::string_view aKey) const
{
  return { std::string(aTable), mId.mName, std::string(aKey) };
}

// --- Loading

Task<bool>
CellRuntime::LoadTable(std::string aTable, std::vector<StoredRow>& aRows)
{
  std::string from;
  bool more = true;
  while (more) {
    ScanRows scan{ aTable, mId.mName, from };
    TimePoint deadline = mClock.Now() + kScanTimeout;
    auto reply =
      co_await CallStoreFor<RowScanPage>(*mPorts.mStore, scan, deadline);
    if (!Ok(reply)) {
      co_return false;
    }
    RowScanPage page = std::get<RowScanPage>(std::move(reply));
    more = page.mHasMore && !page.mRows.empty();
    if (more) {
      from = page.mRows.back().mName.mKey + '\0';
    }
    for (StoredRow& row : page.mRows) {
      aRows.push_back(std::move(row));
    }
    for (std::size_t i = 0; i < page.mUnnamedRows; ++i) {
      mMalformed.Record(aTable, mId.mName, "no key");
    }
  }
  co_return true;
}

Task<void>
CellRuntime::Load()
{
  TimePoint began = mClock.Now();
  std::vector<StoredRow> jobs;
  std::vector<StoredRow> progress;
  std::vector<StoredRow> cells;
  bool ok = false;
  while (!ok && Active()) {
    jobs.clear();
    progress.clear();
    cells.clear();
    bool read = co_await LoadTable(std::string(kJobTable), jobs);
    if (read) {
      read = co_await LoadTable(std::string(kProgressTable), progress);
    }
    if (read) {
      ok = co_await LoadTable(std::string(kCellTable), cells);
    }
    if (!ok) {
      co_await mClock.Sleep(kLoadRetryInterval);
    }
  }
  if (!Active()) {
    co_return;
  }
  bool stillOurs =
    std::any_of(cells.begin(), cells.end(), [&](const StoredRow& aRow) {
      return aRow.mName.mKey == kOwnerKey &&
             aRow.mRevision == mLease.CurrentRevision();
    });
  if (!stillOurs) {
    MarkLost("another node took the cell over during loading");
    co_return;
  }
  Restore(jobs, progress, cells);
  LogInfo(kPart,
          "pool={} loaded jobs={} rows={} in_ms={}",
          mId.mName,
          jobs.size(),
          jobs.size() + progress.size() + cells.size(),
          ToMillis(mClock.Now() - began));
  mLoaded = true;
  OnDirectoryChange();
  mTasks.Spawn("commit", CommitLoop());
  mTasks.Spawn("plan", PlanLoop());
  mTasks.Spawn("pace", PaceLoop());
  mTasks.Spawn("follow quotas", FollowQuotas());
  mTasks.Spawn("write quotas", WriteQuotas());
  mCommitted.NotifyAll();
}

void
CellRuntime::Restore(const std::vector<StoredRow>& aJobs,
                     const std::vector<StoredRow>& aProgress,
                     const std::vector<StoredRow>& aCells)
{
  TimePoint now = mClock.Now();
  WallTime wallNow = mClock.WallNow();
  std::map<std::string, StoredProgress> progress;
  for (const StoredRow& row : aProgress) {
    auto read =
      ToExpected<StoredProgress>([&] { return DecodeProgress(row.mValue); });
    if (Ok(read)) {
      progress.emplace(row.mName.mKey, std::get<0>(std::move(read)));
    } else {
      HoldUnreadableJob(row, std::get<Failure>(read));
    }
  }
  for (const StoredRow& row : aJobs) {
    auto read = ToExpected<StoredJob>(
      [&] { return DecodeStoredJob(row.mName.mKey, row.mValue); });
    if (!Ok(read)) {
      HoldUnreadableJob(row, std::get<Failure>(read));
      progress.erase(row.mName.mKey);
    }
    if (mUnreadableJobs.contains(row.mName.mKey)) {
      continue;
    }
    StoredProgress stored;
    if (auto it = progress.find(row.mName.mKey); it != progress.end()) {
      stored = std::move(it->second);
      progress.erase(it);
    }
    mCell->Restore(RestoreJob(std::get<0>(read), stored), now, wallNow);
  }
  for (const auto& [id, stored] : progress) {
    mCell->RestoreEnded(id, stored, now);
  }
  for (const StoredRow& row : aCells) {
    if (row.mName.mKey != kWorkersKey) {
      continue;
    }
    auto workers = ToExpected<std::vector<WorkerAddress>>(
      [&] { return DecodeWorkerSet(row.mValue); });
    if (Ok(workers)) {
      mCell->RestoreWorkers(std::get<0>(workers), now);
    } else {
      // Some worker may hold runs of an earlier owner; as for an entry that
      // can't be read, its leases are waited for.
      std::vector<WorkerAddress> unknown(1);
      mCell->RestoreWorkers(unknown, now);
      mMalformed.Record(kCellTable,
                        mId.mName + "/workers",
                        Describe(std::get<Failure>(workers)));
    }
  }
}

// Without its progress a job would run again what is done, and without its
// specification an accepted job would be denied. Neither runs, and calls for it
// are answered as unavailable, until the row can be read.
void
CellRuntime::HoldUnreadableJob(const StoredRow& aRow, const Failure& aFailure)
{
  mUnreadableJobs.insert(aRow.mName.mKey);
  mMalformed.Record(aRow.mName.mTable,
                    mId.mName + "/" + aRow.mName.mKey,
                    aRow.mFault.empty() ? Describe(aFailure) : aRow.mFault);
}

namespace {

// Cells that queues send their jobs to.
std::size_t
CountCells(const WorkloadConfig& aConfig, const FleetLayout& aLayout)
{
  std::set<std::string_view> pools;
  for (const QueueConfig& queue : aConfig.mQueues) {
    pools.insert(queue.mPool);
  }
  return pools.size() * aLayout.mShards;
}

} // namespace

void
CellRuntime::OnDirectoryChange()
{
  if (!mLoaded || mReleasing) {
    return;
  }
  if (auto config = mDirectory.Config()) {
    mCell->SetConfig(*config, mId.mPool, CountCells(*config, mLayout));
  }
  if (mDirectory.WorkersKnown()) {
    std::vector<WorkerReport> reports = mDirectory.Workers();
    std::erase_if(reports, [&](const WorkerReport& aReport) {
      const std::string& vm = aReport.mVm.empty() ? aReport.mId : aReport.mVm;
      return mLayout.ShardOf(vm) != mId.mShard;
    });
    mCell->SetWorkers(reports, mClock.Now());
  }
  for (const std::string& id : mLease.Row().mDrainingWorkers) {
    mCell->SetDraining(id, true);
  }
  MonitorWorkers();
  mPlanDue.Set();
  NotifyWorkers();
}

// --- Planning

Task<void>
CellRuntime::PlanLoop()
{
  TimePoint planned = mClock.Now();
  while (Active()) {
    TimePoint began = mClock.Now();
    if (HoldsLease()) {
      std::vector<CellOrder> orders =
        mCell->Plan(mClock.Now(), mClock.WallNow());
      mActivity.OnPlan(mClock.Now() - began, began - planned, orders.size());
      planned = began;
      RecordCrashes();
      LogPlanNotices();
      if (mCell->Quotas().IsLimited()) {
        // Limits of starts follow each plan, also while a write is in progress.
        mCell->NextQuotaWrite(0, mClock.Now());
        mQuotaDue.Set();
      }
      if (mCell->Fenced()) {
        MarkLost("a worker has seen a higher fencing token");
        co_return;
      }
      if (!orders.empty()) {
        Dispatch(std::move(orders));
      }
      if (mPorts.mAdviceEndpoint.mPort != 0) {
        for (AdviceRequest& request : mCell->TakeAdviceRequests()) {
          mTasks.Spawn("advise", FetchAdvice(std::move(request)));
        }
      }
    }
    Duration took = mClock.Now() - began;
    mActivity.Log(
      mId.mName, mWorkersInUse, mPace.Spacing(), mClock.Delays(), mClock.Now());
    TimePoint deadline = mClock.Now() + kMaxPlanInterval;
    co_await mPlanDue.WaitAndReset(mClock, deadline);
    co_await mClock.Sleep(mPace.PlanPause(took));
  }
}

Task<void>
CellRuntime::PaceLoop()
{
  TimerDelays before = mClock.Delays();
  while (Active()) {
    co_await mClock.Sleep(WorkPace::kAdjustInterval);
    TimerDelays delays = mClock.Delays();
    mPace.OnQueueDelay(delays.MeanSince(before));
    before = delays;
  }
}

// Logs one line per step whose tasks are started. The outcome of a start is
// logged only if it failed, or if some attempt got no answer.
void
CellRuntime::LogStarts(std::span<const CellOrder> aOrders) const
{
  std::string runs;
  for (std::size_t i = 0; i < aOrders.size(); ++i) {
    const auto* start = std::get_if<StartRun>(&aOrders[i].mCall);
    if (start == nullptr) {
      continue;
    }
    const TaskId& task = start->mTask;
    runs +=
      FormatText(" {}:{}@{}", task.mIndex, start->mRun, aOrders[i].mWorker);
    const auto* next = i + 1 < aOrders.size()
                         ? std::get_if<StartRun>(&aOrders[i + 1].mCall)
                         : nullptr;
    bool last = next == nullptr || next->mTask.mJob != task.mJob ||
                next->mTask.mOccurrence != task.mOccurrence ||
                next->mTask.mStep != task.mStep;
    if (last) {
      LogInfo(kPart,
              "start job={} step={}.{} pool={} term={} runs={}",
              task.mJob,
              task.mOccurrence,
              task.mStep,
              mId.mName,
              mLease.Row().mTerm,
              runs);
      runs.clear();
    }
  }
}

void
CellRuntime::Dispatch(std::vector<CellOrder> aOrders)
{
  LogStarts(aOrders);
  for (CellOrder& order : aOrders) {
    WorkerQueue& queue = QueueOf(order.mWorker);
    queue.mChanged.NotifyAll();
    queue.mOrders.push_back({ std::move(order.mCall), mClock.Now() });
    auto waiting = static_cast<int>(queue.mOrders.size());
    if (queue.mSenders < std::min(kMaxSendersPerWorker, waiting)) {
      ++queue.mSenders;
      mTasks.Spawn("lane", SendOrders(order.mWorker));
    }
  }
}

// Sends a worker's orders one after another on one connection until none is
// left.
Task<void>
CellRuntime::SendOrders(std::string aWorker)
{
  WorkerQueue& queue = QueueOf(aWorker);
  while (!queue.mOrders.empty() && Active()) {
    QueuedOrder order = std::move(queue.mOrders.front());
    queue.mOrders.pop_front();
    const WorkerCall& call = order.mCall;
    TimePoint taken = mClock.Now();
    bool unanswered = false;
    Expected<WorkerReply> reply = co_await SendOrder(aWorker, call, unanswered);
    mActivity.OnOrder(
      taken - order.mDecidedAt, mClock.Now() - taken, Ok(reply));
    LogOrder(aWorker, call, reply, unanswered);
    mCell->OnOrderReply(aWorker, call, reply, mClock.Now(), unanswered);
    if (!Ok(reply) || !std::holds_alternative<OrderDone>(std::get<0>(reply))) {
      mPlanDue.Set();
    }
  }
  --queue.mSenders;
}

bool
CellRuntime::MaySend(std::string_view aWorker, const WorkerCall& aCall) const
{
  if (!HoldsLease() || !mCell->Workers().contains(aWorker)) {
    return false;
  }
  const auto* start = std::get_if<StartRun>(&aCall);
  return start == nullptr ||
         (mCell->MayStartOn(aWorker) && mCell->AwaitsStart(aWorker, *start));
}

namespace {

/// Tells whether an answer also settles earlier attempts of the order that had
/// none and may still be carried out.
struct SettlesOrderVisitor
{
  bool operator()(const OrderDone&) const { return true; }
  bool operator()(const IncarnationMismatch&) const { return true; }
  bool operator()(const OrderRefused& aReply) const
  {
    return !mIsStart || aReply.mReason == StartRefusal::Fenced;
  }
  bool operator()(const WorkerStatus&) const { return false; }
  bool operator()(const Advice&) const { return false; }

  bool mIsStart = false;
};

} // namespace

// An order without an answer is sent again under its number, which has no
// effect on a worker that has carried it out. aUnanswered tells whether some
// attempt got no answer, which the worker's next process may carry out. aCall
// and aUnanswered must outlive the task.
Task<Expected<WorkerReply>>
CellRuntime::SendOrder(std::string aWorker,
                       const WorkerCall& aCall,
                       bool& aUnanswered)
{
  WorkerQueue& queue = QueueOf(aWorker);
  TimePoint giveUpAt = std::min(mClock.Now() + kOrderTimeout, mLease.Expiry());
  std::optional<Failure> unsettled;
  Expected<WorkerReply> reply = Failure(ConnectFailure{});
  bool again = true;
  while (again && MaySend(aWorker, aCall)) {
    const CellWorker& worker = mCell->Workers().find(aWorker)->second;
    WorkerAddress address{ aWorker, worker.mReport.mEndpoint };
    Endpoint endpoint = address.mEndpoint;
    TimePoint sent = mClock.Now();
    TimePoint deadline = std::min(sent + queue.mAnswers.Timeout(), giveUpAt);
    reply = co_await CallWorker(
      *mPorts.mWorkers, std::move(address), aCall, deadline);
    if (IsFromFormerAddress(aWorker, endpoint, reply)) {
      reply = Failure(ConnectFailure{ endpoint });
    }
    TimePoint now = mClock.Now();
    if (Ok(reply)) {
      queue.mAnswers.OnAnswer(now - sent);
      break;
    }
    bool neverSent =
      std::holds_alternative<ConnectFailure>(std::get<Failure>(reply));
    if (!neverSent && !unsettled) {
      unsettled = std::get<Failure>(reply);
      aUnanswered = true;
    }
    bool silent = now >= deadline;
    if (silent) {
      queue.mAnswers.OnTimeout();
    }
    again = silent && now < giveUpAt;
    mActivity.OnAttemptLost();
  }
  bool isStart = std::holds_alternative<StartRun>(aCall);
  bool settled = Ok(reply) && std::visit(SettlesOrderVisitor{ isStart },
                                         std::get<WorkerReply>(reply));
  if (unsettled && !settled) {
    co_return *unsettled;
  }
  co_return reply;
}

// Another worker has the address that this one had before it restarted, which
// says nothing about the present incarnation. It has not carried out the call.
bool
CellRuntime::IsFromFormerAddress(std::string_view aWorker,
                                 const Endpoint& aEndpoint,
                                 const Expected<WorkerReply>& aReply) const
{
  auto it = mCell->Workers().find(aWorker);
  return Ok(aReply) &&
         std::holds_alternative<IncarnationMismatch>(std::get<0>(aReply)) &&
         it != mCell->Workers().end() &&
         it->second.mReport.mEndpoint != aEndpoint;
}

namespace {

struct OrderFormatter
{
  std::string operator()(const StartRun& aCall) const
  {
    return FormatText(
      "start task={} run={}", ToString(aCall.mTask), aCall.mRun);
  }
  std::string operator()(const StopRun& aCall) const
  {
    return FormatText("stop task={} run={}", ToString(aCall.mTask), aCall.mRun);
  }
  std::string operator()(const ThrottleRun& aCall) const
  {
    return FormatText("pace task={} run={} percent={}",
                      ToString(aCall.mTask),
                      aCall.mRun,
                      aCall.mSpeedPercent);
  }
  std::string operator()(const RenewLease&) const { return "renew"; }
  std::string operator()(const RequestAdvice&) const { return "advise"; }
};

struct ReplyFormatter
{
  std::string operator()(const OrderDone&) const { return "done"; }
  std::string operator()(const OrderRefused& aReply) const
  {
    return "refused_" + std::string(ToString(aReply.mReason));
  }
  std::string operator()(const IncarnationMismatch&) const
  {
    return "other_worker";
  }
  std::string operator()(const WorkerStatus&) const { return "listing"; }
  std::string operator()(const Advice&) const { return "advice"; }
};

} // namespace

void
CellRuntime::LogOrder(std::string_view aWorker,
                      const WorkerCall& aCall,
                      const Expected<WorkerReply>& aReply,
                      bool aUnanswered) const
{
  bool started = std::holds_alternative<StartRun>(aCall) && Ok(aReply) &&
                 std::holds_alternative<OrderDone>(std::get<0>(aReply));
  if (started && !aUnanswered) {
    return;
  }
  std::string outcome = Ok(aReply)
                          ? std::visit(ReplyFormatter{}, std::get<0>(aReply))
                          : std::string(FailureName(std::get<1>(aReply)));
  LogInfo(kPart,
          "{} worker={} pool={} token={} outcome={} unanswered={}",
          std::visit(OrderFormatter{}, aCall),
          aWorker,
          mId.mName,
          mLease.Row().mTerm,
          outcome,
          aUnanswered ? 1 : 0);
}

// --- Workers

void
CellRuntime::MonitorWorkers()
{
  for (const auto& [id, worker] : mCell->Workers()) {
    WorkerQueue& queue = QueueOf(id);
    if (!queue.mMonitored && worker.mReport.mEndpoint.mPort != 0) {
      queue.mMonitored = true;
      mTasks.Spawn("attend", MonitorWorker(id));
    }
  }
}

void
CellRuntime::SetInUse(WorkerQueue& aQueue, bool aInUse)
{
  if (aQueue.mInUse != aInUse) {
    aQueue.mInUse = aInUse;
    mWorkersInUse += aInUse ? 1 : -1;
  }
}

// Renews the leases of a worker's runs and reads which have ended, for as long
// as the cell knows the worker.
Task<void>
CellRuntime::MonitorWorker(std::string aWorker)
{
  TimePoint idleSince = mClock.Now();
  while (Active() && mCell->Workers().contains(aWorker)) {
    bool inUse = mCell->NeedsRenewal(aWorker, mClock.Now()) && HoldsLease();
    SetInUse(QueueOf(aWorker), inUse);
    if (!inUse) {
      TimePoint deadline = mClock.Now() + kOwnerRenewalInterval;
      co_await WaitUntil(QueueOf(aWorker).mChanged, mClock, deadline);
      idleSince = mClock.Now();
      continue;
    }
    TimePoint began = mClock.Now();
    bool answered = co_await RenewWorkerLeases(aWorker, began - idleSince);
    idleSince = mClock.Now();
    bool due = mCell->IsAcknowledgementOverdue(aWorker, mClock.Now()) ||
               mCell->HasNewToken(aWorker);
    if (answered && due) {
      continue;
    }
    TimePoint next = answered ? began + mPace.RenewalInterval(mWorkersInUse)
                              : mClock.Now() + RenewalBackoff(aWorker);
    if (mClock.Now() < next) {
      co_await mClock.SleepUntil(next);
    }
  }
  WorkerQueue& queue = QueueOf(aWorker);
  SetInUse(queue, false);
  queue.mMonitored = false;
  if (queue.mSenders == 0) {
    mWorkerQueues.erase(aWorker);
  }
}

// A dead worker stays in the directory for some seconds, so the interval grows
// with each unanswered renewal. Workers are back within tenths of a second, and
// the next process of one that may carry a start out late is asked first.
Duration
CellRuntime::RenewalBackoff(std::string_view aWorker) const
{
  auto it = mCell->Workers().find(aWorker);
  if (it == mCell->Workers().end()) {
    return kRenewalRetryInterval;
  }
  const CellWorker& worker = it->second;
  Duration usual =
    kRenewalRetryInterval *
    std::clamp(worker.mMissedAnswers, 1, kMaxRenewalBackoffFactor);
  TimePoint now = mClock.Now();
  Duration silence = now - worker.mLastAnswerAt;
  return worker.MayStartLate(now)
           ? std::clamp(silence / 10, kMinRestartRetryInterval, usual)
           : usual;
}

// An answer that is overdue is asked for again, on another connection and
// without a wait, so that its loss doesn't leave the worker's ends unheard of.
// The worker is silent only if no attempt is answered. aSent tells of the
// attempt that was.
Task<Expected<WorkerReply>>
CellRuntime::SendRenewal(std::string aWorker, SentRenewal& aSent)
{
  WorkerQueue& queue = QueueOf(aWorker);
  Duration maxWait = kRenewalPollDuration;
  std::optional<TimePoint> giveUpAt;
  Expected<WorkerReply> reply = Failure(ConnectFailure{});
  bool again = true;
  while (again) {
    auto it = mCell->Workers().find(aWorker);
    if (it == mCell->Workers().end() || !HoldsLease()) {
      break;
    }
    WorkerAddress address{ aWorker, it->second.mReport.mEndpoint };
    TimePoint sent = mClock.Now();
    RenewLease renewal = mCell->NextRenewal(aWorker, maxWait, sent);
    aSent = { sent, renewal.mToken };
    TimePoint due = sent + renewal.mMaxWait;
    giveUpAt = giveUpAt.value_or(due + kRenewalGracePeriod);
    TimePoint deadline = std::min(due + queue.mAnswers.Timeout(), *giveUpAt);
    reply = co_await CallWorker(
      *mPorts.mWorkers, std::move(address), renewal, deadline);
    TimePoint now = mClock.Now();
    if (Ok(reply)) {
      // One that waited for an end doesn't tell when it was due.
      if (now >= due) {
        queue.mAnswers.OnAnswer(now - due);
      } else {
        queue.mAnswers.OnUntimedAnswer();
      }
      break;
    }
    queue.mSilentSince = queue.mSilentSince.value_or(sent);
    bool silent = now >= deadline;
    if (silent) {
      queue.mAnswers.OnTimeout();
    }
    const Failure& failure = std::get<Failure>(reply);
    bool lost = std::holds_alternative<ConnectionLost>(failure);
    mCell->OnRenewalAttemptLost(aWorker);
    if (lost || std::holds_alternative<ConnectFailure>(failure)) {
      mCell->OnConnectionBroken(aWorker, now);
    }
    bool firstAttempt = maxWait > Duration::zero();
    again = now < *giveUpAt && (silent || (lost && firstAttempt));
    maxWait = Duration::zero();
    mActivity.OnAttemptLost();
  }
  co_return reply;
}

Task<bool>
CellRuntime::RenewWorkerLeases(const std::string& aWorker, Duration aPause)
{
  const CellWorker& target = mCell->Workers().find(aWorker)->second;
  Endpoint endpoint = target.mReport.mEndpoint;
  bool firstContact = !target.mTokenAccepted;
  if (mCell->AwaitsNewToken(aWorker)) {
    mCommitRequested = true;
    mCommitDue.Set();
  }
  TimePoint asked = mClock.Now();
  SentRenewal sent{ asked, {} };
  auto reply = co_await SendRenewal(aWorker, sent);
  TimePoint now = mClock.Now();
  if (!Ok(reply)) {
    LogWarn(kPart,
            "renew worker={} pool={} outcome={} after_ms={}",
            aWorker,
            mId.mName,
            FailureName(std::get<Failure>(reply)),
            ToMillis(now - asked));
    mCell->OnNoAnswer(aWorker);
    mPlanDue.Set();
    co_return false;
  }
  const WorkerReply& workerReply = std::get<WorkerReply>(reply);
  if (const auto* refused = std::get_if<OrderRefused>(&workerReply)) {
    bool superseded = mCell->IsSuperseded(aWorker, sent.mToken);
    if (refused->mReason == StartRefusal::Fenced && !superseded) {
      MarkLost("a worker has seen a higher fencing token");
    } else {
      mCell->OnNoAnswer(aWorker);
    }
    co_return false;
  }
  if (IsFromFormerAddress(aWorker, endpoint, reply)) {
    co_return false;
  }
  if (std::holds_alternative<IncarnationMismatch>(workerReply)) {
    LogWarn(kPart,
            "renew worker={} pool={} outcome=other_worker",
            aWorker,
            mId.mName);
    mCell->OnOtherWorker(aWorker, now);
    mPlanDue.Set();
    co_return false;
  }
  const auto* listing = std::get_if<WorkerStatus>(&workerReply);
  // The cell may have dropped the worker during the call.
  auto known = mCell->Workers().find(aWorker);
  if (listing == nullptr || known == mCell->Workers().end()) {
    co_return false;
  }
  const CellWorker& worker = known->second;
  if (firstContact) {
    LogInfo(kPart,
            "contact worker={} pool={} born={} present={} ended={}",
            aWorker,
            mId.mName,
            listing->mIncarnation,
            listing->mActiveRuns.size(),
            listing->mEndedRuns.size());
  }
  RecordMalformedRuns(aWorker, *listing);
  LogEndedRuns(worker, *listing);
  mActivity.OnRenewal(aPause, CountNewEnds(worker, *listing));
  WorkerQueue& queue = QueueOf(aWorker);
  if (queue.mSilentSince) {
    mActivity.OnSilence(now - *queue.mSilentSince);
    queue.mSilentSince.reset();
  }
  mCell->OnListing(aWorker, *listing, sent.mAt, now);
  mPlanDue.Set();
  mCommitDue.Set();
  co_return true;
}

void
CellRuntime::RecordMalformedRuns(std::string_view aWorker,
                                 const WorkerStatus& aListing)
{
  if (aListing.mMalformed.empty()) {
    mMalformed.Clear(kRunTable, aWorker);
  }
  for (const MalformedEntry& entry : aListing.mMalformed) {
    mMalformed.Record(kRunTable, aWorker, entry.mKey + ": " + entry.mReason);
  }
}

namespace {

struct NoticeLogger
{
  void operator()(const WorkerRestart& aNotice) const
  {
    LogInfo(kPart,
            "restart worker={} pool={} from={} born={} by={} n={} unlisted={} "
            "unanswered={} silent_ms={}",
            aNotice.mWorker,
            mPool,
            aNotice.mFrom,
            aNotice.mTo,
            aNotice.mByListing ? "listing" : "directory",
            aNotice.mRuns,
            aNotice.mUnlisted,
            aNotice.mUnanswered,
            ToMillis(aNotice.mSilence));
  }
  void operator()(const InheritedRunsResolved& aNotice) const
  {
    LogInfo(kPart,
            "inherited runs known worker={} pool={} born={} by={}",
            aNotice.mWorker,
            mPool,
            aNotice.mIncarnation,
            ToString(aNotice.mProof));
  }
  void operator()(const EndsForgotten& aNotice) const
  {
    LogWarn(kPart,
            "ends forgotten unread worker={} pool={} born={} first={} last={}",
            aNotice.mWorker,
            mPool,
            aNotice.mIncarnation,
            aNotice.mFirst,
            aNotice.mLast);
  }
  void operator()(const TasksWaiting& aNotice) const
  {
    bool held = aNotice.mReason == WaitReason::RunHeld;
    LogInfo(kPart,
            "waiting job={} pool={} step={}.{} n={} for_ms={} why={}{}",
            aNotice.mJob,
            mPool,
            aNotice.mOccurrence,
            aNotice.mStep,
            aNotice.mTasks,
            ToMillis(aNotice.mFor),
            ToString(aNotice.mReason),
            held ? FormatText(" worker={} stage={} expires_ms={}",
                              aNotice.mWorker,
                              ToString(aNotice.mStage),
                              ToMillis(aNotice.mUntilExpiry))
                 : std::string());
  }

  std::string_view mPool;
};

} // namespace

// Logs each crash with the runs that the worker had, and the jobs that fail.
void
CellRuntime::RecordCrashes()
{
  for (const WorkerNotice& notice : mCell->TakeWorkerNotices()) {
    std::visit(NoticeLogger{ mId.mName }, notice);
  }
  for (const RunLoss& loss : mCell->TakeRunLosses()) {
    LogInfo(kPart,
            "runs lost worker={} pool={} born={} cause={} n={} unlisted={} "
            "unanswered={} silent_ms={}",
            loss.mWorker,
            mId.mName,
            loss.mIncarnation,
            ToString(loss.mCause),
            loss.mRuns,
            loss.mUnlisted,
            loss.mUnanswered,
            ToMillis(loss.mSilence));
  }
  for (const WorkerCrash& crash : mCell->TakeCrashes()) {
    mCommitDue.Set();
    mKernel.GetMetrics().GetCounter("worker_crashes_total").Add();
    std::string runs;
    for (const WorkerCrash::Run& run : crash.mRuns) {
      runs +=
        FormatText(" {}:{}={}", ToString(run.mTask), run.mRun, run.mCrashes);
      if (run.mGivenUp) {
        LogWarn(kPart,
                "job={} pool={} failed task={} crashes={} worker={}, its "
                "workers crash",
                run.mTask.mJob,
                mId.mName,
                ToString(run.mTask),
                run.mCrashes,
                crash.mWorker);
      }
    }
    LogWarn(kPart,
            "crash worker={} pool={} born={} common={} n={} crashes={}",
            crash.mWorker,
            mId.mName,
            crash.mIncarnation,
            crash.mExplained ? 1 : 0,
            crash.mRuns.size(),
            runs);
  }
}

std::size_t
CellRuntime::CountNewEnds(const CellWorker& aWorker,
                          const WorkerStatus& aListing)
{
  auto isNew = [&](const EndedRun& aEnd) {
    return !aWorker.HasSeenEnd(aEnd.mSequence);
  };
  return static_cast<std::size_t>(std::count_if(
    aListing.mEndedRuns.begin(), aListing.mEndedRuns.end(), isNew));
}

// Logs the newly ended runs of a listing, split into lines of limited length.
void
CellRuntime::LogEndedRuns(const CellWorker& aWorker,
                          const WorkerStatus& aListing) const
{
  constexpr std::size_t kMaxLineLength = 1000;
  std::string runs;
  for (std::size_t i = 0; i < aListing.mEndedRuns.size(); ++i) {
    const EndedRun& end = aListing.mEndedRuns[i];
    if (!aWorker.HasSeenEnd(end.mSequence)) {
      runs += FormatText(
        " {}:{}={}", ToString(end.mTask), end.mRun, ToString(end.mEnd));
    }
    bool last =
      i + 1 == aListing.mEndedRuns.size() || runs.size() > kMaxLineLength;
    if (last && !runs.empty()) {
      LogInfo(kPart,
              "end worker={} pool={} n={} runs={}",
              aWorker.mReport.mId,
              mId.mName,
              end.mSequence,
              runs);
      runs.clear();
    }
  }
}

// --- Commits

// What doesn't fit the store's limits is taken out of aChanges and left to a
// later commit: the store would refuse the whole transaction, each time.
ConditionalCommit
CellRuntime::MakeCommit(CellChanges& aChanges)
{
  ConditionalCommit commit;
  std::size_t bytes = 0;
  auto put = [&](std::string_view aTable, std::string_view aKey, auto aValue) {
    bool fits = bytes + aValue.size() <= kMaxCommitBytes;
    if (fits) {
      bytes += aValue.size();
      commit.mPuts.push_back({ MakeRowName(aTable, aKey), std::move(aValue) });
    }
    return fits;
  };
  if (aChanges.mWorkers) {
    put(kCellTable, kWorkersKey, EncodeWorkerSet(*aChanges.mWorkers));
  }
  CellChanges left;
  std::vector<StoredJob> newJobs;
  for (StoredJob& job : aChanges.mNewJobs) {
    bool fits = put(kJobTable, job.mId, EncodeStoredJob(job));
    (fits ? newJobs : left.mNewJobs).push_back(std::move(job));
  }
  aChanges.mNewJobs = std::move(newJobs);
  std::vector<std::pair<std::string, StoredProgress>> stored;
  for (auto& [id, progress] : aChanges.mProgress) {
    std::optional<std::string> row = EncodeProgressRow(progress);
    if (!row) {
      LogWarn(kPart,
              "job={} pool={} failed, its progress doesn't fit a row",
              id,
              mId.mName);
      mCell->Abandon(id, mClock.Now());
    }
    bool fits = row && put(kProgressTable, id, std::move(*row));
    (fits ? stored : left.mProgress).emplace_back(id, std::move(progress));
  }
  aChanges.mProgress = std::move(stored);
  if (!left.Empty()) {
    std::erase_if(aChanges.mEndedJobs, [&](const std::string& aId) {
      return std::any_of(
        left.mProgress.begin(), left.mProgress.end(), [&](const auto& aEntry) {
          return aEntry.first == aId;
        });
    });
    // The ends that these rows cover aren't stored.
    aChanges.mLastEnds.clear();
    mCell->OnNotCommitted(left);
  }
  for (const std::string& id : aChanges.mEndedJobs) {
    commit.mRemoves.push_back(MakeRowName(kJobTable, id));
  }
  for (const std::string& id : aChanges.mExpiredJobs) {
    commit.mRemoves.push_back(MakeRowName(kProgressTable, id));
  }
  return commit;
}

Task<void>
CellRuntime::CommitLoop()
{
  TimePoint renewed = mClock.Now() - kOwnerRenewalInterval;
  while (Active()) {
    TimePoint deadline = renewed + kOwnerRenewalInterval;
    bool set = co_await mCommitDue.WaitAndReset(mClock, deadline);
    // What doesn't fit one commit has nothing to wait for.
    if (set && mCell->FitsOneCommit()) {
      co_await mClock.Sleep(mPace.CommitDelay());
    }
    CellChanges changes = mCell->TakeChanges(mClock.Now());
    bool renew = mClock.Now() >= deadline || mCommitRequested;
    if (!changes.Empty() || renew) {
      TimePoint began = mClock.Now();
      bool withSeals = mCommitRequested;
      mCommitRequested = false;
      mInFlightChanges = changes;
      std::size_t rows = changes.Rows();
      bool held = HoldsLease();
      bool ok =
        co_await CommitChanges(std::move(changes), false, TimePoint::max());
      mInFlightChanges.reset();
      if (!ok) {
        MarkLost("the commit was rejected");
        co_return;
      }
      renewed = began;
      mActivity.OnCommit(mClock.Now() - began, rows, mCell->UncommittedJobs());
      if (!held) {
        NotifyWorkers();
      }
      // Seals set during this commit are stored by the next one.
      mSealsCommitted = mSealsCommitted || (withSeals && !mCommitRequested);
      if (mCell->UncommittedJobs() > 0) {
        mCommitDue.Set();
      }
    } else {
      // Ends that need no row may be acknowledged.
      mCell->OnCommitted(changes, mClock.Now());
    }
    mPlanDue.Set();
  }
}

// Commits changes and applies them to the cell; returns as CellLease::Commit.
Task<bool>
CellRuntime::CommitChanges(CellChanges aChanges,
                           bool aRelease,
                           TimePoint aDeadline)
{
  mLease.SetQueues(mCell->QueuesWithJobs());
  ConditionalCommit commit = MakeCommit(aChanges);
  bool ok = co_await mLease.Commit(std::move(commit), aRelease, aDeadline);
  if (ok) {
    LogChanges(aChanges);
    mCell->SetNewestToken(FencingToken(ToNumber(mLease.CurrentRevision())));
    mCell->OnCommitted(aChanges, mClock.Now());
    mCommitted.NotifyAll();
  }
  co_return ok;
}

void
CellRuntime::LogChanges(const CellChanges& aChanges) const
{
  for (const StoredJob& job : aChanges.mNewJobs) {
    LogInfo(kPart,
            "job={} pool={} queue={} stored revision={}",
            job.mId,
            mId.mName,
            job.mQueue,
            ToNumber(mLease.CurrentRevision()));
  }
  for (const auto& [id, progress] : aChanges.mProgress) {
    bool ended = progress.mPhase != JobPhase::Pending &&
                 progress.mPhase != JobPhase::Running;
    if (ended) {
      LogInfo(kPart,
              "job={} pool={} phase={} stored revision={}",
              id,
              mId.mName,
              ToString(progress.mPhase),
              ToNumber(mLease.CurrentRevision()));
    }
  }
}

void
CellRuntime::MarkWorkerGone(std::string_view aWorker, std::int64_t aBorn)
{
  if (mCell->OnWorkerEnded(aWorker, aBorn, mClock.Now())) {
    LogInfo(kPart,
            "worker={} pool={} ended according to the VM list",
            aWorker,
            mId.mName);
    mPlanDue.Set();
    mCommitDue.Set();
  } else {
    // It may have to be probed.
    NotifyWorker(aWorker);
  }
}

void
CellRuntime::MarkWorkerMoved(std::string_view aWorker,
                             std::int64_t aIncarnation)
{
  if (mCell->OnWorkerMoved(aWorker, aIncarnation, mClock.Now())) {
    LogInfo(kPart, "worker={} pool={} ended by a move", aWorker, mId.mName);
    mPlanDue.Set();
    mCommitDue.Set();
  }
}

Task<bool>
CellRuntime::SealWorkers(std::vector<std::string> aWorkers, TimePoint aDeadline)
{
  if (aWorkers == mLease.Row().mDrainingWorkers) {
    co_return mSealsCommitted;
  }
  for (const std::string& id : mLease.Row().mDrainingWorkers) {
    mCell->SetDraining(id, false);
  }
  for (const std::string& id : aWorkers) {
    mCell->SetDraining(id, true);
  }
  mLease.SetSealed(std::move(aWorkers));
  mSealsCommitted = false;
  mCommitRequested = true;
  mCommitDue.Set();
  mPlanDue.Set();
  while (Active() && !mSealsCommitted && mClock.Now() < aDeadline) {
    co_await WaitUntil(mCommitted, mClock, aDeadline);
  }
  co_return mSealsCommitted;
}

// --- Organisations' maxima

void
CellRuntime::ApplyQuotaRow(const StoredRow& aRow)
{
  if (aRow.mRemoved || aRow.mName.mPartition != kQuotaPartition) {
    return;
  }
  auto row = ToExpected<QuotaRow>([&] { return DecodeQuotaRow(aRow.mValue); });
  if (!Ok(row)) {
    // Grants that can't be read aren't given to others: without a newer row the
    // organisation's tasks wait.
    mMalformed.Record(kQuotaTable,
                      aRow.mName.mKey,
                      aRow.mFault.empty() ? Describe(std::get<Failure>(row))
                                          : aRow.mFault);
    mCell->Quotas().OnUnreadableRow(aRow.mName.mKey);
    return;
  }
  mMalformed.Clear(kQuotaTable, aRow.mName.mKey);
  mCell->Quotas().OnRow(
    aRow.mName.mKey, std::get<QuotaRow>(row), aRow.mRevision);
}

// Reads the changes after a revision, or all rows; returns the revision up to
// which rows are known, 0 if they must be read again.
Task<Expected<Revision>>
CellRuntime::ReadQuotas(std::optional<Revision> aAfter)
{
  if (!aAfter) {
    ScanRows scan{ std::string(kQuotaTable), std::string(kQuotaPartition), "" };
    std::optional<Revision> revision;
    bool more = true;
    while (more) {
      TimePoint deadline = mClock.Now() + kQuotaReadTimeout;
      auto reply =
        co_await CallStoreFor<RowScanPage>(*mPorts.mStore, scan, deadline);
      if (!Ok(reply)) {
        co_return std::get<Failure>(std::move(reply));
      }
      const RowScanPage& page = std::get<RowScanPage>(reply);
      for (const StoredRow& row : page.mRows) {
        ApplyQuotaRow(row);
      }
      revision = std::min(revision.value_or(page.mRevision), page.mRevision);
      more = page.mHasMore && !page.mRows.empty();
      if (more) {
        scan.mFirstKey = page.mRows.back().mName.mKey + '\0';
      }
    }
    co_return *revision;
  }
  ReadRowFeed follow{ std::string(kQuotaTable), *aAfter, kQuotaPollDuration };
  TimePoint deadline = mClock.Now() + kQuotaPollDuration + kQuotaReadTimeout;
  auto reply = co_await CallStore(*mPorts.mStore, follow, deadline);
  if (!Ok(reply)) {
    co_return std::get<Failure>(std::move(reply));
  }
  const auto* page = std::get_if<RowFeedPage>(&std::get<StoreReply>(reply));
  if (page == nullptr) {
    co_return Revision{};
  }
  for (const StoredRow& row : page->mRows) {
    ApplyQuotaRow(row);
  }
  co_return std::max(*aAfter, page->mRevision);
}

Task<void>
CellRuntime::FollowQuotas()
{
  std::optional<Revision> known;
  while (Active()) {
    if (!mCell->Quotas().IsLimited()) {
      co_await mClock.Sleep(kQuotaCheckInterval);
      continue;
    }
    auto read = co_await ReadQuotas(known);
    if (!Ok(read)) {
      co_await mClock.Sleep(kLoadRetryInterval);
      continue;
    }
    Revision revision = std::get<Revision>(read);
    if (revision == Revision{} && known) {
      known.reset();
      co_await mClock.Sleep(kLoadRetryInterval);
      continue;
    }
    known = revision;
    mCell->Quotas().OnRead();
    mQuotaDue.Set();
    mPlanDue.Set();
  }
}

// Cells that write the same rows refuse each other's commits, so that smaller
// ones follow a refusal.
Task<void>
CellRuntime::WriteQuotas()
{
  std::size_t maxRows = kMaxQuotaRowsPerCommit;
  while (Active()) {
    co_await mQuotaDue.WaitAndReset(mClock, mClock.Now() + kQuotaCheckInterval);
    std::vector<QuotaWrite> writes;
    if (HoldsLease()) {
      writes = mCell->NextQuotaWrite(maxRows, mClock.Now());
    }
    if (writes.empty()) {
      continue;
    }
    bool written = co_await CommitQuotas(std::move(writes));
    mPlanDue.Set();
    maxRows =
      written ? kMaxQuotaRowsPerCommit : std::max<std::size_t>(maxRows / 2, 1);
    if (!written) {
      auto jitterMs =
        static_cast<std::int64_t>(mKernel.Random() % kMaxQuotaRetryJitterMs);
      co_await mClock.Sleep(std::chrono::milliseconds(1 + jitterMs));
      mQuotaDue.Set();
    }
  }
}

// Repeats the commit until it is answered; under the revisions of the rows it
// takes effect once. False if a row had changed.
Task<bool>
CellRuntime::CommitQuotas(std::vector<QuotaWrite> aWrites)
{
  Metrics& metrics = mKernel.GetMetrics();
  ConditionalCommit commit;
  for (const QuotaWrite& write : aWrites) {
    RowName name{ std::string(kQuotaTable),
                  std::string(kQuotaPartition),
                  write.mOrganisation };
    commit.mConditions.push_back({ name, write.mRevision });
    commit.mPuts.push_back({ std::move(name), EncodeQuotaRow(write.mRow) });
  }
  while (Active()) {
    TimePoint sent = mClock.Now();
    TimePoint deadline = sent + mQuotaAnswers.Timeout();
    auto reply = co_await CallStore(*mPorts.mStore, commit, deadline);
    metrics.GetCounter("quota_commits_total").Add();
    const StoreReply* answer =
      Ok(reply) ? &std::get<StoreReply>(reply) : nullptr;
    if (answer != nullptr) {
      mQuotaAnswers.OnAnswer(mClock.Now() - sent);
    }
    if (const auto* done = answer ? std::get_if<CommitDone>(answer) : nullptr) {
      mCell->Quotas().OnWritten(done->mRevision);
      for (const QuotaWrite& write : aWrites) {
        const QuotaGrant& grant = write.mRow.find(mId.mName)->second;
        LogInfo(kPart,
                "quota organisation={} pool={} granted_cpu={} granted_mb={} "
                "wanted_cpu={} held_cpu={}",
                write.mOrganisation,
                mId.mName,
                grant.mGranted.mCpuMillis,
                grant.mGranted.mMemoryMb,
                grant.mWanted.mCpuMillis,
                mCell->HeldBy(write.mOrganisation).mCpuMillis);
      }
      co_return true;
    }
    if (const auto* refused =
          answer ? std::get_if<CommitRefused>(answer) : nullptr) {
      metrics.GetCounter("quota_conflicts_total").Add();
      for (const StoredRow& row : refused->mRows) {
        ApplyQuotaRow(row);
      }
      mCell->Quotas().OnRefused();
      co_return false;
    }
    mQuotaAnswers.OnTimeout();
    co_await mClock.Sleep(kLoadRetryInterval);
  }
  co_return false;
}

void
CellRuntime::LogPlanNotices()
{
  mKernel.GetMetrics()
    .GetCounter("quota_waits_total")
    .Add(static_cast<std::int64_t>(mCell->QuotaWaits() - mLoggedQuotaWaits));
  mLoggedQuotaWaits = mCell->QuotaWaits();
  for (const InterferingPair& pair : mCell->TakeInterferingPairs()) {
    mKernel.GetMetrics().GetCounter("interfering_pairs_total").Add();
    LogInfo(kPart,
            "images interfere pool={} serving={} best_effort={} "
            "tail_percent={} alone_percent={}",
            mId.mName,
            pair.mServing,
            pair.mBestEffort,
            static_cast<int>(100 * pair.mTailFraction),
            static_cast<int>(100 * pair.mAloneFraction));
  }
}

// --- Advice

Task<void>
CellRuntime::FetchAdvice(AdviceRequest aRequest)
{
  const CellJob& job = mCell->Jobs().find(aRequest.mJob)->second;
  auto config = mDirectory.Config();
  const QueueConfig* queue =
    config ? config->FindQueueByName(job.mQueue) : nullptr;
  Duration valid{};
  std::map<std::string, std::string, std::less<>> tickets;
  if (queue != nullptr && queue->mAdvice) {
    const AdviceConfig& terms = *queue->mAdvice;
    RequestAdvice advisorCall;
    advisorCall.mStep = {
      aRequest.mJob, aRequest.mOccurrence, aRequest.mStep, 0
    };
    for (const auto& [worker, incarnation] : aRequest.mWorkers) {
      advisorCall.mWorkers.push_back(worker);
    }
    TimePoint sent = mClock.Now();
    TimePoint deadline =
      sent + terms.mBaseTimeout +
      terms.mTimeoutPerWorker * static_cast<int>(aRequest.mWorkers.size()) +
      kAdviceGracePeriod;
    WorkerAddress address{ "", mPorts.mAdviceEndpoint };
    auto reply = co_await CallWorker(
      *mPorts.mWorkers, std::move(address), advisorCall, deadline);
    const WorkerReply* workerReply =
      Ok(reply) ? &std::get<WorkerReply>(reply) : nullptr;
    const auto* advice =
      workerReply ? std::get_if<Advice>(workerReply) : nullptr;
    if (advice != nullptr) {
      tickets = advice->mTickets;
      for (const MalformedEntry& entry : advice->mMalformed) {
        mMalformed.Record("advice", aRequest.mJob, entry.mReason);
      }
      // Counted from the time of sending, so that no ticket is used too late.
      valid = sent + terms.mTicketLifetime - mClock.Now();
    } else {
      LogWarn(kPart,
              "no advice received job={} step={}",
              aRequest.mJob,
              aRequest.mStep);
      co_await mClock.Sleep(kRenewalRetryInterval);
    }
  }
  mCell->OnAdvice(aRequest, tickets, valid, mClock.Now());
  mPlanDue.Set();
}

// --- Callers

Task<CallerReply>
CellRuntime::Handle(CallerCall aCall, TimePoint aDeadline)
{
  while (!mLoaded && !Lost() && !mReleasing && mClock.Now() < aDeadline) {
    co_await WaitUntil(mCommitted, mClock, aDeadline);
  }
  if (!mLoaded || Lost() || mReleasing) {
    co_return ServiceUnavailable{ std::chrono::seconds(1) };
  }
  if (mUnreadableJobs.contains(JobIdOf(aCall))) {
    co_return ServiceUnavailable{ std::chrono::seconds(1) };
  }
  if (auto* submit = std::get_if<SubmitJob>(&aCall)) {
    CallerReply reply = co_await Submit(std::move(*submit), aDeadline);
    co_return reply;
  }
  if (auto* find = std::get_if<LocateJob>(&aCall)) {
    CallerReply reply = co_await Find(std::move(*find), aDeadline);
    co_return reply;
  }
  if (auto* cancel = std::get_if<CancelJob>(&aCall)) {
    CallerReply reply = co_await Cancel(std::move(*cancel), aDeadline);
    co_return reply;
  }
  if (!HoldsLease()) {
    co_return ServiceUnavailable{ std::chrono::seconds(1) };
  }
  if (auto* read = std::get_if<ReadJob>(&aCall)) {
    if (!mCell->MayAccess(read->mId, read->mOrganisation)) {
      co_return JobNotFound{};
    }
    auto phase = mCell->PhaseOf(read->mId);
    if (phase) {
      co_return JobPhaseReply{ *phase };
    }
    co_return JobNotFound{};
  }
  co_return QueuedJobCount{ mCell->Waiting(
    std::get<CountQueuedJobs>(aCall).mQueue) };
}

Task<CellRuntime::ChangeState>
CellRuntime::AwaitStored(std::string aId, TimePoint aDeadline)
{
  mCommitDue.Set();
  while (!Lost() && !mClosed && !mCell->IsStored(aId) &&
         mClock.Now() < aDeadline) {
    co_await WaitUntil(mCommitted, mClock, aDeadline);
  }
  if (mCell->IsStored(aId)) {
    co_return ChangeState::Stored;
  }
  // Without further commits, a change that is in none was never made.
  bool noEffect = (Lost() || mClosed) && !mCell->IsCommitting(aId);
  co_return noEffect ? ChangeState::NotStored : ChangeState::Unknown;
}

Task<CallerReply>
CellRuntime::Submit(SubmitJob aCall, TimePoint aDeadline)
{
  if (!HoldsLease() || mLease.IsCommitOverdue()) {
    // Nothing is stored, so an unknown job stays unknown.
    LogInfo(kPart,
            "job={} pool={} unavailable lease={} commit_late={}",
            aCall.mId,
            mId.mName,
            HoldsLease() ? 1 : 0,
            mLease.IsCommitOverdue() ? 1 : 0);
    co_return ServiceUnavailable{ std::chrono::seconds(1) };
  }
  std::string id = aCall.mId;
  if (!mCell->Jobs().contains(id) && !mCell->AcceptsQueue(aCall.mQueue)) {
    LogInfo(kPart,
            "job={} pool={} unavailable, queue={} has moved",
            id,
            mId.mName,
            aCall.mQueue);
    co_return ServiceUnavailable{ std::chrono::seconds(1) };
  }
  if (!mCell->MayAccess(id, aCall.mOrganisation)) {
    LogInfo(kPart,
            "job={} pool={} refused, another organisation has a job of this id",
            id,
            mId.mName);
    co_return JobRefused{ std::chrono::seconds(1) };
  }
  Submission submission{ id,
                         std::move(aCall.mQueue),
                         std::move(aCall.mSpec),
                         mClock.WallNow(),
                         std::move(aCall.mOrganisation) };
  SubmitResult result = mCell->Submit(submission, mClock.Now());
  if (result == SubmitResult::Rejected) {
    constexpr double kRange = 4294967296.0;
    double jitter =
      static_cast<double>(mKernel.Random() & 0xffffffffU) / kRange;
    Duration retry = mCell->RetryAfterFor(submission, mClock.Now(), jitter);
    const PoolLoad& load = mCell->Load(mClock.Now());
    LogInfo(kPart,
            "job={} pool={} refused backlog_core_s={} cores={} retry_ms={}",
            id,
            mId.mName,
            load.mBacklogCoreSeconds,
            load.mCores,
            ToMillis(retry));
    co_return JobRefused{ retry };
  }
  TimePoint taken = mClock.Now();
  ChangeState state = co_await AwaitStored(id, aDeadline);
  if (state == ChangeState::Stored) {
    mActivity.OnJobStored(mClock.Now() - taken);
  }
  if (state == ChangeState::NotStored) {
    LogInfo(kPart,
            "job={} pool={} unavailable, the cell was released",
            id,
            mId.mName);
    co_return ServiceUnavailable{ std::chrono::seconds(1) };
  }
  if (state == ChangeState::Unknown) {
    LogWarn(kPart,
            "job={} pool={} unsettled, not stored before the deadline",
            id,
            mId.mName);
    co_return CallOutcomeUnknown{};
  }
  co_return JobAccepted{};
}

// The job may be in a commit that hasn't been answered yet.
Task<CallerReply>
CellRuntime::Find(LocateJob aCall, TimePoint aDeadline)
{
  if (!HoldsLease()) {
    co_return ServiceUnavailable{ std::chrono::seconds(1) };
  }
  mCell->CloseQueue(aCall.mQueue, aCall.mVersion);
  if (mCell->PhaseOf(aCall.mId)) {
    co_return JobAccepted{};
  }
  if (!mCell->Jobs().contains(aCall.mId)) {
    co_return JobNotFound{};
  }
  ChangeState state = co_await AwaitStored(aCall.mId, aDeadline);
  if (state == ChangeState::Stored) {
    co_return JobAccepted{};
  }
  if (state == ChangeState::NotStored) {
    co_return ServiceUnavailable{ std::chrono::seconds(1) };
  }
  co_return CallOutcomeUnknown{};
}

Task<CallerReply>
CellRuntime::Cancel(CancelJob aCall, TimePoint aDeadline)
{
  if (!HoldsLease()) {
    co_return ServiceUnavailable{ std::chrono::seconds(1) };
  }
  bool known = mCell->MayAccess(aCall.mId, aCall.mOrganisation) &&
               mCell->Cancel(aCall.mId, mClock.Now());
  if (!known) {
    co_return JobNotFound{};
  }
  mPlanDue.Set();
  ChangeState state = co_await AwaitStored(aCall.mId, aDeadline);
  LogInfo(kPart,
          "job={} pool={} cancel stored={}",
          aCall.mId,
          mId.mName,
          state == ChangeState::Stored ? 1 : 0);
  if (state == ChangeState::NotStored) {
    co_return ServiceUnavailable{ std::chrono::seconds(1) };
  }
  if (state == ChangeState::Unknown) {
    co_return CallOutcomeUnknown{};
  }
  co_return JobCancelled{};
}

} // namespace buckthornshunt
