#ifndef BUCKTHORNSHUNT_WIRE_JSON_FIELDS_H
#define BUCKTHORNSHUNT_WIRE_JSON_FIELDS_H

#include "buckthornshunt/failure.h"
#include "buckthornshunt/time.h"

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

/// Maximum nesting depth of untrusted documents.
constexpr std::size_t kMaxJsonDepth = 24;

/// Maximum duration in messages: ten years, which any time can be moved by
/// without an overflow.
constexpr std::int64_t kMaxMillis = 10LL * 365 * 86'400'000;
/// Maximum time in messages: the year 2200 in Unix milliseconds. Its distance
/// from any other time fits into a Duration.
constexpr std::int64_t kMaxTimeMillis = 7'258'118'400'000;

/// Creates a LEAF error that carries a Failure.
template<class Kind>
leaf::error_id
Fail(Kind aFailure)
{
  return leaf::new_error(Failure(std::move(aFailure)));
}

/// Runs aRead and converts its LEAF error to a value, which may cross a
/// coroutine suspension point.
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

/// Parses JSON text that holds a list of entries, like ParseJson. A value that
/// can't be read, such as one nested too deeply or a number that is too large,
/// becomes one that no field accepts, so that only its entry is malformed.
leaf::result<Json>
ParseJsonList(std::string_view aText);

/// True if the text is well-formed UTF-8.
bool
IsUtf8(std::string_view aText);

/// Parses CBOR bytes; fails like ParseJson, and for strings that are not UTF-8.
leaf::result<Json>
ParseCbor(std::string_view aBytes);

std::string
ToCbor(const Json& aJson);

/// Finds a member of an object; fails with MessageFailure if aObject is not an
/// object or the member is missing. So do the Read functions below, also for a
/// member of another type.
leaf::result<const Json*>
Member(const Json& aObject, const char* aName);

leaf::result<std::string>
ReadString(const Json& aObject, const char* aName);

leaf::result<std::uint64_t>
ReadUnsigned(const Json& aObject, const char* aName);

leaf::result<std::int64_t>
ReadSigned(const Json& aObject, const char* aName);

/// Reads an integer from aMin to aMax.
leaf::result<std::int64_t>
ReadInRange(const Json& aObject,
            const char* aName,
            std::int64_t aMin,
            std::int64_t aMax);

/// Reads a 32-bit number.
leaf::result<std::uint32_t>
ReadUnsigned32(const Json& aObject, const char* aName);

/// Reads a duration of 0 to kMaxMillis in whole milliseconds.
leaf::result<Duration>
ReadMillis(const Json& aObject, const char* aName);

/// Reads a duration of at most kMaxMillis, which may be negative, in
/// nanoseconds.
leaf::result<Duration>
ReadNanos(const Json& aObject, const char* aName);

leaf::result<bool>
ReadBool(const Json& aObject, const char* aName);

/// Converts bytes to the library's binary type, which CBOR can encode but JSON
/// text can't.
Json
BytesToJson(std::string_view aBytes);

leaf::result<std::string>
ReadBytes(const Json& aObject, const char* aName);

/// Finds a member that must be an array.
leaf::result<const Json*>
ReadArray(const Json& aObject, const char* aName);

} // namespace buckthornshunt

#endif
