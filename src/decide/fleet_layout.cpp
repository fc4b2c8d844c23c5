#include "decide/fleet_layout.h"

#include <xxhash.h>

#include <algorithm>

namespace buckthornshunt {

namespace {

/// A peak may bring nearly all VMs of a shard into one pool. One owner of half
/// a core starts and renews the tasks of that many; and a shard's part of an
/// idle pool still has room for a step with one task on each VM.
constexpr std::size_t kVmsPerShard = 250;
/// Precedes the shard in a cell's name.
constexpr char kShardMark = '#';

} // namespace

// Rows are named by this hash, which is the same on all machines.
std::uint32_t
FleetLayout::ShardOf(std::string_view aName) const
{
  std::uint64_t hash = XXH3_64bits(aName.data(), aName.size());
  return static_cast<std::uint32_t>(hash % mShards);
}

// A pool whose name contains the mark gets a shard in any case, so that no two
// cells share a name.
std::string
FleetLayout::CellName(std::string_view aPool, std::uint32_t aShard) const
{
  bool plain = aShard == 0 && aPool.find(kShardMark) == std::string_view::npos;
  std::string name(aPool);
  if (mShards > 1 && !plain) {
    name += kShardMark;
    name += std::to_string(aShard);
  }
  return name;
}

CellId
MakeCellId(const FleetLayout& aLayout,
           std::string_view aPool,
           std::uint32_t aShard)
{
  return { std::string(aPool), aShard, aLayout.CellName(aPool, aShard) };
}

FleetLayout
ChooseLayout(std::size_t aVms)
{
  std::size_t shards =
    std::clamp<std::size_t>(aVms / kVmsPerShard, 1, kMaxShards);
  return { static_cast<std::uint32_t>(shards) };
}

} // namespace buckthornshunt
