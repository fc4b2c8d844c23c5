// PeerService: opening and running links.

#include "kernel/log.h"
#include "services/dispatch_service.h"
#include "services/member_service.h"
#include "services/peer.h"
#include "services/table_service.h"
#include "wire/peer_codec.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace buckthornshunt {

using asio::ip::tcp;

namespace {

constexpr std::string_view kPart = "peers";
constexpr auto kToken = asio::as_tuple(asio::use_awaitable);
constexpr Duration kPingInterval = std::chrono::milliseconds(500);
/// A link without a message for this long is closed and replaced.
constexpr Duration kSilenceTimeout = std::chrono::seconds(2);
constexpr Duration kHandshakeTimeout = std::chrono::seconds(2);
constexpr Duration kDialRetryInterval = std::chrono::milliseconds(500);
constexpr Duration kMaxDialRetryInterval = std::chrono::seconds(5);
/// Links of a node to each other data centre.
constexpr std::size_t kLinksPerDataCentre = 2;

} // namespace

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
      co_await mKernel.GetClock().Sleep(kDialRetryInterval);
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

// Dials every seed, every node of this data centre, and a few of each other
// one, chosen by a hash that differs from node to node so that the links
// spread.
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
PeerService::MaintainLinks()
{
  Clock& clock = mKernel.GetClock();
  while (!mStopping) {
    DialMissing();
    co_await clock.Sleep(kDialRetryInterval);
  }
}

bool
PeerService::LinkedTo(const Endpoint& aEndpoint) const
{
  return std::any_of(mPeers.begin(), mPeers.end(), [&](const auto& aEntry) {
    return aEntry.second->mIdentity.mEndpoint == aEndpoint;
  });
}

// Dials a peer and runs the link if it opens. The backoff grows only within the
// tries of one task, since a node's row or seed may change meanwhile.
Task<void>
PeerService::Dial(Endpoint aTarget)
{
  Clock& clock = mKernel.GetClock();
  Duration retryInterval = kDialRetryInterval;
  for (int tries = 0; !mStopping && tries < 4; ++tries) {
    TimePoint deadline = clock.Now() + kHandshakeTimeout;
    auto link = co_await ConnectPeer(
      mSettings.mConnector, mKernel.Context(), clock, aTarget, deadline);
    if (Ok(link)) {
      auto opened = std::get<std::unique_ptr<PeerLink>>(std::move(link));
      co_await RunLink(std::move(opened), true);
      break;
    }
    co_await clock.Sleep(retryInterval);
    retryInterval = std::min(retryInterval * 2, kMaxDialRetryInterval);
  }
  mDialling.erase(aTarget);
}

// Runs a link from its handshake until it fails. A second task writes, since a
// link must read and write concurrently.
Task<void>
PeerService::RunLink(std::unique_ptr<PeerLink> aLink, bool aDialled)
{
  Clock& clock = mKernel.GetClock();
  auto peer = std::make_shared<Peer>(mKernel.Context());
  peer->mLink = std::move(aLink);
  peer->mDialled = aDialled;
  peer->mLastHeard = clock.Now();
  bool open = false;
  {
    Watchdog handshakeTimer(
      clock, clock.Now() + kHandshakeTimeout, [peer] { peer->Close(); });
    open = co_await std::visit(
      [](auto& aTransport) { return aTransport.Open(); }, *peer->mLink);
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
  RemovePeer(peer);
}

Task<void>
PeerService::Read(PeerPtr aPeer)
{
  Clock& clock = mKernel.GetClock();
  while (!aPeer->mClosed) {
    std::optional<std::vector<std::string>> messages;
    {
      Watchdog silenceTimer(clock,
                            aPeer->mLastHeard + kSilenceTimeout,
                            [aPeer] { aPeer->Close(); });
      messages = co_await std::visit(
        [](auto& aTransport) { return aTransport.Receive(); }, *aPeer->mLink);
    }
    if (!messages) {
      co_return;
    }
    aPeer->mLastHeard = clock.Now();
    for (const std::string& bytes : *messages) {
      auto message =
        ToExpected<PeerMessage>([&] { return DecodePeerMessage(bytes); });
      if (!Ok(message)) {
        LogWarn(kPart,
                "malformed message from {}; closing the link",
                aPeer->mIdentity.mNode);
        aPeer->Close();
        co_return;
      }
      HandleMessage(aPeer, std::get<PeerMessage>(std::move(message)));
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
    bool sent = co_await std::visit(
      [](auto& aTransport) { return aTransport.Flush(); }, *aPeer->mLink);
    if (!sent) {
      aPeer->Close();
      co_return;
    }
    Watchdog pingTimer(
      clock, nextPing, [aPeer] { aPeer->mOutputReady.NotifyAll(); });
    while (!aPeer->mClosed && !aPeer->mHasOutput && clock.Now() < nextPing) {
      co_await aPeer->mOutputReady.Wait();
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
    aPeer.mOutputReady.NotifyAll();
  }
}

// Two nodes may dial each other at the same time. Both keep the link that the
// node with the lower name dialled; a new incarnation of a node always replaces
// the link of its predecessor.
bool
PeerService::AddPeer(const PeerPtr& aPeer)
{
  const NodeIdentity& self = mMembers->Self();
  const std::string& name = aPeer->mIdentity.mNode;
  if (name == self.mNode) {
    return false;
  }
  auto it = mPeers.find(name);
  if (it != mPeers.end()) {
    bool sameIncarnation =
      it->second->mIdentity.mIncarnation == aPeer->mIdentity.mIncarnation;
    bool lowerDialled = aPeer->mDialled == (self.mNode < name);
    if (sameIncarnation && !lowerDialled && !it->second->mClosed) {
      return false;
    }
    it->second->Close();
  }
  mPeers[name] = aPeer;
  LogInfo(kPart, "linked to {}", name);
  for (const auto& [pool, room] : mAnnouncedCapacity) {
    Send(*aPeer, PoolCapacity{ pool, room });
  }
  mChanged.NotifyAll();
  return true;
}

// Wakes the tasks that wait for an answer over the link, since none will come.
void
PeerService::RemovePeer(const PeerPtr& aPeer)
{
  aPeer->Close();
  for (auto& [call, pending] : aPeer->mPendingForwards) {
    pending->mDone.NotifyAll();
  }
  for (auto& [call, caller] : aPeer->mServedRequests) {
    caller->MarkDisconnected();
  }
  auto it = mPeers.find(aPeer->mIdentity.mNode);
  if (it != mPeers.end() && it->second == aPeer) {
    mPeers.erase(it);
    LogInfo(kPart, "link to {} closed", aPeer->mIdentity.mNode);
    mChanged.NotifyAll();
  }
}

} // namespace buckthornshunt
