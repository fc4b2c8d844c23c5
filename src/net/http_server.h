#ifndef BUCKTHORNSHUNT_NET_HTTP_SERVER_H
#define BUCKTHORNSHUNT_NET_HTTP_SERVER_H

#include "kernel/caller_state.h"
#include "kernel/clock.h"
#include "kernel/task.h"
#include "net/http_message.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/leaf/result.hpp>

#include <functional>
#include <memory>
#include <set>
#include <string_view>

namespace buckthornshunt {

namespace leaf = boost::leaf;

struct Endpoint;

/// Limits on requests and connections of a server.
struct HttpLimits
{
  std::uint32_t mMaxHeaderBytes = 16 * 1024;
  std::uint64_t mMaxBodyBytes = 4 * 1024 * 1024;
  std::size_t mMaxFields = 128;
  /// Bytes of requests that all connections may hold together. Beyond them the
  /// connection that has held a part of its request longest is closed.
  std::uint64_t mMaxHeldBytes = 32 * 1024 * 1024;
  /// Beyond them the connection that has waited longest for its request, for at
  /// least mMinEvictionAge, is closed. If there is none, further connections
  /// are answered with 503, and while many of them are open, accepting pauses.
  std::size_t mMaxConnections = 1024;
  Duration mMinEvictionAge = std::chrono::seconds(3);
  /// Timeout for receiving a request, including the wait for it, and for
  /// sending its reply.
  Duration mIdleTimeout = std::chrono::seconds(60);
};

/// Handles a request; runs in the task of the request's connection. The
/// caller's state shows whether the client has disconnected.
using HttpHandler =
  std::function<Task<HttpReply>(const HttpRequest&, CallerState&)>;

/// HTTP/1.1 server with one task for each connection.
class HttpServer
{
public:
  HttpServer(asio::io_context& aContext,
             Clock& aClock,
             std::string_view aLogPart,
             HttpLimits aLimits,
             HttpHandler aHandler);

  /// Starts accepting connections; fails with ListenFailure. Port 0 selects a
  /// free port.
  leaf::result<void> Listen(const Endpoint& aEndpoint);

  /// The port in use; 0 before Listen.
  std::uint16_t Port() const { return mPort; }

  /// Stops accepting connections and closes those that wait for a request;
  /// requests in progress finish, and their connections close after the reply.
  /// Requests that are only partly received are dropped.
  void StopAccepting();

  /// Completes once all connections have ended.
  Task<void> Drained();

  /// Closes all connections immediately and cancels their tasks.
  void Abort();

  /// Ends the server without losing a request. From now on each connection
  /// closes after its next reply; further requests on it are discarded, and
  /// their client repeats them elsewhere. Connections are accepted until
  /// aStopAccepting, and longer while new ones arrive. A request without a
  /// reply at aDeadline gets aDeadlineReply if its handler is running, which is
  /// then cancelled, and 503 if its handler hasn't started. Completes once no
  /// connection is open, or shortly after aDeadline.
  Task<void> Drain(TimePoint aStopAccepting,
                   TimePoint aDeadline,
                   HttpReply aDeadlineReply);

  std::size_t Connections() const { return mOpenConnections->size(); }

  /// Connections that this server closed although they held a request, in whole
  /// or in part, that had not been answered.
  std::uint64_t DroppedRequests() const { return mDroppedRequests; }

private:
  struct Connection;
  using ConnectionSet = std::set<Connection*>;

  Task<void> Accept();
  Task<void> EndAccepting(TimePoint aStopAccepting, TimePoint aDeadline);
  Task<void> CloseIdleConnections(TimePoint aDeadline);
  void AnswerOpenRequests(const HttpReply& aDeadlineReply);
  Task<void> AnswerAtDeadline(std::shared_ptr<Connection> aConnection,
                              HttpReply aReply);
  bool HasOpenSockets() const;
  void Admit(boost::asio::ip::tcp::socket aSocket);
  Task<void> Serve(std::shared_ptr<Connection> aConnection);
  Task<void> Reject(std::shared_ptr<Connection> aConnection);
  Task<bool> ServeOne(Connection& aConnection);
  Task<boost::system::error_code> ReadRequest(Connection& aConnection);
  Task<bool> WriteReply(Connection& aConnection,
                        HttpReply aReply,
                        bool aKeepAlive);
  Task<void> DiscardInput(Connection& aConnection);
  void Release(std::shared_ptr<Connection> aConnection);
  /// Closes the connection that has waited longest for its request; false if
  /// none has waited long.
  bool EvictSlowest();
  /// Counts what the connection holds of its request.
  void UpdateHeldBytes(Connection& aConnection);
  /// Closes connections until all together hold no more than the limit; false
  /// if aConnection would be one of them.
  bool LimitHeldBytes(Connection& aConnection);
  Task<boost::system::error_code> ReadSome(Connection& aConnection);
  void CloseConnection(Connection& aConnection, std::string_view aWhy);

  asio::io_context& mContext;
  Clock& mClock;
  std::string_view mLogPart;
  HttpLimits mLimits;
  HttpHandler mHandler;
  boost::asio::ip::tcp::acceptor mAcceptor;
  std::uint16_t mPort = 0;
  bool mStopping = false;
  /// Drain has begun, has begun to empty the listen queue, and has answered the
  /// requests that were open at its deadline.
  bool mDraining = false;
  bool mEmptyingListenQueue = false;
  bool mDeadlinePassed = false;
  TimePoint mLastAcceptAt = TimePoint::min();
  std::uint64_t mDroppedRequests = 0;
  std::uint64_t mHeldBytes = 0;
  /// Shared, since a connection whose task is destroyed with the executor may
  /// outlive the server.
  std::shared_ptr<ConnectionSet> mOpenConnections;
  /// Notified when a connection or accepting has ended.
  Event mEnded;
  TaskGroup mTasks;
};

} // namespace buckthornshunt

#endif
