#ifndef BUCKTHORNSHUNT_WIRE_BACKEND_CODEC_H
#define BUCKTHORNSHUNT_WIRE_BACKEND_CODEC_H

#include "buckthornshunt/failure.h"
#include "net/http_message.h"
#include "ports/backend_calls.h"
#include "wire/json_fields.h"

namespace buckthornshunt {

/// Encodes a call to a backend server as an HTTP request.
HttpRequest
EncodeBackendCall(const BackendCall& aCall);

/// Inverse of EncodeBackendCall; fails with MessageFailure.
leaf::result<BackendCall>
DecodeBackendCall(const HttpRequest& aRequest);

/// Encodes a backend server's reply: 200 for success, 422 for a task that
/// reported an error, 503 for a task that was refused before it started.
HttpReply
EncodeBackendReply(const BackendReply& aReply);

/// Decodes a backend server's reply to aCall. Fails with ProtocolFailure if it
/// is malformed or, for RunTask, its digest or attempt doesn't match.
Expected<BackendReply>
DecodeBackendReply(const BackendCall& aCall,
                   const Endpoint& aServer,
                   HttpReply aReply);

} // namespace buckthornshunt

#endif
