#include "services/peer_service.h"

#include "kernel/caller_state.h"
#include "kernel/log.h"
#include "services/dispatch_service.h"
#include "services/member_service.h"
#include "services/peer.h"
#include "services/table_service.h"
#include "wire/peer_codec.h"
#include "wire/row_codec.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace buckthornshunt {

using asio::ip::tcp;

namespace {

constexpr Duration kDialRetryInterval = std::chrono::milliseconds(500);
/// Rows that were sent but not acknowledged are sent again after this.
constexpr Duration kResendInterval = std::chrono::seconds(1);
constexpr Duration kGoodbyeDelay = std::chrono::milliseconds(200);

} // namespace

PeerService::PeerService(Kernel& aKernel, PeerSettings aSettings)
  : mKernel(aKernel)
  , mSettings(std::move(aSettings))
  , mAcceptor(aKernel.Context())
  , mChanged(aKernel.Context())
  , mTasks(aKernel.Context(), &aKernel.Groups())
{
}

PeerService::~PeerService() = default;

leaf::result<void>
PeerService::Start()
{
  BOOST_LEAF_ASSIGN(mTable, mKernel.Find<TableService>(TableService::kName));
  BOOST_LEAF_ASSIGN(mMembers,
                    mKernel.Find<MemberService>(MemberService::kName));
  BOOST_LEAF_ASSIGN(mDispatch,
                    mKernel.Find<DispatchService>(DispatchService::kName));
  if (std::holds_alternative<TcpConnector>(mSettings.mConnector)) {
    boost::system::error_code ec;
    auto address = asio::ip::make_address(mSettings.mListen.mHost, ec);
    tcp::endpoint endpoint(address, mSettings.mListen.mPort);
    mAcceptor.open(endpoint.protocol(), ec);
    mAcceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    mAcceptor.bind(endpoint, ec);
    if (!ec) {
      mAcceptor.listen(tcp::acceptor::max_listen_connections, ec);
    }
    if (ec) {
      return leaf::new_error(Failure(ListenFailure{ mSettings.mListen }));
    }
    mTasks.Spawn("peers listen", Listen());
  }
  mTasks.Spawn("peers dial", MaintainLinks());
  mTasks.Spawn("peers push", PushRows());
  return {};
}

std::uint16_t
PeerService::Port() const
{
  return mAcceptor.is_open() ? mAcceptor.local_endpoint().port() : 0;
}

/// Handles one message from a peer.
struct PeerService::MessageHandler
{
  PeerService& mService;
  const PeerPtr& mPeer;

  void operator()(Hello& aMessage) const
  {
    mPeer->mIdentity = std::move(aMessage);
    if (!mService.AddPeer(mPeer)) {
      mPeer->Close();
    }
  }
  void operator()(Ping& aMessage) const
  {
    mPeer->mPosition = std::max(mPeer->mPosition, aMessage.mPosition);
    mService.SendMissingRows(*mPeer);
  }
  void operator()(FeedRows& aMessage) const
  {
    mService.mTable->Merge(aMessage.mBatch);
  }
  void operator()(PoolCapacity& aMessage) const
  {
    mPeer->mPoolHasCapacity[aMessage.mPool] = aMessage.mHasCapacity;
  }
  void operator()(ForwardRequest& aMessage) const
  {
    mService.mTasks.Spawn("forward",
                          mService.ServeForward(mPeer, std::move(aMessage)));
  }
  void operator()(ForwardResponse& aMessage) const
  {
    auto it = mPeer->mPendingForwards.find(aMessage.mCallId);
    if (it != mPeer->mPendingForwards.end()) {
      it->second->mOutcome = std::move(aMessage.mOutcome);
      it->second->mDone.NotifyAll();
    }
  }
  void operator()(ForwardCancel& aMessage) const
  {
    auto it = mPeer->mServedRequests.find(aMessage.mCallId);
    if (it != mPeer->mServedRequests.end()) {
      it->second->MarkDisconnected();
    }
  }
  void operator()(TraceRequest& aMessage) const
  {
    std::vector<Span> spans =
      mService.mKernel.GetTracer().Find(aMessage.mTraceId);
    mService.Send(*mPeer, TraceResponse{ aMessage.mCallId, std::move(spans) });
  }
  void operator()(TraceResponse& aMessage) const
  {
    auto it = mPeer->mPendingTraces.find(aMessage.mCallId);
    if (it != mPeer->mPendingTraces.end()) {
      std::move(aMessage.mSpans.begin(),
                aMessage.mSpans.end(),
                std::back_inserter(*it->second));
      mPeer->mPendingTraces.erase(it);
    }
  }
  void operator()(Goodbye&) const
  {
    mPeer->mLeaving = true;
    mService.mChanged.NotifyAll();
  }
};

void
PeerService::HandleMessage(const PeerPtr& aPeer, PeerMessage aMessage)
{
  std::visit(MessageHandler{ *this, aPeer }, aMessage);
}

void
PeerService::SendMissingRows(Peer& aPeer)
{
  TimePoint now = mKernel.GetClock().Now();
  bool resend = now - aPeer.mSentAt > kResendInterval;
  Revision from =
    resend ? aPeer.mPosition : std::max(aPeer.mPosition, aPeer.mSentUpTo);
  if (from >= mTable->View().Position()) {
    return;
  }
  RowBatch batch = mTable->View().Since(from);
  aPeer.mSentUpTo = batch.mUpTo;
  aPeer.mSentAt = now;
  if (!batch.mRows.empty()) {
    Send(aPeer, FeedRows{ std::move(batch) });
  }
}

// Sends new rows to the peers at once; pings only reveal lost ones.
Task<void>
PeerService::PushRows()
{
  auto watch = mTable->Watch(kControlPrefix);
  while (true) {
    co_await watch->Next();
    for (auto& [name, peer] : mPeers) {
      SendMissingRows(*peer);
    }
  }
}

const PeerService::Peer*
PeerService::Find(std::string_view aNode) const
{
  auto it = mPeers.find(aNode);
  return it == mPeers.end() || it->second->mClosed ? nullptr : it->second.get();
}

bool
PeerService::IsLive(std::string_view aNode) const
{
  const Peer* peer = Find(aNode);
  return peer != nullptr && !peer->mLeaving;
}

std::vector<PeerStatus>
PeerService::Status() const
{
  std::vector<PeerStatus> all;
  TimePoint now = mKernel.GetClock().Now();
  for (const auto& [name, peer] : mPeers) {
    all.push_back({ name,
                    peer->mIdentity.mDataCentre,
                    now - peer->mLastHeard,
                    peer->mPosition });
  }
  return all;
}

std::string
PeerService::FindPeerWithCapacity(std::string_view aDataCentre,
                                  std::string_view aPool) const
{
  const std::string& own = mMembers->Self().mDataCentre;
  std::vector<std::string_view> found;
  for (const auto& [name, peer] : mPeers) {
    auto room = peer->mPoolHasCapacity.find(aPool);
    bool wanted = aDataCentre.empty()
                    ? peer->mIdentity.mDataCentre != own
                    : peer->mIdentity.mDataCentre == aDataCentre;
    if (wanted && IsLive(name) && room != peer->mPoolHasCapacity.end() &&
        room->second) {
      found.push_back(name);
    }
  }
  return found.empty() ? std::string()
                       : std::string(found[mKernel.Random() % found.size()]);
}

std::string
PeerService::FindPeerIn(std::string_view aDataCentre) const
{
  for (const auto& [name, peer] : mPeers) {
    if (peer->mIdentity.mDataCentre == aDataCentre && IsLive(name)) {
      return name;
    }
  }
  return {};
}

Task<Outcome>
PeerService::Forward(std::string aNode, Request aRequest)
{
  Clock& clock = mKernel.GetClock();
  auto it = mPeers.find(aNode);
  if (it == mPeers.end() || it->second->mClosed) {
    co_return NotRun{ NotRunReason::NoCapacity, kDialRetryInterval };
  }
  PeerPtr peer = it->second;
  std::uint64_t call = mNextCall++;
  auto pending = std::make_shared<PendingForward>(mKernel.Context());
  peer->mPendingForwards[call] = pending;
  TimePoint deadline = aRequest.mDeadline;
  Duration left = deadline - clock.Now();
  Send(*peer, ForwardRequest{ call, std::move(aRequest), left });
  Watchdog deadlineTimer(
    clock, deadline, [pending] { pending->mDone.NotifyAll(); });
  while (!pending->mOutcome && !peer->mClosed && clock.Now() < deadline) {
    co_await pending->mDone.Wait();
  }
  peer->mPendingForwards.erase(call);
  if (!pending->mOutcome) {
    Send(*peer, ForwardCancel{ call });
    co_return Unknown{};
  }
  co_return std::move(*pending->mOutcome);
}

// Serves a peer's request within this data centre. The clocks of the two nodes
// differ, so the message carries the time left and not the deadline.
Task<void>
PeerService::ServeForward(PeerPtr aPeer, ForwardRequest aMessage)
{
  Request request = std::move(aMessage.mRequest);
  request.mDeadline = mKernel.GetClock().Now() + aMessage.mTimeLeft;
  auto caller = std::make_shared<CallerState>();
  aPeer->mServedRequests[aMessage.mCallId] = caller;
  Outcome outcome =
    co_await mDispatch->Serve(request, *caller, RequestOrigin::Peer);
  aPeer->mServedRequests.erase(aMessage.mCallId);
  if (!aPeer->mClosed) {
    Send(*aPeer, ForwardResponse{ aMessage.mCallId, std::move(outcome) });
  }
}

Task<std::vector<Span>>
PeerService::CollectSpans(std::uint64_t aTrace, TimePoint aDeadline)
{
  constexpr Duration kPollInterval = std::chrono::milliseconds(20);
  Clock& clock = mKernel.GetClock();
  auto spans = std::make_shared<std::vector<Span>>();
  std::vector<std::pair<PeerPtr, std::uint64_t>> asked;
  for (auto& [name, peer] : mPeers) {
    std::uint64_t call = mNextCall++;
    peer->mPendingTraces[call] = spans;
    Send(*peer, TraceRequest{ call, aTrace });
    asked.emplace_back(peer, call);
  }
  auto waiting = [](const auto& aAsked) {
    return aAsked.first->mPendingTraces.contains(aAsked.second) &&
           !aAsked.first->mClosed;
  };
  while (clock.Now() < aDeadline &&
         std::any_of(asked.begin(), asked.end(), waiting)) {
    co_await clock.Sleep(kPollInterval);
  }
  for (auto& [peer, call] : asked) {
    peer->mPendingTraces.erase(call);
  }
  co_return std::move(*spans);
}

void
PeerService::AnnounceCapacity(std::string_view aPool, bool aHasCapacity)
{
  auto it = mAnnouncedCapacity.find(aPool);
  if (it != mAnnouncedCapacity.end() && it->second == aHasCapacity) {
    return;
  }
  mAnnouncedCapacity[std::string(aPool)] = aHasCapacity;
  for (auto& [name, peer] : mPeers) {
    Send(*peer, PoolCapacity{ std::string(aPool), aHasCapacity });
  }
}

Task<void>
PeerService::Stop()
{
  mStopping = true;
  boost::system::error_code ec;
  mAcceptor.close(ec);
  for (auto& [name, peer] : mPeers) {
    Send(*peer, Goodbye{});
  }
  co_await mKernel.GetClock().Sleep(kGoodbyeDelay);
  for (auto& [name, peer] : mPeers) {
    peer->Close();
  }
  mTasks.CancelAll();
  co_await mTasks.Join();
}

} // namespace buckthornshunt
