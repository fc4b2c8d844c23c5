#ifndef BUCKTHORNSHUNT_FAILURE_H
#define BUCKTHORNSHUNT_FAILURE_H

#include "buckthornshunt/time.h"
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

/// A connection closed or stopped responding after bytes were sent on it.
struct ConnectionLost
{
  Endpoint mEndpoint;
};

/// The remote end sent bytes that violate the protocol.
struct ProtocolFailure
{
  Endpoint mEndpoint;
};

/// The call's deadline passed.
struct TimeoutFailure
{
  /// Bytes of the reply that had been read by then.
  std::uint64_t mReceivedBytes = 0;
  /// Bytes that had arrived and not been read.
  std::uint64_t mUnreadBytes = 0;
  /// Time from the deadline to its handling; shows the process's own backlog.
  Duration mLateness{};
};

/// The platform's store is down or unreachable.
struct StoreUnavailable
{};

/// Another writer changed a row after the committer read it.
struct CommitConflict
{
  std::string mKey;
  Revision mRevision{};
};

/// The store's reply was lost and its rows don't show whether the commit took
/// effect.
struct CommitOutcomeUnknown
{};

/// No service is registered under the name.
struct ServiceNotFound
{
  std::string mName;
};

/// The service registered under the name has another type.
struct ServiceTypeMismatch
{
  std::string mName;
};

/// The process can't listen on an address from its settings.
struct ListenFailure
{
  Endpoint mEndpoint;
};

/// Kind of error in a settings or configuration file.
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

/// A settings or configuration file was rejected; no part of it takes effect.
struct ConfigFailure
{
  ConfigFault mFault = ConfigFault::Syntax;
  std::string mFile;
  /// JSON pointer of the invalid value; empty for the whole file.
  std::string mPointer;
  std::string mDetail;
};

/// Why a message from a caller, peer or operator was rejected.
enum class MessageFault : std::uint8_t
{
  Malformed,
  TooLarge,
  MissingField,
  WrongType,
  UnknownKind,
  /// A value that must be unique occurs twice.
  Duplicate
};

std::string_view
ToString(MessageFault aFault);

struct MessageFailure
{
  MessageFault mFault = MessageFault::Malformed;
  std::string mField;
};

/// An entry of a list that can't be read, while the others hold.
struct MalformedEntry
{
  /// Key, id or position of the entry; empty if it has none that can be read.
  std::string mKey;
  std::string mReason;
};

/// An operator's command isn't allowed in the current state.
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

/// One-line description for people.
std::string
Describe(const Failure& aFailure);

/// A value or a failure. Used across suspension points, where LEAF can't carry
/// its error context.
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
