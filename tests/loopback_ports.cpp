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
  tcp::endpoint anyPort(boost::asio::ip::make_address(host), 0);
  tcp::acceptor& acceptor = mBound.emplace_back(mContext, anyPort.protocol());
  acceptor.set_option(tcp::acceptor::reuse_address(true));
  acceptor.bind(anyPort);
  return { host, acceptor.local_endpoint().port() };
}

} // namespace buckthornshunt::tests
