#include "wire/endpoint_codec.h"

#include <charconv>
#include <limits>

namespace buckthornshunt {

namespace {

constexpr std::uint64_t kMaxPort = std::numeric_limits<std::uint16_t>::max();

} // namespace

Json
EndpointToJson(const Endpoint& aEndpoint)
{
  return ToString(aEndpoint);
}

leaf::result<Endpoint>
EndpointFromJson(const Json& aJson)
{
  if (!aJson.is_string()) {
    return Fail(MessageFailure{ MessageFault::WrongType, "endpoint" });
  }
  return ParseEndpoint(aJson.get_ref<const std::string&>());
}

leaf::result<Endpoint>
ParseEndpoint(std::string_view aText)
{
  std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos || colon == 0) {
    return Fail(MessageFailure{ MessageFault::Malformed, "endpoint" });
  }
  Endpoint endpoint;
  endpoint.mHost = aText.substr(0, colon);
  std::string_view port = aText.substr(colon + 1);
  const char* end = port.data() + port.size();
  auto [at, ec] = std::from_chars(port.data(), end, endpoint.mPort);
  if (ec != std::errc{} || at != end) {
    return Fail(MessageFailure{ MessageFault::Malformed, "endpoint" });
  }
  return endpoint;
}

leaf::result<Endpoint>
ParseRemoteEndpoint(std::string_view aText)
{
  BOOST_LEAF_AUTO(endpoint, ParseEndpoint(aText));
  if (endpoint.mPort == 0) {
    return Fail(MessageFailure{ MessageFault::Malformed, "endpoint" });
  }
  return endpoint;
}

leaf::result<Endpoint>
RemoteEndpointFromParts(const Json& aHost, const Json& aPort)
{
  std::uint64_t port =
    aPort.is_number_unsigned() ? aPort.get<std::uint64_t>() : 0;
  bool ok = aHost.is_string() && !aHost.get_ref<const std::string&>().empty() &&
            port > 0 && port <= kMaxPort;
  if (!ok) {
    return Fail(MessageFailure{ MessageFault::WrongType, "endpoint" });
  }
  return Endpoint{ aHost.get<std::string>(), static_cast<std::uint16_t>(port) };
}

} // namespace buckthornshunt
