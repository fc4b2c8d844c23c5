#include "services/peer_service.h"

#include "kernel/caller_state.h"
#include "kernel/log.h"
#include "services/dispatch_service.h"
#include "services/member_service.h"
#include "services/table_service.h"
#include "wire/peer_codec.h"
#include "wire/row_codec.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace buckthornshunt {

using asio::ip::tcp;

namespace {

constexpr std::string_view kPart = "peers";
constexpr auto kToken = asio::as_tuple(asio::use_awaitable);

constexpr Duration kPingInterval = std::chrono::milliseconds(500);
/// A link on which nothing was heard for this long is replaced.
constexpr Duration kSilenceLimit = std::chrono::seconds(2);
constexpr Duration kHandshakeTimeout = std::chrono::seconds(2);
constexpr Duration kDialPause = std::chrono::milliseconds(500);
constexpr Duration kLongestDialPause = std::chrono::seconds(5);
/// Time after which rows that were sent but not taken over are sent again.
constexpr Duration kResendAfter = std::chrono::seconds(1);
constexpr Duration kGoodbyeTime = std::chrono::milliseconds(200);

/// Peers of another data centre that a node links to.
constexpr std::size_t kLinksPerDataCentre = 2;

} // namespace

/// A call to a peer that waits for its answer.
struct PendingForward
{
  explicit PendingForward(asio::io_context& aContext)
    : mDone(aContext)
  {
  }

  std::optional<Outcome> mOutcome;
  Event mDone;
};

struct PeerService::Peer
{
  explicit Peer(asio::io_context& aContext)
    : mOutput(aContext)
  {
  }

  std::unique_ptr<PeerLink> mLink;
  Hello mWho;
  bool mDialled = false;
  bool mClosed = false;
  bool mLeaving = false;
  TimePoint mHeard;
  Revision mPosition{};
  /// Rows up to here were sent, at mSentAt.
  Revision mSentUpTo{};
  TimePoint mSentAt;
  std::map<std::string, bool, std::less<>> mRoom;
  std::map<std::uint64_t, std::shared_ptr<PendingForward>> mForwards;
  std::map<std::uint64_t, std::shared_ptr<std::vector<Span>>> mTraces;
  /// Requests that this peer asked for and that still run here.
  std::map<std::uint64_t, std::shared_ptr<CallerState>> mServing;
  bool mHasOutput = false;
  Event mOutput;

  void Close()
  {
    mClosed = true;
    std::visit([](auto& aLink) { aLink.Close(); }, *mLink);
    mOutput.NotifyAll();
  }
};

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
  mTasks.Spawn("peers dial", DialFromRows());
  mTasks.Spawn("peers push", PushRows());
  return {};
}

std::uint16_t
PeerService::Port() const
{
  return mAcceptor.is_open() ? mAcceptor.local_endpoint().port() : 0;
}

Task<void>
PeerService::Listen()
{
  while (!mStopping) {
    tcp::socket socket(mKernel.Context());
    auto [ec] = co_await mAcceptor.async_accept(socket, kToken);
    if (mStopping || ec == asio::error::operation_aborted) {
      co_return;
    }
    if (ec) {
      co_await mKernel.GetClock().Sleep(kDialPause);
      continue;
    }
    AcceptLink(std::make_unique<PeerLink>(
      std::in_place_type<SocketLink>, std::move(socket), WsRole::Server, ""));
  }
}

void
PeerService::AcceptLink(std::unique_ptr<PeerLink> aLink)
{
  if (!mStopping) {
    mTasks.Spawn("peer", RunLink(std::move(aLink), false));
  }
}

// Peers to link to: every seed, every node of this data centre, and a few of
// each other one, chosen by a hash that differs from node to node so that the
// links spread.
void
PeerService::DialMissing()
{
  const NodeIdentity& self = mMembers->Self();
  std::map<std::string, std::vector<std::pair<std::size_t, Endpoint>>>
    byDataCentre;
  for (const NodeRecord& node : mMembers->AllNodes()) {
    if (node.mNode != self.mNode) {
      std::size_t rank =
        std::hash<std::string>{}(self.mNode + "/" + node.mNode);
      byDataCentre[node.mDataCentre].emplace_back(rank, node.mPeerEndpoint);
    }
  }
  std::set<Endpoint> targets(mSettings.mSeeds.begin(), mSettings.mSeeds.end());
  for (auto& [dataCentre, nodes] : byDataCentre) {
    std::sort(nodes.begin(), nodes.end());
    bool own = dataCentre == self.mDataCentre;
    std::size_t wanted =
      own ? nodes.size() : std::min(nodes.size(), kLinksPerDataCentre);
    for (std::size_t i = 0; i < wanted; ++i) {
      targets.insert(nodes[i].second);
    }
  }
  targets.erase(self.mPeerEndpoint);
  for (const Endpoint& target : targets) {
    if (!LinkedTo(target) && mDialling.insert(target).second) {
      mTasks.Spawn("peer dial", Dial(target));
    }
  }
}

Task<void>
PeerService::DialFromRows()
{
  Clock& clock = mKernel.GetClock();
  while (!mStopping) {
    DialMissing();
    co_await clock.Sleep(kDialPause);
  }
}

bool
PeerService::LinkedTo(const Endpoint& aEndpoint) const
{
  return std::any_of(mPeers.begin(), mPeers.end(), [&](const auto& aEntry) {
    return aEntry.second->mWho.mEndpoint == aEndpoint;
  });
}

// One try to reach a peer, and the life of the link if it is reached. The
// pause after a failed try grows with the tries of the same task only, since
// a node's row or seed may change meanwhile.
Task<void>
PeerService::Dial(Endpoint aTarget)
{
  Clock& clock = mKernel.GetClock();
  Duration pause = kDialPause;
  for (int tries = 0; !mStopping && tries < 4; ++tries) {
    TimePoint deadline = clock.Now() + kHandshakeTimeout;
    auto link = co_await ConnectPeer(
      mSettings.mConnector, mKernel.Context(), clock, aTarget, deadline);
    if (Ok(link)) {
      auto opened = std::get<std::unique_ptr<PeerLink>>(std::move(link));
      co_await RunLink(std::move(opened), true);
      break;
    }
    co_await clock.Sleep(pause);
    pause = std::min(pause * 2, kLongestDialPause);
  }
  mDialling.erase(aTarget);
}

// The whole life of a link: handshake, greeting, messages until it fails.
// A second task writes, since a link must be able to do both at a time.
Task<void>
PeerService::RunLink(std::unique_ptr<PeerLink> aLink, bool aDialled)
{
  Clock& clock = mKernel.GetClock();
  auto peer = std::make_shared<Peer>(mKernel.Context());
  peer->mLink = std::move(aLink);
  peer->mDialled = aDialled;
  peer->mHeard = clock.Now();
  bool open = false;
  {
    Watchdog late(
      clock, clock.Now() + kHandshakeTimeout, [peer] { peer->Close(); });
    open = co_await std::visit([](auto& aHeld) { return aHeld.Open(); },
                               *peer->mLink);
  }
  if (!open || peer->mClosed || mStopping) {
    peer->Close();
    co_return;
  }
  const NodeIdentity& self = mMembers->Self();
  Send(*peer,
       Hello{
         self.mNode, self.mDataCentre, self.mIncarnation, self.mPeerEndpoint });
  mTasks.Spawn("peer write", Write(peer));
  co_await Read(peer);
  Drop(peer);
}

Task<void>
PeerService::Read(PeerPtr aPeer)
{
  Clock& clock = mKernel.GetClock();
  while (!aPeer->mClosed) {
    std::optional<std::vector<std::string>> messages;
    {
      Watchdog silent(
        clock, aPeer->mHeard + kSilenceLimit, [aPeer] { aPeer->Close(); });
      messages = co_await std::visit(
        [](auto& aHeld) { return aHeld.Receive(); }, *aPeer->mLink);
    }
    if (!messages) {
      co_return;
    }
    aPeer->mHeard = clock.Now();
    for (const std::string& bytes : *messages) {
      auto message =
        ToExpected<PeerMessage>([&] { return DecodePeerMessage(bytes); });
      if (!Ok(message)) {
        LogWarn(kPart, "malformed message from {}", aPeer->mWho.mNode);
        aPeer->Close();
        co_return;
      }
      Handle(aPeer, std::get<PeerMessage>(std::move(message)));
    }
  }
}

Task<void>
PeerService::Write(PeerPtr aPeer)
{
  Clock& clock = mKernel.GetClock();
  TimePoint nextPing = clock.Now();
  while (!aPeer->mClosed) {
    if (clock.Now() >= nextPing) {
      Send(*aPeer, Ping{ mTable->View().Position() });
      nextPing = clock.Now() + kPingInterval;
    }
    aPeer->mHasOutput = false;
    bool sent = co_await std::visit([](auto& aHeld) { return aHeld.Flush(); },
                                    *aPeer->mLink);
    if (!sent) {
      aPeer->Close();
      co_return;
    }
    Watchdog due(clock, nextPing, [aPeer] { aPeer->mOutput.NotifyAll(); });
    while (!aPeer->mClosed && !aPeer->mHasOutput && clock.Now() < nextPing) {
      co_await aPeer->mOutput.Wait();
    }
  }
}

void
PeerService::Send(Peer& aPeer, const PeerMessage& aMessage)
{
  std::string bytes = EncodePeerMessage(aMessage);
  bool queued =
    std::visit([&](auto& aLink) { return aLink.Queue(bytes); }, *aPeer.mLink);
  if (queued) {
    mKernel.GetMetrics()
      .GetCounter("peer_bytes_sent_total")
      .Add(static_cast<std::int64_t>(bytes.size()));
    aPeer.mHasOutput = true;
    aPeer.mOutput.NotifyAll();
  }
}

// Two nodes may dial each other at the same time. Both keep the link that the
// node with the lower name dialled; a new run of a node always replaces the
// link of its predecessor.
bool
PeerService::Admit(const PeerPtr& aPeer)
{
  const NodeIdentity& self = mMembers->Self();
  const std::string& name = aPeer->mWho.mNode;
  if (name == self.mNode) {
    return false;
  }
  auto it = mPeers.find(name);
  if (it != mPeers.end()) {
    bool sameRun = it->second->mWho.mIncarnation == aPeer->mWho.mIncarnation;
    bool lowerDialled = aPeer->mDialled == (self.mNode < name);
    if (sameRun && !lowerDialled && !it->second->mClosed) {
      return false;
    }
    it->second->Close();
  }
  mPeers[name] = aPeer;
  LogInfo(kPart, "linked to {}", name);
  for (const auto& [pool, room] : mOwnRoom) {
    Send(*aPeer, PoolRoom{ pool, room });
  }
  mChanged.NotifyAll();
  return true;
}

// What waits for an answer over the link learns that none will come.
void
PeerService::Drop(const PeerPtr& aPeer)
{
  aPeer->Close();
  for (auto& [call, pending] : aPeer->mForwards) {
    pending->mDone.NotifyAll();
  }
  for (auto& [call, caller] : aPeer->mServing) {
    caller->SetGone();
  }
  auto it = mPeers.find(aPeer->mWho.mNode);
  if (it != mPeers.end() && it->second == aPeer) {
    mPeers.erase(it);
    LogInfo(kPart, "link to {} ended", aPeer->mWho.mNode);
    mChanged.NotifyAll();
  }
}

/// Acts on one message of a peer.
struct PeerService::Handler
{
  PeerService& mService;
  const PeerPtr& mPeer;

  void operator()(Hello& aMessage) const
  {
    mPeer->mWho = std::move(aMessage);
    if (!mService.Admit(mPeer)) {
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
  void operator()(PoolRoom& aMessage) const
  {
    mPeer->mRoom[aMessage.mPool] = aMessage.mRoom;
  }
  void operator()(ForwardRequest& aMessage) const
  {
    mService.mTasks.Spawn("forward",
                          mService.ServeForward(mPeer, std::move(aMessage)));
  }
  void operator()(ForwardAnswer& aMessage) const
  {
    auto it = mPeer->mForwards.find(aMessage.mCall);
    if (it != mPeer->mForwards.end()) {
      it->second->mOutcome = std::move(aMessage.mOutcome);
      it->second->mDone.NotifyAll();
    }
  }
  void operator()(ForwardCancel& aMessage) const
  {
    auto it = mPeer->mServing.find(aMessage.mCall);
    if (it != mPeer->mServing.end()) {
      it->second->SetGone();
    }
  }
  void operator()(TraceAsk& aMessage) const
  {
    std::vector<Span> spans =
      mService.mKernel.GetTracer().Find(aMessage.mTrace);
    mService.Send(*mPeer, TraceAnswer{ aMessage.mCall, std::move(spans) });
  }
  void operator()(TraceAnswer& aMessage) const
  {
    auto it = mPeer->mTraces.find(aMessage.mCall);
    if (it != mPeer->mTraces.end()) {
      std::move(aMessage.mSpans.begin(),
                aMessage.mSpans.end(),
                std::back_inserter(*it->second));
      mPeer->mTraces.erase(it);
    }
  }
  void operator()(Goodbye&) const
  {
    mPeer->mLeaving = true;
    mService.mChanged.NotifyAll();
  }
};

void
PeerService::Handle(const PeerPtr& aPeer, PeerMessage aMessage)
{
  std::visit(Handler{ *this, aPeer }, aMessage);
}

void
PeerService::SendMissingRows(Peer& aPeer)
{
  TimePoint now = mKernel.GetClock().Now();
  bool resend = now - aPeer.mSentAt > kResendAfter;
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

// New rows go to the peers at once; the pings only find what got lost.
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
    all.push_back(
      { name, peer->mWho.mDataCentre, now - peer->mHeard, peer->mPosition });
  }
  return all;
}

std::string
PeerService::FindRoom(std::string_view aDataCentre,
                      std::string_view aPool) const
{
  const std::string& own = mMembers->Self().mDataCentre;
  std::vector<std::string_view> found;
  for (const auto& [name, peer] : mPeers) {
    auto room = peer->mRoom.find(aPool);
    bool wanted = aDataCentre.empty() ? peer->mWho.mDataCentre != own
                                      : peer->mWho.mDataCentre == aDataCentre;
    if (wanted && IsLive(name) && room != peer->mRoom.end() && room->second) {
      found.push_back(name);
    }
  }
  return found.empty() ? std::string()
                       : std::string(found[mKernel.Random() % found.size()]);
}

std::string
PeerService::FindNode(std::string_view aDataCentre) const
{
  for (const auto& [name, peer] : mPeers) {
    if (peer->mWho.mDataCentre == aDataCentre && IsLive(name)) {
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
    co_return NotRun{ NotRunReason::NoCapacity, kDialPause };
  }
  PeerPtr peer = it->second;
  std::uint64_t call = mNextCall++;
  auto pending = std::make_shared<PendingForward>(mKernel.Context());
  peer->mForwards[call] = pending;
  TimePoint deadline = aRequest.mDeadline;
  Duration left = deadline - clock.Now();
  Send(*peer, ForwardRequest{ call, std::move(aRequest), left });
  Watchdog late(clock, deadline, [pending] { pending->mDone.NotifyAll(); });
  while (!pending->mOutcome && !peer->mClosed && clock.Now() < deadline) {
    co_await pending->mDone.Wait();
  }
  peer->mForwards.erase(call);
  if (!pending->mOutcome) {
    Send(*peer, ForwardCancel{ call });
    co_return Unknown{};
  }
  co_return std::move(*pending->mOutcome);
}

// Serves a request of a peer within this data centre. The clocks of the two
// nodes differ, so the time left travels and not the deadline.
Task<void>
PeerService::ServeForward(PeerPtr aPeer, ForwardRequest aMessage)
{
  Request request = std::move(aMessage.mRequest);
  request.mDeadline = mKernel.GetClock().Now() + aMessage.mTimeLeft;
  auto caller = std::make_shared<CallerState>();
  aPeer->mServing[aMessage.mCall] = caller;
  Outcome outcome =
    co_await mDispatch->Serve(request, *caller, RequestOrigin::Peer);
  aPeer->mServing.erase(aMessage.mCall);
  if (!aPeer->mClosed) {
    Send(*aPeer, ForwardAnswer{ aMessage.mCall, std::move(outcome) });
  }
}

Task<std::vector<Span>>
PeerService::CollectSpans(std::uint64_t aTrace, TimePoint aDeadline)
{
  constexpr Duration kPoll = std::chrono::milliseconds(20);
  Clock& clock = mKernel.GetClock();
  auto spans = std::make_shared<std::vector<Span>>();
  std::vector<std::pair<PeerPtr, std::uint64_t>> asked;
  for (auto& [name, peer] : mPeers) {
    std::uint64_t call = mNextCall++;
    peer->mTraces[call] = spans;
    Send(*peer, TraceAsk{ call, aTrace });
    asked.emplace_back(peer, call);
  }
  auto waiting = [](const auto& aAsked) {
    return aAsked.first->mTraces.contains(aAsked.second) &&
           !aAsked.first->mClosed;
  };
  while (clock.Now() < aDeadline &&
         std::any_of(asked.begin(), asked.end(), waiting)) {
    co_await clock.Sleep(kPoll);
  }
  for (auto& [peer, call] : asked) {
    peer->mTraces.erase(call);
  }
  co_return std::move(*spans);
}

void
PeerService::AnnounceRoom(std::string_view aPool, bool aRoom)
{
  auto it = mOwnRoom.find(aPool);
  if (it != mOwnRoom.end() && it->second == aRoom) {
    return;
  }
  mOwnRoom[std::string(aPool)] = aRoom;
  for (auto& [name, peer] : mPeers) {
    Send(*peer, PoolRoom{ std::string(aPool), aRoom });
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
  co_await mKernel.GetClock().Sleep(kGoodbyeTime);
  for (auto& [name, peer] : mPeers) {
    peer->Close();
  }
  mTasks.CancelAll();
  co_await mTasks.Drained();
}

} // namespace buckthornshunt
