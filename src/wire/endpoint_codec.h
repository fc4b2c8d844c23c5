#ifndef BUCKTHORNSHUNT_WIRE_ENDPOINT_CODEC_H
#define BUCKTHORNSHUNT_WIRE_ENDPOINT_CODEC_H

#include "buckthornshunt/types.h"
#include "wire/json_fields.h"

#include <string_view>

namespace buckthornshunt {

/// Endpoints in rows and messages are "host:port" strings; decoders fail with
/// MessageFailure.
Json
EndpointToJson(const Endpoint& aEndpoint);
leaf::result<Endpoint>
EndpointFromJson(const Json& aJson);

/// Port 0 is allowed, as for an address to listen on.
leaf::result<Endpoint>
ParseEndpoint(std::string_view aText);

/// Parses the address of a remote process, whose port can't be 0.
leaf::result<Endpoint>
ParseRemoteEndpoint(std::string_view aText);

/// Reads a remote process's address from its parts; fails if the host is empty
/// or the port isn't an integer from 1 to 65,535.
leaf::result<Endpoint>
RemoteEndpointFromParts(const Json& aHost, const Json& aPort);

} // namespace buckthornshunt

#endif
