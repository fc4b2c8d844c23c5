#ifndef BUCKTHORNSHUNT_NET_HTTP_MESSAGE_H
#define BUCKTHORNSHUNT_NET_HTTP_MESSAGE_H

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace buckthornshunt {

/// Header fields in the order they arrived.
using HttpFields = std::vector<std::pair<std::string, std::string>>;

/// Value of a field, without regard to case; empty if it is absent.
std::string_view
FindField(const HttpFields& aFields, std::string_view aName);

struct HttpRequest
{
  std::string mMethod;
  std::string mTarget;
  HttpFields mFields;
  std::string mBody;
};

struct HttpReply
{
  int mStatus = 200;
  HttpFields mFields;
  std::string mBody;
};

/// Path of a target, without its query.
std::string_view
TargetPath(std::string_view aTarget);

/// Decoded value of a query parameter; empty if it is absent.
std::string
QueryValue(std::string_view aTarget, std::string_view aName);

/// Percent-encodes text for use in a path or a query.
std::string
EncodeUrl(std::string_view aText);

/// Undoes EncodeUrl; malformed escapes are kept as they are.
std::string
DecodeUrl(std::string_view aText);

/// Parts of a path between its slashes, decoded.
std::vector<std::string>
SplitPath(std::string_view aPath);

constexpr std::string_view kJsonType = "application/json";
constexpr std::string_view kCborType = "application/cbor";
constexpr std::string_view kBytesType = "application/octet-stream";

/// A reply with a body of that media type.
HttpReply
MakeReply(int aStatus, std::string_view aType, std::string aBody);

} // namespace buckthornshunt

#endif
