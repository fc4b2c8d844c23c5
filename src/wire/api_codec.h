#ifndef BUCKTHORNSHUNT_WIRE_API_CODEC_H
#define BUCKTHORNSHUNT_WIRE_API_CODEC_H

#include "buckthornshunt/failure.h"
#include "buckthornshunt/outcome.h"
#include "net/http_message.h"
#include "wire/config_codec.h"
#include "wire/json_fields.h"

#include <string_view>

namespace buckthornshunt {

/// Header fields of the callers' interface.
constexpr std::string_view kIdempotencyKeyField = "Idempotency-Key";
constexpr std::string_view kDeadlineField = "X-Deadline-Ms";
constexpr std::string_view kTeamField = "X-Team";
constexpr std::string_view kDeclaredRunTimeField = "X-Declared-Ms";
constexpr std::string_view kIdempotentField = "X-Idempotent";
constexpr std::string_view kTraceField = "X-Trace";
constexpr std::string_view kJobStateField = "X-Job-State";
constexpr std::string_view kOutcomeField = "X-Outcome";
constexpr std::string_view kReasonField = "X-Reason";
constexpr std::string_view kAttemptIdField = "X-Attempt";

/// Reads a caller's request, apart from its deadline and trace. Fails with
/// MessageFailure.
leaf::result<Request>
DecodeCallerRequest(const HttpRequest& aRequest);

/// Time that the caller allows; zero if it states none.
leaf::result<Duration>
DecodeDeadline(const HttpRequest& aRequest);

/// An outcome as a reply: 200 completed, 422 failed, 503 not run, 504
/// unknown.
HttpReply
EncodeOutcome(const Outcome& aOutcome);

/// Reads what EncodeOutcome wrote; fails with MessageFailure.
leaf::result<Outcome>
DecodeOutcome(const HttpReply& aReply);

/// A typed error as JSON.
HttpReply
EncodeError(const Failure& aFailure);

/// The configuration's files in one document, for apply and show.
Json
ConfigSourceToJson(const ConfigSource& aSource);
leaf::result<ConfigSource>
ConfigSourceFromJson(const Json& aJson);

} // namespace buckthornshunt

#endif
