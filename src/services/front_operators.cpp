// FrontService: the operators' endpoints for status, traces, cost,
// configuration, maintenance and moves.

#include "services/front_service.h"

#include "decide/cost.h"
#include "services/config_service.h"
#include "services/control_service.h"
#include "services/dispatch_service.h"
#include "services/front_replies.h"
#include "services/member_service.h"
#include "services/peer_service.h"
#include "services/table_service.h"
#include "services/wave_service.h"
#include "wire/api_codec.h"
#include "wire/peer_codec.h"

#include <algorithm>

namespace buckthornshunt {

namespace {

constexpr Duration kTraceTimeout = std::chrono::seconds(1);

} // namespace

namespace {

Json
PoolsToJson(std::span<const PoolStats> aPools)
{
  Json pools = Json::object();
  for (const PoolStats& pool : aPools) {
    pools[pool.mPool] = {
      { "vms", pool.mServers },       { "usable", pool.mUsable },
      { "waiting", pool.mWaiting },   { "in_flight", pool.mInFlight },
      { "long", pool.mLongInFlight }, { "slots", pool.mSlots }
    };
  }
  return pools;
}

Json
StandingsToJson(std::span<const PoolAvailability> aStandings)
{
  Json standings = Json::object();
  for (const PoolAvailability& standing : aStandings) {
    standings[standing.mPool] = { { "needed", standing.mNeeded },
                                  { "serving", standing.mServing },
                                  { "worst_loss", standing.mWorstCaseLoss },
                                  { "arriving", standing.mArriving },
                                  { "margin", standing.Margin() } };
  }
  return standings;
}

Json
PeersToJson(std::span<const PeerStatus> aPeers)
{
  Json peers = Json::array();
  for (const PeerStatus& peer : aPeers) {
    peers.push_back({ { "node", peer.mNode },
                      { "data_centre", peer.mDataCentre },
                      { "silent_ms", ToMillis(peer.mSilentFor) },
                      { "table_revision", ToNumber(peer.mPosition) } });
  }
  return peers;
}

Json
VmsToJson(std::span<const FleetVm> aFleet)
{
  Json vms = Json::object();
  for (const FleetVm& vm : aFleet) {
    vms[vm.mListing.mVm] = {
      { "rack", vm.mListing.mRack },
      { "pool", vm.mRow.mPool },
      { "state", vm.mOwned ? ToString(vm.mRow.mState) : "unowned" },
      { "next_pool", vm.mRow.mNextPool },
      { "epoch", ToNumber(vm.mRow.mEpoch) },
      { "since_ms", vm.mRow.mStateSince.mMillis }
    };
  }
  return vms;
}

} // namespace

Task<HttpReply>
FrontService::ShowStatus(const HttpRequest&, CallerState&)
{
  const NodeIdentity& self = mMembers->Self();
  const std::optional<SiteConfig>& config = mConfig->Current();
  Json status{ { "node", self.mNode },
               { "data_centre", self.mDataCentre },
               { "incarnation", FormatId(ToNumber(self.mIncarnation)) },
               { "ready", mDispatch->Ready() },
               { "registered", mMembers->Registered() },
               { "platform_reachable", mTable->PlatformReachable() },
               { "table_revision", ToNumber(mTable->View().Position()) },
               { "leads", mControl->IsLeader() },
               { "active_requests", mDispatch->ActiveRequests() },
               { "config_version", config ? ToNumber(config->mVersion) : 0 },
               { "config_since_ms", mConfig->InForceSince().mMillis } };
  status["pools"] = PoolsToJson(mDispatch->Stats());
  status["budgets"] = StandingsToJson(mControl->Standings());
  status["vms"] = VmsToJson(mControl->Fleet());
  status["peers"] = PeersToJson(mPeers->Status());
  co_return JsonReply(status);
}

Task<HttpReply>
FrontService::ShowTrace(const HttpRequest& aRequest, CallerState&)
{
  std::uint64_t trace = ParseId(SplitPath(TargetPath(aRequest.mTarget)).back());
  if (trace == 0) {
    co_return EncodeError(
      Failure(MessageFailure{ MessageFault::Malformed, "trace" }));
  }
  TimePoint deadline = mKernel.GetClock().Now() + kTraceTimeout;
  std::vector<Span> spans = co_await mPeers->CollectSpans(trace, deadline);
  for (Span& span : mKernel.GetTracer().Find(trace)) {
    spans.push_back(std::move(span));
  }
  std::stable_sort(
    spans.begin(), spans.end(), [](const Span& aOne, const Span& aTwo) {
      return aOne.mStart < aTwo.mStart;
    });
  co_return JsonReply(
    { { "trace", FormatId(trace) }, { "spans", SpansToJson(spans) } });
}

namespace {

// Parses a time in the query, in milliseconds since the Unix epoch.
leaf::result<WallTime>
ParseTimeParameter(std::string_view aTarget,
                   const char* aName,
                   WallTime aDefault)
{
  std::string text = QueryValue(aTarget, aName);
  if (text.empty()) {
    return aDefault;
  }
  BOOST_LEAF_AUTO(json, ParseJson(text));
  if (!json.is_number_integer()) {
    return Fail(MessageFailure{ MessageFault::WrongType, aName });
  }
  return WallTime{ json.get<std::int64_t>() };
}

} // namespace

Task<HttpReply>
FrontService::ShowCost(const HttpRequest& aRequest, CallerState&)
{
  constexpr std::int64_t kDayMillis = 24LL * 3600 * 1000;
  WallTime now = mKernel.GetClock().WallNow();
  auto to = ToExpected<WallTime>(
    [&] { return ParseTimeParameter(aRequest.mTarget, "to", now); });
  WallTime dayAgo{ now.mMillis - kDayMillis };
  auto from = ToExpected<WallTime>(
    [&] { return ParseTimeParameter(aRequest.mTarget, "from", dayAgo); });
  if (!Ok(from) || !Ok(to)) {
    co_return EncodeError(std::get<Failure>(Ok(from) ? to : from));
  }
  auto ledger = co_await mControl->ReadLedger(OperatorDeadline());
  if (!Ok(ledger)) {
    co_return EncodeError(std::get<Failure>(ledger));
  }
  const std::optional<SiteConfig>& config = mConfig->Current();
  if (!config) {
    co_return EncodeError(Failure(NotFound{ "configuration" }));
  }
  Json lines = Json::array();
  for (const CostLine& line :
       ComputeCost(std::get<std::vector<LedgerEntry>>(ledger),
                   *config,
                   std::get<WallTime>(from),
                   std::get<WallTime>(to))) {
    lines.push_back({ { "pool", line.mPool },
                      { "use", ToString(line.mUse) },
                      { "vm_seconds", line.mVmSeconds },
                      { "cents", line.mCents } });
  }
  co_return JsonReply({ { "site", config->mSite },
                        { "from_ms", std::get<WallTime>(from).mMillis },
                        { "to_ms", std::get<WallTime>(to).mMillis },
                        { "lines", std::move(lines) } });
}

Task<HttpReply>
FrontService::ShowConfig(const HttpRequest&, CallerState&)
{
  const std::optional<SiteConfig>& config = mConfig->Current();
  if (!config) {
    co_return JsonReply({ { "version", 0 } });
  }
  Json json = ConfigSourceToJson(mConfig->Source());
  json["version"] = ToNumber(config->mVersion);
  co_return JsonReply(json);
}

namespace {

struct ApplyRequest
{
  ConfigSource mSource;
  ConfigVersion mParent{};
};

leaf::result<ApplyRequest>
DecodeApply(std::string_view aBody)
{
  ApplyRequest apply;
  BOOST_LEAF_AUTO(json, ParseJson(aBody));
  BOOST_LEAF_AUTO(parent, ReadUnsigned(json, "parent"));
  apply.mParent = ConfigVersion(parent);
  BOOST_LEAF_ASSIGN(apply.mSource, ConfigSourceFromJson(json));
  return apply;
}

} // namespace

Task<HttpReply>
FrontService::ApplyConfig(const HttpRequest& aRequest, CallerState&)
{
  auto apply =
    ToExpected<ApplyRequest>([&] { return DecodeApply(aRequest.mBody); });
  if (!Ok(apply)) {
    co_return EncodeError(std::get<Failure>(apply));
  }
  ApplyRequest wanted = std::get<ApplyRequest>(std::move(apply));
  auto version = co_await mConfig->Accept(
    std::move(wanted.mSource), wanted.mParent, OperatorDeadline());
  if (!Ok(version)) {
    co_return EncodeError(std::get<Failure>(version));
  }
  co_return JsonReply(
    { { "version", ToNumber(std::get<ConfigVersion>(version)) } });
}

namespace {

HttpReply
WaveReply(const Expected<Wave>& aWave)
{
  if (!Ok(aWave)) {
    return EncodeError(std::get<Failure>(aWave));
  }
  const Wave& wave = std::get<Wave>(aWave);
  return JsonReply(
    { { "wave", wave.mNumber }, { "state", ToString(wave.mState) } },
    kStatusAccepted);
}

} // namespace

Task<HttpReply>
FrontService::ShowWave(const HttpRequest&, CallerState&)
{
  WaveView view = mWaves->View();
  co_return JsonReply({ { "wave", view.mWave.mNumber },
                        { "state", ToString(view.mWave.mState) },
                        { "reason", view.mWave.mReason },
                        { "started_ms", view.mWave.mStarted.mMillis },
                        { "done", view.mDone },
                        { "under_way", view.mUnderWay },
                        { "to_do", view.mToDo },
                        { "days_until_overdue", view.mDaysUntilOverdue } });
}

Task<HttpReply>
FrontService::StartWave(const HttpRequest&, CallerState&)
{
  auto wave = co_await mWaves->Begin(OperatorDeadline());
  co_return WaveReply(wave);
}

Task<HttpReply>
FrontService::PauseWave(const HttpRequest&, CallerState&)
{
  auto wave = co_await mWaves->Pause(OperatorDeadline());
  co_return WaveReply(wave);
}

Task<HttpReply>
FrontService::MoveVm(const HttpRequest& aRequest, CallerState&)
{
  constexpr std::size_t kVmPart = 2;
  std::string vm = SplitPath(TargetPath(aRequest.mTarget))[kVmPart];
  std::string pool = QueryValue(aRequest.mTarget, "pool");
  if (pool.empty()) {
    co_return EncodeError(
      Failure(MessageFailure{ MessageFault::MissingField, "pool" }));
  }
  auto row =
    co_await mControl->Move(std::move(vm), std::move(pool), OperatorDeadline());
  if (!Ok(row)) {
    co_return EncodeError(std::get<Failure>(row));
  }
  const VmOwnership& moved = std::get<VmOwnership>(row);
  co_return JsonReply({ { "vm", moved.mVm },
                        { "pool", moved.mPool },
                        { "next_pool", moved.mNextPool },
                        { "epoch", ToNumber(moved.mEpoch) } },
                      kStatusAccepted);
}

} // namespace buckthornshunt
