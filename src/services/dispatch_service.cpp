#include "services/dispatch_service.h"

#include "decide/ownership.h"
#include "kernel/log.h"
#include "services/config_service.h"
#include "services/member_service.h"
#include "services/peer_service.h"
#include "services/table_service.h"

#include <algorithm>

namespace buckthornshunt {

namespace {

constexpr Duration kHousekeepingInterval = std::chrono::milliseconds(250);
constexpr Duration kProbeTimeout = std::chrono::seconds(1);
constexpr Duration kRejectRetryAfter = std::chrono::seconds(1);

} // namespace

DispatchService::DispatchService(Kernel& aKernel, Backends aBackends)
  : mKernel(aKernel)
  , mBackends(std::move(aBackends))
  , mOutcomeCounters{ &aKernel.GetMetrics().GetCounter(
                        "requests_completed_total"),
                      &aKernel.GetMetrics().GetCounter(
                        "requests_not_run_total"),
                      &aKernel.GetMetrics().GetCounter(
                        "requests_unknown_total"),
                      &aKernel.GetMetrics().GetCounter(
                        "requests_failed_total") }
  , mOwnershipChanged(aKernel.Context())
  , mRequestFinished(aKernel.Context())
  , mTasks(aKernel.Context(), &aKernel.Groups())
{
}

leaf::result<void>
DispatchService::Start()
{
  BOOST_LEAF_ASSIGN(mTable, mKernel.Find<TableService>(TableService::kName));
  BOOST_LEAF_ASSIGN(mConfig, mKernel.Find<ConfigService>(ConfigService::kName));
  BOOST_LEAF_ASSIGN(mMembers,
                    mKernel.Find<MemberService>(MemberService::kName));
  BOOST_LEAF_ASSIGN(mPeers, mKernel.Find<PeerService>(PeerService::kName));
  const NodeIdentity& self = mMembers->Self();
  mTableClaims = std::make_unique<TableClaims>(*mTable);
  mJobClaims = std::make_unique<JobClaims>(*mTable);
  mTicketClaims = std::make_unique<TicketClaims>(
    mKernel.GetClock(), self.mNode, self.mIncarnation);
  mTasks.Spawn("dispatch config", WatchConfig());
  mTasks.Spawn("dispatch ownership", WatchOwnership());
  mTasks.Spawn("dispatch members", WatchMembers());
  mTasks.Spawn("dispatch housekeeping", RunHousekeeping());
  return {};
}

// Active requests finish, including those that wait for a slot, since they have
// been accepted; new ones are rejected.
Task<void>
DispatchService::Stop()
{
  mStopping = true;
  while (mActiveRequests > 0) {
    co_await mRequestFinished.Wait();
  }
  mTasks.CancelAll();
  co_await mTasks.Join();
}

Task<void>
DispatchService::WatchConfig()
{
  while (true) {
    if (mConfig->Current()) {
      for (const auto& [name, config] : mConfig->Current()->mPools) {
        auto it = mPools.find(name);
        if (it != mPools.end()) {
          it->second->SetConfig(config);
          continue;
        }
        mPools.emplace(name,
                       std::make_unique<PoolRuntime>(mKernel, name, config));
      }
      LoadOwnership();
      ShareSlots();
    }
    co_await mConfig->Changed().Wait();
  }
}

Task<void>
DispatchService::WatchOwnership()
{
  auto watch = mTable->Watch(VmPrefix(mMembers->Self().mDataCentre));
  while (true) {
    co_await watch->Next();
    LoadOwnership();
  }
}

// Assigns VMs to pools by their ownership rows. A leaving VM gets no new work
// from this node at once; attempts that run there finish.
void
DispatchService::LoadOwnership()
{
  std::map<std::string, std::vector<VmOwnership>, std::less<>> byPool;
  mTable->View().ForEach(
    VmPrefix(mMembers->Self().mDataCentre), [&](const Row& aRow) {
      auto row = ToExpected<VmOwnership>([&] { return DecodeVm(aRow.mValue); });
      if (Ok(row)) {
        VmOwnership& vm = std::get<VmOwnership>(row);
        if (MayDispatch(vm, vm.mPool)) {
          byPool[vm.mPool].push_back(std::move(vm));
        }
      }
    });
  for (auto& [name, pool] : mPools) {
    pool->SetServers(byPool[name]);
  }
  mOwnershipChanged.NotifyAll();
}

Task<void>
DispatchService::WatchMembers()
{
  while (true) {
    ShareSlots();
    co_await mPeers->Changed().Wait();
  }
}

// Divides every server's slots evenly among the live nodes of the data centre.
// An unlinked node counts as gone; if it is alive, the servers reject work
// beyond their slots.
void
DispatchService::ShareSlots()
{
  const NodeIdentity& self = mMembers->Self();
  std::vector<std::string> live{ self.mNode };
  for (const NodeRecord& node : mMembers->NodesOf(self.mDataCentre)) {
    if (node.mNode != self.mNode && mPeers->IsLive(node.mNode)) {
      live.push_back(node.mNode);
    }
  }
  std::sort(live.begin(), live.end());
  auto own = std::find(live.begin(), live.end(), self.mNode) - live.begin();
  mLiveNodeCount = static_cast<int>(live.size());
  for (auto& [name, pool] : mPools) {
    pool->SetNodeShare(mLiveNodeCount, static_cast<int>(own));
  }
}

Task<void>
DispatchService::RunHousekeeping()
{
  while (true) {
    co_await mKernel.GetClock().Sleep(kHousekeepingInterval);
    for (auto& [name, pool] : mPools) {
      pool->ClearExpired();
      mPeers->AnnounceCapacity(name, Ready() && pool->HasSpareCapacity());
      for (ServerIndex server : pool->DueProbes()) {
        mTasks.Spawn("probe", Probe(name, server));
      }
    }
  }
}

Task<void>
DispatchService::Probe(std::string aPool, ServerIndex aServer)
{
  PoolRuntime& pool = *mPools.at(aPool);
  Endpoint endpoint = pool.Server(aServer).mEndpoint;
  TimePoint deadline = mKernel.GetClock().Now() + kProbeTimeout;
  BackendCall call = ProbeServer{};
  auto reply =
    co_await CallBackend(mBackends, endpoint, std::move(call), deadline);
  std::optional<ServerHealth> health;
  if (Ok(reply)) {
    health = std::get<ServerHealth>(std::get<BackendReply>(reply));
  }
  pool.RecordProbe(aServer, health);
}

bool
DispatchService::Ready() const
{
  return !mStopping && mConfig->Current() && mMembers->Registered();
}

std::optional<Ticket>
DispatchService::IssueTicket()
{
  return mStopping ? std::nullopt : mTicketClaims->Issue();
}

void
DispatchService::ForgetTicket(std::string_view aKey)
{
  mTicketClaims->Forget(aKey);
}

bool
DispatchService::RequiresAtMostOnce(const Request& aRequest) const
{
  auto it = mPools.find(aRequest.mPool);
  return it == mPools.end() ||
         IdempotencyOf(*it->second, aRequest) == Idempotency::NonIdempotent;
}

int
DispatchService::InFlightOn(std::string_view aVm) const
{
  int n = 0;
  for (const auto& [name, pool] : mPools) {
    n += pool->InFlightOn(aVm);
  }
  return n;
}

std::vector<PoolStats>
DispatchService::Stats() const
{
  std::vector<PoolStats> figures;
  for (const auto& [name, pool] : mPools) {
    figures.push_back(pool->Stats());
  }
  return figures;
}

AttemptId
DispatchService::NewAttemptId()
{
  return { mMembers->Self().mIncarnation, mNextAttempt++ };
}

Endpoint
DispatchService::EndpointOf(std::string_view aVm) const
{
  const Row* row =
    mTable->View().Find(VmKey(mMembers->Self().mDataCentre, aVm));
  if (row == nullptr) {
    return {};
  }
  auto vm = ToExpected<VmOwnership>([&] { return DecodeVm(row->mValue); });
  return Ok(vm) ? std::get<VmOwnership>(vm).mEndpoint : Endpoint{};
}

Lane
DispatchService::LaneOf(const PoolRuntime& aPool, const Request& aRequest) const
{
  auto it = aPool.Config().mOperations.find(aRequest.mOperation);
  if (it != aPool.Config().mOperations.end() && it->second.mUrgent) {
    return Lane::Urgent;
  }
  bool isLong = aPool.Classify(aRequest.mOperation,
                               aRequest.mDeclaredRunTime) == WorkClass::Long;
  return isLong ? Lane::Long : Lane::Short;
}

// Work is retried only if both the caller and the configuration allow it.
Idempotency
DispatchService::IdempotencyOf(const PoolRuntime& aPool,
                               const Request& aRequest) const
{
  auto it = aPool.Config().mOperations.find(aRequest.mOperation);
  bool configured = it != aPool.Config().mOperations.end() &&
                    it->second.mIdempotency == Idempotency::Idempotent;
  bool both = configured && aRequest.mIdempotency == Idempotency::Idempotent;
  return both ? Idempotency::Idempotent : Idempotency::NonIdempotent;
}

// A team's quota is divided among the live nodes like the servers' slots.
bool
DispatchService::OverQuota(std::string_view aTeam) const
{
  auto team = mConfig->Current()->mTeams.find(aTeam);
  if (team == mConfig->Current()->mTeams.end()) {
    return false;
  }
  int share = (team->second.mSlots + mLiveNodeCount - 1) / mLiveNodeCount;
  auto active = mActiveByTeam.find(aTeam);
  return active != mActiveByTeam.end() && active->second > share;
}

void
DispatchService::RecordSpan(const Request& aRequest,
                            std::string_view aName,
                            TimePoint aFrom,
                            std::string_view aNote)
{
  Tracer& tracer = mKernel.GetTracer();
  Clock& clock = mKernel.GetClock();
  Duration length = clock.Now() - aFrom;
  Span span;
  span.mTraceId = aRequest.mTraceId;
  span.mId = tracer.NewId();
  span.mParentId = aRequest.mSpanId;
  span.mName = aName;
  span.mStart = WallTime{ clock.WallNow().mMillis - ToMillis(length) };
  span.mDuration = length;
  span.mNote = aNote;
  tracer.Record(std::move(span));
}

Task<Outcome>
DispatchService::Serve(const Request& aRequest,
                       CallerState& aCaller,
                       RequestOrigin aOrigin)
{
  if (mStopping) {
    co_return NotRun{ NotRunReason::Stopping, kRejectRetryAfter };
  }
  ++mActiveRequests;
  ++mActiveByTeam[aRequest.mTeam];
  TimePoint from = mKernel.GetClock().Now();
  Outcome outcome = co_await RouteRequest(aRequest, aCaller, aOrigin);
  RecordSpan(aRequest, "serve", from, OutcomeName(outcome));
  auto team = mActiveByTeam.find(aRequest.mTeam);
  if (--team->second == 0) {
    mActiveByTeam.erase(team);
  }
  --mActiveRequests;
  mRequestFinished.NotifyAll();
  mOutcomeCounters[outcome.index()]->Add();
  co_return outcome;
}

// A node that isn't registered must not send work to servers, but it can
// forward a request to a peer of its data centre.
Task<Outcome>
DispatchService::RouteRequest(const Request& aRequest,
                              CallerState& aCaller,
                              RequestOrigin aOrigin)
{
  bool fromCaller = aOrigin == RequestOrigin::Caller;
  if (!Ready()) {
    std::string node = mPeers->FindPeerIn(mMembers->Self().mDataCentre);
    if (!fromCaller || node.empty()) {
      co_return NotRun{ NotRunReason::NotReady, kRejectRetryAfter };
    }
    Outcome outcome = co_await ForwardTo(std::move(node), aRequest);
    co_return outcome;
  }
  auto it = mPools.find(aRequest.mPool);
  if (it == mPools.end() ||
      !mConfig->Current()->mPools.contains(aRequest.mPool)) {
    co_return NotRun{ NotRunReason::UnknownPool, kRejectRetryAfter };
  }
  if (OverQuota(aRequest.mTeam)) {
    co_return NotRun{ NotRunReason::QuotaExceeded, kRejectRetryAfter };
  }
  PoolRuntime& pool = *it->second;
  RequestContext context{
    aRequest, aCaller, aOrigin, pool, LaneOf(pool, aRequest), {}
  };
  if (aOrigin == RequestOrigin::Job) {
    Outcome outcome = co_await RunWithClaim(context, mJobClaims.get());
    co_return outcome;
  }
  if (IdempotencyOf(pool, aRequest) == Idempotency::Idempotent) {
    Outcome outcome = co_await ServeIdempotent(context);
    co_return outcome;
  }
  Outcome outcome = co_await ServeAtMostOnce(context);
  co_return outcome;
}

Task<Outcome>
DispatchService::ForwardTo(std::string aNode, const Request& aRequest)
{
  TimePoint from = mKernel.GetClock().Now();
  mKernel.GetMetrics().GetCounter("requests_forwarded_total").Add();
  std::string note = "to " + aNode;
  Outcome outcome = co_await mPeers->Forward(std::move(aNode), aRequest);
  RecordSpan(aRequest, "forward", from, note);
  co_return outcome;
}

} // namespace buckthornshunt
