#include "buckthornshunt/types.h"

#include <array>
#include <charconv>
#include <cstddef>

namespace buckthornshunt {

namespace {

constexpr int kHexBase = 16;

constexpr std::array<std::string_view, 6> kVmStateNames = {
  "serving", "leaving", "draining", "maintenance", "lost", "retired"
};

std::string
ToHex(std::uint64_t aNumber)
{
  std::array<char, 16> buf{};
  auto end =
    std::to_chars(buf.data(), buf.data() + buf.size(), aNumber, kHexBase).ptr;
  return { buf.data(), end };
}

bool
ParseHex(std::string_view aText, std::uint64_t& aNumber)
{
  const char* end = aText.data() + aText.size();
  auto [at, ec] = std::from_chars(aText.data(), end, aNumber, kHexBase);
  return ec == std::errc{} && at == end;
}

} // namespace

std::string
ToString(const Endpoint& aEndpoint)
{
  return aEndpoint.mHost + ":" + std::to_string(aEndpoint.mPort);
}

std::string
ToString(const AttemptId& aAttempt)
{
  return ToHex(ToNumber(aAttempt.mIncarnation)) + "-" +
         ToHex(aAttempt.mSequence);
}

bool
ParseAttemptId(std::string_view aText, AttemptId& aAttempt)
{
  std::size_t dash = aText.find('-');
  if (dash == std::string_view::npos) {
    return false;
  }
  std::uint64_t incarnation = 0;
  if (!ParseHex(aText.substr(0, dash), incarnation)) {
    return false;
  }
  aAttempt.mIncarnation = Incarnation(incarnation);
  return ParseHex(aText.substr(dash + 1), aAttempt.mSequence);
}

std::string_view
ToString(VmState aState)
{
  return kVmStateNames[static_cast<std::size_t>(aState)];
}

bool
ParseVmState(std::string_view aText, VmState& aState)
{
  for (std::size_t i = 0; i < kVmStateNames.size(); ++i) {
    if (kVmStateNames[i] == aText) {
      aState = static_cast<VmState>(i);
      return true;
    }
  }
  return false;
}

} // namespace buckthornshunt
