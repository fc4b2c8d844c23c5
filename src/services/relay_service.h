#ifndef BUCKTHORNSHUNT_SERVICES_RELAY_SERVICE_H
#define BUCKTHORNSHUNT_SERVICES_RELAY_SERVICE_H

#include "kernel/entry_log.h"
#include "kernel/kernel.h"
#include "ports/peer_link.h"
#include "wire/json_fields.h"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace buckthornshunt {

/// Limits on the links that other nodes open to this one.
struct LinkLimits
{
  /// Beyond them the link that has been silent longest, for some seconds at
  /// least, is closed. If there is none, further links are refused.
  std::size_t mMaxLinks = 512;
  /// Bytes that all links may hold together. Beyond them the link that holds
  /// most is closed.
  std::size_t mMaxHeldBytes = 16 * 1024 * 1024;
};

/// Remote calls between nodes, over one link to each called node.
class RelayService
{
public:
  static constexpr std::string_view kName = "relay";

  /// Answers a call; the time is the caller's deadline.
  using Handler = std::function<Task<Json>(Json, TimePoint)>;

  RelayService(Kernel& aKernel, Endpoint aListen, LinkLimits aLimits = {});

  leaf::result<void> Start();
  /// Sends the replies that are ready, then closes all links.
  Task<void> Stop();

  /// Sets the handler of a kind of calls; to be called before Start.
  void RegisterHandler(std::string_view aKind, Handler aHandler);

  /// Calls a node. ConnectFailure means that the call was never sent; after any
  /// other failure it may have been executed.
  Task<Expected<Json>> Call(Endpoint aPeer,
                            std::string aKind,
                            Json aBody,
                            TimePoint aDeadline);

  /// Sends a message to every node with an open link to or from this one; there
  /// is no answer.
  void Broadcast(std::string_view aKind, const Json& aBody);

private:
  /// One end of a link.
  struct Link
  {
    Link(asio::io_context& aContext, std::unique_ptr<PeerLink> aLink)
      : mLink(std::move(aLink))
      , mQueued(aContext)
    {
    }
    std::unique_ptr<PeerLink> mLink;
    Event mQueued;
    bool mFailed = false;
    /// When the peer last sent a whole message; for links to this node.
    TimePoint mHeardAt;
    /// Part of the service's held bytes that is this link's.
    std::size_t mHeldBytes = 0;
    /// Whether queued messages haven't been written yet.
    bool mUnsent = false;
    /// When the first call was sent since the peer last sent anything.
    std::optional<TimePoint> mSilentSince;
  };
  using LinkPtr = std::shared_ptr<Link>;

  /// A call that waits for its answer.
  struct PendingCall
  {
    explicit PendingCall(asio::io_context& aContext)
      : mChanged(aContext)
    {
    }
    Event mChanged;
    bool mAnswered = false;
    bool mLost = false;
    Json mReply;
  };

  /// The link to a node that this one calls, and the pending calls.
  struct OutgoingLink
  {
    explicit OutgoingLink(asio::io_context& aContext)
      : mChanged(aContext)
    {
    }
    LinkPtr mLink;
    bool mConnecting = false;
    Event mChanged;
    std::map<std::uint64_t, std::shared_ptr<PendingCall>> mCalls;
  };
  using OutgoingPtr = std::shared_ptr<OutgoingLink>;

  Task<void> Accept();
  Task<void> Serve(boost::asio::ip::tcp::socket aSocket);
  Task<void> Write(LinkPtr aLink);
  Task<void> Connect(Endpoint aPeer, OutgoingPtr aOut);
  Task<void> ReadReplies(LinkPtr aLink, OutgoingPtr aOut);
  Task<void> HandleCall(LinkPtr aLink, std::string aMessage);
  void OnReply(OutgoingLink& aOut, std::string_view aMessage);
  void Send(Link& aLink, const Json& aMessage);
  bool HasUnsentReplies() const;
  /// Makes room for a further link from another node; false if there is none.
  bool AdmitLink();
  /// Counts what a link holds, and closes links until all together hold no more
  /// than the limit.
  void UpdateHeldBytes(Link& aLink);
  void CloseAccepted(const LinkPtr& aLink);
  static void FailLink(OutgoingLink& aOut, const LinkPtr& aLink);

  Kernel& mKernel;
  Endpoint mListen;
  LinkLimits mLimits;
  TaskGroup mTasks;
  /// Tasks that answer calls.
  TaskGroup mAnswers;
  /// Notified when a link has written its queue.
  Event mSent;
  boost::asio::ip::tcp::acceptor mAcceptor;
  PeerConnector mConnector;
  std::map<std::string, Handler, std::less<>> mHandlers;
  std::map<Endpoint, OutgoingPtr> mOutgoing;
  /// Links that other nodes have opened, and those that have completed their
  /// handshake.
  std::set<LinkPtr> mAccepted;
  std::size_t mHeldBytes = 0;
  std::set<LinkPtr> mIncoming;
  std::uint64_t mNextCall = 1;
  MalformedEntryLog mMalformed;
};

} // namespace buckthornshunt

#endif
