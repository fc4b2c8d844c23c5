#include "buckthornshunt/outcome.h"

#include <array>
#include <cstddef>

namespace buckthornshunt {

namespace {

constexpr std::array<std::string_view, 11> kReasonNames = {
  "no_capacity",        "queue_full",        "quota_exceeded",
  "deadline_too_short", "deadline_exceeded", "platform_unavailable",
  "unknown_pool",       "not_ready",         "stopping",
  "cancelled",          "set_aside"
};

constexpr std::array<std::string_view, 4> kOutcomeNames = { "completed",
                                                            "not_run",
                                                            "unknown",
                                                            "failed" };

} // namespace

std::string_view
ToString(NotRunReason aReason)
{
  return kReasonNames[static_cast<std::size_t>(aReason)];
}

bool
ParseNotRunReason(std::string_view aText, NotRunReason& aReason)
{
  for (std::size_t i = 0; i < kReasonNames.size(); ++i) {
    if (kReasonNames[i] == aText) {
      aReason = static_cast<NotRunReason>(i);
      return true;
    }
  }
  return false;
}

std::string_view
OutcomeName(const Outcome& aOutcome)
{
  return kOutcomeNames[aOutcome.index()];
}

} // namespace buckthornshunt
