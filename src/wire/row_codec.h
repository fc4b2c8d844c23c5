#ifndef BUCKTHORNSHUNT_WIRE_ROW_CODEC_H
#define BUCKTHORNSHUNT_WIRE_ROW_CODEC_H

#include "decide/claim.h"
#include "decide/ownership.h"
#include "decide/table_replica.h"
#include "decide/wave.h"
#include "wire/endpoint_codec.h"
#include "wire/json_fields.h"

#include <string>
#include <string_view>

namespace buckthornshunt {

/// Prefix of the rows that are replicated to every node.
constexpr std::string_view kControlPrefix = "c/";
constexpr std::string_view kConfigPrefix = "c/config/";
constexpr std::string_view kConfigHeadKey = "c/config/head";

std::string
VmKey(std::string_view aDataCentre, std::string_view aVm);

/// Prefix of a data centre's ownership rows.
std::string
VmPrefix(std::string_view aDataCentre);

std::string
NodeKey(std::string_view aDataCentre, std::string_view aNode);

std::string
NodePrefix(std::string_view aDataCentre);

std::string
AckKey(std::string_view aDataCentre,
       std::string_view aVm,
       std::string_view aNode);

std::string
AckPrefix(std::string_view aDataCentre, std::string_view aVm);

std::string
RoleKey(std::string_view aDataCentre);

std::string
ClaimKey(std::string_view aKey);

/// Key of the ledger's copy of an ownership row; the ledger has one copy per
/// epoch.
std::string
LedgerKey(std::string_view aDataCentre, const VmOwnership& aRow);

/// Prefix of a data centre's ledger rows, or of all if the name is empty.
std::string
LedgerPrefix(std::string_view aDataCentre);

/// JSON encodings of rows, but CBOR for claims; decoders fail with
/// MessageFailure.
std::string
EncodeVm(const VmOwnership& aRow);
leaf::result<VmOwnership>
DecodeVm(std::string_view aText);

std::string
EncodeNode(const NodeRecord& aNode);
leaf::result<NodeRecord>
DecodeNode(std::string_view aText);

std::string
EncodeAck(const LeaveAck& aAck);
leaf::result<LeaveAck>
DecodeAck(std::string_view aText);

/// A claim as stored in the table, with the data centre of its server.
struct StoredClaim
{
  std::string mDataCentre;
  Claim mClaim;
};

std::string
EncodeClaim(const StoredClaim& aClaim);
leaf::result<StoredClaim>
DecodeClaim(std::string_view aText);

/// Key of a data centre's latest wave.
std::string
WaveKey(std::string_view aDataCentre);

std::string
EncodeWave(const Wave& aWave);
leaf::result<Wave>
DecodeWave(std::string_view aText);

/// Lease of the node that is a data centre's controller.
struct RoleLease
{
  std::string mNode;
  Incarnation mIncarnation{};
  /// Number of renewals; the lease expires if it stays unchanged for the lease
  /// duration.
  std::uint64_t mRenewals = 0;
};

std::string
EncodeRole(const RoleLease& aRole);
leaf::result<RoleLease>
DecodeRole(std::string_view aText);

Json
RowToJson(const Row& aRow);
leaf::result<Row>
RowFromJson(const Json& aJson);

Json
BatchToJson(const RowBatch& aBatch);
leaf::result<RowBatch>
BatchFromJson(const Json& aJson);

} // namespace buckthornshunt

#endif
