#ifndef BUCKTHORNSHUNT_SERVICES_PEER_SERVICE_H
#define BUCKTHORNSHUNT_SERVICES_PEER_SERVICE_H

#include "kernel/kernel.h"
#include "ports/peer_link.h"
#include "ports/peer_messages.h"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornshunt {

class DispatchService;
class MemberService;
class TableService;

/// How this node finds and reaches its peers.
struct PeerSettings
{
  Endpoint mListen;
  std::vector<Endpoint> mSeeds;
  PeerConnector mConnector;
};

/// Status of a linked peer.
struct PeerStatus
{
  std::string mNode;
  std::string mDataCentre;
  Duration mSilentFor{};
  Revision mPosition{};
};

/// Links to other nodes, which carry heartbeats, rows that either end lacks,
/// and forwarded requests.
class PeerService
{
public:
  static constexpr std::string_view kName = "peers";

  PeerService(Kernel& aKernel, PeerSettings aSettings);
  ~PeerService();

  leaf::result<void> Start();
  Task<void> Stop();

  /// TCP port that peers connect to; 0 while not listening.
  std::uint16_t Port() const;

  /// Serves a link that a peer opened.
  void AcceptLink(std::unique_ptr<PeerLink> aLink);

  /// True if a node is linked and hasn't announced its stop.
  bool IsLive(std::string_view aNode) const;

  std::vector<PeerStatus> Status() const;

  /// Notified when a peer is added, removed or stopping.
  Event& Changed() { return mChanged; }

  /// A random linked peer with capacity for the pool, of that data centre or,
  /// if the name is empty, of any other than this node's; empty if there is
  /// none.
  std::string FindPeerWithCapacity(std::string_view aDataCentre,
                                   std::string_view aPool) const;

  /// A linked peer of that data centre; empty if there is none.
  std::string FindPeerIn(std::string_view aDataCentre) const;

  /// Forwards a request to a peer. Unknown if the link fails or the deadline
  /// passes before the answer; NotRun if the request could not be sent.
  Task<Outcome> Forward(std::string aNode, Request aRequest);

  /// Collects the spans of a trace from the linked peers that answer in time.
  Task<std::vector<Span>> CollectSpans(std::uint64_t aTrace,
                                       TimePoint aDeadline);

  /// Announces to peers whether a pool of this data centre has capacity for
  /// their work.
  void AnnounceCapacity(std::string_view aPool, bool aHasCapacity);

private:
  struct Peer;
  using PeerPtr = std::shared_ptr<Peer>;

  Task<void> Listen();
  Task<void> Dial(Endpoint aTarget);
  Task<void> MaintainLinks();
  void DialMissing();
  Task<void> RunLink(std::unique_ptr<PeerLink> aLink, bool aDialled);
  Task<void> Write(PeerPtr aPeer);
  Task<void> Read(PeerPtr aPeer);
  Task<void> PushRows();
  Task<void> ServeForward(PeerPtr aPeer, ForwardRequest aMessage);
  bool AddPeer(const PeerPtr& aPeer);
  void RemovePeer(const PeerPtr& aPeer);
  void Send(Peer& aPeer, const PeerMessage& aMessage);
  void SendMissingRows(Peer& aPeer);
  void HandleMessage(const PeerPtr& aPeer, PeerMessage aMessage);
  const Peer* Find(std::string_view aNode) const;
  bool LinkedTo(const Endpoint& aEndpoint) const;

  struct MessageHandler;

  Kernel& mKernel;
  PeerSettings mSettings;
  TableService* mTable = nullptr;
  MemberService* mMembers = nullptr;
  DispatchService* mDispatch = nullptr;
  boost::asio::ip::tcp::acceptor mAcceptor;
  bool mStopping = false;
  std::uint64_t mNextCall = 1;
  std::map<std::string, PeerPtr, std::less<>> mPeers;
  std::set<Endpoint> mDialling;
  std::map<std::string, bool, std::less<>> mAnnouncedCapacity;
  Event mChanged;
  TaskGroup mTasks;
};

} // namespace buckthornshunt

#endif
