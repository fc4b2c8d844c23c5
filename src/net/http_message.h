#ifndef BUCKTHORNSHUNT_NET_HTTP_MESSAGE_H
#define BUCKTHORNSHUNT_NET_HTTP_MESSAGE_H

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace buckthornshunt {

/// Names and values of header fields, in the order of the message.
using HttpFields = std::vector<std::pair<std::string, std::string>>;

/// Value of the first field with that name, ignoring case; empty if absent.
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

/// Path of a request target, without the query.
std::string_view
TargetPath(std::string_view aTarget);

/// Percent-decoded value of a query parameter; empty if it is absent or the
/// target is malformed.
std::string
QueryValue(std::string_view aTarget, std::string_view aName);

/// Percent-encodes text for use in a path or a query.
std::string
EncodeUrl(std::string_view aText);

/// Percent-decodes text; text with a malformed escape is returned unchanged.
std::string
DecodeUrl(std::string_view aText);

/// Percent-decoded non-empty segments of a path.
std::vector<std::string>
SplitPath(std::string_view aPath);

constexpr std::string_view kJsonType = "application/json";
constexpr std::string_view kCborType = "application/cbor";
constexpr std::string_view kBytesType = "application/octet-stream";

/// Makes a reply whose Content-Type is aType.
HttpReply
MakeReply(int aStatus, std::string_view aType, std::string aBody);

} // namespace buckthornshunt

#endif
