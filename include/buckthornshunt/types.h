#ifndef BUCKTHORNSHUNT_TYPES_H
#define BUCKTHORNSHUNT_TYPES_H

#include "buckthornshunt/time.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace buckthornshunt {

/// Count of changes of a VM's ownership row; 0 means that no pool ever owned
/// it.
enum class Epoch : std::uint64_t
{
};

/// Position of a commit in the platform's table; grows by 1 with each commit.
enum class Revision : std::uint64_t
{
};

/// Number of an accepted configuration; 0 means none.
enum class ConfigVersion : std::uint64_t
{
};

/// Random number of one run of a daemon; tells a restarted node from its
/// predecessor.
enum class Incarnation : std::uint64_t
{
};

template<class Number>
constexpr std::uint64_t
ToNumber(Number aNumber)
{
  return static_cast<std::uint64_t>(aNumber);
}

template<class Number>
constexpr Number
Next(Number aNumber)
{
  return static_cast<Number>(static_cast<std::uint64_t>(aNumber) + 1);
}

/// Address of a TCP endpoint: an IP number and a port.
struct Endpoint
{
  std::string mHost;
  std::uint16_t mPort = 0;

  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
};

/// "host:port" of an endpoint.
std::string
ToString(const Endpoint& aEndpoint);

/// One try to run a request at a backend server, unique across nodes and
/// their restarts.
struct AttemptId
{
  Incarnation mIncarnation{};
  std::uint64_t mSequence = 0;

  friend auto operator<=>(const AttemptId&, const AttemptId&) = default;
};

/// "incarnation-sequence", both in hexadecimal.
std::string
ToString(const AttemptId& aAttempt);

/// Reads the form that ToString writes; false if the text is malformed.
bool
ParseAttemptId(std::string_view aText, AttemptId& aAttempt);

/// What a VM does for the pool that its ownership row names.
enum class VmState : std::uint8_t
{
  Serving,
  Leaving,
  Draining,
  Maintenance,
  Lost,
  Retired
};

std::string_view
ToString(VmState aState);

/// Reads the form that ToString writes; false if the text is no VM state.
bool
ParseVmState(std::string_view aText, VmState& aState);

/// Ownership row of a VM: the pool it counts to, and since when.
struct VmOwnership
{
  std::string mVm;
  std::string mPool;
  /// Pool that a leaving VM moves to; empty if it leaves for maintenance.
  std::string mNextPool;
  Epoch mEpoch{};
  VmState mState = VmState::Serving;
  WallTime mStateSince;
  std::string mRack;
  Endpoint mEndpoint;
  /// Last maintenance; the first ownership if there was none.
  WallTime mLastMaintained;
  /// Out for maintenance, or lost while it was.
  bool mInMaintenance = false;

  friend bool operator==(const VmOwnership&, const VmOwnership&) = default;
};

/// A worker VM as the platform's lagging list shows it.
struct VmListing
{
  std::string mVm;
  std::string mDataCentre;
  std::string mRack;
  Endpoint mEndpoint;
  bool mLeaving = false;

  friend bool operator==(const VmListing&, const VmListing&) = default;
};

/// Whether the caller allows a request to be run more than once.
enum class Idempotency : std::uint8_t
{
  Idempotent,
  NonIdempotent
};

/// A caller's request, after its headers were checked.
struct Request
{
  std::string mPool;
  /// Kind of work within the pool; run times are learnt for each kind.
  std::string mOperation;
  std::string mTeam;
  /// Caller's key; requests with the same key are the same request.
  std::string mKey;
  Idempotency mIdempotency = Idempotency::NonIdempotent;
  TimePoint mDeadline;
  /// Run time that the caller expects; zero if it gave none.
  Duration mDeclaredRunTime{};
  std::string mBody;
  std::uint64_t mTraceId = 0;
  std::uint64_t mSpanId = 0;
};

} // namespace buckthornshunt

#endif
