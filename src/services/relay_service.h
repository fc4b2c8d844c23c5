#ifndef BUCKTHORNSHUNT_SERVICES_RELAY_SERVICE_H
#define BUCKTHORNSHUNT_SERVICES_RELAY_SERVICE_H

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

/// Calls between nodes, over one link to each node that is called.
class RelayService
{
public:
  static constexpr std::string_view kName = "relay";

  /// Answers a call; the time is when the asker stops waiting.
  using Handler = std::function<Task<Json>(Json, TimePoint)>;

  RelayService(Kernel& aKernel, Endpoint aListen);

  leaf::result<void> Start();
  Task<void> Stop();

  /// Sets who answers calls of a kind; before Start.
  void RegisterHandler(std::string_view aKind, Handler aHandler);

  /// Asks a node. ConnectFailure says that the call was never sent; any other
  /// failure leaves open whether it was carried out.
  Task<Expected<Json>> Call(Endpoint aPeer,
                            std::string aKind,
                            Json aBody,
                            TimePoint aDeadline);

  /// Tells every node that has an open link to this one, without an answer.
  void Broadcast(std::string_view aKind, const Json& aBody);

private:
  /// One end of a link: what it writes, and the answers it waits for.
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
    /// Sending of the first call since anything was heard from the other end.
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

  /// The link to a node that this one calls.
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
  static void FailLink(OutgoingLink& aOut, const LinkPtr& aLink);

  Kernel& mKernel;
  Endpoint mListen;
  TaskGroup mTasks;
  boost::asio::ip::tcp::acceptor mAcceptor;
  PeerConnector mConnector;
  std::map<std::string, Handler, std::less<>> mHandlers;
  std::map<Endpoint, OutgoingPtr> mOutgoing;
  std::set<LinkPtr> mIncoming;
  std::uint64_t mNextCall = 1;
};

} // namespace buckthornshunt

#endif
