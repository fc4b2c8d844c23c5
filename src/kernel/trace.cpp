#include "kernel/trace.h"

#include <array>
#include <charconv>
#include <utility>

namespace buckthornshunt {

namespace {

constexpr std::size_t kMaxSpans = 8192;
constexpr int kHexBase = 16;
constexpr std::size_t kIdDigits = 16;

// SplitMix64 pseudo-random generator; cheap enough to run for every span.
std::uint64_t
NextRandom(std::uint64_t& aState)
{
  aState += 0x9e3779b97f4a7c15;
  std::uint64_t n = aState;
  n = (n ^ (n >> 30U)) * 0xbf58476d1ce4e5b9;
  n = (n ^ (n >> 27U)) * 0x94d049bb133111eb;
  return n ^ (n >> 31U);
}

} // namespace

Tracer::Tracer(std::uint64_t aSeed)
  : mState(aSeed)
{
}

std::uint64_t
Tracer::NewId()
{
  std::uint64_t id = NextRandom(mState);
  return id != 0 ? id : 1;
}

void
Tracer::Record(Span aSpan)
{
  if (aSpan.mNode.empty()) {
    aSpan.mNode = mNode;
  }
  if (mSpans.size() == kMaxSpans) {
    mSpans.pop_front();
  }
  mSpans.push_back(std::move(aSpan));
}

std::vector<Span>
Tracer::Find(std::uint64_t aTrace) const
{
  std::vector<Span> found;
  for (const Span& span : mSpans) {
    if (span.mTraceId == aTrace) {
      found.push_back(span);
    }
  }
  return found;
}

std::string
FormatId(std::uint64_t aId)
{
  std::array<char, kIdDigits> buf{};
  auto end =
    std::to_chars(buf.data(), buf.data() + buf.size(), aId, kHexBase).ptr;
  std::string digits(buf.data(), end);
  return std::string(kIdDigits - digits.size(), '0') + digits;
}

std::uint64_t
ParseId(std::string_view aText)
{
  std::uint64_t id = 0;
  const char* end = aText.data() + aText.size();
  auto [at, ec] = std::from_chars(aText.data(), end, id, kHexBase);
  return ec == std::errc{} && at == end ? id : 0;
}

} // namespace buckthornshunt
