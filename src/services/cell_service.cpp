#include "services/cell_service.h"

#include "kernel/log.h"
#include "services/directory_service.h"
#include "services/owner_service.h"
#include "services/relay_service.h"
#include "wire/cell_codec.h"

#include <algorithm>
#include <functional>
#include <set>
#include <utility>
#include <vector>

namespace buckthornshunt {

namespace {

constexpr std::string_view kPart = "cells";

/// Random addition to the claim delay, so that equal nodes don't all claim at
/// the same moment.
constexpr std::uint64_t kClaimJitterMs = 120;
/// Interval between handoff requests to smaller nodes.
constexpr Duration kHandoffRequestInterval = std::chrono::seconds(2);
constexpr Duration kHandoffRequestTimeout = std::chrono::milliseconds(500);
constexpr Duration kCheckInterval = std::chrono::milliseconds(500);

} // namespace

CellService::CellService(Kernel& aKernel,
                         CellPorts aPorts,
                         CellDurations aTimes)
  : mKernel(aKernel)
  , mPorts(std::move(aPorts))
  , mTimes(aTimes)
  , mTasks(aKernel.Context(), &aKernel.Groups())
  , mTakeovers(aKernel.Context(), &aKernel.Groups())
  , mReleases(aKernel.Context())
  , mDrainProgress(aKernel.Context())
{
}

leaf::result<void>
CellService::Start()
{
  BOOST_LEAF_ASSIGN(mDirectory,
                    mKernel.Find<DirectoryService>(DirectoryService::kName));
  BOOST_LEAF_ASSIGN(mOwners, mKernel.Find<OwnerService>(OwnerService::kName));
  BOOST_LEAF_ASSIGN(mRelay, mKernel.Find<RelayService>(RelayService::kName));
  mRelay->RegisterHandler("job", [this](Json aBody, TimePoint) -> Task<Json> {
    auto call =
      ToExpected<RelayedCall>([&] { return RelayedCallFromJson(aBody); });
    OwnerReply reply = NotOwner{};
    if (Ok(call)) {
      reply = co_await Handle(std::get<RelayedCall>(std::move(call)));
    } else {
      LogWarn(kPart,
              "malformed call rejected: {}",
              Describe(std::get<Failure>(call)));
    }
    co_return OwnerReplyToJson(reply);
  });
  mRelay->RegisterHandler("released", [this](Json, TimePoint) -> Task<Json> {
    mOwners->Refresh();
    co_return Json();
  });
  mRelay->RegisterHandler("ask for cell", [this](Json aBody, TimePoint) {
    return OnHandoffRequest(std::move(aBody));
  });
  mTasks.Spawn("watch", WatchCells());
  mTasks.Spawn("directory", WatchDirectory());
  return {};
}

Task<void>
CellService::Drain(TimePoint aDeadline)
{
  Clock& clock = mKernel.GetClock();
  mStopping = true;
  mDrainDeadline = aDeadline;
  for (const auto& [pool, runtime] : std::exchange(mOwned, {})) {
    BeginRelease(runtime, aDeadline);
  }
  mDrainProgress.NotifyAll();
  while ((!mReleasing.empty() || !mPendingTakeovers.empty()) &&
         clock.Now() < aDeadline) {
    co_await WaitUntil(mDrainProgress, clock, aDeadline);
  }
}

Task<void>
CellService::Stop()
{
  if (!mStopping) {
    co_await Drain(mKernel.GetClock().Now() + kOwnerLeaseDuration);
  }
  mTakeovers.CancelAll();
  mTasks.CancelAll();
  co_await mTakeovers.Join();
  co_await mTasks.Join();
  co_await mReleases.Join();
}

void
CellService::BeginRelease(std::shared_ptr<CellRuntime> aRuntime,
                          TimePoint aDeadline)
{
  mReleasing.insert(aRuntime);
  mReleases.Spawn("release", ReleaseCell(std::move(aRuntime), aDeadline));
}

// The other nodes are notified of each cell by itself, so that a slow release
// delays no other cell's takeover.
Task<void>
CellService::ReleaseCell(std::shared_ptr<CellRuntime> aRuntime,
                         TimePoint aDeadline)
{
  co_await aRuntime->Stop(aDeadline);
  if (!aRuntime->Lost()) {
    mRelay->Broadcast("released", Json());
  }
  mOwners->Refresh();
  mReleasing.erase(aRuntime);
  mDrainProgress.NotifyAll();
}

std::shared_ptr<CellRuntime>
CellService::Find(std::string_view aCell) const
{
  auto it = mOwned.find(aCell);
  bool usable = it != mOwned.end() && !it->second->Lost() && !mStopping;
  return usable ? it->second : nullptr;
}

Task<OwnerReply>
CellService::Handle(RelayedCall aCall)
{
  std::shared_ptr<CellRuntime> runtime = Find(aCall.mCell);
  if (!runtime) {
    co_return NotOwner{};
  }
  TimePoint deadline = mKernel.GetClock().Now() + aCall.mPatience;
  CallerReply reply =
    co_await runtime->Handle(std::move(aCall.mCall), deadline);
  co_return reply;
}

Task<void>
CellService::WatchDirectory()
{
  // Without changes of the directory, what a cell knows of workers still gets
  // out of date.
  Clock& clock = mKernel.GetClock();
  while (!mStopping) {
    TimePoint deadline = clock.Now() + kCheckInterval;
    co_await WaitUntil(mDirectory->Changed(), clock, deadline);
    for (auto& [pool, runtime] : mOwned) {
      runtime->OnDirectoryChange();
    }
  }
}

Task<void>
CellService::WatchCells()
{
  Clock& clock = mKernel.GetClock();
  while (!mStopping) {
    auto config = mDirectory->Config();
    std::optional<FleetLayout> layout = mOwners->Layout();
    if (config && layout) {
      std::vector<CellId> cells = CellsWithJobs(*config, *layout);
      std::sort(cells.begin(),
                cells.end(),
                [&](const CellId& aLeft, const CellId& aRight) {
                  return ClaimOrder(aLeft.mName) < ClaimOrder(aRight.mName);
                });
      for (const CellId& cell : cells) {
        MaybeTakeOver(cell);
        MaybeRequestHandoff(cell.mName);
      }
    }
    std::vector<std::shared_ptr<CellRuntime>> lost;
    for (auto& [pool, runtime] : mOwned) {
      if (runtime->Lost()) {
        lost.push_back(runtime);
      }
    }
    for (std::shared_ptr<CellRuntime>& runtime : lost) {
      mOwned.erase(runtime->Name());
      mOwners->Refresh();
      BeginRelease(std::move(runtime), clock.Now() + kOwnerLeaseDuration);
    }
    for (auto& [pool, runtime] : mOwned) {
      runtime->SetClaimDelay(DelayWithOtherCells());
    }
    TimePoint deadline = clock.Now() + kCheckInterval;
    co_await WaitUntil(mOwners->Changed(), clock, deadline);
  }
}

// Delay with which this node would claim one of its cells beside the others.
Duration
CellService::DelayWithOtherCells() const
{
  return ClaimDelay(mOwners->Self().mCapacity, mOwned.size() - 1);
}

// Cells of pools that queues send their jobs to, and cells that have had an
// owner: the jobs of a queue that moved remain in the cell that accepted them.
std::vector<CellId>
CellService::CellsWithJobs(const WorkloadConfig& aConfig,
                           const FleetLayout& aLayout)
{
  std::set<std::string_view> pools;
  std::set<std::string_view> poolsWithQueue;
  for (const QueueConfig& queue : aConfig.mQueues) {
    pools.insert(queue.mPool);
    poolsWithQueue.insert(queue.mPool);
  }
  for (const WorkerPoolConfig& pool : aConfig.mPools) {
    pools.insert(pool.mName);
  }
  std::vector<CellId> cells;
  for (std::string_view pool : pools) {
    for (std::uint32_t shard = 0; shard < aLayout.mShards; ++shard) {
      CellId cell = MakeCellId(aLayout, pool, shard);
      mOwners->Watch(cell.mName);
      if (poolsWithQueue.contains(pool) ||
          mOwners->LastSeen(cell.mName) != nullptr) {
        cells.push_back(std::move(cell));
      }
    }
  }
  return cells;
}

// Each node claims the cells in its own order, with longer delays for later
// ones; otherwise the first node to start would take them all.
std::size_t
CellService::ClaimOrder(std::string_view aCell) const
{
  std::string name = mOwners->Self().mNode + "/" + std::string(aCell);
  return std::hash<std::string>{}(name);
}

Duration
CellService::ClaimDelayWithJitter()
{
  auto jitterMs = static_cast<std::int64_t>(mKernel.Random() % kClaimJitterMs);
  return ClaimDelay(mOwners->Self().mCapacity,
                    mOwned.size() + mPendingTakeovers.size()) +
         std::chrono::milliseconds(jitterMs);
}

void
CellService::MaybeTakeOver(const CellId& aCell)
{
  bool ownedOrPending =
    mOwned.contains(aCell.mName) || mPendingTakeovers.contains(aCell.mName);
  if (mStopping || ownedOrPending || !mOwners->HasBeenRead(aCell.mName)) {
    return;
  }
  const OwnerObservation* sighting = mOwners->LastSeen(aCell.mName);
  TimePoint now = mKernel.GetClock().Now();
  bool free =
    sighting == nullptr ||
    EvaluateOwnership(*sighting, mOwners->Self(), now) == OwnershipState::Free;
  if (free) {
    mTakeovers.Spawn("take over", TakeOver(aCell));
    mPendingTakeovers.emplace(aCell.mName, true);
  }
}

void
CellService::MaybeRequestHandoff(std::string_view aCell)
{
  TimePoint now = mKernel.GetClock().Now();
  const OwnerObservation* sighting = mOwners->LastSeen(aCell);
  bool ownedOrPending =
    mOwned.contains(aCell) || mPendingTakeovers.contains(aCell);
  if (mStopping || ownedOrPending || sighting == nullptr ||
      now < mHandoffRequestedAt + kHandoffRequestInterval) {
    return;
  }
  Duration delay = ClaimDelay(mOwners->Self().mCapacity,
                              mOwned.size() + mPendingTakeovers.size());
  bool held =
    EvaluateOwnership(*sighting, mOwners->Self(), now) == OwnershipState::Held;
  if (held && ShouldRequestHandoff(delay, sighting->mRow)) {
    mHandoffRequestedAt = now;
    mTasks.Spawn(
      "ask",
      RequestHandoff(std::string(aCell), sighting->mRow.mPeerEndpoint, delay));
  }
}

Task<void>
CellService::RequestHandoff(std::string aCell, Endpoint aOwner, Duration aDelay)
{
  TimePoint deadline = mKernel.GetClock().Now() + kHandoffRequestTimeout;
  Json body = { { "pool", aCell }, { "delay_ms", ToMillis(aDelay) } };
  auto reply =
    co_await mRelay->Call(aOwner, "ask for cell", std::move(body), deadline);
  LogInfo(kPart,
          "cell={} handoff requested at={} outcome={}",
          aCell,
          ToString(aOwner),
          Ok(reply) ? "heard" : FailureName(std::get<Failure>(reply)));
  mOwners->Refresh();
}

// Nodes of the previous version don't send their delay; they have judged the
// request themselves.
bool
CellService::MayHandOff(const Json& aBody) const
{
  if (!aBody.contains("delay_ms")) {
    return true;
  }
  auto delay =
    ToExpected<Duration>([&] { return ReadMillis(aBody, "delay_ms"); });
  return Ok(delay) &&
         IsHandoffWorthwhile(std::get<Duration>(delay), DelayWithOtherCells());
}

// Runs at the owner. The released cell is free, and the requesting node claims
// it first because its claim delay is shorter. Several nodes may ask an owner
// of two cells for one; each further request is judged by the cells that are
// left.
Task<Json>
CellService::OnHandoffRequest(Json aBody)
{
  auto cell =
    ToExpected<std::string>([&] { return ReadString(aBody, "pool"); });
  if (!Ok(cell)) {
    LogWarn(kPart,
            "malformed handoff request ignored: {}",
            Describe(std::get<Failure>(cell)));
    co_return Json();
  }
  std::shared_ptr<CellRuntime> runtime = Find(std::get<0>(cell));
  if (runtime && runtime->Loaded() && MayHandOff(aBody)) {
    mOwned.erase(std::get<0>(cell));
    LogInfo(kPart, "cell={} released for a handoff", runtime->Name());
    TimePoint deadline = mKernel.GetClock().Now() + kOwnerLeaseDuration;
    BeginRelease(std::move(runtime), deadline);
  }
  co_return Json();
}

Task<void>
CellService::TakeOver(CellId aCell)
{
  Clock& clock = mKernel.GetClock();
  TimePoint claimAt = clock.Now() + ClaimDelayWithJitter();
  while (!mStopping && clock.Now() < claimAt) {
    co_await WaitUntil(mDrainProgress, clock, claimAt);
  }
  if (!mStopping) {
    co_await ClaimFreeCell(aCell);
  }
  mPendingTakeovers.erase(aCell.mName);
  mDrainProgress.NotifyAll();
}

// Claims the cell on condition that its row hasn't changed since it was found
// to be free.
Task<void>
CellService::ClaimFreeCell(CellId aCell)
{
  Clock& clock = mKernel.GetClock();
  const OwnerObservation* sighting = mOwners->LastSeen(aCell.mName);
  bool free = sighting == nullptr ||
              EvaluateOwnership(*sighting, mOwners->Self(), clock.Now()) ==
                OwnershipState::Free;
  if (!free) {
    co_return;
  }
  std::optional<OwnerObservation> before;
  if (sighting != nullptr) {
    before = *sighting;
  }
  std::optional<OwnerObservation> seen;
  auto claim = co_await ClaimCell(
    mKernel, *mPorts.mStore, aCell.mName, mOwners->Self(), before, seen);
  if (seen) {
    mOwners->ObserveRow(aCell.mName, seen->mRow, seen->mRevision);
  }
  if (!claim) {
    co_return;
  }
  mOwners->ObserveRow(aCell.mName, claim->mRow, claim->mRevision);
  if (mStopping) {
    co_await ReleaseClaim(std::move(aCell.mName), std::move(*claim));
    co_return;
  }
  FleetLayout layout = *mOwners->Layout();
  auto runtime = std::make_shared<CellRuntime>(
    mKernel, mPorts, *mDirectory, layout, aCell, mTimes, std::move(*claim));
  mOwned.insert_or_assign(aCell.mName, runtime);
  runtime->Start();
}

// Releases a cell whose claim succeeded after the drain had begun.
Task<void>
CellService::ReleaseClaim(std::string aCell, ClaimResult aClaim)
{
  CellLease lease(mKernel,
                  *mPorts.mStore,
                  aCell,
                  std::move(aClaim.mRow),
                  aClaim.mRevision,
                  aClaim.mSentAt);
  ConditionalCommit nothing;
  bool released =
    co_await lease.Commit(std::move(nothing), true, mDrainDeadline);
  LogInfo(kPart,
          "cell={} claimed while stopping released={}",
          aCell,
          released ? 1 : 0);
  mRelay->Broadcast("released", Json());
  mOwners->Refresh();
}

} // namespace buckthornshunt
