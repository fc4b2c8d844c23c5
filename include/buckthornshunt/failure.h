#ifndef BUCKTHORNSHUNT_FAILURE_H
#define BUCKTHORNSHUNT_FAILURE_H

#include "buckthornshunt/types.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace buckthornshunt {

/// A TCP connection could not be opened, so nothing was sent.
struct ConnectFailure
{
  Endpoint mEndpoint;
};

/// A connection ended or went silent after bytes were sent on it.
struct ConnectionLost
{
  Endpoint mEndpoint;
};

/// The other end answered with bytes that the protocol doesn't allow.
struct ProtocolFailure
{
  Endpoint mEndpoint;
};

/// The time allowed for the call ran out.
struct TimeoutFailure
{};

/// The platform's store is down or not reachable from here.
struct StoreUnavailable
{};

/// Another writer changed a row that the commit had read.
struct CommitConflict
{
  std::string mKey;
  Revision mRevision{};
};

/// The store's answer was lost and its rows don't tell what happened.
struct CommitOutcomeUnknown
{};

/// No service has the name, or the service has another type.
struct ServiceNotFound
{
  std::string mName;
};

struct ServiceTypeMismatch
{
  std::string mName;
};

/// The process can't listen on an address from its settings.
struct ListenFailure
{
  Endpoint mEndpoint;
};

/// What is wrong at one place of a JSON file.
enum class ConfigFault : std::uint8_t
{
  FileUnreadable,
  FileTooLarge,
  Syntax,
  DuplicateKey,
  Schema,
  UnknownName,
  NoDifference,
  Infeasible
};

std::string_view
ToString(ConfigFault aFault);

/// A settings or configuration file was refused; nothing of it is in force.
struct ConfigFailure
{
  ConfigFault mFault = ConfigFault::Syntax;
  std::string mFile;
  /// JSON pointer of the value at fault; empty for the whole file.
  std::string mPointer;
  std::string mDetail;
};

/// A message from a caller, peer or operator was refused.
enum class MessageFault : std::uint8_t
{
  Malformed,
  TooLarge,
  MissingField,
  WrongType,
  UnknownKind
};

std::string_view
ToString(MessageFault aFault);

struct MessageFailure
{
  MessageFault mFault = MessageFault::Malformed;
  std::string mField;
};

/// An operator's command isn't allowed in the present state.
struct StateConflict
{
  std::string mDetail;
};

struct NotFound
{
  std::string mName;
};

using Failure = std::variant<ConnectFailure,
                             ConnectionLost,
                             ProtocolFailure,
                             TimeoutFailure,
                             StoreUnavailable,
                             CommitConflict,
                             CommitOutcomeUnknown,
                             ServiceNotFound,
                             ServiceTypeMismatch,
                             ListenFailure,
                             ConfigFailure,
                             MessageFailure,
                             StateConflict,
                             NotFound>;

/// Stable identifier of a failure's type, for logs and JSON.
std::string_view
FailureName(const Failure& aFailure);

/// One line for a person.
std::string
Describe(const Failure& aFailure);

/// A value or the failure that took its place; used across suspension points,
/// where LEAF's context can't travel.
template<class Value>
using Expected = std::variant<Value, Failure>;

template<class Value>
bool
Ok(const Expected<Value>& aExpected)
{
  return aExpected.index() == 0;
}

} // namespace buckthornshunt

#endif
