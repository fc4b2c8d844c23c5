#include "services/entry_service.h"

#include "decide/caller_access.h"
#include "kernel/log.h"
#include "kernel/wait.h"
#include "services/cell_service.h"
#include "services/directory_service.h"
#include "services/owner_service.h"
#include "services/relay_service.h"

#include <algorithm>
#include <set>

namespace buckthornshunt {

namespace {

constexpr std::string_view kPart = "entry";

constexpr int kOk = 200;
constexpr int kUnavailable = 503;

/// Replies are sent this long before the caller's timeout, but at most
/// 1/kMarginDivisor of the timeout before its end.
constexpr Duration kAnswerMargin = std::chrono::milliseconds(150);
constexpr int kMarginDivisor = 8;
/// How long a call waits for its cell to get an owner.
constexpr Duration kMaxOwnerWait = std::chrono::milliseconds(900);
constexpr Duration kOwnerCallTimeout = std::chrono::milliseconds(1200);
constexpr Duration kMaxOwnerCallTimeout = std::chrono::milliseconds(2000);
/// Pause before a retry, doubled by each up to a limit while the store is slow:
/// all callers would ask an owner that waits for it, again and again.
constexpr Duration kOwnerRetryInterval = std::chrono::milliseconds(80);
constexpr Duration kMaxOwnerRetryInterval = std::chrono::milliseconds(320);
/// While the node stops, no call to an owner begins with less time than this,
/// since its outcome would be unknown.
constexpr Duration kMinOwnerCallTime = std::chrono::milliseconds(100);
constexpr Duration kRetryAfter = std::chrono::seconds(1);
/// Twice the largest body of the platform's callers. A document takes many
/// times its size while it is decoded.
constexpr std::uint64_t kMaxBodyBytes = 512 * 1024;
/// Checks and reads of metrics have no bodies and come from few clients.
constexpr std::uint64_t kMaxProbeBodyBytes = 4 * 1024;
constexpr std::uint64_t kMaxProbeHeldBytes = 4 * 1024 * 1024;
constexpr std::size_t kMaxProbeConnections = 256;
/// A node that hasn't read the store for this long isn't ready.
constexpr Duration kMaxReadyReadAge = std::chrono::seconds(10);
/// The load balancer checks once a second and needs two failed checks; with a
/// margin, it opens no new connections after this delay.
constexpr Duration kBalancerDrainDelay = std::chrono::milliseconds(2600);
/// Part of a drain in which no more calls run and the last connections close.
constexpr Duration kCloseReserve = std::chrono::milliseconds(600);

const std::string&
QueueName(const CallerCall& aCall)
{
  return std::visit(
    [](const auto& aTypedCall) -> const std::string& {
      return aTypedCall.mQueue;
    },
    aCall);
}

struct CallFormatter
{
  std::string operator()(const SubmitJob& aCall) const
  {
    return "submit job=" + aCall.mId;
  }
  std::string operator()(const ReadJob& aCall) const
  {
    return "read job=" + aCall.mId;
  }
  std::string operator()(const LocateJob& aCall) const
  {
    return "locate job=" + aCall.mId;
  }
  std::string operator()(const CancelJob& aCall) const
  {
    return "cancel job=" + aCall.mId;
  }
  std::string operator()(const CountQueuedJobs&) const { return "waiting"; }
};

struct ReplyFormatter
{
  std::string operator()(const JobAccepted&) const { return "accepted"; }
  std::string operator()(const JobRefused&) const { return "refused"; }
  std::string operator()(const JobPhaseReply& aReply) const
  {
    return std::string(ToString(aReply.mPhase));
  }
  std::string operator()(const JobCancelled&) const { return "cancelled"; }
  std::string operator()(const JobNotFound&) const { return "unknown"; }
  std::string operator()(const QueuedJobCount& aReply) const
  {
    return std::to_string(aReply.mJobs);
  }
  std::string operator()(const QueueNotFound&) const { return "no_queue"; }
  std::string operator()(const ServiceUnavailable&) const
  {
    return "unavailable";
  }
  std::string operator()(const CallOutcomeUnknown&) const
  {
    return "unsettled";
  }
  std::string operator()(const CallerUnauthorized&) const
  {
    return "unauthorized";
  }
};

} // namespace

EntryService::EntryService(Kernel& aKernel,
                           EntryEndpoints aEndpoints,
                           std::optional<Duration> aMaxConfigAge)
  : mKernel(aKernel)
  , mEndpoints(std::move(aEndpoints))
  , mMaxConfigAge(aMaxConfigAge)
{
}

leaf::result<void>
EntryService::Start()
{
  BOOST_LEAF_ASSIGN(mDirectory,
                    mKernel.Find<DirectoryService>(DirectoryService::kName));
  BOOST_LEAF_ASSIGN(mOwners, mKernel.Find<OwnerService>(OwnerService::kName));
  BOOST_LEAF_ASSIGN(mRelay, mKernel.Find<RelayService>(RelayService::kName));
  BOOST_LEAF_ASSIGN(mCells, mKernel.Find<CellService>(CellService::kName));
  HttpLimits limits;
  limits.mMaxBodyBytes = kMaxBodyBytes;
  HttpLimits probeLimits;
  probeLimits.mMaxBodyBytes = kMaxProbeBodyBytes;
  probeLimits.mMaxHeldBytes = kMaxProbeHeldBytes;
  probeLimits.mMaxConnections = kMaxProbeConnections;
  auto make = [&](const HttpLimits& aLimits, auto aMember) {
    return std::make_unique<HttpServer>(
      mKernel.Context(),
      mKernel.GetClock(),
      kPart,
      aLimits,
      [this, aMember](const HttpRequest& aRequest, CallerState& aCaller) {
        return (this->*aMember)(aRequest, aCaller);
      });
  };
  mCallers = make(limits, &EntryService::ServeCaller);
  mReady = make(probeLimits, &EntryService::ServeReady);
  mMetrics = make(probeLimits, &EntryService::ServeMetrics);
  BOOST_LEAF_CHECK(mCallers->Listen(mEndpoints.mCallers));
  BOOST_LEAF_CHECK(mReady->Listen(mEndpoints.mReady));
  BOOST_LEAF_CHECK(mMetrics->Listen(mEndpoints.mMetrics));
  return {};
}

// The readiness check fails from the stop's request on, so that the load
// balancer opens no new connections; until then, connections are served.
Task<void>
EntryService::Drain(TimePoint aDeadline)
{
  TimePoint stopAccepting = mKernel.GetClock().Now() + kBalancerDrainDelay;
  HttpReply deadlineReply = platform::EncodeCallerReply(CallOutcomeUnknown{});
  co_await mCallers->Drain(
    stopAccepting, aDeadline - kCloseReserve, std::move(deadlineReply));
  LogInfo(kPart,
          "drained stop_ms={} dropped={}",
          ToMillis(mKernel.TimeSinceStopRequest().value_or(Duration{})),
          mCallers->DroppedRequests());
}

Task<void>
EntryService::Stop()
{
  mCallers->Abort();
  co_await mCallers->Drained();
  mReady->Abort();
  mMetrics->Abort();
  co_await mReady->Drained();
  co_await mMetrics->Drained();
}

Task<HttpReply>
EntryService::ServeReady(const HttpRequest&, CallerState&)
{
  TimePoint now = mKernel.GetClock().Now();
  bool ready = !mKernel.IsStopping() && mDirectory->Config() != nullptr &&
               mOwners->Layout() && now - mOwners->ReadAt() < kMaxReadyReadAge;
  co_return MakeReply(ready ? kOk : kUnavailable, kJsonType, "{}");
}

Task<HttpReply>
EntryService::ServeMetrics(const HttpRequest&, CallerState&)
{
  Metrics& metrics = mKernel.GetMetrics();
  Clock& clock = mKernel.GetClock();
  auto config = mDirectory->Config();
  if (config) {
    metrics.GetCounter("config_version")
      .Set(static_cast<std::int64_t>(ToNumber(config->mVersion)));
    metrics.GetCounter("config_age_ms")
      .Set(ToMillis(clock.Now() - mDirectory->ConfigReadAt()));
    metrics.GetCounter("config_current_age_ms")
      .Set(ToMillis(clock.Now() - mDirectory->ConfigCurrentAsOf()));
  }
  metrics.GetCounter("timer_delay_worst_ms")
    .Set(ToMillis(clock.TakeWorstDelay()));
  co_return MakeReply(kOk, "text/plain", metrics.Render());
}

namespace {

struct AccessRefusal
{
  std::optional<CallerReply> operator()(const AccessGranted&) const
  {
    return std::nullopt;
  }
  std::optional<CallerReply> operator()(const AccessDenied&) const
  {
    return CallerUnauthorized{};
  }
  std::optional<CallerReply> operator()(const AccessUndecided&) const
  {
    return ServiceUnavailable{ kRetryAfter };
  }
};

} // namespace

// Nothing of a request without access is decoded but its address.
std::optional<platform::DecodedCall>
EntryService::Admit(const HttpRequest& aRequest,
                    const WorkloadConfig& aConfig,
                    HttpReply& aReply)
{
  TimePoint now = mKernel.GetClock().Now();
  auto logRefusal = [&](std::string_view aWhy) {
    LogInfo(kPart,
            "{} {} refused version={} age_ms={} why={}",
            aRequest.mMethod,
            aRequest.mTarget,
            ToNumber(aConfig.mVersion),
            ToMillis(now - mDirectory->ConfigCurrentAsOf()),
            aWhy);
  };
  auto found = ToExpected<const QueueConfig*>(
    [&] { return platform::FindCallerQueue(aRequest, aConfig); });
  if (!Ok(found)) {
    const Failure& failure = std::get<Failure>(found);
    logRefusal(Describe(failure));
    aReply = platform::EncodeCallerFailure(failure);
    return std::nullopt;
  }
  const QueueConfig& queue = *std::get<const QueueConfig*>(found);
  ConfigFreshness freshness{ mDirectory->ConfigCurrentAsOf(), mMaxConfigAge };
  AccessDecision access =
    CheckAccess(aConfig, queue, platform::CallerKey(aRequest), freshness, now);
  std::optional<CallerReply> refusal = std::visit(AccessRefusal{}, access);
  if (refusal) {
    bool denied = std::holds_alternative<CallerUnauthorized>(*refusal);
    mKernel.GetMetrics()
      .GetCounter(denied ? "keys_denied_total" : "keys_undecided_total")
      .Add();
    logRefusal(denied ? "no valid key" : "configuration too old for keys");
    aReply = platform::EncodeCallerReply(*refusal);
    return std::nullopt;
  }
  std::string_view organisation = std::get<AccessGranted>(access).mOrganisation;
  auto decoded = ToExpected<platform::DecodedCall>([&] {
    return platform::DecodeCallerRequest(aRequest, queue, organisation);
  });
  if (!Ok(decoded)) {
    const Failure& failure = std::get<Failure>(decoded);
    logRefusal(Describe(failure));
    aReply = platform::EncodeCallerFailure(failure);
    return std::nullopt;
  }
  return std::get<platform::DecodedCall>(std::move(decoded));
}

Task<HttpReply>
EntryService::ServeCaller(const HttpRequest& aRequest, CallerState&)
{
  Clock& clock = mKernel.GetClock();
  TimePoint began = clock.Now();
  auto config = mDirectory->Config();
  if (!config) {
    LogInfo(kPart,
            "{} {} unavailable, no configuration received yet",
            aRequest.mMethod,
            aRequest.mTarget);
    co_return platform::EncodeCallerReply(ServiceUnavailable{ kRetryAfter });
  }
  HttpReply refusal;
  std::optional<platform::DecodedCall> admitted =
    Admit(aRequest, *config, refusal);
  if (!admitted) {
    co_return refusal;
  }
  platform::DecodedCall decodedCall = std::move(*admitted);
  Duration margin =
    std::min(kAnswerMargin, decodedCall.mPatience / kMarginDivisor);
  TimePoint deadline = began + decodedCall.mPatience - margin;
  CallProgress progress;
  CallerReply reply = co_await Answer(decodedCall.mCall, deadline, progress);
  LogReply(decodedCall.mCall, reply, progress, clock.Now() - began);
  co_return platform::EncodeCallerReply(reply);
}

// A queue's jobs are spread over all shards.
Task<CallerReply>
EntryService::Answer(CallerCall aCall,
                     TimePoint aDeadline,
                     CallProgress& aProgress)
{
  std::optional<FleetLayout> layout = mOwners->Layout();
  if (!layout) {
    co_return ServiceUnavailable{ kRetryAfter };
  }
  if (!std::holds_alternative<CountQueuedJobs>(aCall)) {
    std::uint32_t shard = layout->ShardOf(JobIdOf(aCall));
    CallerReply reply =
      co_await AnswerInShard(std::move(aCall), shard, aDeadline, aProgress);
    co_return reply;
  }
  QueuedJobCount total;
  for (std::uint32_t shard = 0; shard < layout->mShards; ++shard) {
    CallerReply reply =
      co_await AnswerInShard(aCall, shard, aDeadline, aProgress);
    const auto* count = std::get_if<QueuedJobCount>(&reply);
    if (count == nullptr) {
      co_return reply;
    }
    total.mJobs += count->mJobs;
  }
  co_return total;
}

Task<CallerReply>
EntryService::AnswerInShard(CallerCall aCall,
                            std::uint32_t aShard,
                            TimePoint aDeadline,
                            CallProgress& aProgress)
{
  auto config = mDirectory->Config();
  const QueueConfig* queue = config->FindQueueByName(QueueName(aCall));
  if (queue == nullptr) {
    co_return QueueNotFound{};
  }
  CellId cell = MakeCellId(*mOwners->Layout(), queue->mPool, aShard);
  EarlierCells earlier =
    co_await CallEarlierCells(aCall, cell, aDeadline, aProgress);
  if (earlier.mReply) {
    co_return *earlier.mReply;
  }
  CallerReply reply =
    co_await Route(std::move(cell), std::move(aCall), aDeadline, aProgress);
  if (auto* count = std::get_if<QueuedJobCount>(&reply)) {
    count->mJobs += earlier.mWaiting;
  }
  co_return reply;
}

void
EntryService::LogReply(const CallerCall& aCall,
                       const CallerReply& aReply,
                       const CallProgress& aProgress,
                       Duration aTook)
{
  std::string outcome = std::visit(ReplyFormatter{}, aReply);
  std::string stop;
  if (auto since = mKernel.TimeSinceStopRequest()) {
    stop = FormatText(" stop_ms={}", ToMillis(*since));
  }
  Metrics& metrics = mKernel.GetMetrics();
  metrics.GetCounter("calls_total").Add();
  if (std::holds_alternative<JobRefused>(aReply)) {
    metrics.GetCounter("calls_refused_total").Add();
  }
  metrics.GetHistogram("call").Record(aTook);
  LogInfo(kPart,
          "{} queue={} outcome={} ms={} local={} relayed={} owner_waits={} "
          "may_have_run={}{}",
          std::visit(CallFormatter{}, aCall),
          QueueName(aCall),
          outcome,
          ToMillis(aTook),
          aProgress.mLocalCalls,
          aProgress.mRelayedCalls,
          aProgress.mOwnerWaits,
          aProgress.mMayHaveRun ? 1 : 0,
          stop);
}

// Evaluated at each step of a call, since a stop may begin during the call.
TimePoint
EntryService::AnswerDeadline() const
{
  auto drainDeadline = mKernel.DrainDeadline();
  return drainDeadline ? *drainDeadline - kCloseReserve - kAnswerMargin
                       : TimePoint::max();
}

// A cell whose row hasn't been read may have jobs of any queue.
bool
EntryService::OwnersKnown(std::uint32_t aShard) const
{
  auto config = mDirectory->Config();
  FleetLayout layout = *mOwners->Layout();
  return std::all_of(config->mPools.begin(),
                     config->mPools.end(),
                     [&](const WorkerPoolConfig& aPool) {
                       return mOwners->HasBeenRead(
                         layout.CellName(aPool.mName, aShard));
                     });
}

Task<bool>
EntryService::AwaitOwners(std::uint32_t aShard, TimePoint aDeadline)
{
  Clock& clock = mKernel.GetClock();
  TimePoint deadline =
    std::min({ aDeadline, clock.Now() + kMaxOwnerWait, AnswerDeadline() });
  while (!OwnersKnown(aShard) && clock.Now() < deadline) {
    co_await WaitUntil(mOwners->Changed(), clock, deadline);
  }
  co_return OwnersKnown(aShard);
}

// The queue's earlier pools are those that this node has read of and those
// whose owners list it: after a restart a node knows one configuration only. A
// pool that no longer exists has no owner to ask.
std::vector<CellId>
EntryService::FindEarlierCells(std::string_view aQueue,
                               const CellId& aCell) const
{
  std::set<std::string> pools = mDirectory->Moves().EarlierPools(aQueue);
  std::set<std::string> holders = mOwners->CellsWithJobsOf(aQueue);
  auto config = mDirectory->Config();
  std::vector<CellId> cells;
  for (const WorkerPoolConfig& pool : config->mPools) {
    CellId cell = MakeCellId(*mOwners->Layout(), pool.mName, aCell.mShard);
    bool earlier = pools.contains(pool.mName) || holders.contains(cell.mName);
    if (earlier && cell.mName != aCell.mName) {
      cells.push_back(std::move(cell));
    }
  }
  return cells;
}

// The earlier cells of a queue keep the jobs that they accepted, so a repeated
// submission belongs to them, and their jobs count as waiting. Reads and
// cancellations are tried there once the present cell doesn't know the job.
Task<EntryService::EarlierCells>
EntryService::CallEarlierCells(CallerCall aCall,
                               CellId aCell,
                               TimePoint aDeadline,
                               CallProgress& aProgress)
{
  EarlierCells result;
  const auto* submit = std::get_if<SubmitJob>(&aCall);
  const auto* count = std::get_if<CountQueuedJobs>(&aCall);
  if (submit == nullptr && count == nullptr) {
    co_return result;
  }
  bool known = co_await AwaitOwners(aCell.mShard, aDeadline);
  if (!known) {
    result.mReply = ServiceUnavailable{ kRetryAfter };
    co_return result;
  }
  CallerCall call = aCall;
  if (submit != nullptr) {
    call =
      LocateJob{ submit->mQueue, submit->mId, mDirectory->Config()->mVersion };
  }
  std::vector<CellId> cells = FindEarlierCells(QueueName(aCall), aCell);
  for (const CellId& cell : cells) {
    CallerReply reply = co_await Route(cell, call, aDeadline, aProgress);
    if (const auto* waiting = std::get_if<QueuedJobCount>(&reply)) {
      result.mWaiting += waiting->mJobs;
    } else if (!std::holds_alternative<JobNotFound>(reply)) {
      result.mReply = reply;
      co_return result;
    }
  }
  co_return result;
}

namespace {

// An owner whose commits take long has a longer lease.
Duration
OwnerCallTimeout(const OwnerObservation* aOwner)
{
  Duration lease =
    aOwner == nullptr ? kOwnerLeaseDuration : aOwner->mRow.mLease;
  return std::clamp(kOwnerCallTimeout + lease - kOwnerLeaseDuration,
                    kOwnerCallTimeout,
                    kMaxOwnerCallTimeout);
}

} // namespace

// Makes one call to the cell's current owner.
Task<OwnerReply>
EntryService::CallOwner(std::string aCell,
                        CallerCall aCall,
                        TimePoint aDeadline,
                        CallProgress& aProgress)
{
  Clock& clock = mKernel.GetClock();
  TimePoint now = clock.Now();
  if (now >= std::min(aDeadline, AnswerDeadline() - kMinOwnerCallTime)) {
    co_return NotOwner{};
  }
  const OwnerObservation* sighting = mOwners->LastSeen(aCell);
  TimePoint deadline =
    std::min({ aDeadline, AnswerDeadline(), now + OwnerCallTimeout(sighting) });
  RelayedCall relayed{ aCell, std::move(aCall), deadline - now };
  if (mCells->Find(aCell)) {
    ++aProgress.mLocalCalls;
    OwnerReply reply = co_await mCells->Handle(std::move(relayed));
    co_return reply;
  }
  bool known = sighting != nullptr && !sighting->mRow.mReleased &&
               sighting->mRow.mIncarnation != mOwners->Self().mIncarnation;
  if (!known) {
    mOwners->Refresh();
    co_return NotOwner{};
  }
  Endpoint peer = sighting->mRow.mPeerEndpoint;
  // The owner times out slightly earlier than this node does.
  relayed.mPatience -=
    std::min(kOwnerRetryInterval, relayed.mPatience / kMarginDivisor);
  Json body = RelayedCallToJson(relayed);
  ++aProgress.mRelayedCalls;
  auto answer = co_await mRelay->Call(peer, "job", std::move(body), deadline);
  if (!Ok(answer)) {
    const Failure& failure = std::get<Failure>(answer);
    LogWarn(kPart,
            "owner of {} at {} gave no answer: {}",
            aCell,
            ToString(peer),
            FailureName(failure));
    aProgress.mMayHaveRun =
      aProgress.mMayHaveRun || !std::holds_alternative<ConnectFailure>(failure);
    mOwners->Refresh();
    co_return NotOwner{};
  }
  auto reply = ToExpected<OwnerReply>(
    [&] { return OwnerReplyFromJson(std::get<Json>(answer)); });
  if (!Ok(reply)) {
    aProgress.mMayHaveRun = true;
    co_return NotOwner{};
  }
  co_return std::get<OwnerReply>(std::move(reply));
}

// Retries until an owner settles the call, which is idempotent. A call that an
// owner may have handled can't be reported as "not run", so it ends as
// unsettled.
Task<CallerReply>
EntryService::Route(CellId aCell,
                    CallerCall aCall,
                    TimePoint aDeadline,
                    CallProgress& aProgress)
{
  Clock& clock = mKernel.GetClock();
  TimePoint waitDeadline = std::min(aDeadline, clock.Now() + kMaxOwnerWait);
  auto ownerDeadline = [&] {
    return std::min(waitDeadline, AnswerDeadline() - kMinOwnerCallTime);
  };
  Duration pause = kOwnerRetryInterval;
  bool again = true;
  while (again) {
    OwnerReply reply =
      co_await CallOwner(aCell.mName, aCall, aDeadline, aProgress);
    const auto* answer = std::get_if<CallerReply>(&reply);
    bool unknown =
      answer != nullptr && std::holds_alternative<JobNotFound>(*answer);
    if (unknown && !std::holds_alternative<LocateJob>(aCall)) {
      CallerReply otherReply =
        co_await CallOtherOwners(aCell, aCall, aDeadline, aProgress);
      co_return otherReply;
    }
    if (answer != nullptr) {
      bool unsettled = std::holds_alternative<CallOutcomeUnknown>(*answer);
      bool unavailable = std::holds_alternative<ServiceUnavailable>(*answer);
      bool refused = unavailable || std::holds_alternative<JobRefused>(*answer);
      aProgress.mMayHaveRun = aProgress.mMayHaveRun || unsettled;
      bool settled = !unsettled && !(refused && aProgress.mMayHaveRun);
      bool wait = unavailable && clock.Now() < ownerDeadline();
      if (settled && !wait) {
        co_return *answer;
      }
    }
    again = clock.Now() < ownerDeadline();
    if (again) {
      TimePoint retryAt = std::min(ownerDeadline(), clock.Now() + pause);
      const OwnerObservation* owner = mOwners->LastSeen(aCell.mName);
      bool slowStore =
        owner != nullptr && owner->mRow.mLease > kOwnerLeaseDuration;
      pause = slowStore ? std::min(2 * pause, kMaxOwnerRetryInterval) : pause;
      ++aProgress.mOwnerWaits;
      co_await WaitUntil(mOwners->Changed(), clock, retryAt);
    }
  }
  if (aProgress.mMayHaveRun) {
    co_return CallOutcomeUnknown{};
  }
  co_return ServiceUnavailable{ kRetryAfter };
}

// An earlier configuration may have sent the queue's jobs to another pool; such
// a job stays in the cell that accepted it.
Task<CallerReply>
EntryService::CallOtherOwners(CellId aCell,
                              CallerCall aCall,
                              TimePoint aDeadline,
                              CallProgress& aProgress)
{
  std::set<std::string> cells;
  FleetLayout layout = *mOwners->Layout();
  if (auto config = mDirectory->Config()) {
    for (const QueueConfig& queue : config->mQueues) {
      cells.insert(layout.CellName(queue.mPool, aCell.mShard));
    }
    // A pool without a queue still has the jobs that it accepted.
    for (const WorkerPoolConfig& pool : config->mPools) {
      std::string cell = layout.CellName(pool.mName, aCell.mShard);
      if (mOwners->LastSeen(cell) != nullptr || !mOwners->HasBeenRead(cell)) {
        cells.insert(std::move(cell));
      }
    }
  }
  cells.erase(aCell.mName);
  for (const std::string& cell : cells) {
    OwnerReply reply = co_await CallOwner(cell, aCall, aDeadline, aProgress);
    const auto* answer = std::get_if<CallerReply>(&reply);
    bool unknown =
      answer != nullptr && std::holds_alternative<JobNotFound>(*answer);
    if (unknown) {
      continue;
    }
    if (answer == nullptr ||
        std::holds_alternative<ServiceUnavailable>(*answer)) {
      // The job may be there, so it can't be reported as unknown.
      co_return ServiceUnavailable{ kRetryAfter };
    }
    co_return *answer;
  }
  co_return JobNotFound{};
}

} // namespace buckthornshunt
