#include "net/http_server.h"

#include "buckthornshunt/failure.h"
#include "kernel/contain.h"
#include "kernel/log.h"
#include "kernel/wait.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/leaf/error.hpp>

#include <algorithm>
#include <array>
#include <cerrno>
#include <iterator>
#include <optional>
#include <utility>
#include <vector>

#include <sys/socket.h>

namespace buckthornshunt {

namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace {

constexpr auto kToken = asio::as_tuple(asio::use_awaitable);
constexpr Duration kAcceptRetryInterval = std::chrono::milliseconds(100);
/// How long input is discarded after the last reply of a connection.
constexpr Duration kLingerTimeout = std::chrono::milliseconds(500);
/// Connections above the limit that may be open while they get their answer.
constexpr std::size_t kMaxRejections = 64;
/// While a connection has arrived within this time, a drain goes on accepting.
constexpr Duration kArrivalTimeout = std::chrono::milliseconds(500);
/// A drain ends accepting this long before its deadline, so that requests of
/// the last connections can be received and answered.
constexpr Duration kAnswerReserve = std::chrono::seconds(1);
/// How long a drain waits for a request on an idle connection.
constexpr Duration kIdleDrainTimeout = std::chrono::milliseconds(500);
/// Input that a connection may hold beside its parser. The parser takes bodies
/// as they arrive, but a chunk's header and the trailer only as a whole.
constexpr std::size_t kMaxInputBytes = 128 * 1024;
/// Read at a time: of a header, and of a body.
constexpr std::size_t kHeaderReadBytes = 4 * 1024;
constexpr std::size_t kBodyReadBytes = 32 * 1024;
/// Connections that hold less aren't closed for the memory that they take.
constexpr std::uint64_t kMinEvictedBytes = 16 * 1024;
/// Received by the system and not yet read, for each connection.
constexpr int kReceiveBufferBytes = 64 * 1024;
constexpr int kStatusUnavailable = 503;
constexpr int kStatusBadRequest = 400;
constexpr int kStatusTooLarge = 413;
constexpr int kStatusHeadersTooLarge = 431;

using Parser = http::request_parser<http::string_body>;

HttpRequest
ExtractRequest(Parser& aParser)
{
  auto message = aParser.release();
  HttpRequest request;
  request.mMethod = std::string(message.method_string());
  request.mTarget = std::string(message.target());
  for (const auto& field : message) {
    request.mFields.emplace_back(std::string(field.name_string()),
                                 std::string(field.value()));
  }
  request.mBody = std::move(message.body());
  return request;
}

http::response<http::string_body>
ToMessage(HttpReply aReply, bool aKeepAlive)
{
  http::response<http::string_body> message;
  message.version(11);
  message.result(static_cast<unsigned>(aReply.mStatus));
  for (const auto& [name, value] : aReply.mFields) {
    message.set(name, value);
  }
  message.keep_alive(aKeepAlive);
  message.body() = std::move(aReply.mBody);
  message.prepare_payload();
  return message;
}

// Reply status for a failed read of a request; 0 if the client disconnected.
int
ReadErrorStatus(const boost::system::error_code& aError)
{
  if (aError == http::error::body_limit) {
    return kStatusTooLarge;
  }
  if (aError == http::error::header_limit ||
      aError == http::error::buffer_overflow) {
    return kStatusHeadersTooLarge;
  }
  if (aError == asio::error::no_buffer_space) {
    return kStatusUnavailable;
  }
  bool malformed = aError.category() ==
                   http::make_error_code(http::error::bad_method).category();
  bool disconnected = aError == http::error::end_of_stream ||
                      aError == http::error::partial_message;
  return malformed && !disconnected ? kStatusBadRequest : 0;
}

// Reply to a request that hasn't been handled.
HttpReply
UnavailableReply()
{
  HttpReply reply = MakeReply(kStatusUnavailable, kJsonType, "{}");
  reply.mFields.emplace_back("Retry-After", "1");
  return reply;
}

std::string_view
FaultForStatus(int aStatus)
{
  bool tooLarge =
    aStatus == kStatusTooLarge || aStatus == kStatusHeadersTooLarge;
  return ToString(tooLarge ? MessageFault::TooLarge : MessageFault::Malformed);
}

} // namespace

struct HttpServer::Connection : std::enable_shared_from_this<Connection>
{
  enum class Stage : std::uint8_t
  {
    Reading,
    Handling,
    Replying,
    Replied
  };

  Connection(tcp::socket aSocket, std::shared_ptr<ConnectionSet> aOpen)
    : mSocket(std::move(aSocket))
    , mOpen(std::move(aOpen))
    , mBuffer(kMaxInputBytes)
  {
    mOpen->insert(this);
  }
  ~Connection() { mOpen->erase(this); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void Close()
  {
    boost::system::error_code ec;
    mSocket.close(ec);
  }

  // Frees what has been received, for a closed connection whose task ends only
  // at its next turn. The parser stays, since that task refers to it.
  void FreeInput()
  {
    mBuffer.clear();
    mBuffer.shrink_to_fit();
    if (mParser) {
      std::string().swap(mParser->get().body());
    }
  }

  // Bytes received for a request that hasn't been read completely.
  std::size_t UnreadBytes() const
  {
    boost::system::error_code ec;
    std::size_t n = mBuffer.size() + mSocket.available(ec);
    return n + (mParser && mParser->got_some() ? 1 : 0);
  }

  // Whether nothing has been received of the request that is awaited.
  bool IsIdle() const
  {
    return mStage == Stage::Reading && !mReadCancelled && UnreadBytes() == 0;
  }

  // Unlike a close, this doesn't lose a request that has just been received.
  void CancelRead()
  {
    boost::system::error_code ec;
    mReadCancelled = true;
    mSocket.cancel(ec);
  }

  // While a request is in progress, the socket becomes readable if the client
  // closes the connection or pipelines its next request.
  void WatchForDisconnect(const std::shared_ptr<CallerState>& aCaller)
  {
    mSocket.async_wait(
      tcp::socket::wait_read,
      [this, aCaller](boost::system::error_code aError) {
        // If this is the last reference, the connection may be destroyed too.
        if (aError || aCaller.use_count() == 1) {
          return;
        }
        char byte = 0;
        ssize_t n =
          ::recv(mSocket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        bool closed = n == 0 || (n < 0 && errno != EAGAIN);
        if (closed) {
          aCaller->MarkDisconnected();
        }
      });
  }

  tcp::socket mSocket;
  /// Contains this connection while it exists.
  std::shared_ptr<ConnectionSet> mOpen;
  beast::flat_buffer mBuffer;
  /// Parser of the request that is being read.
  std::optional<Parser> mParser;
  /// Part of the server's held bytes that is this connection's.
  std::uint64_t mHeldBytes = 0;
  Stage mStage = Stage::Reading;
  TimePoint mReadingSince;
  bool mReadCancelled = false;
  /// The drain answers the request instead of the connection's task.
  bool mAnsweredByDrain = false;
  /// Method, target and start of the request that is being handled.
  std::string mRequestLine;
  TimePoint mRequestReadAt;
};

HttpServer::HttpServer(asio::io_context& aContext,
                       Clock& aClock,
                       std::string_view aLogPart,
                       HttpLimits aLimits,
                       HttpHandler aHandler)
  : mContext(aContext)
  , mClock(aClock)
  , mLogPart(aLogPart)
  , mLimits(aLimits)
  , mHandler(std::move(aHandler))
  , mAcceptor(aContext)
  , mOpenConnections(std::make_shared<ConnectionSet>())
  , mEnded(aContext)
  , mTasks(aContext)
{
}

leaf::result<void>
HttpServer::Listen(const Endpoint& aEndpoint)
{
  boost::system::error_code ec;
  auto address = asio::ip::make_address(aEndpoint.mHost, ec);
  tcp::endpoint endpoint(address, aEndpoint.mPort);
  auto fail = [&] {
    return leaf::new_error(Failure(ListenFailure{ aEndpoint }));
  };
  if (ec) {
    return fail();
  }
  mAcceptor.open(endpoint.protocol(), ec);
  mAcceptor.set_option(tcp::acceptor::reuse_address(true), ec);
  // Connections inherit it.
  mAcceptor.set_option(
    asio::socket_base::receive_buffer_size(kReceiveBufferBytes), ec);
  mAcceptor.bind(endpoint, ec);
  if (ec) {
    return fail();
  }
  mAcceptor.listen(tcp::acceptor::max_listen_connections, ec);
  if (ec) {
    return fail();
  }
  mPort = mAcceptor.local_endpoint().port();
  mTasks.Spawn("accept", Accept());
  return {};
}

// A failed accept, for example for too many open files, must not end the loop;
// the retry interval keeps it from spinning.
Task<void>
HttpServer::Accept()
{
  std::size_t maxOpen = mLimits.mMaxConnections + kMaxRejections;
  while (mAcceptor.is_open()) {
    if (Connections() >= maxOpen) {
      co_await mEnded.Wait();
      continue;
    }
    tcp::socket socket(mContext);
    boost::system::error_code ec;
    if (mEmptyingListenQueue) {
      mAcceptor.accept(socket, ec);
      if (ec == asio::error::would_block) {
        mAcceptor.close(ec);
        break;
      }
    } else {
      auto [error] = co_await mAcceptor.async_accept(socket, kToken);
      ec = error;
    }
    if (ec == asio::error::operation_aborted) {
      continue;
    }
    if (ec) {
      LogWarn(
        mLogPart, "accept failed, retrying after a delay: {}", ec.message());
      co_await mClock.Sleep(kAcceptRetryInterval);
      continue;
    }
    mLastAcceptAt = mClock.Now();
    Admit(std::move(socket));
  }
  mEnded.NotifyAll();
}

void
HttpServer::Admit(tcp::socket aSocket)
{
  boost::system::error_code ec;
  aSocket.set_option(tcp::no_delay(true), ec);
  bool full = Connections() >= mLimits.mMaxConnections && !EvictSlowest();
  auto connection =
    std::make_shared<Connection>(std::move(aSocket), mOpenConnections);
  connection->mReadingSince = mClock.Now();
  if (full) {
    mTasks.Spawn("rejection", Reject(std::move(connection)));
  } else {
    mTasks.Spawn("connection", Serve(std::move(connection)));
  }
}

Task<void>
HttpServer::Serve(std::shared_ptr<Connection> aConnection)
{
  bool keepOpen = true;
  while (keepOpen && !mStopping) {
    keepOpen = co_await ServeOne(*aConnection);
  }
  bool replied = aConnection->mStage == Connection::Stage::Replied;
  if (replied && !aConnection->mAnsweredByDrain) {
    co_await DiscardInput(*aConnection);
  }
  Release(std::move(aConnection));
}

Task<void>
HttpServer::Reject(std::shared_ptr<Connection> aConnection)
{
  aConnection->mRequestLine = "connection above the limit";
  aConnection->mRequestReadAt = mClock.Now();
  bool sent = co_await WriteReply(*aConnection, UnavailableReply(), false);
  if (sent) {
    co_await DiscardInput(*aConnection);
  }
  Release(std::move(aConnection));
}

// Clients that never finish a request would otherwise keep all others out until
// they time out. Which of them are idle between two requests can't be told
// apart, and those lose nothing.
bool
HttpServer::EvictSlowest()
{
  Connection* slowest = nullptr;
  for (Connection* connection : *mOpenConnections) {
    bool waits = connection->mStage == Connection::Stage::Reading &&
                 connection->mSocket.is_open();
    if (waits && (slowest == nullptr ||
                  connection->mReadingSince < slowest->mReadingSince)) {
      slowest = connection;
    }
  }
  TimePoint latest = mClock.Now() - mLimits.mMinEvictionAge;
  if (slowest == nullptr || slowest->mReadingSince > latest) {
    return false;
  }
  CloseConnection(*slowest, "evicted for a newer one");
  return true;
}

void
HttpServer::UpdateHeldBytes(Connection& aConnection)
{
  std::uint64_t held = aConnection.mBuffer.capacity();
  if (aConnection.mParser) {
    held += aConnection.mParser->get().body().capacity();
  }
  mHeldBytes += held - aConnection.mHeldBytes;
  aConnection.mHeldBytes = held;
}

// Whoever crosses the limit needn't be the one who holds the memory: clients
// that stop in the middle of their requests would shut out all others.
bool
HttpServer::LimitHeldBytes(Connection& aConnection)
{
  while (mHeldBytes > mLimits.mMaxHeldBytes) {
    Connection* longest = nullptr;
    for (Connection* connection : *mOpenConnections) {
      bool candidate = connection->mStage == Connection::Stage::Reading &&
                       connection->mHeldBytes >= kMinEvictedBytes;
      if (candidate && (longest == nullptr ||
                        connection->mReadingSince < longest->mReadingSince)) {
        longest = connection;
      }
    }
    if (longest == nullptr || longest == &aConnection) {
      return false;
    }
    CloseConnection(*longest, "evicted, all connections hold too much");
    longest->FreeInput();
    mHeldBytes -= std::exchange(longest->mHeldBytes, 0);
  }
  return true;
}

// Closes a connection and wakes the tasks that wait for its end.
void
HttpServer::Release(std::shared_ptr<Connection> aConnection)
{
  mHeldBytes -= std::exchange(aConnection->mHeldBytes, 0);
  aConnection.reset();
  mEnded.NotifyAll();
}

// Reads what has arrived, and gives it to the parser.
Task<boost::system::error_code>
HttpServer::ReadSome(Connection& aConnection)
{
  beast::flat_buffer& buffer = aConnection.mBuffer;
  Parser& parser = *aConnection.mParser;
  std::size_t room = buffer.max_size() - buffer.size();
  if (room == 0) {
    co_return make_error_code(http::error::buffer_overflow);
  }
  std::size_t want =
    parser.is_header_done() ? kBodyReadBytes : kHeaderReadBytes;
  auto [error, n] = co_await aConnection.mSocket.async_read_some(
    buffer.prepare(std::min(want, room)), kToken);
  buffer.commit(n);
  boost::system::error_code ec = error;
  if (ec == asio::error::eof) {
    if (!parser.got_some()) {
      co_return make_error_code(http::error::end_of_stream);
    }
    ec = {};
    parser.put_eof(ec);
    co_return ec;
  }
  co_return ec;
}

namespace {

// Parses the input; without an error if the parser needs more.
boost::system::error_code
ParseInput(Parser& aParser, beast::flat_buffer& aBuffer)
{
  boost::system::error_code ec;
  if (aBuffer.size() > 0) {
    aBuffer.consume(aParser.put(aBuffer.data(), ec));
  }
  if (ec == http::error::need_more) {
    ec = {};
  }
  return ec;
}

std::size_t
CountFields(const Parser& aParser)
{
  const auto& fields = aParser.get();
  return static_cast<std::size_t>(std::distance(fields.begin(), fields.end()));
}

} // namespace

// Reads the connection's next request into its parser. A cancelled read goes on
// if input has arrived meanwhile.
Task<boost::system::error_code>
HttpServer::ReadRequest(Connection& aConnection)
{
  aConnection.mStage = Connection::Stage::Reading;
  aConnection.mReadingSince = mClock.Now();
  Parser& parser = aConnection.mParser.emplace();
  parser.header_limit(mLimits.mMaxHeaderBytes);
  parser.body_limit(mLimits.mMaxBodyBytes);
  parser.eager(true);
  // An idle connection holds little.
  if (aConnection.mBuffer.size() == 0 &&
      aConnection.mBuffer.capacity() > kHeaderReadBytes) {
    aConnection.mBuffer.shrink_to_fit();
  }
  UpdateHeldBytes(aConnection);
  Watchdog watchdog(mClock, mClock.Now() + mLimits.mIdleTimeout, [&] {
    CloseConnection(aConnection, "not received in time");
  });
  boost::system::error_code ec = ParseInput(parser, aConnection.mBuffer);
  bool begun = parser.got_some();
  while (!ec && !parser.is_done()) {
    aConnection.mReadCancelled = false;
    ec = co_await ReadSome(aConnection);
    if (ec == asio::error::operation_aborted && aConnection.mReadCancelled &&
        !mDeadlinePassed && aConnection.UnreadBytes() > 0) {
      ec = {};
      continue;
    }
    if (!ec && !parser.is_done()) {
      ec = ParseInput(parser, aConnection.mBuffer);
    }
    if (!begun && parser.got_some()) {
      begun = true;
      aConnection.mReadingSince = mClock.Now();
    }
    if (!ec && parser.is_header_done() &&
        CountFields(parser) > mLimits.mMaxFields) {
      ec = make_error_code(http::error::header_limit);
    }
    UpdateHeldBytes(aConnection);
    if (!ec && !parser.is_done() && !LimitHeldBytes(aConnection)) {
      ec = asio::error::no_buffer_space;
    }
  }
  co_return ec;
}

// Reads one request, calls the handler and writes the reply. Returns false if
// the connection is to be closed.
Task<bool>
HttpServer::ServeOne(Connection& aConnection)
{
  auto readError = co_await ReadRequest(aConnection);
  if (aConnection.mAnsweredByDrain) {
    co_return false;
  }
  HttpReply reply;
  bool keepAlive = false;
  bool received = !readError || aConnection.UnreadBytes() > 0;
  if (mDeadlinePassed && received) {
    aConnection.mRequestLine = "late request";
    aConnection.mRequestReadAt = mClock.Now();
    reply = UnavailableReply();
  } else if (readError) {
    int status = ReadErrorStatus(readError);
    if (status == 0) {
      co_return false;
    }
    aConnection.mRequestLine = "unreadable request";
    aConnection.mRequestReadAt = mClock.Now();
    std::string body =
      "{\"error\":\"" + std::string(FaultForStatus(status)) + "\"}";
    reply = status == kStatusUnavailable
              ? UnavailableReply()
              : MakeReply(status, kJsonType, std::move(body));
    // What it holds isn't needed while the reply is sent.
    aConnection.mParser.reset();
    aConnection.mBuffer.clear();
    aConnection.mBuffer.shrink_to_fit();
    UpdateHeldBytes(aConnection);
  } else {
    keepAlive = aConnection.mParser->get().keep_alive();
    HttpRequest request = ExtractRequest(*aConnection.mParser);
    aConnection.mParser.reset();
    aConnection.mStage = Connection::Stage::Handling;
    aConnection.mRequestLine = request.mMethod + " " + request.mTarget;
    aConnection.mRequestReadAt = mClock.Now();
    auto caller = std::make_shared<CallerState>();
    aConnection.WatchForDisconnect(caller);
    Task<HttpReply> handling = mHandler(request, *caller);
    auto handled = co_await ContainFailure(mLogPart, std::move(handling));
    // Without a reply, the caller knows that its request may have been
    // executed.
    if (aConnection.mAnsweredByDrain || !handled) {
      co_return false;
    }
    reply = std::move(*handled);
  }
  keepAlive = keepAlive && !mStopping && !mDraining;
  bool sent = co_await WriteReply(aConnection, std::move(reply), keepAlive);
  keepAlive = keepAlive && sent;
  co_return keepAlive;
}

// Returns whether the reply was sent.
Task<bool>
HttpServer::WriteReply(Connection& aConnection,
                       HttpReply aReply,
                       bool aKeepAlive)
{
  aConnection.mStage = Connection::Stage::Replying;
  auto message = ToMessage(std::move(aReply), aKeepAlive);
  Watchdog watchdog(mClock, mClock.Now() + mLimits.mIdleTimeout, [&] {
    CloseConnection(aConnection, "reply not sent in time");
  });
  auto [ec, n] =
    co_await http::async_write(aConnection.mSocket, message, kToken);
  if (!ec) {
    aConnection.mStage = Connection::Stage::Replied;
  }
  co_return !ec;
}

// Closing a socket with unread input resets the connection, and the client may
// lose the reply. What it sends after the last reply is therefore read, and
// discarded, until it closes its side.
Task<void>
HttpServer::DiscardInput(Connection& aConnection)
{
  boost::system::error_code ec;
  aConnection.mSocket.shutdown(tcp::socket::shutdown_send, ec);
  Watchdog watchdog(
    mClock, mClock.Now() + kLingerTimeout, [&] { aConnection.Close(); });
  std::array<char, 1024> buf{};
  while (!ec) {
    auto [readError, n] =
      co_await aConnection.mSocket.async_read_some(asio::buffer(buf), kToken);
    ec = readError;
  }
}

void
HttpServer::StopAccepting()
{
  mStopping = true;
  boost::system::error_code ec;
  mAcceptor.close(ec);
  for (Connection* connection : *mOpenConnections) {
    if (connection->mStage == Connection::Stage::Reading) {
      CloseConnection(*connection, "no longer accepting");
    }
  }
}

// Logs each request that is lost with its connection.
void
HttpServer::CloseConnection(Connection& aConnection, std::string_view aWhy)
{
  using Stage = Connection::Stage;
  if (!aConnection.mSocket.is_open()) {
    return;
  }
  Stage stage = aConnection.mStage;
  std::size_t unread = aConnection.UnreadBytes();
  if (stage == Stage::Handling || stage == Stage::Replying) {
    ++mDroppedRequests;
    LogWarn(mLogPart,
            "{} dropped without {} answer, {}, handled for_ms={}",
            aConnection.mRequestLine,
            stage == Stage::Handling ? "an" : "a complete",
            aWhy,
            ToMillis(mClock.Now() - aConnection.mRequestReadAt));
  } else if (stage == Stage::Reading && unread > 0) {
    ++mDroppedRequests;
    LogWarn(
      mLogPart, "connection closed with unread bytes={}, {}", unread, aWhy);
  }
  aConnection.Close();
}

Task<void>
HttpServer::Drained()
{
  return mTasks.Join();
}

Task<void>
HttpServer::Drain(TimePoint aStopAccepting,
                  TimePoint aDeadline,
                  HttpReply aDeadlineReply)
{
  mDraining = true;
  co_await EndAccepting(aStopAccepting, aDeadline);
  co_await CloseIdleConnections(aDeadline);
  AnswerOpenRequests(aDeadlineReply);
  TimePoint end = mClock.Now() + kLingerTimeout;
  while (HasOpenSockets() && mClock.Now() < end) {
    co_await WaitUntil(mEnded, mClock, end);
  }
  if (Connections() > 0) {
    Abort();
  }
  co_await Drained();
}

// Connections that wait in the listen queue are reset when the acceptor closes,
// so the queue is emptied first. They go on arriving after the load balancer's
// delay if it has too few other nodes.
Task<void>
HttpServer::EndAccepting(TimePoint aStopAccepting, TimePoint aDeadline)
{
  TimePoint due = std::min(aStopAccepting, aDeadline);
  TimePoint latest = std::max(due, aDeadline - kAnswerReserve);
  while (mClock.Now() < due) {
    co_await mClock.SleepUntil(due);
    due = std::min(latest, mLastAcceptAt + kArrivalTimeout);
  }
  boost::system::error_code ec;
  mEmptyingListenQueue = true;
  mAcceptor.non_blocking(true, ec);
  mAcceptor.cancel(ec);
  while (mAcceptor.is_open() && mClock.Now() < aDeadline) {
    co_await WaitUntil(mEnded, mClock, aDeadline);
  }
  mAcceptor.close(ec);
}

// Closes connections without a request until all have ended or the deadline is
// reached.
Task<void>
HttpServer::CloseIdleConnections(TimePoint aDeadline)
{
  TimePoint began = mClock.Now();
  while (Connections() > 0 && mClock.Now() < aDeadline) {
    TimePoint wakeAt = aDeadline;
    for (Connection* connection : *mOpenConnections) {
      if (connection->mStage != Connection::Stage::Reading) {
        continue;
      }
      TimePoint closeAt =
        std::max(began, connection->mReadingSince) + kIdleDrainTimeout;
      if (closeAt > mClock.Now()) {
        wakeAt = std::min(wakeAt, closeAt);
      } else if (connection->IsIdle()) {
        connection->CancelRead();
      }
    }
    co_await WaitUntil(mEnded, mClock, wakeAt);
  }
}

// A task of its own sends each answer, because the connection's task is in the
// handler or in the middle of a request.
void
HttpServer::AnswerOpenRequests(const HttpReply& aDeadlineReply)
{
  using Stage = Connection::Stage;
  mDeadlinePassed = true;
  std::vector<std::shared_ptr<Connection>> open;
  for (Connection* connection : *mOpenConnections) {
    open.push_back(connection->shared_from_this());
  }
  for (auto& connection : open) {
    bool handling = connection->mStage == Stage::Handling;
    bool reading = connection->mStage == Stage::Reading;
    if (handling || (reading && connection->UnreadBytes() > 0)) {
      if (reading) {
        connection->CancelRead();
        connection->mRequestLine = "incomplete request";
        connection->mRequestReadAt = mClock.Now();
      }
      LogWarn(mLogPart,
              "{} answered at the end of the drain, handled for_ms={}",
              connection->mRequestLine,
              ToMillis(mClock.Now() - connection->mRequestReadAt));
      connection->mAnsweredByDrain = true;
      connection->mStage = Stage::Replying;
      HttpReply reply = handling ? aDeadlineReply : UnavailableReply();
      mTasks.Spawn("deadline reply",
                   AnswerAtDeadline(connection, std::move(reply)));
    } else if (reading) {
      connection->CancelRead();
    }
  }
}

Task<void>
HttpServer::AnswerAtDeadline(std::shared_ptr<Connection> aConnection,
                             HttpReply aReply)
{
  bool sent = co_await WriteReply(*aConnection, std::move(aReply), false);
  if (sent) {
    co_await DiscardInput(*aConnection);
  }
  aConnection->Close();
  Release(std::move(aConnection));
}

bool
HttpServer::HasOpenSockets() const
{
  return std::any_of(mOpenConnections->begin(),
                     mOpenConnections->end(),
                     [](const Connection* aConnection) {
                       return aConnection->mSocket.is_open();
                     });
}

void
HttpServer::Abort()
{
  mStopping = true;
  boost::system::error_code ec;
  mAcceptor.close(ec);
  for (Connection* connection : *mOpenConnections) {
    CloseConnection(*connection, "aborted");
  }
  mTasks.CancelAll();
}

} // namespace buckthornshunt
