#include "services/front_service.h"

#include "kernel/log.h"
#include "services/config_service.h"
#include "services/control_service.h"
#include "services/dispatch_service.h"
#include "services/front_replies.h"
#include "services/job_service.h"
#include "services/member_service.h"
#include "services/peer_service.h"
#include "services/table_service.h"
#include "services/wave_service.h"
#include "wire/api_codec.h"

#include <algorithm>
#include <array>

namespace buckthornshunt {

namespace {

constexpr std::string_view kPart = "front";
constexpr Duration kDefaultTimeout = std::chrono::seconds(10);
constexpr Duration kOperatorTimeout = std::chrono::seconds(5);

/// Time for the load balancer to notice that this node is unhealthy.
constexpr Duration kBalancerNoticeDelay = std::chrono::seconds(1);

constexpr int kStatusUnavailable = 503;
constexpr Duration kTicketRetryAfter = std::chrono::seconds(2);

} // namespace

/// A route of the interface; "*" matches one path segment.
struct FrontService::Route
{
  std::string_view mMethod;
  std::string_view mPattern;
  Task<HttpReply> (FrontService::*mHandler)(const HttpRequest&, CallerState&);
};

FrontService::FrontService(Kernel& aKernel, Endpoint aListen)
  : mKernel(aKernel)
  , mListen(std::move(aListen))
{
}

FrontService::~FrontService() = default;

std::span<const FrontService::Route>
FrontService::Routes()
{
  static constexpr std::array<Route, 16> kRoutes = { {
    { "POST", "/v1/pools/*/operations/*", &FrontService::ServeRequest },
    { "POST", "/v1/pools/*/operations/*/jobs", &FrontService::SubmitJob },
    { "GET", "/v1/jobs/*/*", &FrontService::ShowJob },
    { "DELETE", "/v1/jobs/*/*", &FrontService::CancelJob },
    { "POST", "/v1/tickets", &FrontService::IssueTicket },
    { "GET", "/healthz", &FrontService::ShowHealth },
    { "GET", "/metrics", &FrontService::ShowMetrics },
    { "GET", "/v1/status", &FrontService::ShowStatus },
    { "GET", "/v1/traces/*", &FrontService::ShowTrace },
    { "GET", "/v1/cost", &FrontService::ShowCost },
    { "GET", "/v1/config", &FrontService::ShowConfig },
    { "POST", "/v1/config", &FrontService::ApplyConfig },
    { "GET", "/v1/maintenance", &FrontService::ShowWave },
    { "POST", "/v1/maintenance/start", &FrontService::StartWave },
    { "POST", "/v1/maintenance/pause", &FrontService::PauseWave },
    { "POST", "/v1/vms/*/move", &FrontService::MoveVm },
  } };
  return kRoutes;
}

leaf::result<void>
FrontService::Start()
{
  BOOST_LEAF_ASSIGN(mDispatch,
                    mKernel.Find<DispatchService>(DispatchService::kName));
  BOOST_LEAF_ASSIGN(mJobs, mKernel.Find<JobService>(JobService::kName));
  BOOST_LEAF_ASSIGN(mConfig, mKernel.Find<ConfigService>(ConfigService::kName));
  BOOST_LEAF_ASSIGN(mControl,
                    mKernel.Find<ControlService>(ControlService::kName));
  BOOST_LEAF_ASSIGN(mMembers,
                    mKernel.Find<MemberService>(MemberService::kName));
  BOOST_LEAF_ASSIGN(mPeers, mKernel.Find<PeerService>(PeerService::kName));
  BOOST_LEAF_ASSIGN(mWaves, mKernel.Find<WaveService>(WaveService::kName));
  BOOST_LEAF_ASSIGN(mTable, mKernel.Find<TableService>(TableService::kName));
  mServer = std::make_unique<HttpServer>(
    mKernel.Context(),
    mKernel.GetClock(),
    kPart,
    HttpLimits{},
    [this](const HttpRequest& aRequest, CallerState& aCaller) {
      return HandleRequest(aRequest, aCaller);
    });
  BOOST_LEAF_CHECK(mServer->Listen(mListen));
  LogInfo(kPart, "listening on port {}", mServer->Port());
  return {};
}

std::uint16_t
FrontService::Port() const
{
  return mServer->Port();
}

Task<void>
FrontService::Stop()
{
  mStopping = true;
  co_await mKernel.GetClock().Sleep(kBalancerNoticeDelay);
  mServer->StopAccepting();
  co_await mServer->Drained();
}

TimePoint
FrontService::OperatorDeadline()
{
  return mKernel.GetClock().Now() + kOperatorTimeout;
}

namespace {

bool
Matches(std::string_view aPattern, std::string_view aPath)
{
  while (!aPattern.empty() && !aPath.empty()) {
    if (aPattern.front() == '*') {
      aPattern.remove_prefix(1);
      std::size_t end = std::min(aPath.find('/'), aPath.size());
      if (end == 0) {
        return false;
      }
      aPath.remove_prefix(end);
    } else if (aPattern.front() == aPath.front()) {
      aPattern.remove_prefix(1);
      aPath.remove_prefix(1);
    } else {
      return false;
    }
  }
  return aPattern.empty() && aPath.empty();
}

} // namespace

Task<HttpReply>
FrontService::HandleRequest(const HttpRequest& aRequest, CallerState& aCaller)
{
  std::string_view path = TargetPath(aRequest.mTarget);
  for (const Route& route : Routes()) {
    if (route.mMethod == aRequest.mMethod && Matches(route.mPattern, path)) {
      HttpReply reply = co_await (this->*route.mHandler)(aRequest, aCaller);
      co_return reply;
    }
  }
  co_return EncodeError(
    Failure(NotFound{ aRequest.mMethod + " " + std::string(path) }));
}

Task<HttpReply>
FrontService::ServeRequest(const HttpRequest& aRequest, CallerState& aCaller)
{
  auto decoded =
    ToExpected<Request>([&] { return DecodeCallerRequest(aRequest); });
  if (!Ok(decoded)) {
    co_return EncodeError(std::get<Failure>(decoded));
  }
  auto allowed = ToExpected<Duration>([&] { return DecodeDeadline(aRequest); });
  if (!Ok(allowed)) {
    co_return EncodeError(std::get<Failure>(allowed));
  }
  Request request = std::get<Request>(std::move(decoded));
  Tracer& tracer = mKernel.GetTracer();
  request.mTraceId = ParseId(FindField(aRequest.mFields, kTraceField));
  if (request.mTraceId == 0) {
    request.mTraceId = tracer.NewId();
  }
  request.mSpanId = tracer.NewId();

  Duration timeout = std::get<Duration>(allowed);
  if (timeout == Duration::zero()) {
    timeout = DefaultTimeout(request);
  }
  TimePoint from = mKernel.GetClock().Now();
  request.mDeadline = from + timeout;
  Outcome outcome = NotRun{ NotRunReason::NoCapacity, kTicketRetryAfter };
  // Non-idempotent work without a key gets a ticket, with which its caller can
  // ask again if the outcome is unknown.
  bool issuedTicket =
    request.mKey.empty() && mDispatch->RequiresAtMostOnce(request);
  if (issuedTicket) {
    std::optional<Ticket> ticket = mDispatch->IssueTicket();
    request.mKey = ticket ? ToString(*ticket) : std::string();
  }
  if (!issuedTicket || !request.mKey.empty()) {
    outcome =
      co_await mDispatch->Serve(request, aCaller, RequestOrigin::Caller);
  }
  if (issuedTicket && !std::holds_alternative<Unknown>(outcome)) {
    mDispatch->ForgetTicket(request.mKey);
  }
  Duration length = mKernel.GetClock().Now() - from;
  mKernel.GetMetrics().GetHistogram("request").Record(length);
  WallTime start{ mKernel.GetClock().WallNow().mMillis - ToMillis(length) };
  std::string note = request.mPool + "/" + request.mOperation;
  tracer.Record(
    { request.mTraceId, request.mSpanId, 0, "front", {}, start, length, note });
  HttpReply reply = EncodeOutcome(outcome);
  reply.mFields.emplace_back(kTraceField, FormatId(request.mTraceId));
  reply.mFields.emplace_back(kIdempotencyKeyField, request.mKey);
  co_return reply;
}

Duration
FrontService::DefaultTimeout(const Request& aRequest) const
{
  if (!mConfig->Current()) {
    return kDefaultTimeout;
  }
  const auto& pools = mConfig->Current()->mPools;
  auto pool = pools.find(aRequest.mPool);
  if (pool == pools.end()) {
    return kDefaultTimeout;
  }
  auto operation = pool->second.mOperations.find(aRequest.mOperation);
  bool known = operation != pool->second.mOperations.end();
  return known ? operation->second.mDefaultTimeout : kDefaultTimeout;
}

Task<HttpReply>
FrontService::SubmitJob(const HttpRequest& aRequest, CallerState&)
{
  HttpRequest plain = aRequest;
  constexpr std::string_view kSuffix = "/jobs";
  plain.mTarget.resize(TargetPath(plain.mTarget).size() - kSuffix.size());
  auto decoded =
    ToExpected<Request>([&] { return DecodeCallerRequest(plain); });
  if (!Ok(decoded)) {
    co_return EncodeError(std::get<Failure>(decoded));
  }
  Request request = std::get<Request>(std::move(decoded));
  if (request.mKey.empty()) {
    co_return EncodeError(Failure(MessageFailure{
      MessageFault::MissingField, std::string(kIdempotencyKeyField) }));
  }
  const std::optional<SiteConfig>& config = mConfig->Current();
  if (!config || !config->mPools.contains(request.mPool)) {
    co_return EncodeOutcome(
      NotRun{ NotRunReason::UnknownPool, kTicketRetryAfter });
  }
  auto name = co_await mJobs->Submit(std::move(request), OperatorDeadline());
  if (!Ok(name)) {
    co_return EncodeError(std::get<Failure>(name));
  }
  co_return JsonReply({ { "job", std::get<std::string>(name) } },
                      kStatusAccepted);
}

namespace {

// "/v1/jobs/DATA-CENTRE/KEY"
std::string
JobOfTarget(std::string_view aTarget)
{
  constexpr std::size_t kDataCentrePart = 2;
  constexpr std::size_t kKeyPart = 3;
  std::vector<std::string> parts = SplitPath(TargetPath(aTarget));
  return JobKey(parts[kDataCentrePart], parts[kKeyPart]);
}

HttpReply
JobReply(const Expected<JobView>& aView)
{
  if (!Ok(aView)) {
    return EncodeError(std::get<Failure>(aView));
  }
  const JobView& view = std::get<JobView>(aView);
  if (view.mJob.mState == JobState::Done) {
    HttpReply reply = MakeReply(kStatusOk, kBytesType, view.mAnswer);
    reply.mFields.emplace_back(kJobStateField, ToString(view.mJob.mState));
    return reply;
  }
  Json json{ { "job", view.mName },
             { "state", ToString(view.mJob.mState) },
             { "tries", view.mJob.mTries } };
  if (view.mJob.mClaim) {
    json["vm"] = view.mJob.mClaim->mClaim.mVm;
  }
  HttpReply reply = JsonReply(json, kStatusAccepted);
  reply.mFields.emplace_back(kJobStateField, ToString(view.mJob.mState));
  return reply;
}

} // namespace

Task<HttpReply>
FrontService::ShowJob(const HttpRequest& aRequest, CallerState&)
{
  auto view =
    co_await mJobs->Find(JobOfTarget(aRequest.mTarget), OperatorDeadline());
  co_return JobReply(view);
}

Task<HttpReply>
FrontService::CancelJob(const HttpRequest& aRequest, CallerState&)
{
  auto view =
    co_await mJobs->Cancel(JobOfTarget(aRequest.mTarget), OperatorDeadline());
  co_return JobReply(view);
}

Task<HttpReply>
FrontService::IssueTicket(const HttpRequest&, CallerState&)
{
  std::optional<Ticket> ticket = mDispatch->IssueTicket();
  if (!ticket) {
    co_return EncodeOutcome(
      NotRun{ NotRunReason::Stopping, kTicketRetryAfter });
  }
  co_return JsonReply({ { "ticket", ToString(*ticket) } });
}

Task<HttpReply>
FrontService::ShowHealth(const HttpRequest&, CallerState&)
{
  bool healthy = !mStopping && mDispatch->Ready();
  co_return JsonReply({ { "ready", healthy } },
                      healthy ? kStatusOk : kStatusUnavailable);
}

Task<HttpReply>
FrontService::ShowMetrics(const HttpRequest&, CallerState&)
{
  co_return MakeReply(
    kStatusOk, "text/plain; version=0.0.4", mKernel.GetMetrics().Render());
}

} // namespace buckthornshunt
