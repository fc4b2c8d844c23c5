#ifndef BUCKTHORNSHUNT_WIRE_PLATFORM_CODEC_H
#define BUCKTHORNSHUNT_WIRE_PLATFORM_CODEC_H

#include "net/http_message.h"
#include "ports/platform_calls.h"
#include "wire/json_fields.h"

namespace buckthornshunt {

/// A call of the platform's interface as an HTTP request.
HttpRequest
EncodePlatformCall(const PlatformCall& aCall);

/// Reads what EncodePlatformCall wrote; fails with MessageFailure.
leaf::result<PlatformCall>
DecodePlatformCall(const HttpRequest& aRequest);

/// The platform's answer as an HTTP reply: 200 with the result, 409 for a
/// conflict, 404 for a missing object.
HttpReply
EncodePlatformReply(const Expected<PlatformReply>& aReply);

/// Reads what EncodePlatformReply wrote. A failure that the platform stated
/// is returned as that failure; anything else is a ProtocolFailure, which
/// leaves open what the platform did.
Expected<PlatformReply>
DecodePlatformReply(const PlatformCall& aCall, const HttpReply& aReply);

} // namespace buckthornshunt

#endif
