#include "net/http_client.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <cerrno>

#include <sys/socket.h>

namespace buckthornshunt {

namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace {

constexpr auto kToken = asio::as_tuple(asio::use_awaitable);
constexpr Duration kConnectTimeout = std::chrono::seconds(1);
/// Longest pause within a reply that is read beyond its deadline; more than a
/// lost segment takes to be sent again.
constexpr Duration kMaxReplySilence = std::chrono::milliseconds(400);
/// Read at a time of replies that may be pages of rows; the library's limit.
constexpr std::size_t kPageReadBytes = 64 * 1024;
/// More than a page of the store, 1 MB as base64, and an object of 8 MB.
constexpr std::uint64_t kMaxReplyBodyBytes = 16ULL * 1024 * 1024;
/// Input held beside the parser, which takes a chunk's header and the trailer
/// only as a whole.
constexpr std::size_t kMaxInputBytes = 256 * 1024;
constexpr std::size_t kMaxIdlePerServer = 32;

/// Connections idle for longer aren't reused: a middlebox may have dropped
/// their state.
constexpr Duration kIdleTimeout = std::chrono::seconds(10);
/// Connections idle for less are reused without a check, since servers keep
/// idle connections open for seconds.
constexpr Duration kLivenessCheckDelay = std::chrono::milliseconds(50);

http::request<http::string_body>
ToMessage(const Endpoint& aServer, HttpRequest aRequest)
{
  http::request<http::string_body> message;
  message.version(11);
  message.method_string(aRequest.mMethod);
  message.target(aRequest.mTarget);
  message.set(http::field::host, ToString(aServer));
  for (const auto& [name, value] : aRequest.mFields) {
    message.set(name, value);
  }
  message.body() = std::move(aRequest.mBody);
  message.prepare_payload();
  return message;
}

HttpReply
ToReply(http::response<http::string_body> aMessage)
{
  HttpReply reply;
  reply.mStatus = static_cast<int>(aMessage.result_int());
  for (const auto& field : aMessage) {
    reply.mFields.emplace_back(std::string(field.name_string()),
                               std::string(field.value()));
  }
  reply.mBody = std::move(aMessage.body());
  return reply;
}

} // namespace

namespace {

/// Registers the abort handler of a call for the scope's duration.
class AbortRegistration
{
public:
  AbortRegistration(CallControl* aControl, std::function<void()> aAbort)
    : mControl(aControl)
  {
    if (mControl != nullptr) {
      mControl->SetAbortHandler(std::move(aAbort));
    }
  }
  ~AbortRegistration()
  {
    if (mControl != nullptr) {
      mControl->SetAbortHandler(nullptr);
    }
  }
  AbortRegistration(const AbortRegistration&) = delete;
  AbortRegistration& operator=(const AbortRegistration&) = delete;

private:
  CallControl* mControl;
};

} // namespace

class HttpConnection
{
public:
  explicit HttpConnection(asio::io_context& aContext)
    : mSocket(aContext)
    , mBuffer(kMaxInputBytes)
  {
  }

  // Resets the connection, which discards unsent data. After an ordinary close
  // the TCP stack would keep sending it, and the server could execute a request
  // long after the client abandoned it.
  void Abort()
  {
    boost::system::error_code ec;
    mSocket.set_option(asio::socket_base::linger(true, 0), ec);
    mSocket.close(ec);
  }

  // Bytes that have arrived and not been read; 0 if that can't be told.
  std::uint64_t Unread() const
  {
    boost::system::error_code ec;
    std::size_t n = mSocket.available(ec);
    return ec ? 0 : n;
  }

  // An idle connection is readable once the server has closed it.
  bool IsAlive()
  {
    char byte = 0;
    ssize_t n =
      ::recv(mSocket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && errno == EAGAIN;
  }

  tcp::socket mSocket;
  beast::flat_buffer mBuffer;
  TimePoint mIdleSince;
};

HttpClient::HttpClient(asio::io_context& aContext, Clock& aClock)
  : mContext(aContext)
  , mClock(aClock)
{
}

HttpClient::~HttpClient() = default;

HttpClient::ConnectionPtr
HttpClient::AcquireIdle(const Endpoint& aServer)
{
  auto it = mIdleConnections.find(aServer);
  if (it == mIdleConnections.end()) {
    return nullptr;
  }
  TimePoint oldestUsable = mClock.Now() - kIdleTimeout;
  while (!it->second.empty()) {
    ConnectionPtr connection = std::move(it->second.back());
    it->second.pop_back();
    bool recentlyUsed =
      connection->mIdleSince >= mClock.Now() - kLivenessCheckDelay;
    bool usable = recentlyUsed || (connection->mIdleSince >= oldestUsable &&
                                   connection->IsAlive());
    if (usable) {
      return connection;
    }
  }
  return nullptr;
}

void
HttpClient::ReleaseIdle(const Endpoint& aServer, ConnectionPtr aConnection)
{
  std::vector<ConnectionPtr>& idle = mIdleConnections[aServer];
  if (idle.size() < kMaxIdlePerServer) {
    aConnection->mIdleSince = mClock.Now();
    idle.push_back(std::move(aConnection));
  }
}

void
HttpClient::CloseIdle(const Endpoint& aServer)
{
  mIdleConnections.erase(aServer);
}

std::size_t
HttpClient::IdleConnectionCount() const
{
  std::size_t n = 0;
  for (const auto& [server, idle] : mIdleConnections) {
    n += idle.size();
  }
  return n;
}

Task<Expected<HttpClient::ConnectionPtr>>
HttpClient::Open(const Endpoint& aServer, TimePoint aDeadline)
{
  Endpoint server = aServer;
  auto connection = std::make_unique<HttpConnection>(mContext);
  boost::system::error_code ec;
  auto address = asio::ip::make_address(server.mHost, ec);
  if (ec) {
    co_return Failure(ConnectFailure{ server });
  }
  tcp::endpoint endpoint(address, server.mPort);
  TimePoint connectDeadline =
    std::min(aDeadline, mClock.Now() + kConnectTimeout);
  Watchdog watchdog(mClock, connectDeadline, [&] { connection->Abort(); });
  auto [error] = co_await connection->mSocket.async_connect(endpoint, kToken);
  if (error || watchdog.Fired()) {
    co_return Failure(ConnectFailure{ server });
  }
  connection->mSocket.set_option(tcp::no_delay(true), ec);
  co_return connection;
}

Task<Expected<HttpReply>>
HttpClient::Exchange(Endpoint aServer,
                     HttpRequest aRequest,
                     TimePoint aDeadline,
                     CallControl* aControl,
                     Duration aReplyExtension)
{
  ConnectionPtr connection = AcquireIdle(aServer);
  if (!connection) {
    auto opened = co_await Open(aServer, aDeadline);
    if (!Ok(opened)) {
      co_return std::get<Failure>(std::move(opened));
    }
    connection = std::get<ConnectionPtr>(std::move(opened));
    // The process may have been suspended past the deadline while connecting.
    if (mClock.Now() >= aDeadline) {
      co_return Failure(ConnectFailure{ aServer });
    }
  }
  auto message = ToMessage(aServer, std::move(aRequest));
  TimeoutFailure timeout;
  auto abortAt = [&](TimePoint aDue) {
    return [&, aDue] {
      timeout.mUnreadBytes = connection->Unread();
      timeout.mLateness = mClock.Now() - aDue;
      connection->Abort();
    };
  };
  AbortRegistration abortRegistration(
    aControl, [target = connection.get()] { target->Abort(); });
  {
    Watchdog watchdog(mClock, aDeadline, abortAt(aDeadline));
    auto [error, written] =
      co_await http::async_write(connection->mSocket, message, kToken);
    if (watchdog.Fired()) {
      co_return Failure(timeout);
    }
    if (error) {
      co_return Failure(ConnectionLost{ aServer });
    }
  }
  // Each read waits for its turn behind the other tasks of the process, and
  // takes 512 bytes without room for more.
  if (aReplyExtension > Duration::zero()) {
    connection->mBuffer.reserve(kPageReadBytes);
  }
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMaxReplyBodyBytes);
  boost::system::error_code readError;
  while (!parser.is_done() && !readError) {
    // The deadline is for the server. A reply that arrives over a slow link, or
    // is read late by a busy process, would take as long again on a retry.
    TimePoint due = aDeadline;
    if (timeout.mReceivedBytes > 0) {
      due = std::clamp(mClock.Now() + kMaxReplySilence,
                       aDeadline,
                       aDeadline + aReplyExtension);
    }
    Watchdog watchdog(mClock, due, abortAt(due));
    auto [error, n] = co_await http::async_read_some(
      connection->mSocket, connection->mBuffer, parser, kToken);
    timeout.mReceivedBytes += n;
    if (watchdog.Fired() && !parser.is_done()) {
      co_return Failure(timeout);
    }
    readError = error;
  }
  if (readError) {
    bool connectionLost =
      readError.category() == boost::system::system_category() ||
      readError == http::error::end_of_stream ||
      readError == http::error::partial_message ||
      readError.category() == asio::error::get_misc_category();
    co_return connectionLost ? Failure(ConnectionLost{ aServer })
                             : Failure(ProtocolFailure{ aServer });
  }
  // A deadline that passed as the last bytes were read has closed it.
  bool keepAlive = parser.get().keep_alive() && connection->mSocket.is_open();
  HttpReply reply = ToReply(parser.release());
  if (keepAlive) {
    ReleaseIdle(aServer, std::move(connection));
  }
  co_return reply;
}

} // namespace buckthornshunt
