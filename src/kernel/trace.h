#ifndef BUCKTHORNSHUNT_KERNEL_TRACE_H
#define BUCKTHORNSHUNT_KERNEL_TRACE_H

#include "buckthornshunt/time.h"

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornshunt {

/// One hop of a request in one process.
struct Span
{
  std::uint64_t mTraceId = 0;
  std::uint64_t mId = 0;
  std::uint64_t mParentId = 0;
  std::string mName;
  std::string mNode;
  WallTime mStart;
  Duration mDuration{};
  std::string mNote;
};

/// Keeps the newest spans of this process.
class Tracer
{
public:
  /// aSeed makes the ids of this process differ from those of others.
  explicit Tracer(std::uint64_t aSeed);

  void SetNode(std::string_view aNode) { mNode = aNode; }

  /// A new random id for a trace or a span; never 0.
  std::uint64_t NewId();

  void Record(Span aSpan);

  /// Spans of one trace, oldest first.
  std::vector<Span> Find(std::uint64_t aTrace) const;

private:
  std::string mNode;
  std::uint64_t mState;
  std::deque<Span> mSpans;
};

/// 16 hexadecimal digits.
std::string
FormatId(std::uint64_t aId);

/// Reads up to 16 hexadecimal digits; 0 if the text is anything else.
std::uint64_t
ParseId(std::string_view aText);

} // namespace buckthornshunt

#endif
