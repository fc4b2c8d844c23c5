#ifndef BUCKTHORNSHUNT_WIRE_FLEET_CODEC_H
#define BUCKTHORNSHUNT_WIRE_FLEET_CODEC_H

#include "decide/fleet_plan.h"
#include "wire/json_fields.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornshunt {

using IntentMap = std::map<std::string, FleetIntent, std::less<>>;

/// What is kept of a wave.
struct StoredWave
{
  std::uint64_t mNumber = 0;
  std::vector<std::string> mDone;
  bool mCompleted = false;
  /// When the first owner of the fleet saw the order; its deadline counts from
  /// then.
  WallTime mSeen;
};

/// What the fleet's owner tells the owner of a pool's cell.
struct FleetSync
{
  std::string mPool;
  std::uint64_t mToken = 0;
  /// Workers on which nothing may start.
  std::vector<std::string> mSealed;
  /// Workers that are gone, since the list of VMs shows their VM without them,
  /// with the start of the life that is over.
  std::map<std::string, std::int64_t> mEnded;
  /// Cores of VMs that are on their way into the pool.
  double mIncomingCores = 0;
};

/// Rows, in CBOR; readers fail with MessageFailure. Of an intent only the
/// order is kept.
std::string
EncodeIntents(const IntentMap& aIntents);
leaf::result<IntentMap>
DecodeIntents(std::string_view aBytes);

std::string
EncodeStoredWave(const StoredWave& aWave);
leaf::result<StoredWave>
DecodeStoredWave(std::string_view aBytes);

/// Messages between nodes.
Json
FleetSyncToJson(const FleetSync& aSync);
leaf::result<FleetSync>
FleetSyncFromJson(const Json& aJson);

Json
PoolUsageToJson(const PoolUsage& aUsage);
leaf::result<PoolUsage>
PoolUsageFromJson(const Json& aJson);

} // namespace buckthornshunt

#endif
