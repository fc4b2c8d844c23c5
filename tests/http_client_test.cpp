// The HTTP client against a server that the test plays itself, over loopback.

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

/// Accepts one connection, reads until it ends and keeps how it ended.
class SilentServer
{
public:
  explicit SilentServer(asio::io_context& aContext)
    : mAcceptor(aContext, { asio::ip::make_address("127.0.0.1"), 0 })
  {
    asio::co_spawn(aContext, Serve(), asio::detached);
  }

  Endpoint At() const
  {
    return { "127.0.0.1", mAcceptor.local_endpoint().port() };
  }

  bool mHeard = false;
  std::optional<boost::system::error_code> mEnd;

private:
  Task<void> Serve()
  {
    auto [error, socket] = co_await mAcceptor.async_accept(kToken);
    REQUIRE_FALSE(error);
    std::array<char, 512> buf{};
    while (!mEnd) {
      auto [ec, n] = co_await socket.async_read_some(asio::buffer(buf), kToken);
      mHeard = mHeard || n > 0;
      if (ec) {
        mEnd = ec;
      }
    }
  }

  tcp::acceptor mAcceptor;
};

template<class Done>
void
RunUntil(asio::io_context& aContext, Done aDone)
{
  while (!aDone()) {
    aContext.run_one();
  }
}

} // namespace

TEST_CASE("a call that is given up resets its connection")
{
  asio::io_context context(1);
  ManualClock manual(context);
  Clock clock(context, manual);
  HttpClient client(context, clock);
  SilentServer server(context);
  std::optional<Expected<HttpReply>> reply;
  HttpRequest request{ "POST", "/machine", {}, "{}" };
  TimePoint due = clock.Now() + 1s;
  asio::co_spawn(
    context,
    client.Exchange(server.At(), request, due),
    [&](const std::exception_ptr& aError, Expected<HttpReply> aReply) {
      CHECK_FALSE(aError);
      reply = std::move(aReply);
    });
  RunUntil(context, [&] { return server.mHeard; });
  manual.Advance(2s);
  RunUntil(context, [&] { return reply && server.mEnd; });
  CHECK(std::holds_alternative<TimeoutFailure>(std::get<Failure>(*reply)));
  // After an ordinary end the system would go on sending what has not arrived.
  CHECK(*server.mEnd == asio::error::connection_reset);
}
