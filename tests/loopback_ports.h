#ifndef BUCKTHORNSHUNT_TESTS_LOOPBACK_PORTS_H
#define BUCKTHORNSHUNT_TESTS_LOOPBACK_PORTS_H

#include "buckthornshunt/types.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <string_view>
#include <vector>

namespace buckthornshunt::tests {

constexpr std::string_view kLoopbackHost = "127.0.0.1";

/// Loopback ports for servers that a test starts later. Each stays bound until
/// the object goes, so that the system gives it to no other socket; a server
/// with SO_REUSEADDR may still listen on it.
class LoopbackPorts
{
public:
  explicit LoopbackPorts(boost::asio::io_context& aContext);

  Endpoint Reserve();

private:
  boost::asio::io_context& mContext;
  std::vector<boost::asio::ip::tcp::acceptor> mBound;
};

} // namespace buckthornshunt::tests

#endif
