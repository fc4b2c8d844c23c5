#ifndef BUCKTHORNSHUNT_WIRE_DIGEST_H
#define BUCKTHORNSHUNT_WIRE_DIGEST_H

#include <cstdint>
#include <string_view>

namespace buckthornshunt {

/// Digest of a message body; tells a truncated or mixed-up body, not an
/// attacker's.
std::uint64_t
BodyDigest(std::string_view aBody);

} // namespace buckthornshunt

#endif
