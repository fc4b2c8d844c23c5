#ifndef BUCKTHORNSHUNT_WIRE_PLATFORM_CODEC_H
#define BUCKTHORNSHUNT_WIRE_PLATFORM_CODEC_H

#include "net/http_message.h"
#include "ports/platform_calls.h"
#include "wire/json_fields.h"

namespace buckthornshunt {

/// Encodes a call to the platform as an HTTP request.
HttpRequest
EncodePlatformCall(const PlatformCall& aCall);

/// Inverse of EncodePlatformCall; fails with MessageFailure.
leaf::result<PlatformCall>
DecodePlatformCall(const HttpRequest& aRequest);

/// Encodes the platform's reply: 200 with the result, 304 for an unchanged VM
/// list, 400 for an invalid call, 404 for a missing object, 409 for a commit
/// conflict, 503 for any other failure.
HttpReply
EncodePlatformReply(const Expected<PlatformReply>& aReply);

/// Inverse of EncodePlatformReply. Fails with the CommitConflict or NotFound
/// that the platform reported; any other error is a ProtocolFailure, after
/// which it is unknown whether the platform executed the call.
Expected<PlatformReply>
DecodePlatformReply(const PlatformCall& aCall, const HttpReply& aReply);

} // namespace buckthornshunt

#endif
