#include "services/pool_runtime.h"

#include "kernel/log.h"

#include <algorithm>
#include <utility>

namespace buckthornshunt {

namespace {

constexpr std::string_view kPart = "pool";
constexpr Duration kProbeInterval = std::chrono::seconds(1);
/// Requests with an expected wait up to this aren't rejected for it.
constexpr Duration kMinRejectedWait = std::chrono::milliseconds(50);
/// Share of free slots, in percent, from which the pool takes work of other
/// data centres.
constexpr int kMinSpareSlotsPercent = 25;

std::uint64_t
HashName(std::string_view aName)
{
  return std::hash<std::string_view>{}(aName);
}

} // namespace

Slot::Slot(PoolRuntime& aPool, ServerIndex aServer, WorkClass aClass)
  : mPool(&aPool)
  , mServer(aServer)
  , mClass(aClass)
{
}

Slot::~Slot()
{
  Release();
}

Slot::Slot(Slot&& aOther) noexcept
  : mPool(std::exchange(aOther.mPool, nullptr))
  , mServer(aOther.mServer)
  , mClass(aOther.mClass)
{
}

Slot&
Slot::operator=(Slot&& aOther) noexcept
{
  if (this != &aOther) {
    Release();
    mPool = std::exchange(aOther.mPool, nullptr);
    mServer = aOther.mServer;
    mClass = aOther.mClass;
  }
  return *this;
}

void
Slot::Release()
{
  if (mPool != nullptr) {
    std::exchange(mPool, nullptr)->ReleaseSlot(mServer, mClass);
  }
}

void
Slot::MarkLong(std::string_view aOperation)
{
  if (mPool == nullptr) {
    return;
  }
  mPool->mRunTimes.RecordOverThreshold(aOperation);
  if (mClass == WorkClass::Short) {
    mClass = WorkClass::Long;
    mPool->mServers.ReclassifyAsLong(mServer);
  }
}

PoolRuntime::PoolRuntime(Kernel& aKernel,
                         std::string_view aName,
                         const PoolConfig& aConfig)
  : mKernel(aKernel)
  , mName(aName)
  , mConfig(aConfig)
  , mQueue(static_cast<std::size_t>(aConfig.mQueueLimit))
  , mRunTimes(aConfig.mLongTaskThreshold)
  , mRng(static_cast<Rng::result_type>(aKernel.Random()))
  , mAttemptFinished(aKernel.Context())
  , mWaitHistogram(aKernel.GetMetrics().GetHistogram("slot_wait"))
{
}

void
PoolRuntime::SetConfig(const PoolConfig& aConfig)
{
  bool thresholdChanged =
    aConfig.mLongTaskThreshold != mConfig.mLongTaskThreshold;
  mConfig = aConfig;
  mQueue.SetLimit(static_cast<std::size_t>(aConfig.mQueueLimit));
  if (thresholdChanged) {
    mRunTimes = RunTimes(aConfig.mLongTaskThreshold);
  }
  SetNodeShare(mNodeCount, mNodeIndex);
}

ServerIndex
PoolRuntime::AddServer(const VmOwnership& aRow)
{
  ServerIndex server = mServers.Add();
  mEjection.Add();
  mEntries.emplace_back();
  mEntries[server].mVm = aRow.mVm;
  mServerByVm.emplace(aRow.mVm, server);
  return server;
}

// A server keeps its index when its VM leaves, so that attempts in flight and
// measurements stay valid if it returns.
void
PoolRuntime::SetServers(std::span<const VmOwnership> aRows)
{
  std::vector<bool> assigned(mEntries.size(), false);
  for (const VmOwnership& row : aRows) {
    auto it = mServerByVm.find(row.mVm);
    ServerIndex server = it != mServerByVm.end() ? it->second : AddServer(row);
    assigned.resize(mEntries.size(), false);
    assigned[server] = true;
    ServerEntry& entry = mEntries[server];
    if (entry.mEndpoint != row.mEndpoint) {
      entry.mEndpoint = row.mEndpoint;
      entry.mIncarnation = 0;
    }
  }
  for (ServerIndex i = 0; i < mEntries.size(); ++i) {
    mEntries[i].mAssigned = assigned[i];
    UpdateUsable(i);
  }
  SetNodeShare(mNodeCount, mNodeIndex);
}

void
PoolRuntime::UpdateUsable(ServerIndex aServer)
{
  const ServerEntry& entry = mEntries[aServer];
  bool usable = entry.mAssigned && entry.mIncarnation != 0 &&
                !entry.mDraining && !entry.mFull &&
                !mEjection.IsEjected(aServer);
  mServers.SetUsable(aServer, usable);
}

void
PoolRuntime::UpdateShare(ServerIndex aServer)
{
  int slots = SlotShare(mConfig.mSlotsPerVm,
                        mNodeCount,
                        mNodeIndex,
                        HashName(mEntries[aServer].mVm));
  mServers.SetShare(aServer,
                    mEntries[aServer].mAssigned ? ServerShare{ slots, slots }
                                                : ServerShare{});
}

void
PoolRuntime::SetNodeShare(int aNodeCount, int aNodeIndex)
{
  mNodeCount = aNodeCount;
  mNodeIndex = aNodeIndex;
  for (ServerIndex i = 0; i < mEntries.size(); ++i) {
    UpdateShare(i);
  }
  mArrivalOrder.SetSlots(static_cast<std::size_t>(mServers.TotalSlots()),
                         mKernel.GetClock().Now());
  GrantSlots();
}

Duration
PoolRuntime::ExpectedWait(Lane aLane) const
{
  if (mServers.HasRoom(WorkClass::Short) && mQueue.Size() == 0) {
    return Duration::zero();
  }
  int slots = mServers.TotalSlots();
  std::size_t queuedAhead =
    mQueue.Size(Lane::Urgent) + mQueue.Size(Lane::Short);
  Duration wait =
    EstimateWait({ queuedAhead, slots, mRunTimes.Mean(WorkClass::Short) });
  if (aLane == Lane::Long) {
    wait += EstimateWait(
      { mQueue.Size(Lane::Long), slots, mRunTimes.Mean(WorkClass::Long) });
  }
  return wait;
}

bool
PoolRuntime::HasServers() const
{
  return std::any_of(
    mEntries.begin(), mEntries.end(), [](const ServerEntry& aEntry) {
      return aEntry.mAssigned && !aEntry.mDraining;
    });
}

bool
PoolRuntime::HasSpareCapacity() const
{
  int busy = mServers.TotalInFlight() + static_cast<int>(mQueue.Size());
  int spare = mServers.TotalSlots() - busy;
  return mServers.HasRoom(WorkClass::Short) &&
         spare * 100 >= mServers.TotalSlots() * kMinSpareSlotsPercent;
}

NotRun
PoolRuntime::Reject(NotRunReason aReason, Lane aLane)
{
  mKernel.GetMetrics()
    .GetCounter("refused_" + std::string(ToString(aReason)) + "_total")
    .Add();
  double random = static_cast<double>(mKernel.Random() % 1000) / 1000;
  return { aReason, RetryAfter(ExpectedWait(aLane), random) };
}

Task<std::variant<Slot, NotRun>>
PoolRuntime::Acquire(SlotRequest aRequest, CallerState& aCaller)
{
  Clock& clock = mKernel.GetClock();
  TimePoint from = clock.Now();
  Duration wait = ExpectedWait(aRequest.mLane);
  bool tooLate = aRequest.mLane != Lane::Urgent && wait > kMinRejectedWait &&
                 from + wait > aRequest.mDeadline;
  if (tooLate) {
    co_return Reject(NotRunReason::DeadlineTooShort, aRequest.mLane);
  }
  Waiter waiter(mKernel.Context());
  waiter.mTriedServers.assign(aRequest.mTriedServers.begin(),
                              aRequest.mTriedServers.end());
  WaitId id = mNextWait++;
  WorkClass workClass =
    aRequest.mLane == Lane::Long ? WorkClass::Long : WorkClass::Short;
  Duration inOrder = mArrivalOrder.AddRequest(from, mRunTimes.Mean(workClass));
  TimePoint due = workClass == WorkClass::Long
                    ? LongStartDeadline(from, inOrder, LongAfter())
                    : ShortStartDeadline(from);
  if (!mQueue.Push(id, aRequest.mLane, due)) {
    co_return Reject(NotRunReason::QueueFull, aRequest.mLane);
  }
  mWaiters.emplace(id, &waiter);
  // Removes the queue entry however this coroutine ends, cancellation included.
  auto leave = [this, id](void*) {
    mQueue.Remove(id);
    mWaiters.erase(id);
  };
  std::unique_ptr<void, decltype(leave)> guard(this, leave);
  GrantSlots();
  if (!waiter.mSlot) {
    Watchdog deadlineTimer(
      clock, aRequest.mDeadline, [&waiter] { waiter.mGranted.NotifyAll(); });
    aCaller.SetDisconnectHandler([&waiter] { waiter.mGranted.NotifyAll(); });
    while (!waiter.mSlot && !deadlineTimer.Fired() &&
           !aCaller.IsDisconnected()) {
      co_await waiter.mGranted.Wait();
    }
  }
  aCaller.SetDisconnectHandler(nullptr);
  mWaitHistogram.Record(clock.Now() - from);
  if (waiter.mSlot && !aCaller.IsDisconnected()) {
    co_return std::move(*waiter.mSlot);
  }
  NotRunReason reason = aCaller.IsDisconnected()
                          ? NotRunReason::Cancelled
                          : NotRunReason::DeadlineExceeded;
  co_return Reject(reason, aRequest.mLane);
}

// Grants slots while a waiting request fits. Called whenever capacity or work
// is added; the loop also sees slots released meanwhile.
void
PoolRuntime::GrantSlots()
{
  if (mGranting) {
    return;
  }
  mGranting = true;
  for (auto lane = NextLane(); lane; lane = NextLane()) {
    if (!GrantSlot(*lane)) {
      break;
    }
  }
  mGranting = false;
}

std::optional<Lane>
PoolRuntime::NextLane()
{
  TimePoint now = mKernel.GetClock().Now();
  int running = mServers.TotalInFlight() - mServers.LongInFlight();
  auto waiting =
    static_cast<int>(mQueue.Size(Lane::Urgent) + mQueue.Size(Lane::Short));
  mShortDemand.Update(running + waiting, now);
  return mQueue.NextLane(mServers, { mShortDemand.ReservedSlots(), now });
}

bool
PoolRuntime::GrantSlot(Lane aLane)
{
  WorkClass workClass =
    aLane == Lane::Long ? WorkClass::Long : WorkClass::Short;
  WaitId id = mQueue.Pop(aLane);
  Waiter& waiter = *mWaiters.at(id);
  std::optional<ServerIndex> server =
    mServers.Pick(workClass, waiter.mTriedServers, mRng);
  if (!server) {
    // Only servers that the request has already tried have free slots; one of
    // them is better than none.
    server = mServers.Pick(workClass, {}, mRng);
  }
  if (!server) {
    return false;
  }
  mServers.Begin(*server, workClass);
  waiter.mSlot.emplace(*this, *server, workClass);
  waiter.mGranted.NotifyAll();
  return true;
}

void
PoolRuntime::ReleaseSlot(ServerIndex aServer, WorkClass aClass)
{
  mServers.End(aServer, aClass);
  mAttemptFinished.NotifyAll();
  GrantSlots();
}

void
PoolRuntime::RecordEvidence(ServerIndex aServer, RunResult aEvidence)
{
  if (aEvidence == RunResult::Succeeded) {
    mRetries.OnSuccess();
  }
  if (mEjection.Record(aServer, aEvidence, mKernel.GetClock().Now())) {
    LogWarn(kPart, "{}: ejected VM {}", mName, mEntries[aServer].mVm);
    mKernel.GetMetrics().GetCounter("ejections_total").Add();
    UpdateUsable(aServer);
  }
}

// Free slots that a server reports beyond this node's share are borrowed until
// ClearExpired. Other nodes do the same, so only half of them are taken.
void
PoolRuntime::RecordReport(ServerIndex aServer, const ServerReport& aReport)
{
  ServerEntry& entry = mEntries[aServer];
  if (entry.mIncarnation != aReport.mIncarnation) {
    entry.mIncarnation = aReport.mIncarnation;
    UpdateUsable(aServer);
  }
  int borrowed = aReport.mFreeSlots / 2;
  mServers.SetBorrowed(aServer, borrowed);
  if (borrowed > 0) {
    mBorrowingServers.push_back(aServer);
  }
}

void
PoolRuntime::RecordRunTime(std::string_view aOperation, Duration aRan)
{
  mRunTimes.Record(aOperation, aRan);
}

void
PoolRuntime::MarkDraining(ServerIndex aServer)
{
  mEntries[aServer].mDraining = true;
  mEntries[aServer].mNextProbe = mKernel.GetClock().Now() + kProbeInterval;
  UpdateUsable(aServer);
}

void
PoolRuntime::MarkFull(ServerIndex aServer)
{
  mServers.SetBorrowed(aServer, 0);
  if (!std::exchange(mEntries[aServer].mFull, true)) {
    mFullServers.push_back(aServer);
  }
  UpdateUsable(aServer);
}

std::vector<ServerIndex>
PoolRuntime::DueProbes()
{
  std::vector<ServerIndex> due;
  TimePoint now = mKernel.GetClock().Now();
  for (ServerIndex i = 0; i < mEntries.size(); ++i) {
    ServerEntry& entry = mEntries[i];
    bool unknown = entry.mIncarnation == 0 || entry.mDraining;
    if (entry.mAssigned && unknown && entry.mNextProbe <= now) {
      entry.mNextProbe = now + kProbeInterval;
      due.push_back(i);
    }
  }
  return due;
}

void
PoolRuntime::RecordProbe(ServerIndex aServer,
                         const std::optional<ServerHealth>& aHealth)
{
  ServerEntry& entry = mEntries[aServer];
  if (aHealth) {
    entry.mIncarnation = aHealth->mReport.mIncarnation;
    entry.mDraining = aHealth->mDraining;
    UpdateUsable(aServer);
    GrantSlots();
  }
}

void
PoolRuntime::ClearExpired()
{
  for (ServerIndex server : std::exchange(mBorrowingServers, {})) {
    mServers.SetBorrowed(server, 0);
  }
  for (ServerIndex server : std::exchange(mFullServers, {})) {
    mEntries[server].mFull = false;
    UpdateUsable(server);
  }
  for (ServerIndex server : mEjection.TakeExpired(mKernel.GetClock().Now())) {
    // The server must answer a probe before it gets work again.
    mEntries[server].mIncarnation = 0;
    UpdateUsable(server);
  }
  GrantSlots();
}

std::optional<ServerIndex>
PoolRuntime::FindServer(std::string_view aVm) const
{
  auto it = mServerByVm.find(aVm);
  return it == mServerByVm.end() ? std::nullopt : std::optional(it->second);
}

int
PoolRuntime::InFlightOn(std::string_view aVm) const
{
  std::optional<ServerIndex> server = FindServer(aVm);
  return server ? mServers.InFlight(*server) : 0;
}

PoolStats
PoolRuntime::Stats() const
{
  PoolStats figures;
  figures.mPool = mName;
  for (ServerIndex i = 0; i < mEntries.size(); ++i) {
    figures.mServers += mEntries[i].mAssigned ? 1 : 0;
    figures.mUsable += mServers.IsUsable(i) ? 1 : 0;
  }
  figures.mWaiting = mQueue.Size();
  figures.mInFlight = mServers.TotalInFlight();
  figures.mLongInFlight = mServers.LongInFlight();
  figures.mSlots = mServers.TotalSlots();
  return figures;
}

} // namespace buckthornshunt
