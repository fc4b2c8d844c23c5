#ifndef BUCKTHORNSHUNT_DECIDE_CELL_OWNER_H
#define BUCKTHORNSHUNT_DECIDE_CELL_OWNER_H

#include "buckthornshunt/types.h"

#include <cstdint>
#include <string>
#include <vector>

namespace buckthornshunt {

/// Shortest and longest lease of an owner. The longest bounds the wait for a
/// take-over.
constexpr Duration kOwnerLeaseDuration = std::chrono::milliseconds(1600);
constexpr Duration kMaxOwnerLease = std::chrono::seconds(5);

/// The row that records who owns a cell. Every commit of the owner rewrites it
/// by compare-and-swap, so commits of one cell are ordered, its sequence
/// resolves a lost answer, and an earlier owner can't commit.
struct OwnerRow
{
  std::string mNode;
  Endpoint mPeerEndpoint;
  Incarnation mIncarnation{};
  /// Number of owners that the cell has had.
  std::uint32_t mTerm = 0;
  /// Number of the owner's commits.
  std::uint64_t mSequence = 0;
  /// The owner has released the cell.
  bool mReleased = false;
  /// Workers that get no new runs.
  std::vector<std::string> mDrainingWorkers;
  /// Queues of which the cell has jobs. The commit that stores the first job of
  /// a queue adds it, so that a node which knows no earlier configuration finds
  /// the cells of a queue that has moved.
  std::vector<std::string> mQueues;
  /// ClaimDelay of the owner with its other cells, as a measure of its size and
  /// of what else it does.
  Duration mClaimDelay{};
  /// How long the owner may act after the sending of the commit; longer while
  /// commits take long.
  Duration mLease = kOwnerLeaseDuration;

  friend bool operator==(const OwnerRow&, const OwnerRow&) = default;
};

/// How long another node must see a row unchanged before it takes the cell
/// over, with the shortest lease: the lease and an allowance for clock error
/// and late reads.
constexpr Duration kTakeoverTimeout = std::chrono::milliseconds(2100);
/// Maximum interval between successful reads of the rows for a row to count as
/// unchanged; in a longer outage the owner may have been unable to renew.
constexpr Duration kMaxOwnerReadInterval = std::chrono::milliseconds(1500);

/// A cell's owner row as a node last read it.
struct OwnerObservation
{
  OwnerRow mRow;
  Revision mRevision{};
  /// Time of the first read that returned this revision.
  TimePoint mUnchangedSince;
};

/// Processor and network capacity of a node.
struct NodeCapacity
{
  /// Processor seconds per second.
  double mCores = 1;
  /// Link bandwidth in Mbit/s.
  double mLinkMbps = 1000;
};

/// The local node, as a possible owner.
struct LocalNode
{
  std::string mNode;
  Endpoint mPeerEndpoint;
  Incarnation mIncarnation{};
  NodeCapacity mCapacity = {};
};

enum class OwnershipState : std::uint8_t
{
  /// The owner's lease may be valid.
  Held,
  /// No owner is active; any node may claim the cell.
  Free
};

/// Lease that can be renewed in time while a commit takes aCommitTime.
Duration
LeaseFor(Duration aCommitTime);

/// How long a row must be unchanged before its cell can be taken over.
Duration
TakeoverTimeout(const OwnerRow& aRow);

/// Delay before a node that owns aCells other cells claims a free one. Node
/// sizes differ, and a pool at peak demand needs a processor and a link of its
/// own, so the nodes with the most capacity claim first.
Duration
ClaimDelay(const NodeCapacity& aCapacity, std::size_t aCells);

/// Whether a cell gains by moving from its owner to a node with claim delay
/// aDelay.
bool
IsHandoffWorthwhile(Duration aDelay, Duration aOwnerDelay);

/// Whether a node with claim delay aDelay should request a handoff from the
/// owner. After successive node failures a small node may own the pool, and
/// would serve the next demand peak alone while larger ones are idle.
bool
ShouldRequestHandoff(Duration aDelay, const OwnerRow& aRow);

/// Whether a cell can be claimed. An earlier incarnation of the node itself has
/// ended, since a VM runs one process under a name and an address.
OwnershipState
EvaluateOwnership(const OwnerObservation& aObservation,
                  const LocalNode& aLocal,
                  TimePoint aNow);

} // namespace buckthornshunt

#endif
