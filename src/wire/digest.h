#ifndef BUCKTHORNSHUNT_WIRE_DIGEST_H
#define BUCKTHORNSHUNT_WIRE_DIGEST_H

#include <cstdint>
#include <string_view>

namespace buckthornshunt {

/// Non-cryptographic 64-bit hash of a message body; detects truncated or
/// swapped bodies, not tampering.
std::uint64_t
BodyDigest(std::string_view aBody);

} // namespace buckthornshunt

#endif
