#include "services/relay_service.h"

#include "kernel/contain.h"
#include "kernel/log.h"
#include "kernel/wait.h"
#include "wire/relay_codec.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace buckthornshunt {

using asio::ip::tcp;

namespace {

constexpr std::string_view kPart = "relay";
constexpr auto kCompletionToken = asio::as_tuple(asio::use_awaitable);
constexpr Duration kAcceptRetryInterval = std::chrono::milliseconds(100);
/// The latency between nodes is at most a few milliseconds; TCP retransmits a
/// lost SYN only after a second.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(700);

/// Time for another node to complete the handshake of its link.
constexpr Duration kHandshakeTimeout = std::chrono::seconds(2);

/// Links that were silent for less aren't closed for a newer one.
constexpr Duration kMinEvictionAge = std::chrono::seconds(3);

/// A link on which nothing arrives for this long after a call is considered
/// dead: a busy node answers some call within a few hundred milliseconds.
constexpr Duration kSilenceTimeout = std::chrono::milliseconds(700);

/// Time for calls in hand to be answered after the services that answer them
/// have stopped: none of them waits for anything any more.
constexpr Duration kStopGracePeriod = std::chrono::milliseconds(10);

} // namespace

RelayService::RelayService(Kernel& aKernel,
                           Endpoint aListen,
                           LinkLimits aLimits)
  : mKernel(aKernel)
  , mListen(std::move(aListen))
  , mLimits(aLimits)
  , mTasks(aKernel.Context(), &aKernel.Groups())
  , mAnswers(aKernel.Context(), &aKernel.Groups())
  , mSent(aKernel.Context())
  , mAcceptor(aKernel.Context())
  , mConnector(TcpConnector{})
  , mMalformed(aKernel.GetMetrics(), kPart)
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

// A caller without a reply must assume that its call was executed.
Task<void>
RelayService::Stop()
{
  Clock& clock = mKernel.GetClock();
  boost::system::error_code ec;
  mAcceptor.close(ec);
  TimePoint deadline = clock.Now() + kStopGracePeriod;
  {
    Watchdog watchdog(clock, deadline, [this] { mAnswers.CancelAll(); });
    co_await mAnswers.Join();
  }
  while (HasUnsentReplies() && clock.Now() < deadline) {
    co_await WaitUntil(mSent, clock, deadline);
  }
  mTasks.CancelAll();
  co_await mTasks.Join();
  mAnswers.CancelAll();
  co_await mAnswers.Join();
}

bool
RelayService::HasUnsentReplies() const
{
  return std::any_of(
    mIncoming.begin(), mIncoming.end(), [](const LinkPtr& aLink) {
      return aLink->mUnsent && !aLink->mFailed;
    });
}

void
RelayService::RegisterHandler(std::string_view aKind, Handler aHandler)
{
  mHandlers.insert_or_assign(std::string(aKind), std::move(aHandler));
}

Task<void>
RelayService::Accept()
{
  while (true) {
    tcp::socket socket(mKernel.Context());
    auto [ec] = co_await mAcceptor.async_accept(socket, kCompletionToken);
    if (ec == asio::error::operation_aborted) {
      co_return;
    }
    if (ec) {
      LogWarn(kPart, "accept failed, retrying: {}", ec.message());
      co_await mKernel.GetClock().Sleep(kAcceptRetryInterval);
      continue;
    }
    if (AdmitLink()) {
      mTasks.Spawn("serve", Serve(std::move(socket)));
    }
  }
}

// A node whose idle link is closed opens another for its next call.
bool
RelayService::AdmitLink()
{
  if (mAccepted.size() < mLimits.mMaxLinks) {
    return true;
  }
  auto longest = std::min_element(mAccepted.begin(),
                                  mAccepted.end(),
                                  [](const auto& aLeft, const auto& aRight) {
                                    return aLeft->mHeardAt < aRight->mHeardAt;
                                  });
  TimePoint latest = mKernel.GetClock().Now() - kMinEvictionAge;
  if (longest == mAccepted.end() || (*longest)->mHeardAt > latest) {
    return false;
  }
  CloseAccepted(LinkPtr(*longest));
  return true;
}

void
RelayService::CloseAccepted(const LinkPtr& aLink)
{
  mAccepted.erase(aLink);
  mHeldBytes -= std::exchange(aLink->mHeldBytes, 0);
  std::visit([](auto& aTypedLink) { aTypedLink.Close(); }, *aLink->mLink);
}

void
RelayService::UpdateHeldBytes(Link& aLink)
{
  const auto& socket = std::get<SocketLink>(*aLink.mLink);
  std::size_t held = socket.UnfinishedBytes() + socket.UnsentBytes();
  mHeldBytes += held - aLink.mHeldBytes;
  aLink.mHeldBytes = held;
  while (mHeldBytes > mLimits.mMaxHeldBytes) {
    auto largest =
      std::max_element(mAccepted.begin(),
                       mAccepted.end(),
                       [](const auto& aLeft, const auto& aRight) {
                         return aLeft->mHeldBytes < aRight->mHeldBytes;
                       });
    if (largest == mAccepted.end()) {
      return;
    }
    LogWarn(kPart,
            "link closed, all links hold too much bytes={}",
            (*largest)->mHeldBytes);
    CloseAccepted(LinkPtr(*largest));
  }
}

// Reads a peer's calls; each gets a task of its own, so that a slow call
// doesn't delay the next.
Task<void>
RelayService::Serve(tcp::socket aSocket)
{
  auto peerLink = std::make_unique<PeerLink>(
    std::in_place_type<SocketLink>, std::move(aSocket), WsRole::Server, "");
  auto link = std::make_shared<Link>(mKernel.Context(), std::move(peerLink));
  auto& socket = std::get<SocketLink>(*link->mLink);
  Clock& clock = mKernel.GetClock();
  link->mHeardAt = clock.Now();
  mAccepted.insert(link);
  bool open = false;
  {
    Watchdog watchdog(
      clock, clock.Now() + kHandshakeTimeout, [&socket] { socket.Close(); });
    open = co_await socket.Open();
    open = open && !watchdog.Fired();
  }
  if (!open) {
    mAccepted.erase(link);
    co_return;
  }
  mIncoming.insert(link);
  mTasks.Spawn("write", Write(link));
  while (true) {
    auto messages = co_await socket.ReceiveSome();
    if (!messages || !mAccepted.contains(link)) {
      break;
    }
    // The codec has answered pings by itself.
    if (socket.UnsentBytes() > 0) {
      link->mQueued.NotifyAll();
    }
    UpdateHeldBytes(*link);
    if (!messages->empty()) {
      link->mHeardAt = clock.Now();
    }
    for (std::string& message : *messages) {
      mAnswers.Spawn("answer", HandleCall(link, std::move(message)));
    }
  }
  mIncoming.erase(link);
  CloseAccepted(link);
  link->mFailed = true;
  link->mQueued.NotifyAll();
}

Task<void>
RelayService::HandleCall(LinkPtr aLink, std::string aMessage)
{
  auto decoded = ToExpected<LinkCall>([&] { return DecodeLinkCall(aMessage); });
  if (!Ok(decoded)) {
    mMalformed.Record("calls", "", Describe(std::get<Failure>(decoded)));
    co_return;
  }
  LinkCall call = std::get<LinkCall>(std::move(decoded));
  auto handler = mHandlers.find(call.mKind);
  if (handler == mHandlers.end()) {
    mMalformed.Record("calls", call.mKind, "unknown kind");
    co_return;
  }
  TimePoint deadline = mKernel.GetClock().Now() + call.mTimeLeft;
  Task<Json> handling = handler->second(std::move(call.mBody), deadline);
  auto reply = co_await ContainFailure(kPart, std::move(handling));
  // A cancelled handler may have returned without having done its work.
  auto cancellation = co_await asio::this_coro::cancellation_state;
  bool complete = cancellation.cancelled() == asio::cancellation_type::none;
  if (reply && complete && call.mNumber != 0 && !aLink->mFailed) {
    Json message = Json::array({ call.mNumber, std::move(*reply) });
    Send(*aLink, message);
  }
}

void
RelayService::Send(Link& aLink, const Json& aMessage)
{
  std::string bytes = ToCbor(aMessage);
  std::visit([&](auto& aTypedLink) { aTypedLink.Queue(bytes); }, *aLink.mLink);
  aLink.mUnsent = true;
  aLink.mQueued.NotifyAll();
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
    // Flush doesn't suspend after it has emptied the queue, so that no
    // notification is missed.
    aLink->mUnsent = false;
    mSent.NotifyAll();
    co_await aLink->mQueued.Wait();
  }
}

Task<void>
RelayService::Connect(Endpoint aPeer, OutgoingPtr aOut)
{
  TimePoint deadline = mKernel.GetClock().Now() + kConnectTimeout;
  auto opened = co_await ConnectPeer(
    mConnector, mKernel.Context(), mKernel.GetClock(), aPeer, deadline);
  if (Ok(opened)) {
    auto peerLink = std::get<0>(std::move(opened));
    auto link = std::make_shared<Link>(mKernel.Context(), std::move(peerLink));
    auto& socket = std::get<SocketLink>(*link->mLink);
    Watchdog watchdog(mKernel.GetClock(),
                      mKernel.GetClock().Now() + kConnectTimeout,
                      [&socket] { socket.Close(); });
    bool open = co_await socket.Open();
    if (open && !watchdog.Fired()) {
      aOut->mLink = link;
      mTasks.Spawn("write", Write(link));
      mTasks.Spawn("replies", ReadReplies(link, aOut));
    }
  }
  aOut->mConnecting = false;
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
    aLink->mSilentSince.reset();
    for (const std::string& message : *messages) {
      OnReply(*aOut, message);
    }
  }
  FailLink(*aOut, aLink);
}

void
RelayService::OnReply(OutgoingLink& aOut, std::string_view aMessage)
{
  auto parsed = ToExpected<Json>([&] { return ParseCbor(aMessage); });
  if (!Ok(parsed)) {
    mMalformed.Record("answers", "", Describe(std::get<Failure>(parsed)));
    return;
  }
  Json reply = std::get<Json>(std::move(parsed));
  if (reply.is_array() && reply.size() == kLinkCallFields) {
    // A broadcast of the called node.
    mAnswers.Spawn("told", HandleCall(aOut.mLink, std::string(aMessage)));
    return;
  }
  bool valid = reply.is_array() && reply.size() == kLinkReplyFields &&
               reply[0].is_number_unsigned();
  auto it =
    valid ? aOut.mCalls.find(reply[0].get<std::uint64_t>()) : aOut.mCalls.end();
  if (it != aOut.mCalls.end()) {
    it->second->mAnswered = true;
    it->second->mReply = std::move(reply[1]);
    it->second->mChanged.NotifyAll();
  }
}

// Closes a link and fails all calls that are pending on it.
void
RelayService::FailLink(OutgoingLink& aOut, const LinkPtr& aLink)
{
  aLink->mFailed = true;
  std::visit([](auto& aTypedLink) { aTypedLink.Close(); }, *aLink->mLink);
  aLink->mQueued.NotifyAll();
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
RelayService::Call(Endpoint aPeer,
                   std::string aKind,
                   Json aBody,
                   TimePoint aDeadline)
{
  Clock& clock = mKernel.GetClock();
  OutgoingPtr& entry = mOutgoing[aPeer];
  if (!entry) {
    entry = std::make_shared<OutgoingLink>(mKernel.Context());
  }
  OutgoingPtr out = entry;
  if (!out->mLink && !out->mConnecting) {
    out->mConnecting = true;
    mTasks.Spawn("connect", Connect(aPeer, out));
  }
  while (!out->mLink && out->mConnecting && clock.Now() < aDeadline) {
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
  if (!link->mSilentSince) {
    link->mSilentSince = clock.Now();
  }
  while (!call->mAnswered && !call->mLost && clock.Now() < aDeadline) {
    co_await WaitUntil(call->mChanged, clock, aDeadline);
  }
  out->mCalls.erase(number);
  if (call->mAnswered) {
    co_return std::move(call->mReply);
  }
  if (!call->mLost) {
    // Failing the link fails its other calls too, so one slow answer isn't
    // enough.
    bool silent = link->mSilentSince &&
                  clock.Now() >= *link->mSilentSince + kSilenceTimeout;
    if (silent) {
      FailLink(*out, link);
    }
    co_return Failure(TimeoutFailure{});
  }
  co_return Failure(ConnectionLost{ aPeer });
}

void
RelayService::Broadcast(std::string_view aKind, const Json& aBody)
{
  Json message = Json::array({ 0U, std::string(aKind), 0, aBody });
  for (const LinkPtr& link : mIncoming) {
    Send(*link, message);
  }
  for (auto& [peer, out] : mOutgoing) {
    if (out->mLink) {
      Send(*out->mLink, message);
    }
  }
}

} // namespace buckthornshunt
