#ifndef BUCKTHORNSHUNT_WIRE_BACKEND_CODEC_H
#define BUCKTHORNSHUNT_WIRE_BACKEND_CODEC_H

#include "buckthornshunt/failure.h"
#include "net/http_message.h"
#include "ports/backend_calls.h"
#include "wire/json_fields.h"

namespace buckthornshunt {

/// A call to a backend server as an HTTP request.
HttpRequest
EncodeBackendCall(const BackendCall& aCall);

/// Reads what EncodeBackendCall wrote; fails with MessageFailure.
leaf::result<BackendCall>
DecodeBackendCall(const HttpRequest& aRequest);

/// A server's answer: 200 for ended work, 422 for work that reported an
/// error, 503 for a refusal before the start.
HttpReply
EncodeBackendReply(const BackendReply& aReply);

/// Reads a server's answer to a call. A body that doesn't match its digest,
/// or an answer to another attempt, is a ProtocolFailure.
Expected<BackendReply>
DecodeBackendReply(const BackendCall& aCall,
                   const Endpoint& aServer,
                   HttpReply aReply);

} // namespace buckthornshunt

#endif
