#ifndef BUCKTHORNSHUNT_WIRE_PEER_CODEC_H
#define BUCKTHORNSHUNT_WIRE_PEER_CODEC_H

#include "ports/peer_messages.h"
#include "wire/json_fields.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornshunt {

/// Largest message between peers, in bytes.
constexpr std::size_t kMaxPeerMessageBytes = 16 * 1024 * 1024;

/// A peer message as CBOR.
std::string
EncodePeerMessage(const PeerMessage& aMessage);

/// Reads what EncodePeerMessage wrote; fails with MessageFailure.
leaf::result<PeerMessage>
DecodePeerMessage(std::string_view aBytes);

/// Spans as JSON, for peers and for operators.
Json
SpansToJson(std::span<const Span> aSpans);
leaf::result<std::vector<Span>>
SpansFromJson(const Json& aJson);

} // namespace buckthornshunt

#endif
