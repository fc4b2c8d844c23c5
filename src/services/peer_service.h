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

/// What is known of a linked peer.
struct PeerStatus
{
  std::string mNode;
  std::string mDataCentre;
  Duration mSilentFor{};
  Revision mPosition{};
};

/// Links to the other nodes: heartbeats, rows that either end lacks, and
/// requests that another data centre serves.
class PeerService
{
public:
  static constexpr std::string_view kName = "peers";

  PeerService(Kernel& aKernel, PeerSettings aSettings);
  ~PeerService();

  leaf::result<void> Start();
  Task<void> Stop();

  /// Port that peers connect to.
  std::uint16_t Port() const;

  /// Serves a link that a peer opened.
  void AcceptLink(std::unique_ptr<PeerLink> aLink);

  /// True if a node is linked and was heard lately.
  bool IsLive(std::string_view aNode) const;

  std::vector<PeerStatus> Status() const;

  /// Wakes when a peer came or went.
  Event& Changed() { return mChanged; }

  /// A linked peer of that data centre, or of any other than this node's if
  /// the name is empty, that has room for the pool; empty if there is none.
  std::string FindPeerWithCapacity(std::string_view aDataCentre,
                                   std::string_view aPool) const;

  /// A linked peer of that data centre; empty if there is none.
  std::string FindPeerIn(std::string_view aDataCentre) const;

  /// Has a peer serve a request. Unknown if the link fails meanwhile; NotRun
  /// if the request could not be sent.
  Task<Outcome> Forward(std::string aNode, Request aRequest);

  /// Spans of a trace from every linked peer.
  Task<std::vector<Span>> CollectSpans(std::uint64_t aTrace,
                                       TimePoint aDeadline);

  /// Tells peers whether a pool of this data centre has room for their work.
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
