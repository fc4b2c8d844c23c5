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

/// One connection to a server; kept open between requests.
class HttpConnection;

/// Connections to servers, by endpoint. A connection serves one request at a
/// time and is used again after it.
class HttpClient
{
public:
  HttpClient(asio::io_context& aContext, Clock& aClock);
  ~HttpClient();

  /// Sends a request and reads the whole answer.
  /// ConnectFailure says that nothing was sent; ConnectionLost,
  /// ProtocolFailure and TimeoutFailure leave open what the server did.
  Task<Expected<HttpReply>> Exchange(Endpoint aServer,
                                     HttpRequest aRequest,
                                     TimePoint aDeadline,
                                     CallControl* aControl = nullptr);

  /// Closes the idle connections to a server.
  void CloseIdle(const Endpoint& aServer);

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
