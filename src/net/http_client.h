#ifndef BUCKTHORNSHUNT_NET_HTTP_CLIENT_H
#define BUCKTHORNSHUNT_NET_HTTP_CLIENT_H

#include "buckthornshunt/failure.h"
#include "kernel/call_control.h"
#include "kernel/clock.h"
#include "net/http_message.h"

#include <map>
#include <memory>
#include <span>
#include <vector>

namespace buckthornshunt {

/// A persistent connection to one server.
class HttpConnection;

/// HTTP/1.1 client with a pool of idle connections for each endpoint. A
/// connection carries one request at a time (no pipelining) and is reused.
class HttpClient
{
public:
  HttpClient(asio::io_context& aContext, Clock& aClock);
  ~HttpClient();

  /// Sends a request and reads the whole reply; the server's host must be an IP
  /// address. After ConnectFailure nothing was sent; after ConnectionLost,
  /// ProtocolFailure or TimeoutFailure the server may have processed the
  /// request. Once connected, aControl can abort the call, which then fails as
  /// ConnectionLost. A reply that is still arriving at the deadline is read for
  /// at most aReplyExtension more.
  Task<Expected<HttpReply>> Exchange(Endpoint aServer,
                                     HttpRequest aRequest,
                                     TimePoint aDeadline,
                                     CallControl* aControl = nullptr,
                                     Duration aReplyExtension = {});

  /// Closes the idle connections to a server.
  void CloseIdle(const Endpoint& aServer);

  /// Idle connections in the pool, over all servers.
  std::size_t IdleConnectionCount() const;

private:
  using ConnectionPtr = std::unique_ptr<HttpConnection>;

  Task<Expected<ConnectionPtr>> Open(const Endpoint& aServer,
                                     TimePoint aDeadline);
  ConnectionPtr AcquireIdle(const Endpoint& aServer);
  void ReleaseIdle(const Endpoint& aServer, ConnectionPtr aConnection);

  asio::io_context& mContext;
  Clock& mClock;
  std::map<Endpoint, std::vector<ConnectionPtr>> mIdleConnections;
};

} // namespace buckthornshunt

#endif
