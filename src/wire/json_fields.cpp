#include "wire/json_fields.h"

#include "wire/json_sax.h"

namespace buckthornshunt {

namespace {

/// Builds a document and stops the parser beyond kMaxJsonDepth, since deep
/// nesting can overflow the stack of the library's recursive CBOR reader.
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
ParseCbor(std::string_view aBytes)
{
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
  return ReadAs<std::int64_t>(aObject, aName, [](const Json& aValue) {
    return aValue.is_number_integer();
  });
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
