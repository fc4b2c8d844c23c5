#ifndef BUCKTHORNSHUNT_PORTS_PEER_LINK_H
#define BUCKTHORNSHUNT_PORTS_PEER_LINK_H

#include "buckthornshunt/failure.h"
#include "kernel/clock.h"
#include "wire/ws_codec.h"

#include <boost/asio/ip/tcp.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace buckthornshunt {

/// A link that carries WebSocket frames over TCP.
class SocketLink
{
public:
  SocketLink(boost::asio::ip::tcp::socket aSocket,
             WsRole aRole,
             std::string_view aUri);

  /// Completes the opening handshake; false if the link failed.
  Task<bool> Open();

  /// Queues a message for Flush; false if the link isn't open.
  bool Queue(std::string_view aMessage);

  /// Sends all queued messages; false if the link failed.
  Task<bool> Flush();

  /// Waits for at least one complete message; nullopt if the link failed.
  Task<std::optional<std::vector<std::string>>> Receive();

  /// Reads once; the messages that are complete, if any; nullopt if the link
  /// failed.
  Task<std::optional<std::vector<std::string>>> ReceiveSome();

  /// Bytes received of a message that isn't complete.
  std::size_t UnfinishedBytes() const { return mUnfinishedBytes; }

  /// Bytes to be sent that the peer hasn't taken.
  std::size_t UnsentBytes() const
  {
    return mOutput.size() + mCodec.OutputBytes();
  }

  void Close();

private:
  Task<bool> ReadSome();

  boost::asio::ip::tcp::socket mSocket;
  WsCodec mCodec;
  std::string mOutput;
  std::vector<char> mInput;
  std::size_t mUnfinishedBytes = 0;
};

/// One direction of an in-process link.
struct InProcessInbox
{
  explicit InProcessInbox(asio::io_context& aContext)
    : mChanged(aContext)
  {
  }

  std::deque<std::string> mMessages;
  bool mClosed = false;
  /// Drops messages silently while set, as in a network partition.
  bool mDropMessages = false;
  Event mChanged;
};

/// A link between two nodes of one process, for tests.
class InProcessLink
{
public:
  InProcessLink(std::shared_ptr<InProcessInbox> aIn,
                std::shared_ptr<InProcessInbox> aOut);

  Task<bool> Open();
  bool Queue(std::string_view aMessage);
  Task<bool> Flush();
  Task<std::optional<std::vector<std::string>>> Receive();
  void Close();

private:
  std::shared_ptr<InProcessInbox> mIn;
  std::shared_ptr<InProcessInbox> mOut;
};

/// A connection to a peer over any transport.
using PeerLink = std::variant<SocketLink, InProcessLink>;

/// Opens links over TCP.
struct TcpConnector
{};

struct InProcessConnector
{
  std::function<Expected<InProcessLink>(const Endpoint&)> mConnect;
};

using PeerConnector = std::variant<TcpConnector, InProcessConnector>;

Task<Expected<std::unique_ptr<PeerLink>>>
ConnectPeer(PeerConnector& aConnector,
            asio::io_context& aContext,
            Clock& aClock,
            Endpoint aPeer,
            TimePoint aDeadline);

} // namespace buckthornshunt

#endif
