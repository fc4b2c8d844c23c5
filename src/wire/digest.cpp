#include "wire/digest.h"

#include <xxhash.h>

namespace buckthornshunt {

std::uint64_t
BodyDigest(std::string_view aBody)
{
  return XXH3_64bits(aBody.data(), aBody.size());
}

} // namespace buckthornshunt
