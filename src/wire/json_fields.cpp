#include "wire/json_fields.h"

#include "wire/json_sax.h"

#include <websocketpp/utf8_validator.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace buckthornshunt {

namespace {

// Heads of CBOR items: the major type and the kind of its argument.
constexpr unsigned kMajorTypeShift = 5;
constexpr unsigned kArgumentMask = 0x1f;
constexpr unsigned kFirstSizedArgument = 24;
constexpr unsigned kReservedArgument = 28;
constexpr unsigned kIndefiniteLength = 31;
constexpr unsigned kByteString = 2;
constexpr unsigned kMap = 5;
constexpr unsigned kBitsPerByte = 8;

// Checks what the library's CBOR reader doesn't guard against: it recurses into
// the chunks of strings of indefinite length, which the encoder never writes,
// and throws an exception for a container that declares an impossible size.
bool
IsSafeCbor(std::string_view aBytes)
{
  std::size_t at = 0;
  while (at < aBytes.size()) {
    unsigned head = static_cast<unsigned char>(aBytes[at++]);
    unsigned type = head >> kMajorTypeShift;
    unsigned kind = head & kArgumentMask;
    bool isString = type == kByteString || type == kByteString + 1;
    if (kind >= kReservedArgument) {
      if (kind == kIndefiniteLength && isString) {
        return false;
      }
      continue;
    }
    std::uint64_t argument = kind;
    if (kind >= kFirstSizedArgument) {
      std::size_t size = std::size_t{ 1 } << (kind - kFirstSizedArgument);
      if (size > aBytes.size() - at) {
        return false;
      }
      argument = 0;
      for (unsigned char byte : aBytes.substr(at, size)) {
        argument = (argument << kBitsPerByte) | byte;
      }
      at += size;
    }
    bool hasSize = type >= kByteString && type <= kMap;
    if (hasSize && argument > aBytes.size() - at) {
      return false;
    }
    at += isString ? argument : 0;
  }
  return true;
}

/// Builds a document and stops the parser beyond kMaxJsonDepth, since deep
/// nesting can overflow the stack of the library's recursive CBOR reader. Text
/// must be UTF-8, without which it can't be written as JSON again.
class DepthLimitedBuilder : public nlohmann::detail::json_sax_dom_parser<Json>
{
  using Builder = nlohmann::detail::json_sax_dom_parser<Json>;

public:
  explicit DepthLimitedBuilder(Json& aRoot)
    : Builder(aRoot, false)
  {
  }

  bool start_object(std::size_t aSize)
  {
    return Enter() && Builder::start_object(aSize);
  }
  bool end_object() { return Leave() && Builder::end_object(); }
  bool start_array(std::size_t aSize)
  {
    return Enter() && Builder::start_array(aSize);
  }
  bool end_array() { return Leave() && Builder::end_array(); }
  bool string(std::string& aText)
  {
    return IsUtf8(aText) && Builder::string(aText);
  }
  bool key(std::string& aText) { return IsUtf8(aText) && Builder::key(aText); }

private:
  bool Enter() { return ++mDepth <= kMaxJsonDepth; }
  bool Leave()
  {
    --mDepth;
    return true;
  }

  std::size_t mDepth = 0;
};

leaf::result<Json>
Parse(std::string_view aBytes, Json::input_format_t aFormat)
{
  Json root;
  DepthLimitedBuilder builder(root);
  if (!Json::sax_parse(aBytes, &builder, aFormat)) {
    return Fail(MessageFailure{ MessageFault::Malformed, {} });
  }
  return root;
}

// A value of a type that no field of a list's entries has.
constexpr std::string_view kUnreadableValue = "[{}]";

// End of the string that begins at aAt; the end of the text if it isn't closed.
std::size_t
EndOfString(std::string_view aText, std::size_t aAt)
{
  ++aAt;
  while (aAt < aText.size() && aText[aAt] != '"') {
    aAt += aText[aAt] == '\\' ? 2 : 1;
  }
  return std::min(aAt + 1, aText.size());
}

// End of the object or array that begins at aAt.
std::size_t
EndOfContainer(std::string_view aText, std::size_t aAt)
{
  std::size_t depth = 0;
  while (aAt < aText.size()) {
    char c = aText[aAt];
    if (c == '"') {
      aAt = EndOfString(aText, aAt);
      continue;
    }
    ++aAt;
    if (c == '[' || c == '{') {
      ++depth;
    } else if ((c == ']' || c == '}') && --depth == 0) {
      break;
    }
  }
  return aAt;
}

// Replaces each value that the parser rejects by itself.
std::string
ReplaceUnreadableValues(std::string_view aText)
{
  constexpr std::string_view kSpace = " \t\r\n";
  constexpr std::string_view kDelimiters = " \t\r\n[]{},:\"";
  std::string out;
  out.reserve(aText.size());
  std::size_t depth = 0;
  std::size_t at = 0;
  while (at < aText.size()) {
    char c = aText[at];
    bool opens = c == '[' || c == '{';
    if (opens && depth == kMaxJsonDepth - 2) {
      // Leaves room for the nesting of the replacement.
      at = EndOfContainer(aText, at);
      out += kUnreadableValue;
      continue;
    }
    bool isString = c == '"';
    if (!isString && kDelimiters.find(c) != std::string_view::npos) {
      depth += opens ? 1 : 0;
      depth -= (c == ']' || c == '}') && depth > 0 ? 1 : 0;
      out += c;
      ++at;
      continue;
    }
    std::size_t end =
      isString ? EndOfString(aText, at)
               : std::min(aText.find_first_of(kDelimiters, at), aText.size());
    std::string_view value = aText.substr(at, end - at);
    std::size_t next = aText.find_first_not_of(kSpace, end);
    bool isKey = next != std::string_view::npos && aText[next] == ':';
    if (Json::accept(value)) {
      out += value;
    } else {
      out += isKey ? std::string_view("\"\"") : kUnreadableValue;
    }
    at = end;
  }
  return out;
}

template<class Value, class TypeCheck>
leaf::result<Value>
ReadAs(const Json& aObject, const char* aName, TypeCheck aHasType)
{
  BOOST_LEAF_AUTO(member, Member(aObject, aName));
  if (!aHasType(*member)) {
    return Fail(MessageFailure{ MessageFault::WrongType, aName });
  }
  return member->template get<Value>();
}

} // namespace

leaf::result<Json>
ParseJson(std::string_view aText)
{
  return Parse(aText, Json::input_format_t::json);
}

leaf::result<Json>
ParseJsonList(std::string_view aText)
{
  return leaf::try_handle_some(
    [&] { return ParseJson(aText); },
    [&](const Failure&) { return ParseJson(ReplaceUnreadableValues(aText)); });
}

bool
IsUtf8(std::string_view aText)
{
  websocketpp::utf8_validator::validator validator;
  return validator.decode(aText.begin(), aText.end()) && validator.complete();
}

leaf::result<Json>
ParseCbor(std::string_view aBytes)
{
  if (!IsSafeCbor(aBytes)) {
    return Fail(MessageFailure{ MessageFault::Malformed, {} });
  }
  return Parse(aBytes, Json::input_format_t::cbor);
}

std::string
ToCbor(const Json& aJson)
{
  std::string bytes;
  Json::to_cbor(aJson, bytes);
  return bytes;
}

leaf::result<const Json*>
Member(const Json& aObject, const char* aName)
{
  if (!aObject.is_object()) {
    return Fail(MessageFailure{ MessageFault::WrongType, {} });
  }
  auto it = aObject.find(aName);
  if (it == aObject.end()) {
    return Fail(MessageFailure{ MessageFault::MissingField, aName });
  }
  return &*it;
}

leaf::result<std::string>
ReadString(const Json& aObject, const char* aName)
{
  return ReadAs<std::string>(
    aObject, aName, [](const Json& aValue) { return aValue.is_string(); });
}

leaf::result<std::uint64_t>
ReadUnsigned(const Json& aObject, const char* aName)
{
  return ReadAs<std::uint64_t>(aObject, aName, [](const Json& aValue) {
    return aValue.is_number_unsigned();
  });
}

leaf::result<std::int64_t>
ReadSigned(const Json& aObject, const char* aName)
{
  return ReadInRange(aObject,
                     aName,
                     std::numeric_limits<std::int64_t>::min(),
                     std::numeric_limits<std::int64_t>::max());
}

leaf::result<std::int64_t>
ReadInRange(const Json& aObject,
            const char* aName,
            std::int64_t aMin,
            std::int64_t aMax)
{
  BOOST_LEAF_AUTO(member, Member(aObject, aName));
  // Integers that aren't negative are unsigned and may be larger than aMax.
  bool fits = member->is_number_unsigned()
                ? std::in_range<std::int64_t>(member->get<std::uint64_t>())
                : member->is_number_integer();
  if (!fits || member->get<std::int64_t>() < aMin ||
      member->get<std::int64_t>() > aMax) {
    return Fail(MessageFailure{ MessageFault::WrongType, aName });
  }
  return member->get<std::int64_t>();
}

leaf::result<std::uint32_t>
ReadUnsigned32(const Json& aObject, const char* aName)
{
  constexpr std::uint32_t kMax = std::numeric_limits<std::uint32_t>::max();
  BOOST_LEAF_AUTO(value, ReadInRange(aObject, aName, 0, kMax));
  return static_cast<std::uint32_t>(value);
}

leaf::result<Duration>
ReadMillis(const Json& aObject, const char* aName)
{
  BOOST_LEAF_AUTO(millis, ReadInRange(aObject, aName, 0, kMaxMillis));
  return Duration(std::chrono::milliseconds(millis));
}

leaf::result<Duration>
ReadNanos(const Json& aObject, const char* aName)
{
  constexpr std::int64_t kMax =
    Duration(std::chrono::milliseconds(kMaxMillis)).count();
  BOOST_LEAF_AUTO(nanos, ReadInRange(aObject, aName, -kMax, kMax));
  return Duration(nanos);
}

leaf::result<bool>
ReadBool(const Json& aObject, const char* aName)
{
  return ReadAs<bool>(
    aObject, aName, [](const Json& aValue) { return aValue.is_boolean(); });
}

Json
BytesToJson(std::string_view aBytes)
{
  return Json::binary(std::vector<std::uint8_t>(aBytes.begin(), aBytes.end()));
}

leaf::result<std::string>
ReadBytes(const Json& aObject, const char* aName)
{
  BOOST_LEAF_AUTO(member, Member(aObject, aName));
  if (!member->is_binary()) {
    return Fail(MessageFailure{ MessageFault::WrongType, aName });
  }
  const auto& bytes = member->get_binary();
  return std::string(bytes.begin(), bytes.end());
}

leaf::result<const Json*>
ReadArray(const Json& aObject, const char* aName)
{
  BOOST_LEAF_AUTO(member, Member(aObject, aName));
  if (!member->is_array()) {
    return Fail(MessageFailure{ MessageFault::WrongType, aName });
  }
  return member;
}

} // namespace buckthornshunt
