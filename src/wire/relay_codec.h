#ifndef BUCKTHORNSHUNT_WIRE_RELAY_CODEC_H
#define BUCKTHORNSHUNT_WIRE_RELAY_CODEC_H

#include "ports/caller_calls.h"
#include "wire/json_fields.h"

#include <string_view>
#include <variant>

namespace buckthornshunt {

/// The node asked isn't the cell's owner.
struct NotOwner
{};

using OwnerReply = std::variant<CallerReply, NotOwner>;

/// A caller's call as one node passes it to the owner of a cell.
struct RelayedCall
{
  std::string mPool;
  CallerCall mCall;
  /// Time that the owner may take.
  Duration mPatience{};
};

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
