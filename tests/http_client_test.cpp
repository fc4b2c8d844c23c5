// Tests of the HTTP client over loopback, against a server within the test.

#include "net/http_client.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <array>
#include <optional>
#include <string>
#include <string_view>

using namespace buckthornshunt;
using namespace std::chrono_literals;
using asio::ip::tcp;

namespace {

constexpr auto kToken = asio::as_tuple(asio::use_awaitable);

/// Accepts one connection, never replies, and records the error that ends it.
class SilentServer
{
public:
  explicit SilentServer(asio::io_context& aContext)
    : mAcceptor(aContext, { asio::ip::make_address("127.0.0.1"), 0 })
  {
    asio::co_spawn(aContext, Serve(), asio::detached);
  }

  Endpoint ListenEndpoint() const
  {
    return { "127.0.0.1", mAcceptor.local_endpoint().port() };
  }

  bool mReceivedData = false;
  std::optional<boost::system::error_code> mReadError;

private:
  Task<void> Serve()
  {
    auto [error, socket] = co_await mAcceptor.async_accept(kToken);
    REQUIRE_FALSE(error);
    std::array<char, 512> buf{};
    while (!mReadError) {
      auto [ec, n] = co_await socket.async_read_some(asio::buffer(buf), kToken);
      mReceivedData = mReceivedData || n > 0;
      if (ec) {
        mReadError = ec;
      }
    }
  }

  tcp::acceptor mAcceptor;
};

template<class Condition>
void
RunUntil(asio::io_context& aContext, Condition aCondition)
{
  while (!aCondition()) {
    aContext.run_one();
  }
}

} // namespace

TEST_CASE("a call that times out resets its connection")
{
  asio::io_context context(1);
  ManualClock manualClock(context);
  Clock clock(context, manualClock);
  HttpClient client(context, clock);
  SilentServer server(context);
  std::optional<Expected<HttpReply>> reply;
  HttpRequest request{ "POST", "/machine", {}, "{}" };
  TimePoint deadline = clock.Now() + 1s;
  asio::co_spawn(
    context,
    client.Exchange(server.ListenEndpoint(), request, deadline),
    [&](const std::exception_ptr& aError, Expected<HttpReply> aReply) {
      CHECK_FALSE(aError);
      reply = std::move(aReply);
    });
  RunUntil(context, [&] { return server.mReceivedData; });
  manualClock.Advance(2s);
  RunUntil(context, [&] { return reply && server.mReadError; });
  CHECK(std::holds_alternative<TimeoutFailure>(std::get<Failure>(*reply)));
  // After an ordinary close TCP would keep sending unsent data.
  CHECK(*server.mReadError == asio::error::connection_reset);
}

namespace {

/// Accepts one connection and answers its request in parts that the test sends.
class PartwiseServer
{
public:
  explicit PartwiseServer(asio::io_context& aContext)
    : mAcceptor(aContext, { asio::ip::make_address("127.0.0.1"), 0 })
    , mSocket(aContext)
  {
    asio::co_spawn(aContext, Accept(), asio::detached);
  }

  Endpoint ListenEndpoint() const
  {
    return { "127.0.0.1", mAcceptor.local_endpoint().port() };
  }

  void Send(std::string_view aBytes)
  {
    asio::write(mSocket, asio::buffer(aBytes));
  }

  bool mReceivedRequest = false;

private:
  Task<void> Accept()
  {
    auto [error] = co_await mAcceptor.async_accept(mSocket, kToken);
    REQUIRE_FALSE(error);
    std::array<char, 512> buf{};
    auto [ec, n] = co_await mSocket.async_read_some(asio::buffer(buf), kToken);
    REQUIRE_FALSE(ec);
    mReceivedRequest = true;
  }

  tcp::acceptor mAcceptor;
  tcp::socket mSocket;
};

struct PartwiseFixture
{
  PartwiseFixture()
    : mContext(1)
    , mManual(mContext)
    , mClock(mContext, mManual)
    , mClient(mContext, mClock)
    , mServer(mContext)
  {
    asio::co_spawn(
      mContext,
      mClient.Exchange(mServer.ListenEndpoint(),
                       HttpRequest{ "GET", "/rows-get", {}, {} },
                       mClock.Now() + 1s,
                       nullptr,
                       2s),
      [&](const std::exception_ptr& aError, Expected<HttpReply> aReply) {
        CHECK_FALSE(aError);
        mReply = std::move(aReply);
      });
    RunUntil(mContext, [&] { return mServer.mReceivedRequest; });
  }

  asio::io_context mContext;
  ManualClock mManual;
  Clock mClock;
  HttpClient mClient;
  PartwiseServer mServer;
  std::optional<Expected<HttpReply>> mReply;
};

} // namespace

TEST_CASE("a reply that is on its way at the deadline is discarded")
{
  PartwiseFixture fixture;
  fixture.mServer.Send("HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n");
  for (int i = 0; i < 10; ++i) {
    fixture.mManual.Advance(200ms);
    REQUIRE_FALSE(fixture.mReply);
    fixture.mServer.Send("abcd");
  }
  RunUntil(fixture.mContext, [&] { return fixture.mReply.has_value(); });
  REQUIRE(Ok(*fixture.mReply));
  CHECK(std::get<HttpReply>(*fixture.mReply).mBody.size() == 40);
}

TEST_CASE("a reply that stops arriving is awaited for long")
{
  PartwiseFixture fixture;
  fixture.mServer.Send("HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\nab");
  fixture.mManual.Advance(900ms);
  REQUIRE_FALSE(fixture.mReply);
  fixture.mManual.Advance(600ms);
  RunUntil(fixture.mContext, [&] { return fixture.mReply.has_value(); });
  CHECK(
    std::holds_alternative<TimeoutFailure>(std::get<Failure>(*fixture.mReply)));
}

TEST_CASE("a reply that trickles in is awaited for ever")
{
  PartwiseFixture fixture;
  fixture.mServer.Send("HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n");
  for (int i = 0; i < 17 && !fixture.mReply; ++i) {
    fixture.mServer.Send("a");
    fixture.mManual.Advance(200ms);
  }
  RunUntil(fixture.mContext, [&] { return fixture.mReply.has_value(); });
  CHECK_FALSE(Ok(*fixture.mReply));
}

TEST_CASE("a busy process reads a page in hundreds of turns")
{
  constexpr std::size_t kPageBytes = 96 * 1024;
  PartwiseFixture fixture;
  fixture.mServer.Send(
    "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kPageBytes) +
    "\r\n\r\n" + std::string(kPageBytes, 'a'));
  int turns = 0;
  while (!fixture.mReply) {
    fixture.mContext.run_one();
    ++turns;
  }
  CHECK(Ok(*fixture.mReply));
  CHECK(turns <= 12);
}
