#include "ports/peer_link.h"

#include "wire/peer_codec.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <utility>

namespace buckthornshunt {

using asio::ip::tcp;

namespace {

constexpr auto kToken = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kReadBytes = 16 * 1024;

} // namespace

SocketLink::SocketLink(tcp::socket aSocket, WsRole aRole, std::string_view aUri)
  : mSocket(std::move(aSocket))
  , mCodec(aRole, aUri, kMostPeerMessageBytes)
  , mInput(kReadBytes)
{
  boost::system::error_code ec;
  mSocket.set_option(tcp::no_delay(true), ec);
}

Task<bool>
SocketLink::ReadSome()
{
  auto [ec, n] = co_await mSocket.async_read_some(asio::buffer(mInput), kToken);
  if (ec) {
    co_return false;
  }
  co_return mCodec.Feed(std::string_view(mInput.data(), n));
}

Task<bool>
SocketLink::Open()
{
  bool alive = co_await Flush();
  while (alive && !mCodec.IsOpen()) {
    alive = co_await ReadSome();
    bool flushed = co_await Flush();
    alive = alive && flushed;
  }
  co_return alive;
}

bool
SocketLink::Queue(std::string_view aMessage)
{
  return mCodec.Send(aMessage);
}

// The codec may put more bytes out while a write is under way, so its output
// is taken once and written whole.
Task<bool>
SocketLink::Flush()
{
  while (true) {
    mOutput = mCodec.TakeOutput();
    if (mOutput.empty()) {
      co_return true;
    }
    auto [ec, n] =
      co_await asio::async_write(mSocket, asio::buffer(mOutput), kToken);
    if (ec) {
      co_return false;
    }
  }
}

Task<std::optional<std::vector<std::string>>>
SocketLink::Receive()
{
  std::vector<std::string> messages = mCodec.TakeMessages();
  while (messages.empty()) {
    bool alive = co_await ReadSome();
    messages = mCodec.TakeMessages();
    if (!alive && messages.empty()) {
      co_return std::nullopt;
    }
  }
  co_return messages;
}

void
SocketLink::Close()
{
  boost::system::error_code ec;
  mSocket.close(ec);
}

PairLink::PairLink(std::shared_ptr<PairInbox> aIn,
                   std::shared_ptr<PairInbox> aOut)
  : mIn(std::move(aIn))
  , mOut(std::move(aOut))
{
}

Task<bool>
PairLink::Open()
{
  co_return true;
}

bool
PairLink::Queue(std::string_view aMessage)
{
  if (mOut->mClosed) {
    return false;
  }
  if (!mOut->mCut) {
    mOut->mMessages.emplace_back(aMessage);
    mOut->mChanged.NotifyAll();
  }
  return true;
}

Task<bool>
PairLink::Flush()
{
  co_return !mOut->mClosed;
}

Task<std::optional<std::vector<std::string>>>
PairLink::Receive()
{
  std::shared_ptr<PairInbox> in = mIn;
  while (in->mMessages.empty() && !in->mClosed) {
    co_await in->mChanged.Wait();
  }
  if (in->mMessages.empty()) {
    co_return std::nullopt;
  }
  std::vector<std::string> messages(
    std::make_move_iterator(in->mMessages.begin()),
    std::make_move_iterator(in->mMessages.end()));
  in->mMessages.clear();
  co_return messages;
}

void
PairLink::Close()
{
  for (PairInbox* inbox : { mIn.get(), mOut.get() }) {
    inbox->mClosed = true;
    inbox->mChanged.NotifyAll();
  }
}

namespace {

using LinkPtr = std::unique_ptr<PeerLink>;

struct Connector
{
  asio::io_context& mContext;
  Clock& mClock;
  Endpoint mPeer;
  TimePoint mDeadline;

  Task<Expected<LinkPtr>> operator()(TcpConnector&)
  {
    tcp::socket socket(mContext);
    boost::system::error_code ec;
    auto address = asio::ip::make_address(mPeer.mHost, ec);
    if (ec) {
      co_return Failure(ConnectFailure{ mPeer });
    }
    tcp::endpoint endpoint(address, mPeer.mPort);
    Watchdog late(mClock, mDeadline, [&socket] {
      boost::system::error_code ignored;
      socket.close(ignored);
    });
    auto [error] = co_await socket.async_connect(endpoint, kToken);
    if (error || late.Fired()) {
      co_return Failure(ConnectFailure{ mPeer });
    }
    std::string uri = "ws://" + ToString(mPeer) + "/peer";
    co_return std::make_unique<PeerLink>(
      std::in_place_type<SocketLink>, std::move(socket), WsRole::Client, uri);
  }
  Task<Expected<LinkPtr>> operator()(PairConnector& aConnector)
  {
    Expected<PairLink> link = aConnector.mConnect(mPeer);
    if (!Ok(link)) {
      co_return std::get<Failure>(std::move(link));
    }
    co_return std::make_unique<PeerLink>(std::get<PairLink>(std::move(link)));
  }
};

} // namespace

Task<Expected<LinkPtr>>
ConnectPeer(PeerConnector& aConnector,
            asio::io_context& aContext,
            Clock& aClock,
            Endpoint aPeer,
            TimePoint aDeadline)
{
  Connector connector{ aContext, aClock, std::move(aPeer), aDeadline };
  auto link = co_await std::visit(connector, aConnector);
  co_return link;
}

} // namespace buckthornshunt
