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
constexpr std::size_t kReadBufferBytes = 16 * 1024;

} // namespace

SocketLink::SocketLink(tcp::socket aSocket, WsRole aRole, std::string_view aUri)
  : mSocket(std::move(aSocket))
  , mCodec(aRole, aUri, kMaxPeerMessageBytes)
  , mInput(kReadBufferBytes)
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
  mUnfinishedBytes += n;
  co_return mCodec.ProcessInput(std::string_view(mInput.data(), n));
}

Task<bool>
SocketLink::Open()
{
  bool connected = co_await Flush();
  while (connected && !mCodec.IsOpen()) {
    connected = co_await ReadSome();
    bool flushed = co_await Flush();
    connected = connected && flushed;
  }
  co_return connected;
}

bool
SocketLink::Queue(std::string_view aMessage)
{
  return mCodec.Send(aMessage);
}

// The codec may produce more output during a write, so each round takes the
// current output and writes all of it.
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
  std::optional<std::vector<std::string>> messages(std::in_place);
  while (messages && messages->empty()) {
    messages = co_await ReceiveSome();
  }
  co_return messages;
}

Task<std::optional<std::vector<std::string>>>
SocketLink::ReceiveSome()
{
  std::vector<std::string> messages = mCodec.TakeMessages();
  if (messages.empty()) {
    bool connected = co_await ReadSome();
    messages = mCodec.TakeMessages();
    if (!connected && messages.empty()) {
      co_return std::nullopt;
    }
  }
  if (!messages.empty()) {
    mUnfinishedBytes = 0;
  }
  co_return messages;
}

void
SocketLink::Close()
{
  boost::system::error_code ec;
  mSocket.close(ec);
}

InProcessLink::InProcessLink(std::shared_ptr<InProcessInbox> aIn,
                             std::shared_ptr<InProcessInbox> aOut)
  : mIn(std::move(aIn))
  , mOut(std::move(aOut))
{
}

Task<bool>
InProcessLink::Open()
{
  co_return true;
}

bool
InProcessLink::Queue(std::string_view aMessage)
{
  if (mOut->mClosed) {
    return false;
  }
  if (!mOut->mDropMessages) {
    mOut->mMessages.emplace_back(aMessage);
    mOut->mChanged.NotifyAll();
  }
  return true;
}

Task<bool>
InProcessLink::Flush()
{
  co_return !mOut->mClosed;
}

Task<std::optional<std::vector<std::string>>>
InProcessLink::Receive()
{
  std::shared_ptr<InProcessInbox> in = mIn;
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
InProcessLink::Close()
{
  for (InProcessInbox* inbox : { mIn.get(), mOut.get() }) {
    inbox->mClosed = true;
    inbox->mChanged.NotifyAll();
  }
}

namespace {

using LinkPtr = std::unique_ptr<PeerLink>;

struct ConnectVisitor
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
    Watchdog timeout(mClock, mDeadline, [&socket] {
      boost::system::error_code ignored;
      socket.close(ignored);
    });
    auto [error] = co_await socket.async_connect(endpoint, kToken);
    if (error || timeout.Fired()) {
      co_return Failure(ConnectFailure{ mPeer });
    }
    std::string uri = "ws://" + ToString(mPeer) + "/peer";
    co_return std::make_unique<PeerLink>(
      std::in_place_type<SocketLink>, std::move(socket), WsRole::Client, uri);
  }
  Task<Expected<LinkPtr>> operator()(InProcessConnector& aConnector)
  {
    Expected<InProcessLink> link = aConnector.mConnect(mPeer);
    if (!Ok(link)) {
      co_return std::get<Failure>(std::move(link));
    }
    co_return std::make_unique<PeerLink>(
      std::get<InProcessLink>(std::move(link)));
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
  ConnectVisitor visitor{ aContext, aClock, std::move(aPeer), aDeadline };
  auto link = co_await std::visit(visitor, aConnector);
  co_return link;
}

} // namespace buckthornshunt
