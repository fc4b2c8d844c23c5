#ifndef BUCKTHORNSHUNT_KERNEL_TRACE_H
#define BUCKTHORNSHUNT_KERNEL_TRACE_H

#include "buckthornshunt/time.h"

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornshunt {

/// A timed operation in the trace of a request.
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

/// Stores the most recent spans of this process.
class Tracer
{
public:
  /// aSeed must differ between processes, so that their ids differ.
  explicit Tracer(std::uint64_t aSeed);

  void SetNode(std::string_view aNode) { mNode = aNode; }

  /// New random id of a trace or span; never 0.
  std::uint64_t NewId();

  void Record(Span aSpan);

  /// Stored spans of one trace, in the order of recording.
  std::vector<Span> Find(std::uint64_t aTrace) const;

private:
  std::string mNode;
  std::uint64_t mState;
  std::deque<Span> mSpans;
};

/// Formats an id as 16 hexadecimal digits.
std::string
FormatId(std::uint64_t aId);

/// Parses up to 16 hexadecimal digits; 0 if the text is malformed.
std::uint64_t
ParseId(std::string_view aText);

} // namespace buckthornshunt

#endif
