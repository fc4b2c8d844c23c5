#ifndef BUCKTHORNSHUNT_OUTCOME_H
#define BUCKTHORNSHUNT_OUTCOME_H

#include "buckthornshunt/time.h"
#include "buckthornshunt/types.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace buckthornshunt {

/// Why no part of a request ran.
enum class NotRunReason : std::uint8_t
{
  NoCapacity,
  QueueFull,
  QuotaExceeded,
  DeadlineTooShort,
  DeadlineExceeded,
  PlatformUnavailable,
  UnknownPool,
  NotReady,
  Stopping,
  Cancelled,
  SetAside
};

std::string_view
ToString(NotRunReason aReason);

/// Parses the output of ToString; false if the text is not a reason.
bool
ParseNotRunReason(std::string_view aText, NotRunReason& aReason);

/// The work finished; the response body is complete.
struct Completed
{
  std::string mBody;
  AttemptId mAttempt;
};

/// No backend server started the work; the caller may retry after mRetryAfter.
struct NotRun
{
  NotRunReason mReason = NotRunReason::NoCapacity;
  Duration mRetryAfter{};
};

/// The work may have run; a retry with the same idempotency key resolves the
/// outcome.
struct Unknown
{
  AttemptId mAttempt;
};

/// The work ran and reported an error.
struct Failed
{
  std::string mBody;
  AttemptId mAttempt;
};

using Outcome = std::variant<Completed, NotRun, Unknown, Failed>;

/// "completed", "not_run", "unknown" or "failed".
std::string_view
OutcomeName(const Outcome& aOutcome);

} // namespace buckthornshunt

#endif
