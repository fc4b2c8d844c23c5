#ifndef BUCKTHORNSHUNT_WIRE_PEER_CODEC_H
#define BUCKTHORNSHUNT_WIRE_PEER_CODEC_H

#include "ports/peer_messages.h"
#include "wire/json_fields.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornshunt {

/// Maximum size of a message between peers.
constexpr std::size_t kMaxPeerMessageBytes = 16 * 1024 * 1024;

/// Encodes a peer message as CBOR.
std::string
EncodePeerMessage(const PeerMessage& aMessage);

/// Inverse of EncodePeerMessage; fails with MessageFailure.
leaf::result<PeerMessage>
DecodePeerMessage(std::string_view aBytes);

/// Converts spans to JSON, for peers and operators. SpansFromJson fails with
/// MessageFailure.
Json
SpansToJson(std::span<const Span> aSpans);
leaf::result<std::vector<Span>>
SpansFromJson(const Json& aJson);

} // namespace buckthornshunt

#endif
