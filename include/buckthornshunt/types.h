#ifndef BUCKTHORNSHUNT_TYPES_H
#define BUCKTHORNSHUNT_TYPES_H

#include "buckthornshunt/time.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace buckthornshunt {

/// Version of a VM's ownership row, incremented by each change; 0 if no pool
/// ever owned the VM.
enum class Epoch : std::uint64_t
{
};

/// Sequence number of a commit in the platform's table; increases by 1 with
/// each commit.
enum class Revision : std::uint64_t
{
};

/// Number of an accepted configuration; 0 for none.
enum class ConfigVersion : std::uint64_t
{
};

/// Random identifier of one process lifetime of a daemon; distinguishes a
/// restarted node from its predecessor.
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

/// TCP endpoint: an IP address and a port.
struct Endpoint
{
  std::string mHost;
  std::uint16_t mPort = 0;

  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
};

/// "host:port" of an endpoint.
std::string
ToString(const Endpoint& aEndpoint);

/// One attempt to run a request at a backend server, unique across nodes and
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

/// Parses the output of ToString; false if the text is malformed.
bool
ParseAttemptId(std::string_view aText, AttemptId& aAttempt);

/// State of a VM in the pool that its ownership row names.
enum class VmState : std::uint8_t
{
  Serving,
  /// Gets no new work, before a move to another pool or maintenance.
  Leaving,
  /// The platform has announced that it removes the VM.
  Draining,
  Maintenance,
  /// Missing from the platform's list; may return.
  Lost,
  /// Missing for so long that it no longer belongs to the fleet.
  Retired
};

std::string_view
ToString(VmState aState);

/// Parses the output of ToString; false if the text is not a VM state.
bool
ParseVmState(std::string_view aText, VmState& aState);

/// Ownership row of a VM: its pool and its state there.
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
  /// End of the last maintenance; start of the first ownership if there was
  /// none.
  WallTime mLastMaintained;
  /// Leaving for maintenance or in it, or lost meanwhile.
  bool mInMaintenance = false;

  friend bool operator==(const VmOwnership&, const VmOwnership&) = default;
};

/// A worker VM in the platform's list, which may be out of date.
struct VmListing
{
  std::string mVm;
  std::string mDataCentre;
  std::string mRack;
  Endpoint mEndpoint;
  /// The platform is about to remove the VM.
  bool mLeaving = false;

  friend bool operator==(const VmListing&, const VmListing&) = default;
};

/// Whether a request may run more than once.
enum class Idempotency : std::uint8_t
{
  Idempotent,
  NonIdempotent
};

/// A caller's request, with validated headers.
struct Request
{
  std::string mPool;
  /// Kind of work within the pool; run times are estimated per kind.
  std::string mOperation;
  std::string mTeam;
  /// The caller's idempotency key; requests with the same key are the same
  /// request.
  std::string mKey;
  Idempotency mIdempotency = Idempotency::NonIdempotent;
  TimePoint mDeadline;
  /// Run time that the caller expects; zero if not given.
  Duration mDeclaredRunTime{};
  std::string mBody;
  std::uint64_t mTraceId = 0;
  std::uint64_t mSpanId = 0;
};

} // namespace buckthornshunt

#endif
