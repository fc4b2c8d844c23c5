#ifndef BUCKTHORNSHUNT_WIRE_RELAY_CODEC_H
#define BUCKTHORNSHUNT_WIRE_RELAY_CODEC_H

#include "ports/caller_calls.h"
#include "wire/json_fields.h"

#include <string_view>
#include <variant>

namespace buckthornshunt {

/// The node that received the call isn't the cell's owner.
struct NotOwner
{};

using OwnerReply = std::variant<CallerReply, NotOwner>;

/// A caller's call, relayed by a node to the owner of a cell.
struct RelayedCall
{
  std::string mPool;
  CallerCall mCall;
  /// How long the owner may take; sent in milliseconds.
  Duration mPatience{};
};

/// Messages between nodes; decoders fail with MessageFailure.
Json
RelayedCallToJson(const RelayedCall& aCall);
leaf::result<RelayedCall>
RelayedCallFromJson(const Json& aJson);

Json
OwnerReplyToJson(const OwnerReply& aReply);
leaf::result<OwnerReply>
OwnerReplyFromJson(const Json& aJson);

} // namespace buckthornshunt

#endif
