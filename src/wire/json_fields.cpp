#include "wire/json_fields.h"

#include "wire/json_sax.h"

namespace buckthornshunt {

namespace {

/// Follows a document's nesting and stops the parser when it is too deep,
/// since the library's CBOR reader recurses.
class DepthGuard : public SaxDefaults
{
public:
  bool start_object(std::size_t) { return Enter(); }
  bool end_object() { return Leave(); }
  bool start_array(std::size_t) { return Enter(); }
  bool end_array() { return Leave(); }
  bool parse_error(std::size_t, const std::string&, const Json::exception&)
  {
    return false;
  }

private:
  bool Enter() { return ++mDepth <= kMostJsonDepth; }
  bool Leave()
  {
    --mDepth;
    return true;
  }

  std::size_t mDepth = 0;
};

template<class Value, class Check>
leaf::result<Value>
ReadAs(const Json& aObject, const char* aName, Check aCheck)
{
  BOOST_LEAF_AUTO(at, Member(aObject, aName));
  if (!aCheck(*at)) {
    return Fail(MessageFailure{ MessageFault::WrongType, aName });
  }
  return at->template get<Value>();
}

} // namespace

leaf::result<Json>
ParseJson(std::string_view aText)
{
  DepthGuard guard;
  if (!Json::sax_parse(aText, &guard)) {
    return Fail(MessageFailure{ MessageFault::Malformed, {} });
  }
  return Json::parse(aText);
}

leaf::result<Json>
ParseCbor(std::string_view aBytes)
{
  DepthGuard guard;
  if (!Json::sax_parse(aBytes, &guard, Json::input_format_t::cbor)) {
    return Fail(MessageFailure{ MessageFault::Malformed, {} });
  }
  return Json::from_cbor(aBytes);
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
    aObject, aName, [](const Json& aAt) { return aAt.is_string(); });
}

leaf::result<std::uint64_t>
ReadNumber(const Json& aObject, const char* aName)
{
  return ReadAs<std::uint64_t>(
    aObject, aName, [](const Json& aAt) { return aAt.is_number_unsigned(); });
}

leaf::result<std::int64_t>
ReadSigned(const Json& aObject, const char* aName)
{
  return ReadAs<std::int64_t>(
    aObject, aName, [](const Json& aAt) { return aAt.is_number_integer(); });
}

leaf::result<bool>
ReadBool(const Json& aObject, const char* aName)
{
  return ReadAs<bool>(
    aObject, aName, [](const Json& aAt) { return aAt.is_boolean(); });
}

Json
BytesToJson(std::string_view aBytes)
{
  return Json::binary(std::vector<std::uint8_t>(aBytes.begin(), aBytes.end()));
}

leaf::result<std::string>
ReadBytes(const Json& aObject, const char* aName)
{
  BOOST_LEAF_AUTO(at, Member(aObject, aName));
  if (!at->is_binary()) {
    return Fail(MessageFailure{ MessageFault::WrongType, aName });
  }
  const auto& bytes = at->get_binary();
  return std::string(bytes.begin(), bytes.end());
}

leaf::result<const Json*>
ReadArray(const Json& aObject, const char* aName)
{
  BOOST_LEAF_AUTO(at, Member(aObject, aName));
  if (!at->is_array()) {
    return Fail(MessageFailure{ MessageFault::WrongType, aName });
  }
  return at;
}

} // namespace buckthornshunt
