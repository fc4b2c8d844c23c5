// Tests of the HTTP client over loopback, against a server within the test.

#include "net/http_client.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <doctest/doctest.h>

#include <array>
#include <optional>

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
