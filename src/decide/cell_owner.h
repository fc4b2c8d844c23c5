#ifndef BUCKTHORNSHUNT_DECIDE_CELL_OWNER_H
#define BUCKTHORNSHUNT_DECIDE_CELL_OWNER_H

#include "buckthornshunt/types.h"

#include <cstdint>
#include <string>
#include <vector>

namespace buckthornshunt {

/// The row that says who owns a cell. Every commit of the owner rewrites it
/// under the condition that it is unchanged, so commits of one cell are in
/// order, a lost answer is settled by its sequence, and an earlier owner can
/// commit nothing.
struct OwnerRow
{
  std::string mNode;
  Endpoint mPeerEndpoint;
  Incarnation mIncarnation{};
  /// Count of the cell's owners.
  std::uint32_t mTerm = 0;
  /// Count of the owner's commits.
  std::uint64_t mSequence = 0;
  /// The owner has given the cell up.
  bool mReleased = false;
  /// Workers that nothing may be started on.
  std::vector<std::string> mDrainingWorkers;
  /// ClaimDelay of the owner without any cell: how small it is.
  Duration mBaseClaimDelay{};

  friend bool operator==(const OwnerRow&, const OwnerRow&) = default;
};

/// Time from the sending of a commit for which its sender may act as owner.
constexpr Duration kOwnerLeaseDuration = std::chrono::milliseconds(1600);
/// Time that another node must have seen the row unchanged before it takes the
/// cell over: the lease and an allowance for clocks and late readers.
constexpr Duration kTakeoverTimeout = std::chrono::milliseconds(2100);
/// Longest pause between successful reads of the rows that still counts as
/// watching; after a longer one the owner may not have been able to renew.
constexpr Duration kMaxOwnerReadInterval = std::chrono::milliseconds(1500);

/// What a node has seen of a cell's owner row.
struct OwnerObservation
{
  OwnerRow mRow;
  Revision mRevision{};
  /// First successful read that showed this revision.
  TimePoint mUnchangedSince;
};

/// What a node can carry.
struct NodeCapacity
{
  /// Processor time a second, in seconds.
  double mCores = 1;
  /// Bandwidth of its link, in megabits a second.
  double mLinkMbps = 1000;
};

/// A node that looks at owner rows.
struct LocalNode
{
  std::string mNode;
  Endpoint mPeerEndpoint;
  Incarnation mIncarnation{};
  NodeCapacity mCapacity = {};
};

enum class OwnershipState : std::uint8_t
{
  /// The owner may be acting.
  Held,
  /// Nobody acts as owner; anybody may take the cell over.
  Free
};

/// Time that a node lets pass before it claims a free cell, while it owns
/// aCells others. Answers nodes of uneven size: a pool in its turn needs a
/// processor and a link of its own, so those with most room claim first.
Duration
ClaimDelay(const NodeCapacity& aCapacity, std::size_t aCells);

/// Whether a node that would claim after aDelay should ask the owner for its
/// cell. Answers losses in turn, after which a pool would stay with a small
/// node: it would carry the next turn alone while larger ones are idle.
bool
ShouldRequestHandoff(Duration aDelay, const OwnerRow& aRow);

/// Whether a cell can be taken over. A node's own predecessor is surely gone,
/// since one VM runs one process under a name and an address.
OwnershipState
EvaluateOwnership(const OwnerObservation& aObservation,
                  const LocalNode& aLocal,
                  TimePoint aNow);

} // namespace buckthornshunt

#endif
