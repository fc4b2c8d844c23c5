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
  std::string mCell;
  CallerCall mCall;
  /// How long the owner may take; sent in milliseconds.
  Duration mPatience{};
};

/// The envelope of a call between nodes; calls with number 0 get no answer.
struct LinkCall
{
  std::uint64_t mNumber = 0;
  std::string mKind;
  /// Time left to the caller, negative if it is over.
  Duration mTimeLeft{};
  Json mBody;
};

/// A message of a link is a call [number, kind, timeout in ms, body] or an
/// answer [number, body].
constexpr std::size_t kLinkCallFields = 4;
constexpr std::size_t kLinkReplyFields = 2;

leaf::result<LinkCall>
DecodeLinkCall(std::string_view aBytes);

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
