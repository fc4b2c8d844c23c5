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

/// A link over TCP: WebSocket frames on a socket.
class SocketLink
{
public:
  SocketLink(boost::asio::ip::tcp::socket aSocket,
             WsRole aRole,
             std::string_view aUri);

  /// Completes the opening handshake.
  Task<bool> Open();

  /// Queues a message; false if the link isn't open.
  bool Queue(std::string_view aMessage);

  /// Sends what is queued; false if the link failed.
  Task<bool> Flush();

  /// Waits for bytes and returns the messages that they complete; none if the
  /// link failed.
  Task<std::optional<std::vector<std::string>>> Receive();

  void Close();

private:
  Task<bool> ReadSome();

  boost::asio::ip::tcp::socket mSocket;
  WsCodec mCodec;
  std::string mOutput;
  std::vector<char> mInput;
};

/// One direction of a link within a process.
struct InProcessInbox
{
  explicit InProcessInbox(asio::io_context& aContext)
    : mChanged(aContext)
  {
  }

  std::deque<std::string> mMessages;
  bool mClosed = false;
  /// Messages are lost without a sign while this is set.
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

/// A connection to a peer, whatever carries it.
using PeerLink = std::variant<SocketLink, InProcessLink>;

/// Opens a link to a peer's endpoint.
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
