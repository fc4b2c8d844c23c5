#include "ports/backend_calls.h"

#include <array>
#include <cstddef>

namespace buckthornshunt {

namespace {

constexpr std::array<std::string_view, 3> kRefusalNames = { "full",
                                                            "sealed",
                                                            "draining" };

} // namespace

std::string_view
ToString(RefusalReason aReason)
{
  return kRefusalNames[static_cast<std::size_t>(aReason)];
}

bool
ParseRefusalReason(std::string_view aText, RefusalReason& aReason)
{
  for (std::size_t i = 0; i < kRefusalNames.size(); ++i) {
    if (kRefusalNames[i] == aText) {
      aReason = static_cast<RefusalReason>(i);
      return true;
    }
  }
  return false;
}

} // namespace buckthornshunt
