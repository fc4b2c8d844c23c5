#ifndef BUCKTHORNSHUNT_WIRE_FLEET_CODEC_H
#define BUCKTHORNSHUNT_WIRE_FLEET_CODEC_H

#include "decide/fleet_plan.h"
#include "wire/json_fields.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornshunt {

/// Planned moves and maintenance by VM.
using IntentMap = std::map<std::string, FleetIntent, std::less<>>;

/// Stored progress of a maintenance wave.
struct StoredWave
{
  std::uint64_t mNumber = 0;
  /// VMs that have been maintained.
  std::vector<std::string> mDone;
  bool mCompleted = false;
  /// When an owner of the fleet first saw the order, from which its deadline
  /// counts; 0 if not recorded.
  WallTime mSeen;
};

/// Message from the fleet's owner to the owner of a cell.
struct FleetSync
{
  std::string mCell;
  /// Fencing token of the fleet's lease.
  std::uint64_t mToken = 0;
  /// Workers on which no run may start.
  std::vector<std::string> mSealed;
  /// Workers that have ended, as the list of VMs shows their VM without them,
  /// with the start of the ended incarnation in Unix milliseconds.
  std::map<std::string, std::int64_t> mEnded;
  /// Cores of VMs that are being moved to the cell.
  double mIncomingCores = 0;
  /// As mEnded, for workers whose VMs' moves are confirmed.
  std::map<std::string, std::int64_t> mMoved{};
};

/// CBOR encodings of stored rows; decoders fail with MessageFailure. Of an
/// intent only the target pool, the wave and the worker are stored.
std::string
EncodeIntents(const IntentMap& aIntents);
leaf::result<IntentMap>
DecodeIntents(std::string_view aBytes);

std::string
EncodeStoredWave(const StoredWave& aWave);
leaf::result<StoredWave>
DecodeStoredWave(std::string_view aBytes);

/// Messages between nodes; decoders fail with MessageFailure.
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
