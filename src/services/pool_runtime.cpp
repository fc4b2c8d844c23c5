#include "services/pool_runtime.h"

#include "kernel/log.h"

#include <algorithm>
#include <utility>

namespace buckthornshunt {

namespace {

constexpr std::string_view kPart = "pool";
constexpr Duration kProbeInterval = std::chrono::seconds(1);
/// Shorter waits than this aren't refused for their length.
constexpr Duration kLeastRefusedWait = std::chrono::milliseconds(50);
/// Room below which work from other data centres isn't wanted, in percent.
constexpr int kSpareRoomPercent = 25;

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
    std::exchange(mPool, nullptr)->EndAttempt(mServer, mClass);
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
  , mIdle(aKernel.Context())
  , mWaits(aKernel.GetMetrics().GetHistogram("slot_wait"))
{
}

void
PoolRuntime::SetConfig(const PoolConfig& aConfig)
{
  bool otherBound = aConfig.mLongTaskThreshold != mConfig.mLongTaskThreshold;
  mConfig = aConfig;
  mQueue.SetLimit(static_cast<std::size_t>(aConfig.mQueueLimit));
  if (otherBound) {
    mRunTimes = RunTimes(aConfig.mLongTaskThreshold);
  }
  ShareAmong(mNodes, mNode);
}

ServerIndex
PoolRuntime::AddServer(const VmOwnership& aRow)
{
  ServerIndex server = mServers.Add();
  mEjection.Add();
  mEntries.emplace_back();
  mEntries[server].mVm = aRow.mVm;
  mByVm.emplace(aRow.mVm, server);
  return server;
}

// A server keeps its place when its VM leaves, so that attempts in flight and
// what was learnt of it stay valid if it returns.
void
PoolRuntime::SetServers(std::span<const VmOwnership> aRows)
{
  std::vector<bool> owned(mEntries.size(), false);
  for (const VmOwnership& row : aRows) {
    auto it = mByVm.find(row.mVm);
    ServerIndex server = it != mByVm.end() ? it->second : AddServer(row);
    owned.resize(mEntries.size(), false);
    owned[server] = true;
    ServerEntry& entry = mEntries[server];
    if (entry.mEndpoint != row.mEndpoint) {
      entry.mEndpoint = row.mEndpoint;
      entry.mBoot = 0;
    }
  }
  for (ServerIndex i = 0; i < mEntries.size(); ++i) {
    mEntries[i].mOwned = owned[i];
    UpdateUsable(i);
  }
  ShareAmong(mNodes, mNode);
}

void
PoolRuntime::UpdateUsable(ServerIndex aServer)
{
  const ServerEntry& entry = mEntries[aServer];
  bool usable = entry.mOwned && entry.mBoot != 0 && !entry.mDraining &&
                !entry.mFull && !mEjection.IsEjected(aServer);
  mServers.SetUsable(aServer, usable);
}

void
PoolRuntime::UpdateShare(ServerIndex aServer)
{
  int slots = SlotShare(
    mConfig.mSlotsPerVm, mNodes, mNode, HashName(mEntries[aServer].mVm));
  mServers.SetShare(aServer,
                    mEntries[aServer].mOwned ? ServerShare{ slots, slots }
                                             : ServerShare{});
}

void
PoolRuntime::ShareAmong(int aNodes, int aNode)
{
  mNodes = aNodes;
  mNode = aNode;
  for (ServerIndex i = 0; i < mEntries.size(); ++i) {
    UpdateShare(i);
  }
  mInOrder.SetSlots(static_cast<std::size_t>(mServers.TotalSlots()),
                    mKernel.GetClock().Now());
  Pump();
}

Duration
PoolRuntime::ExpectedWait(Lane aLane) const
{
  if (mServers.HasRoom(WorkClass::Short) && mQueue.Size() == 0) {
    return Duration::zero();
  }
  int slots = mServers.TotalSlots();
  std::size_t shorter = mQueue.Size(Lane::Urgent) + mQueue.Size(Lane::Short);
  Duration wait =
    EstimateWait({ shorter, slots, mRunTimes.Mean(WorkClass::Short) });
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
      return aEntry.mOwned && !aEntry.mDraining;
    });
}

bool
PoolRuntime::HasSpareRoom() const
{
  int busy = mServers.TotalInFlight() + static_cast<int>(mQueue.Size());
  int spare = mServers.TotalSlots() - busy;
  return mServers.HasRoom(WorkClass::Short) &&
         spare * 100 >= mServers.TotalSlots() * kSpareRoomPercent;
}

NotRun
PoolRuntime::Refuse(NotRunReason aReason, Lane aLane)
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
  bool tooLate = aRequest.mLane != Lane::Urgent && wait > kLeastRefusedWait &&
                 from + wait > aRequest.mDeadline;
  if (tooLate) {
    co_return Refuse(NotRunReason::DeadlineTooShort, aRequest.mLane);
  }
  Waiter waiter(mKernel.Context());
  waiter.mTried.assign(aRequest.mTried.begin(), aRequest.mTried.end());
  WaitId id = mNextWait++;
  WorkClass workClass =
    aRequest.mLane == Lane::Long ? WorkClass::Long : WorkClass::Short;
  Duration inOrder = mInOrder.AddRequest(from, mRunTimes.Mean(workClass));
  TimePoint due = workClass == WorkClass::Long
                    ? LongStartDeadline(from, inOrder, LongAfter())
                    : ShortStartDeadline(from);
  if (!mQueue.Push(id, aRequest.mLane, due)) {
    co_return Refuse(NotRunReason::QueueFull, aRequest.mLane);
  }
  mWaiters.emplace(id, &waiter);
  // The entry must go however this coroutine ends, cancellation included.
  auto leave = [this, id](void*) {
    mQueue.Remove(id);
    mWaiters.erase(id);
  };
  std::unique_ptr<void, decltype(leave)> guard(this, leave);
  Pump();
  if (!waiter.mSlot) {
    Watchdog late(
      clock, aRequest.mDeadline, [&waiter] { waiter.mGranted.NotifyAll(); });
    aCaller.SetDisconnectHandler([&waiter] { waiter.mGranted.NotifyAll(); });
    while (!waiter.mSlot && !late.Fired() && !aCaller.IsDisconnected()) {
      co_await waiter.mGranted.Wait();
    }
  }
  aCaller.SetDisconnectHandler(nullptr);
  mWaits.Record(clock.Now() - from);
  if (waiter.mSlot && !aCaller.IsDisconnected()) {
    co_return std::move(*waiter.mSlot);
  }
  NotRunReason reason = aCaller.IsDisconnected()
                          ? NotRunReason::Cancelled
                          : NotRunReason::DeadlineExceeded;
  co_return Refuse(reason, aRequest.mLane);
}

// Hands out slots while something waits that fits. Called whenever room or
// work is added; a slot that is given back meanwhile is seen by the loop.
void
PoolRuntime::Pump()
{
  if (mPumping) {
    return;
  }
  mPumping = true;
  for (auto lane = NextLane(); lane; lane = NextLane()) {
    if (!Grant(*lane)) {
      break;
    }
  }
  mPumping = false;
}

std::optional<Lane>
PoolRuntime::NextLane()
{
  TimePoint now = mKernel.GetClock().Now();
  int running = mServers.TotalInFlight() - mServers.LongInFlight();
  auto waiting =
    static_cast<int>(mQueue.Size(Lane::Urgent) + mQueue.Size(Lane::Short));
  mDemand.Update(running + waiting, now);
  return mQueue.NextLane(mServers, { mDemand.ReservedSlots(), now });
}

bool
PoolRuntime::Grant(Lane aLane)
{
  WorkClass workClass =
    aLane == Lane::Long ? WorkClass::Long : WorkClass::Short;
  WaitId id = mQueue.Pop(aLane);
  Waiter& waiter = *mWaiters.at(id);
  std::optional<ServerIndex> server =
    mServers.Pick(workClass, waiter.mTried, mRng);
  if (!server) {
    // Only servers that the request has tried have room; one of them is
    // better than none.
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
PoolRuntime::EndAttempt(ServerIndex aServer, WorkClass aClass)
{
  mServers.End(aServer, aClass);
  mIdle.NotifyAll();
  Pump();
}

void
PoolRuntime::RecordRun(ServerIndex aServer, RunResult aEvidence)
{
  if (aEvidence == RunResult::Succeeded) {
    mRetries.OnSuccess();
  }
  if (mEjection.Record(aServer, aEvidence, mKernel.GetClock().Now())) {
    LogWarn(kPart, "{}: VM {} is ejected", mName, mEntries[aServer].mVm);
    mKernel.GetMetrics().GetCounter("ejections_total").Add();
    UpdateUsable(aServer);
  }
}

// Slots that a server reports free beyond this node's share may be borrowed
// for a moment. Other nodes do the same, so only half of them are taken.
void
PoolRuntime::RecordReport(ServerIndex aServer, const ServerReport& aReport)
{
  ServerEntry& entry = mEntries[aServer];
  if (entry.mBoot != aReport.mIncarnation) {
    entry.mBoot = aReport.mIncarnation;
    UpdateUsable(aServer);
  }
  int borrowed = aReport.mFreeSlots / 2;
  mServers.SetBorrowed(aServer, borrowed);
  if (borrowed > 0) {
    mBorrowing.push_back(aServer);
  }
}

void
PoolRuntime::RecordTime(std::string_view aOperation, Duration aRan)
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
    mFull.push_back(aServer);
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
    bool unknown = entry.mBoot == 0 || entry.mDraining;
    if (entry.mOwned && unknown && entry.mNextProbe <= now) {
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
    entry.mBoot = aHealth->mReport.mIncarnation;
    entry.mDraining = aHealth->mDraining;
    UpdateUsable(aServer);
    Pump();
  }
}

void
PoolRuntime::Sweep()
{
  for (ServerIndex server : std::exchange(mBorrowing, {})) {
    mServers.SetBorrowed(server, 0);
  }
  for (ServerIndex server : std::exchange(mFull, {})) {
    mEntries[server].mFull = false;
    UpdateUsable(server);
  }
  for (ServerIndex server : mEjection.TakeExpired(mKernel.GetClock().Now())) {
    // The server must answer a probe before it gets work again.
    mEntries[server].mBoot = 0;
    UpdateUsable(server);
  }
  Pump();
}

std::optional<ServerIndex>
PoolRuntime::FindServer(std::string_view aVm) const
{
  auto it = mByVm.find(aVm);
  return it == mByVm.end() ? std::nullopt : std::optional(it->second);
}

int
PoolRuntime::InFlightOn(std::string_view aVm) const
{
  std::optional<ServerIndex> server = FindServer(aVm);
  return server ? mServers.InFlight(*server) : 0;
}

PoolFigures
PoolRuntime::Figures() const
{
  PoolFigures figures;
  figures.mPool = mName;
  for (ServerIndex i = 0; i < mEntries.size(); ++i) {
    figures.mServers += mEntries[i].mOwned ? 1 : 0;
    figures.mUsable += mServers.IsUsable(i) ? 1 : 0;
  }
  figures.mWaiting = mQueue.Size();
  figures.mInFlight = mServers.TotalInFlight();
  figures.mLongInFlight = mServers.LongInFlight();
  figures.mSlots = mServers.TotalSlots();
  return figures;
}

} // namespace buckthornshunt
