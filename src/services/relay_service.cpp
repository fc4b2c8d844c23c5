#include "services/relay_service.h"

#include "kernel/log.h"
#include "kernel/wait.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace buckthornshunt {

using asio::ip::tcp;

namespace {

constexpr std::string_view kPart = "relay";
constexpr auto kToken = asio::as_tuple(asio::use_awaitable);
constexpr Duration kAcceptPause = std::chrono::milliseconds(100);
/// Nodes are at most a few milliseconds apart; a lost opening packet is sent
/// again after a second.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(700);

/// A link over which nothing has come for this long after a call is taken for
/// silent: a busy node answers some call within a few hundred milliseconds.
constexpr Duration kSilentAfter = std::chrono::milliseconds(700);

// Calls are [number, kind, milliseconds, body]; answers are [number, body].
// Number 0 wants no answer.
constexpr std::size_t kCallFields = 4;
constexpr std::size_t kReplyFields = 2;

} // namespace

RelayService::RelayService(Kernel& aKernel, Endpoint aListen)
  : mKernel(aKernel)
  , mListen(std::move(aListen))
  , mTasks(aKernel.Context(), &aKernel.Groups())
  , mAcceptor(aKernel.Context())
  , mConnector(TcpConnector{})
{
}

leaf::result<void>
RelayService::Start()
{
  boost::system::error_code ec;
  auto address = asio::ip::make_address(mListen.mHost, ec);
  tcp::endpoint endpoint(address, mListen.mPort);
  mAcceptor.open(endpoint.protocol(), ec);
  mAcceptor.set_option(tcp::acceptor::reuse_address(true), ec);
  mAcceptor.bind(endpoint, ec);
  if (!ec) {
    mAcceptor.listen(tcp::acceptor::max_listen_connections, ec);
  }
  if (ec) {
    return leaf::new_error(Failure(ListenFailure{ mListen }));
  }
  mTasks.Spawn("accept", Accept());
  return {};
}

Task<void>
RelayService::Stop()
{
  boost::system::error_code ec;
  mAcceptor.close(ec);
  mTasks.CancelAll();
  co_await mTasks.Join();
}

void
RelayService::Handle(std::string_view aKind, Handler aHandler)
{
  mHandlers.insert_or_assign(std::string(aKind), std::move(aHandler));
}

Task<void>
RelayService::Accept()
{
  while (true) {
    tcp::socket socket(mKernel.Context());
    auto [ec] = co_await mAcceptor.async_accept(socket, kToken);
    if (ec == asio::error::operation_aborted) {
      co_return;
    }
    if (ec) {
      LogWarn(kPart, "accept failed: {}", ec.message());
      co_await mKernel.GetClock().Sleep(kAcceptPause);
      continue;
    }
    mTasks.Spawn("serve", Serve(std::move(socket)));
  }
}

// Reads a peer's calls; each is answered by a task of its own, since the next
// may be answered sooner.
Task<void>
RelayService::Serve(tcp::socket aSocket)
{
  auto held = std::make_unique<PeerLink>(
    std::in_place_type<SocketLink>, std::move(aSocket), WsRole::Server, "");
  auto link = std::make_shared<Link>(mKernel.Context(), std::move(held));
  auto& socket = std::get<SocketLink>(*link->mLink);
  bool open = co_await socket.Open();
  if (!open) {
    co_return;
  }
  mIn.insert(link);
  mTasks.Spawn("write", Write(link));
  while (true) {
    auto messages = co_await socket.Receive();
    if (!messages) {
      break;
    }
    for (std::string& message : *messages) {
      mTasks.Spawn("answer", Answer(link, std::move(message)));
    }
  }
  mIn.erase(link);
  link->mFailed = true;
  link->mWritten.NotifyAll();
}

Task<void>
RelayService::Answer(LinkPtr aLink, std::string aMessage)
{
  auto call = ToExpected<Json>([&] { return ParseCbor(aMessage); });
  if (!Ok(call)) {
    LogWarn(kPart, "call ignored: {}", Describe(std::get<Failure>(call)));
    co_return;
  }
  Json held = std::get<Json>(std::move(call));
  bool shaped = held.is_array() && held.size() == kCallFields &&
                held[0].is_number_unsigned() && held[1].is_string() &&
                held[2].is_number_integer();
  auto handler =
    shaped ? mHandlers.find(held[1].get<std::string>()) : mHandlers.end();
  if (handler == mHandlers.end()) {
    LogWarn(kPart, "call of an unknown kind ignored");
    co_return;
  }
  auto number = held[0].get<std::uint64_t>();
  TimePoint due = mKernel.GetClock().Now() +
                  std::chrono::milliseconds(held[2].get<std::int64_t>());
  Json body = std::move(held[3]);
  Json reply = co_await handler->second(std::move(body), due);
  if (number != 0 && !aLink->mFailed) {
    Json message = Json::array({ number, std::move(reply) });
    Send(*aLink, message);
  }
}

void
RelayService::Send(Link& aLink, const Json& aMessage)
{
  std::string bytes = ToCbor(aMessage);
  std::visit([&](auto& aHeld) { aHeld.Queue(bytes); }, *aLink.mLink);
  aLink.mWritten.NotifyAll();
}

// The only task that writes to the link.
Task<void>
RelayService::Write(LinkPtr aLink)
{
  auto& socket = std::get<SocketLink>(*aLink->mLink);
  while (!aLink->mFailed) {
    bool alive = co_await socket.Flush();
    if (!alive) {
      aLink->mFailed = true;
      socket.Close();
      co_return;
    }
    // Flush returns only when nothing is queued, without a suspension since.
    co_await aLink->mWritten.Wait();
  }
}

Task<void>
RelayService::Connect(Endpoint aPeer, OutgoingPtr aOut)
{
  TimePoint due = mKernel.GetClock().Now() + kConnectTimeout;
  auto opened = co_await ConnectPeer(
    mConnector, mKernel.Context(), mKernel.GetClock(), aPeer, due);
  if (Ok(opened)) {
    auto held = std::get<0>(std::move(opened));
    auto link = std::make_shared<Link>(mKernel.Context(), std::move(held));
    auto& socket = std::get<SocketLink>(*link->mLink);
    Watchdog late(mKernel.GetClock(),
                  mKernel.GetClock().Now() + kConnectTimeout,
                  [&socket] { socket.Close(); });
    bool open = co_await socket.Open();
    if (open && !late.Fired()) {
      aOut->mLink = link;
      mTasks.Spawn("write", Write(link));
      mTasks.Spawn("replies", ReadReplies(link, aOut));
    }
  }
  aOut->mOpening = false;
  aOut->mChanged.NotifyAll();
}

Task<void>
RelayService::ReadReplies(LinkPtr aLink, OutgoingPtr aOut)
{
  auto& socket = std::get<SocketLink>(*aLink->mLink);
  while (true) {
    auto messages = co_await socket.Receive();
    if (!messages) {
      break;
    }
    aLink->mUnheardSince.reset();
    for (const std::string& message : *messages) {
      OnReply(*aOut, message);
    }
  }
  Fail(*aOut, aLink);
}

void
RelayService::OnReply(Outgoing& aOut, std::string_view aMessage)
{
  auto parsed = ToExpected<Json>([&] { return ParseCbor(aMessage); });
  if (!Ok(parsed)) {
    LogWarn(kPart, "answer ignored: {}", Describe(std::get<Failure>(parsed)));
    return;
  }
  Json reply = std::get<Json>(std::move(parsed));
  if (reply.is_array() && reply.size() == kCallFields) {
    // The called node tells something of its own accord.
    mTasks.Spawn("told", Answer(aOut.mLink, std::string(aMessage)));
    return;
  }
  bool shaped = reply.is_array() && reply.size() == kReplyFields &&
                reply[0].is_number_unsigned();
  auto it = shaped ? aOut.mCalls.find(reply[0].get<std::uint64_t>())
                   : aOut.mCalls.end();
  if (it != aOut.mCalls.end()) {
    it->second->mAnswered = true;
    it->second->mReply = std::move(reply[1]);
    it->second->mChanged.NotifyAll();
  }
}

// Every call on the link is lost with it.
void
RelayService::Fail(Outgoing& aOut, const LinkPtr& aLink)
{
  aLink->mFailed = true;
  std::visit([](auto& aHeld) { aHeld.Close(); }, *aLink->mLink);
  aLink->mWritten.NotifyAll();
  if (aOut.mLink != aLink) {
    return;
  }
  aOut.mLink = nullptr;
  for (auto& [number, call] : aOut.mCalls) {
    call->mLost = true;
    call->mChanged.NotifyAll();
  }
}

Task<Expected<Json>>
RelayService::Ask(Endpoint aPeer,
                  std::string aKind,
                  Json aBody,
                  TimePoint aDeadline)
{
  Clock& clock = mKernel.GetClock();
  OutgoingPtr& slot = mOut[aPeer];
  if (!slot) {
    slot = std::make_shared<Outgoing>(mKernel.Context());
  }
  OutgoingPtr out = slot;
  if (!out->mLink && !out->mOpening) {
    out->mOpening = true;
    mTasks.Spawn("connect", Connect(aPeer, out));
  }
  while (!out->mLink && out->mOpening && clock.Now() < aDeadline) {
    co_await WaitUntil(out->mChanged, clock, aDeadline);
  }
  if (!out->mLink) {
    co_return Failure(ConnectFailure{ aPeer });
  }
  LinkPtr link = out->mLink;
  std::uint64_t number = mNextCall++;
  auto call = std::make_shared<PendingCall>(mKernel.Context());
  out->mCalls.emplace(number, call);
  std::int64_t millis = ToMillis(aDeadline - clock.Now());
  Json message =
    Json::array({ number, std::move(aKind), millis, std::move(aBody) });
  Send(*link, message);
  if (!link->mUnheardSince) {
    link->mUnheardSince = clock.Now();
  }
  while (!call->mAnswered && !call->mLost && clock.Now() < aDeadline) {
    co_await WaitUntil(call->mChanged, clock, aDeadline);
  }
  out->mCalls.erase(number);
  if (call->mAnswered) {
    co_return std::move(call->mReply);
  }
  if (!call->mLost) {
    // Other calls on the link fail with it, so one slow answer isn't enough.
    bool silent =
      link->mUnheardSince && clock.Now() >= *link->mUnheardSince + kSilentAfter;
    if (silent) {
      Fail(*out, link);
    }
    co_return Failure(TimeoutFailure{});
  }
  co_return Failure(ConnectionLost{ aPeer });
}

void
RelayService::Tell(std::string_view aKind, const Json& aBody)
{
  Json message = Json::array({ 0U, std::string(aKind), 0, aBody });
  for (const LinkPtr& link : mIn) {
    Send(*link, message);
  }
  for (auto& [peer, out] : mOut) {
    if (out->mLink) {
      Send(*out->mLink, message);
    }
  }
}

} // namespace buckthornshunt
