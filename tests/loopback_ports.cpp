#include "tests/loopback_ports.h"

#include <boost/asio/ip/address.hpp>

#include <string>

namespace buckthornshunt::tests {

using boost::asio::ip::tcp;

LoopbackPorts::LoopbackPorts(boost::asio::io_context& aContext)
  : mContext(aContext)
{
}

Endpoint
LoopbackPorts::Reserve()
{
  std::string host(kLoopbackHost);
  tcp::acceptor acceptor(mContext, { boost::asio::ip::make_address(host), 0 });
  return { host, acceptor.local_endpoint().port() };
}

} // namespace buckthornshunt::tests
