#include "buckthornshunt/failure.h"

#include <array>
#include <cstddef>

namespace buckthornshunt {

namespace {

constexpr std::array<std::string_view, 8> kConfigFaultNames = {
  "file_unreadable", "file_too_large", "syntax",        "duplicate_key",
  "schema",          "unknown_name",   "no_difference", "infeasible"
};

constexpr std::array<std::string_view, 6> kMessageFaultNames = {
  "malformed",  "too_large",    "missing_field",
  "wrong_type", "unknown_kind", "duplicate",
};

constexpr std::array<std::string_view, 14> kFailureNames = {
  "connect_failure",   "connection_lost", "protocol_failure", "timeout",
  "store_unavailable", "commit_conflict", "commit_unsettled", "service_missing",
  "service_mistyped",  "listen_failure",  "config_failure",   "message_failure",
  "state_conflict",    "not_found"
};

struct FailureDescriber
{
  std::string operator()(const ConnectFailure& aFailure) const
  {
    return "can't connect to " + ToString(aFailure.mEndpoint);
  }
  std::string operator()(const ConnectionLost& aFailure) const
  {
    return "lost the connection to " + ToString(aFailure.mEndpoint);
  }
  std::string operator()(const ProtocolFailure& aFailure) const
  {
    return "malformed reply from " + ToString(aFailure.mEndpoint);
  }
  std::string operator()(const TimeoutFailure& aFailure) const
  {
    return "timed out received=" + std::to_string(aFailure.mReceivedBytes) +
           " unread=" + std::to_string(aFailure.mUnreadBytes) +
           " late_ms=" + std::to_string(ToMillis(aFailure.mLateness));
  }
  std::string operator()(const StoreUnavailable&) const
  {
    return "platform store unavailable";
  }
  std::string operator()(const CommitConflict& aFailure) const
  {
    return "row " + aFailure.mKey + " was changed by another writer";
  }
  std::string operator()(const CommitOutcomeUnknown&) const
  {
    return "the store's reply was lost; it is unknown whether the write took "
           "effect";
  }
  std::string operator()(const ServiceNotFound& aFailure) const
  {
    return "no service is named " + aFailure.mName;
  }
  std::string operator()(const ServiceTypeMismatch& aFailure) const
  {
    return "service " + aFailure.mName + " has an unexpected type";
  }
  std::string operator()(const ListenFailure& aFailure) const
  {
    return "can't listen on " + ToString(aFailure.mEndpoint);
  }
  std::string operator()(const ConfigFailure& aFailure) const
  {
    std::string at = aFailure.mPointer.empty() ? "" : "#" + aFailure.mPointer;
    return aFailure.mFile + at + ": " + std::string(ToString(aFailure.mFault)) +
           ": " + aFailure.mDetail;
  }
  std::string operator()(const MessageFailure& aFailure) const
  {
    std::string field =
      aFailure.mField.empty() ? "" : " (" + aFailure.mField + ")";
    return "invalid message: " + std::string(ToString(aFailure.mFault)) + field;
  }
  std::string operator()(const StateConflict& aFailure) const
  {
    return aFailure.mDetail;
  }
  std::string operator()(const NotFound& aFailure) const
  {
    return aFailure.mName + " doesn't exist";
  }
};

} // namespace

std::string_view
ToString(ConfigFault aFault)
{
  return kConfigFaultNames[static_cast<std::size_t>(aFault)];
}

std::string_view
ToString(MessageFault aFault)
{
  return kMessageFaultNames[static_cast<std::size_t>(aFault)];
}

std::string_view
FailureName(const Failure& aFailure)
{
  return kFailureNames[aFailure.index()];
}

std::string
Describe(const Failure& aFailure)
{
  return std::visit(FailureDescriber{}, aFailure);
}

} // namespace buckthornshunt
