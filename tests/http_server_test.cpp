// Tests of the HTTP server over loopback sockets, on a manual clock.

#include "buckthornshunt/failure.h"
#include "net/http_server.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <array>
#include <memory>
#include <optional>
#include <random>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

using namespace buckthornshunt;
using namespace std::chrono_literals;
using asio::ip::tcp;

namespace {

constexpr auto kToken = asio::as_tuple(asio::use_awaitable);

/// Counts the handlers that end before they have returned a reply.
class CancellationGuard
{
public:
  explicit CancellationGuard(int& aCancelled)
    : mCancelled(aCancelled)
  {
  }
  ~CancellationGuard() { mCancelled += mReplied ? 0 : 1; }
  CancellationGuard(const CancellationGuard&) = delete;
  CancellationGuard& operator=(const CancellationGuard&) = delete;

  bool mReplied = false;

private:
  int& mCancelled;
};

/// A server whose handler answers "/wait" once mRelease is notified, "/never"
/// never, and everything else at once.
class TestServer
{
public:
  explicit TestServer(HttpLimits aLimits = {})
    : mManual(mContext)
    , mClock(mContext, mManual)
    , mRelease(mContext)
    , mServer(mContext,
              mClock,
              "test",
              aLimits,
              [this](const HttpRequest& aRequest, CallerState&) {
                return Handle(aRequest.mTarget);
              })
  {
    mServer.Listen({ "127.0.0.1", 0 }).value();
  }

  ~TestServer()
  {
    mServer.Abort();
    // Lets a drain that a failed test left behind reach its end.
    mManual.Advance(1h);
    bool ended = false;
    asio::co_spawn(mContext, mServer.Drained(), [&](const std::exception_ptr&) {
      ended = true;
    });
    RunUntil([&] { return ended; });
  }

  TestServer(const TestServer&) = delete;
  TestServer& operator=(const TestServer&) = delete;

  void StartDrain(Duration aStopAccepting, Duration aDeadline)
  {
    TimePoint now = mClock.Now();
    asio::co_spawn(mContext,
                   mServer.Drain(now + aStopAccepting,
                                 now + aDeadline,
                                 MakeReply(504, kJsonType, "{}")),
                   [this](const std::exception_ptr& aError) {
                     CHECK_FALSE(aError);
                     mDrainedAt = mClock.Now();
                   });
    mManual.Advance(0s);
  }

  /// Runs the context until the condition holds; the time limit only ends a
  /// test that would hang.
  template<class Condition>
  void RunUntil(Condition aCondition)
  {
    auto deadline = std::chrono::steady_clock::now() + 20s;
    while (!aCondition() && std::chrono::steady_clock::now() < deadline) {
      mContext.restart();
      mContext.run_one_for(10ms);
    }
    REQUIRE(aCondition());
  }

  asio::io_context mContext{ 1 };
  ManualClock mManual;
  Clock mClock;
  Event mRelease;
  int mHandled = 0;
  int mCancelled = 0;
  std::optional<TimePoint> mDrainedAt;
  HttpServer mServer;

private:
  Task<HttpReply> Handle(std::string aTarget)
  {
    ++mHandled;
    CancellationGuard guard(mCancelled);
    if (aTarget == "/wait") {
      co_await mRelease.Wait();
    }
    if (aTarget == "/throw") {
      throw std::runtime_error("unexpected");
    }
    if (aTarget == "/never") {
      co_await mClock.Sleep(1h);
    }
    guard.mReplied = true;
    co_return MakeReply(200, kJsonType, "{}");
  }
};

/// A connection to the server that records all it receives and how it ended.
class Client
{
public:
  explicit Client(TestServer& aServer)
    : mState(std::make_shared<State>(aServer.mContext))
  {
    mState->mSocket.connect(
      { asio::ip::make_address("127.0.0.1"), aServer.mServer.Port() },
      mState->mConnectError);
    asio::co_spawn(aServer.mContext, Read(mState), asio::detached);
  }
  ~Client() { Close(); }
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  void Send(std::string_view aText)
  {
    boost::system::error_code ec;
    asio::write(mState->mSocket, asio::buffer(aText), ec);
  }
  void Get(std::string_view aTarget)
  {
    Send("GET " + std::string(aTarget) + " HTTP/1.1\r\nHost: a\r\n\r\n");
  }
  void Close()
  {
    boost::system::error_code ec;
    mState->mSocket.close(ec);
  }

  bool Refused() const { return mState->mConnectError.failed(); }
  bool Ended() const { return mState->mEnd.has_value(); }
  /// Whether the server ended the connection without a reset.
  bool EndedOrderly() const { return mState->mEnd == asio::error::eof; }
  const std::string& Received() const { return mState->mReceived; }
  bool Has(std::string_view aText) const
  {
    return mState->mReceived.find(aText) != std::string::npos;
  }

private:
  struct State
  {
    explicit State(asio::io_context& aContext)
      : mSocket(aContext)
    {
    }
    tcp::socket mSocket;
    boost::system::error_code mConnectError;
    std::string mReceived;
    std::optional<boost::system::error_code> mEnd;
  };

  static Task<void> Read(std::shared_ptr<State> aState)
  {
    std::array<char, 512> buf{};
    while (!aState->mEnd) {
      auto [ec, n] =
        co_await aState->mSocket.async_read_some(asio::buffer(buf), kToken);
      aState->mReceived.append(buf.data(), n);
      if (ec) {
        aState->mEnd = ec;
      }
    }
    // Like most clients, closes once the server has.
    aState->mSocket.close();
  }

  std::shared_ptr<State> mState;
};

/// Connects, sends a request in two parts, and reads the reply, at given times.
class ScheduledClient
{
public:
  ScheduledClient(TestServer& aServer, std::string_view aTarget)
    : mServer(aServer)
    , mRequest("POST " + std::string(aTarget) +
               " HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nabcd")
  {
  }

  void Schedule(TimePoint aConnectAt,
                TimePoint aFirstAt,
                TimePoint aRestAt,
                std::size_t aFirstBytes)
  {
    std::string_view request = mRequest;
    mServer.mClock.CallAt(aConnectAt, [this] { mClient.emplace(mServer); });
    mServer.mClock.CallAt(aFirstAt, [this, request, aFirstBytes] {
      mClient->Send(request.substr(0, aFirstBytes));
    });
    mServer.mClock.CallAt(aRestAt, [this, request, aFirstBytes] {
      mClient->Send(request.substr(aFirstBytes));
    });
    mCompleteAt = aRestAt;
  }

  bool Refused() const { return mClient->Refused(); }
  bool Has(std::string_view aText) const { return mClient->Has(aText); }
  bool Ended() const { return mClient->Ended(); }
  TimePoint CompleteAt() const { return mCompleteAt; }

private:
  TestServer& mServer;
  std::string mRequest;
  std::optional<Client> mClient;
  TimePoint mCompleteAt;
};

constexpr std::string_view kHalfRequest =
  "POST /half HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nab";

} // namespace

TEST_CASE("a server that is aborted twice doesn't use ended connections")
{
  TestServer server;
  Client client(server);
  client.Get("/never");
  server.RunUntil([&] { return server.mHandled == 1; });
  server.mServer.Abort();
  server.RunUntil([&] { return server.mCancelled == 1; });
  server.mManual.Advance(0s);
  CHECK(server.mServer.Connections() == 0);
  server.mServer.Abort();
  CHECK(server.mServer.DroppedRequests() == 1);
}

TEST_CASE("a handler that throws ends only its own connection")
{
  TestServer server;
  Client first(server);
  Client second(server);
  first.Get("/throw");
  server.RunUntil([&] { return first.Ended(); });
  CHECK_FALSE(first.Has("HTTP/1.1"));
  CHECK(server.mServer.Connections() == 1);
  second.Get("/quick");
  server.RunUntil([&] { return second.Has("200"); });
}

TEST_CASE("a client that is refused while it sends isn't reset")
{
  constexpr std::size_t kHalfBytes = 32768;
  HttpLimits limits;
  limits.mMaxBodyBytes = 16;
  TestServer server(limits);
  tcp::socket client(server.mContext);
  client.connect(
    { asio::ip::make_address("127.0.0.1"), server.mServer.Port() });
  std::string half(kHalfBytes, 'a');
  std::string header = "POST /large HTTP/1.1\r\nContent-Length: 65536\r\n\r\n";
  boost::system::error_code ec;
  asio::write(client, asio::buffer(header + half), ec);
  server.mManual.Advance(0s);
  asio::write(client, asio::buffer(half), ec);
  CHECK_FALSE(ec.failed());
  server.mManual.Advance(1s);
  std::string reply;
  asio::read(client, asio::dynamic_buffer(reply), ec);
  CHECK(reply.find("HTTP/1.1 413") != std::string::npos);
  CHECK(ec == asio::error::eof);
  CHECK(server.mServer.Connections() == 0);
}

TEST_CASE("a connection above the limit gets an answer")
{
  HttpLimits limits;
  limits.mMaxConnections = 1;
  TestServer server(limits);
  Client first(server);
  first.Get("/wait");
  server.RunUntil([&] { return server.mHandled == 1; });
  Client second(server);
  second.Get("/now");
  server.RunUntil([&] { return second.Ended(); });
  CHECK(second.Has("HTTP/1.1 503"));
  CHECK(second.Has("Retry-After: 1"));
  CHECK(second.EndedOrderly());
  CHECK(server.mHandled == 1);
  server.mRelease.NotifyAll();
  server.RunUntil([&] { return first.Has("HTTP/1.1 200"); });
}

TEST_CASE("connections above the limit are bounded and all answered")
{
  constexpr std::size_t kClients = 200;
  constexpr std::size_t kMaxOpen = 65;
  HttpLimits limits;
  limits.mMaxConnections = 1;
  TestServer server(limits);
  Client first(server);
  first.Get("/never");
  server.RunUntil([&] { return server.mHandled == 1; });
  // These never close their side.
  std::vector<tcp::socket> clients;
  for (std::size_t i = 0; i < kClients; ++i) {
    clients.emplace_back(server.mContext);
    clients.back().connect(
      { asio::ip::make_address("127.0.0.1"), server.mServer.Port() });
  }
  for (int i = 0; i < 30; ++i) {
    server.mManual.Advance(100ms);
    CHECK(server.mServer.Connections() <= kMaxOpen);
  }
  CHECK(server.mServer.Connections() == 1);
  for (tcp::socket& client : clients) {
    std::string reply;
    boost::system::error_code ec;
    asio::read(client, asio::dynamic_buffer(reply), ec);
    CHECK(reply.find("HTTP/1.1 503") != std::string::npos);
  }
  CHECK(server.mHandled == 1);
}

TEST_CASE("a drain serves a request that is half received when accepting ends")
{
  TestServer server;
  Client client(server);
  client.Send(kHalfRequest);
  server.mManual.Advance(0s);
  server.StartDrain(1s, 3s);
  server.mManual.Advance(2s);
  client.Send("cd");
  server.RunUntil([&] { return client.Ended(); });
  CHECK(client.Has("HTTP/1.1 200"));
  CHECK(client.Has("Connection: close"));
  server.RunUntil([&] { return server.mDrainedAt.has_value(); });
  CHECK(server.mServer.DroppedRequests() == 0);
}

TEST_CASE("a drain serves a request that arrives as accepting ends")
{
  TestServer server;
  Client client(server);
  server.mManual.Advance(0s);
  server.mClock.CallAt(server.mClock.Now() + 1s, [&] { client.Get("/now"); });
  server.StartDrain(1s, 3s);
  server.mManual.Advance(1s);
  server.RunUntil([&] { return client.Ended(); });
  CHECK(client.Has("HTTP/1.1 200"));
  CHECK(server.mServer.DroppedRequests() == 0);
}

TEST_CASE("a drain serves connections that wait in the listen queue")
{
  constexpr std::size_t kClients = 20;
  TestServer server;
  std::vector<std::unique_ptr<Client>> clients;
  server.mClock.CallAt(server.mClock.Now() + 1s, [&] {
    for (std::size_t i = 0; i < kClients; ++i) {
      clients.push_back(std::make_unique<Client>(server));
      clients.back()->Get("/now");
    }
  });
  server.StartDrain(1s, 1500ms);
  server.mManual.Advance(1s);
  REQUIRE(clients.size() == kClients);
  for (const auto& client : clients) {
    server.RunUntil([&] { return client->Ended(); });
    CHECK(client->Has("HTTP/1.1 200"));
    CHECK(client->EndedOrderly());
  }
  server.RunUntil([&] { return server.mDrainedAt.has_value(); });
  CHECK(Client(server).Refused());
}

TEST_CASE("a drain goes on accepting while connections arrive")
{
  TestServer server;
  server.StartDrain(1s, 5s);
  // A connection each 0.4 s, the last one 3.6 s after the drain's start.
  for (int i = 0; i < 9; ++i) {
    server.mManual.Advance(400ms);
    Client client(server);
    REQUIRE_FALSE(client.Refused());
    client.Get("/now");
    server.RunUntil([&] { return client.Ended(); });
    CHECK(client.Has("HTTP/1.1 200"));
  }
  CHECK_FALSE(server.mDrainedAt);
  server.mManual.Advance(600ms);
  CHECK(Client(server).Refused());
  server.RunUntil([&] { return server.mDrainedAt.has_value(); });
  CHECK(server.mServer.DroppedRequests() == 0);
}

TEST_CASE("a drain stops accepting while there is time to answer")
{
  TestServer server;
  server.StartDrain(1s, 5s);
  Duration served{};
  for (Duration at = 300ms; at < 5s; at += 300ms) {
    server.mManual.Advance(300ms);
    Client client(server);
    if (client.Refused()) {
      break;
    }
    served = at;
    client.Get("/now");
    server.RunUntil([&] { return client.Ended(); });
    CHECK(client.Has("HTTP/1.1 200"));
  }
  CHECK(served >= 3s);
  CHECK(served <= 4s);
}

TEST_CASE("a drain answers a request whose handler is still running")
{
  TestServer server;
  Client client(server);
  client.Get("/never");
  server.RunUntil([&] { return server.mHandled == 1; });
  client.Get("/pipelined");
  server.StartDrain(1s, 3s);
  server.mManual.Advance(2900ms);
  CHECK(client.Received().empty());
  server.mManual.Advance(100ms);
  server.RunUntil([&] { return client.Ended(); });
  CHECK(client.Has("HTTP/1.1 504"));
  CHECK(client.Has("Connection: close"));
  CHECK(client.EndedOrderly());
  server.RunUntil([&] { return server.mDrainedAt.has_value(); });
  CHECK(server.mCancelled == 1);
  CHECK(server.mHandled == 1);
  CHECK(server.mServer.DroppedRequests() == 0);
}

TEST_CASE("a drain answers a request that is still incomplete at its deadline")
{
  TestServer server;
  Client client(server);
  client.Send(kHalfRequest);
  server.StartDrain(1s, 3s);
  server.mManual.Advance(3s);
  server.RunUntil([&] { return client.Ended(); });
  CHECK(client.Has("HTTP/1.1 503"));
  CHECK(client.Has("Retry-After: 1"));
  CHECK(client.EndedOrderly());
  server.RunUntil([&] { return server.mDrainedAt.has_value(); });
  CHECK(server.mHandled == 0);
  CHECK(server.mServer.DroppedRequests() == 0);
}

TEST_CASE("a drain ends soon after its deadline while a client reads nothing")
{
  TestServer server;
  // Never closes its side.
  tcp::socket silent(server.mContext);
  silent.connect(
    { asio::ip::make_address("127.0.0.1"), server.mServer.Port() });
  asio::write(
    silent,
    asio::buffer(std::string_view("GET /never HTTP/1.1\r\nHost: a\r\n\r\n")));
  server.RunUntil([&] { return server.mHandled == 1; });
  TimePoint deadline = server.mClock.Now() + 3s;
  server.StartDrain(1s, 3s);
  server.mManual.Advance(4s);
  server.RunUntil([&] { return server.mDrainedAt.has_value(); });
  CHECK(*server.mDrainedAt <= deadline + 500ms);
  CHECK(server.mCancelled == 1);
  CHECK(server.mServer.DroppedRequests() == 0);
}

TEST_CASE("an idle connection is served until accepting has ended")
{
  TestServer server;
  Client early(server);
  early.Get("/now");
  server.RunUntil([&] { return early.Has("200"); });
  CHECK_FALSE(early.Has("Connection: close"));
  Client late(server);
  Client idle(server);
  server.StartDrain(1s, 3s);
  server.mManual.Advance(900ms);
  early.Get("/again");
  early.Get("/pipelined");
  server.RunUntil([&] { return early.Ended(); });
  CHECK(early.Has("Connection: close"));
  CHECK(early.EndedOrderly());
  // Accepting has ended; both connections are still open.
  server.mManual.Advance(300ms);
  late.Get("/now");
  server.RunUntil([&] { return late.Ended(); });
  CHECK(late.Has("HTTP/1.1 200"));
  CHECK_FALSE(idle.Ended());
  server.mManual.Advance(700ms);
  server.RunUntil([&] { return idle.Ended(); });
  server.RunUntil([&] { return server.mDrainedAt.has_value(); });
  CHECK(*server.mDrainedAt <= TimePoint(2s));
  CHECK(server.mHandled == 3);
  CHECK(server.mServer.DroppedRequests() == 0);
}

TEST_CASE("a request that arrives as its idle connection closes is served")
{
  TestServer server;
  Client client(server);
  // Half a second after the end of accepting.
  server.mClock.CallAt(server.mClock.Now() + 1500ms,
                       [&] { client.Get("/now"); });
  server.StartDrain(1s, 3s);
  server.mManual.Advance(1500ms);
  server.RunUntil([&] { return client.Ended(); });
  CHECK(client.Has("HTTP/1.1 200"));
  CHECK(server.mServer.DroppedRequests() == 0);
}

TEST_CASE("a drain answers connections above the limit")
{
  HttpLimits limits;
  limits.mMaxConnections = 1;
  TestServer server(limits);
  Client first(server);
  first.Get("/wait");
  server.RunUntil([&] { return server.mHandled == 1; });
  std::optional<Client> second;
  server.mClock.CallAt(server.mClock.Now() + 1s, [&] {
    second.emplace(server);
    second->Get("/now");
  });
  server.StartDrain(1s, 3s);
  server.mManual.Advance(1s);
  server.RunUntil([&] { return second->Ended(); });
  CHECK(second->Has("HTTP/1.1 503"));
  CHECK(second->EndedOrderly());
  server.mRelease.NotifyAll();
  server.RunUntil([&] { return first.Ended(); });
  CHECK(first.Has("HTTP/1.1 200"));
  server.RunUntil([&] { return server.mDrainedAt.has_value(); });
  CHECK(server.mServer.DroppedRequests() == 0);
}

TEST_CASE("a drain ends when its last connection has ended")
{
  TestServer server;
  Client client(server);
  client.Get("/wait");
  server.RunUntil([&] { return server.mHandled == 1; });
  server.StartDrain(1s, 60s);
  server.mManual.Advance(20s);
  CHECK_FALSE(server.mDrainedAt);
  server.mRelease.NotifyAll();
  server.RunUntil([&] { return client.Ended(); });
  CHECK(client.Has("HTTP/1.1 200"));
  server.RunUntil([&] { return server.mDrainedAt.has_value(); });
  CHECK(server.mCancelled == 0);
}

TEST_CASE("a request that isn't received in time is counted as dropped")
{
  HttpLimits limits;
  limits.mIdleTimeout = 5s;
  TestServer server(limits);
  Client idle(server);
  Client half(server);
  half.Send(kHalfRequest);
  server.mManual.Advance(6s);
  server.RunUntil([&] { return half.Ended() && idle.Ended(); });
  CHECK(server.mServer.DroppedRequests() == 1);
}

TEST_CASE("a drain answers every connection that holds a request, 40 seeds")
{
  constexpr int kSeeds = 40;
  constexpr int kClients = 60;
  constexpr std::array<std::string_view, 4> kTargets = {
    "/now", "/now", "/wait", "/never"
  };
  for (int seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    std::mt19937 random(seed);
    auto millis = [&](int aMax) {
      return std::chrono::milliseconds(random() % aMax);
    };
    TestServer server;
    TimePoint deadline = server.mClock.Now() + 4500ms;
    std::vector<std::unique_ptr<ScheduledClient>> clients;
    for (int i = 0; i < kClients; ++i) {
      std::string_view target = kTargets[random() % kTargets.size()];
      clients.push_back(std::make_unique<ScheduledClient>(server, target));
      TimePoint connectAt = server.mClock.Now() + millis(4500);
      // Sooner than the drain closes idle connections.
      TimePoint firstAt = connectAt + millis(450);
      TimePoint restAt = firstAt + millis(2000);
      std::size_t firstBytes = 1 + random() % 40;
      clients.back()->Schedule(connectAt, firstAt, restAt, firstBytes);
    }
    server.mClock.CallAt(server.mClock.Now() + millis(4500),
                         [&] { server.mRelease.NotifyAll(); });
    server.StartDrain(2600ms, 4500ms);
    // A client that sends after the drain's end meets a closed connection.
    server.mManual.Advance(8s);
    server.RunUntil([&] { return server.mDrainedAt.has_value(); });
    CHECK(*server.mDrainedAt <= deadline + 500ms);
    CHECK(server.mServer.DroppedRequests() == 0);
    for (const auto& client : clients) {
      if (client->Refused()) {
        continue;
      }
      server.RunUntil([&] { return client->Ended(); });
      CHECK(client->Has("Connection: close"));
      CHECK(client->Has("\r\n\r\n{}"));
      bool complete = client->CompleteAt() < deadline;
      CHECK(client->Has("HTTP/1.1 503") != complete);
    }
  }
}

TEST_CASE("a reply that is being sent isn't cut off as accepting ends")
{
  constexpr std::size_t kBodyBytes = std::size_t{ 16 } * 1024 * 1024;
  asio::io_context context(1);
  ManualClock manual(context);
  Clock clock(context, manual);
  HttpServer server(context,
                    clock,
                    "test",
                    HttpLimits{},
                    [](const HttpRequest&, CallerState&) -> Task<HttpReply> {
                      co_return MakeReply(
                        200, kBytesType, std::string(kBodyBytes, 'a'));
                    });
  server.Listen({ "127.0.0.1", 0 }).value();
  tcp::socket client(context);
  client.connect({ asio::ip::make_address("127.0.0.1"), server.Port() });
  asio::write(
    client,
    asio::buffer(std::string_view("GET /large HTTP/1.1\r\nHost: a\r\n\r\n")));
  manual.Advance(0s);
  server.StopAccepting();
  std::size_t received = 0;
  bool ended = false;
  asio::co_spawn(
    context,
    [&]() -> Task<void> {
      std::vector<char> buf(65536);
      while (!ended) {
        auto [ec, n] =
          co_await client.async_read_some(asio::buffer(buf), kToken);
        received += n;
        ended = ec.failed();
      }
      client.close();
    },
    asio::detached);
  context.restart();
  while (!ended) {
    context.run_one();
  }
  manual.Advance(1s);
  CHECK(received > kBodyBytes);
  CHECK(server.Connections() == 0);
}
