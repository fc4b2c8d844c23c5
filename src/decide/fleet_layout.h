#ifndef BUCKTHORNSHUNT_DECIDE_FLEET_LAYOUT_H
#define BUCKTHORNSHUNT_DECIDE_FLEET_LAYOUT_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace buckthornshunt {

/// Maximum number of shards of a fleet.
constexpr std::uint32_t kMaxShards = 64;

/// Divides the fleet into shards, so that several nodes share the work for a
/// pool. A VM and a job belong to one shard for their life, whatever pool they
/// are in; a pool has a cell in each shard, which schedules the shard's jobs on
/// the shard's VMs of the pool.
///
/// All nodes must use the same layout. It is chosen once, before the first cell
/// has an owner, and never changes: no worker then gets orders from two cells,
/// and the cell that accepted a job is known from the job's id.
struct FleetLayout
{
  std::uint32_t mShards = 1;

  /// Shard of a job by its id, or of a VM by its name.
  std::uint32_t ShardOf(std::string_view aName) const;

  /// Name of a pool's cell. The pool's own name in shard 0, so that the cells
  /// of an undivided fleet are named as their pools.
  std::string CellName(std::string_view aPool, std::uint32_t aShard) const;

  friend bool operator==(const FleetLayout&, const FleetLayout&) = default;
};

/// A pool's cell in one shard.
struct CellId
{
  std::string mPool;
  std::uint32_t mShard = 0;
  /// As FleetLayout::CellName.
  std::string mName;
};

CellId
MakeCellId(const FleetLayout& aLayout,
           std::string_view aPool,
           std::uint32_t aShard);

/// Layout for a fleet of aVms VMs.
FleetLayout
ChooseLayout(std::size_t aVms);

} // namespace buckthornshunt

#endif
