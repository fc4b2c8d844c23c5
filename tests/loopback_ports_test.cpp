// The ports that tests reserve for servers that they start later.

#include "tests/loopback_ports.h"

#include <boost/asio/ip/address.hpp>
#include <doctest/doctest.h>

#include <set>
#include <string>

using namespace buckthornshunt;
using namespace buckthornshunt::tests;
namespace asio = boost::asio;
using asio::ip::tcp;

TEST_CASE("a reserved port is reserved once")
{
  constexpr std::size_t kDraws = 400;
  asio::io_context context;
  LoopbackPorts ports(context);
  std::set<std::uint16_t> drawn;
  for (std::size_t i = 0; i < kDraws; ++i) {
    drawn.insert(ports.Reserve().mPort);
  }
  CHECK(drawn.size() == kDraws);
}

TEST_CASE("only a server that reuses addresses gets a reserved port")
{
  asio::io_context context;
  LoopbackPorts ports(context);
  Endpoint reserved = ports.Reserve();
  tcp::endpoint endpoint(asio::ip::make_address(reserved.mHost),
                         reserved.mPort);
  boost::system::error_code ec;
  tcp::acceptor other(context, endpoint.protocol());
  other.bind(endpoint, ec);
  CHECK(ec == asio::error::address_in_use);
  other.close();

  tcp::acceptor server(context, endpoint.protocol());
  server.set_option(tcp::acceptor::reuse_address(true));
  server.bind(endpoint, ec);
  CHECK_FALSE(ec);
  server.listen(tcp::acceptor::max_listen_connections, ec);
  CHECK_FALSE(ec);
}
