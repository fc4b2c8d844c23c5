#ifndef BUCKTHORNSHUNT_NET_HTTP_SERVER_H
#define BUCKTHORNSHUNT_NET_HTTP_SERVER_H

#include "kernel/caller_state.h"
#include "kernel/clock.h"
#include "kernel/task.h"
#include "net/http_message.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/leaf/result.hpp>

#include <functional>
#include <set>
#include <string_view>

namespace buckthornshunt {

namespace leaf = boost::leaf;

struct Endpoint;

/// Limits on what one caller may send.
struct HttpLimits
{
  std::uint32_t mMaxHeaderBytes = 16 * 1024;
  std::uint64_t mMaxBodyBytes = 4 * 1024 * 1024;
  std::size_t mMaxConnections = 1024;
  /// Time that a connection may take to send a request or to wait for one.
  Duration mIdleTimeout = std::chrono::seconds(60);
};

/// Answers a request; runs in the task of the request's connection. The
/// caller's state tells whether the connection is still there.
using HttpHandler =
  std::function<Task<HttpReply>(const HttpRequest&, CallerState&)>;

/// Serves HTTP/1.1, one task for each connection.
class HttpServer
{
public:
  HttpServer(asio::io_context& aContext,
             Clock& aClock,
             std::string_view aLogPart,
             HttpLimits aLimits,
             HttpHandler aHandler);

  /// Starts to accept; fails with ListenFailure. Port 0 takes a free port.
  leaf::result<void> Listen(const Endpoint& aEndpoint);

  std::uint16_t Port() const { return mPort; }

  /// Accepts no more connections and ends those that wait for a request;
  /// requests in progress go on, and their answers close the connection.
  void StopAccepting();

  /// Returns once every connection ended.
  Task<void> Drained();

  /// Closes every connection at once.
  void Abort();

  std::size_t Connections() const { return mOpenConnections.size(); }

private:
  struct Connection;

  Task<void> Accept();
  Task<void> Serve(boost::asio::ip::tcp::socket aSocket);
  Task<bool> ServeOne(Connection& aConnection);

  asio::io_context& mContext;
  Clock& mClock;
  std::string_view mLogPart;
  HttpLimits mLimits;
  HttpHandler mHandler;
  boost::asio::ip::tcp::acceptor mAcceptor;
  std::uint16_t mPort = 0;
  bool mStopping = false;
  std::set<Connection*> mOpenConnections;
  TaskGroup mTasks;
};

} // namespace buckthornshunt

#endif
