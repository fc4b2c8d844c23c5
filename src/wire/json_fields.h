#ifndef BUCKTHORNSHUNT_WIRE_JSON_FIELDS_H
#define BUCKTHORNSHUNT_WIRE_JSON_FIELDS_H

#include "buckthornshunt/failure.h"

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace buckthornshunt {

namespace leaf = boost::leaf;

using Json = nlohmann::json;

/// Deepest nesting of a document from outside.
constexpr std::size_t kMaxJsonDepth = 24;

/// Loads a typed failure as LEAF's error.
template<class Kind>
leaf::error_id
Fail(Kind aFailure)
{
  return leaf::new_error(Failure(std::move(aFailure)));
}

/// Runs aRead and turns its LEAF error into a value that may cross a
/// suspension point.
template<class Value, class Read>
Expected<Value>
ToExpected(Read&& aRead)
{
  return leaf::try_handle_all(
    [&]() -> leaf::result<Expected<Value>> {
      BOOST_LEAF_AUTO(value, aRead());
      return Expected<Value>(std::move(value));
    },
    [](const Failure& aFailure) { return Expected<Value>(aFailure); },
    [] { return Expected<Value>(Failure(MessageFailure{})); });
}

/// Parses JSON text; fails with MessageFailure if it is malformed or nested
/// too deeply.
leaf::result<Json>
ParseJson(std::string_view aText);

/// Parses CBOR bytes under the same limits.
leaf::result<Json>
ParseCbor(std::string_view aBytes);

std::string
ToCbor(const Json& aJson);

/// A member of an object; fails with MessageFailure if it is missing.
leaf::result<const Json*>
Member(const Json& aObject, const char* aName);

leaf::result<std::string>
ReadString(const Json& aObject, const char* aName);

leaf::result<std::uint64_t>
ReadNumber(const Json& aObject, const char* aName);

leaf::result<std::int64_t>
ReadSigned(const Json& aObject, const char* aName);

leaf::result<bool>
ReadBool(const Json& aObject, const char* aName);

/// Bytes as JSON's binary type, which only CBOR can carry.
Json
BytesToJson(std::string_view aBytes);

leaf::result<std::string>
ReadBytes(const Json& aObject, const char* aName);

/// A member that must be an array.
leaf::result<const Json*>
ReadArray(const Json& aObject, const char* aName);

} // namespace buckthornshunt

#endif
