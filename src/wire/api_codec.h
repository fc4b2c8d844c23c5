#ifndef BUCKTHORNSHUNT_WIRE_API_CODEC_H
#define BUCKTHORNSHUNT_WIRE_API_CODEC_H

#include "buckthornshunt/failure.h"
#include "buckthornshunt/outcome.h"
#include "net/http_message.h"
#include "wire/config_codec.h"
#include "wire/json_fields.h"

#include <string_view>

namespace buckthornshunt {

/// HTTP header fields of the callers' interface.
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

/// Decodes a caller's request without its deadline and trace; fails with
/// MessageFailure.
leaf::result<Request>
DecodeCallerRequest(const HttpRequest& aRequest);

/// Time the caller allows for the request, in X-Deadline-Ms; zero if the field
/// is absent. Fails with MessageFailure.
leaf::result<Duration>
DecodeDeadline(const HttpRequest& aRequest);

/// Encodes an outcome as an HTTP reply: 200 completed, 422 failed, 503 not run
/// (404 if the pool is unknown), 504 unknown.
HttpReply
EncodeOutcome(const Outcome& aOutcome);

/// Inverse of EncodeOutcome; fails with MessageFailure.
leaf::result<Outcome>
DecodeOutcome(const HttpReply& aReply);

/// Encodes a failure as an HTTP error reply with a JSON body.
HttpReply
EncodeError(const Failure& aFailure);

/// All configuration files in one document, for the commands apply and show.
/// ConfigSourceFromJson fails with MessageFailure.
Json
ConfigSourceToJson(const ConfigSource& aSource);
leaf::result<ConfigSource>
ConfigSourceFromJson(const Json& aJson);

} // namespace buckthornshunt

#endif
