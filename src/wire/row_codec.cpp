#include "wire/row_codec.h"

namespace buckthornshunt {

namespace {

std::string
JoinKey(std::string_view aPrefix,
        std::string_view aFirst,
        std::string_view aSecond = {})
{
  std::string key(aPrefix);
  key += aFirst;
  if (!aSecond.empty()) {
    key += '/';
    key += aSecond;
  }
  return key;
}

constexpr std::string_view kVmPrefix = "c/vm/";
constexpr std::string_view kNodePrefix = "c/node/";
constexpr std::string_view kAckPrefix = "c/ack/";
constexpr std::string_view kWavePrefix = "c/wave/";
// The rows below aren't replicated to every node: they change often and concern
// few nodes.
constexpr std::string_view kRolePrefix = "r/";
constexpr std::string_view kClaimPrefix = "k/";
constexpr std::string_view kLedgerPrefix = "l/";

} // namespace

std::string
VmKey(std::string_view aDataCentre, std::string_view aVm)
{
  return JoinKey(kVmPrefix, aDataCentre, aVm);
}

std::string
VmPrefix(std::string_view aDataCentre)
{
  return JoinKey(kVmPrefix, aDataCentre) + "/";
}

std::string
NodeKey(std::string_view aDataCentre, std::string_view aNode)
{
  return JoinKey(kNodePrefix, aDataCentre, aNode);
}

std::string
NodePrefix(std::string_view aDataCentre)
{
  return JoinKey(kNodePrefix, aDataCentre) + "/";
}

std::string
AckPrefix(std::string_view aDataCentre, std::string_view aVm)
{
  return JoinKey(kAckPrefix, aDataCentre, aVm) + "/";
}

std::string
AckKey(std::string_view aDataCentre,
       std::string_view aVm,
       std::string_view aNode)
{
  return AckPrefix(aDataCentre, aVm) + std::string(aNode);
}

std::string
RoleKey(std::string_view aDataCentre)
{
  return JoinKey(kRolePrefix, aDataCentre);
}

std::string
ClaimKey(std::string_view aKey)
{
  return JoinKey(kClaimPrefix, aKey);
}

std::string
LedgerKey(std::string_view aDataCentre, const VmOwnership& aRow)
{
  return JoinKey(kLedgerPrefix, aDataCentre, aRow.mVm) + "/" +
         std::to_string(ToNumber(aRow.mEpoch));
}

std::string
LedgerPrefix(std::string_view aDataCentre)
{
  return aDataCentre.empty() ? std::string(kLedgerPrefix)
                             : JoinKey(kLedgerPrefix, aDataCentre) + "/";
}

std::string
EncodeVm(const VmOwnership& aRow)
{
  return Json{
    { "vm", aRow.mVm },
    { "pool", aRow.mPool },
    { "next_pool", aRow.mNextPool },
    { "epoch", ToNumber(aRow.mEpoch) },
    { "state", ToString(aRow.mState) },
    { "since", aRow.mStateSince.mMillis },
    { "rack", aRow.mRack },
    { "endpoint", EndpointToJson(aRow.mEndpoint) },
    { "maintained", aRow.mLastMaintained.mMillis },
    { "in_maintenance", aRow.mInMaintenance }
  }.dump();
}

leaf::result<VmOwnership>
DecodeVm(std::string_view aText)
{
  BOOST_LEAF_AUTO(json, ParseJson(aText));
  VmOwnership row;
  BOOST_LEAF_ASSIGN(row.mVm, ReadString(json, "vm"));
  BOOST_LEAF_ASSIGN(row.mPool, ReadString(json, "pool"));
  BOOST_LEAF_ASSIGN(row.mNextPool, ReadString(json, "next_pool"));
  BOOST_LEAF_AUTO(epoch, ReadUnsigned(json, "epoch"));
  row.mEpoch = Epoch(epoch);
  BOOST_LEAF_AUTO(state, ReadString(json, "state"));
  if (!ParseVmState(state, row.mState)) {
    return Fail(MessageFailure{ MessageFault::WrongType, "state" });
  }
  BOOST_LEAF_ASSIGN(row.mStateSince.mMillis, ReadSigned(json, "since"));
  BOOST_LEAF_ASSIGN(row.mRack, ReadString(json, "rack"));
  BOOST_LEAF_AUTO(endpoint, Member(json, "endpoint"));
  BOOST_LEAF_ASSIGN(row.mEndpoint, EndpointFromJson(*endpoint));
  BOOST_LEAF_ASSIGN(row.mLastMaintained.mMillis,
                    ReadSigned(json, "maintained"));
  BOOST_LEAF_ASSIGN(row.mInMaintenance, ReadBool(json, "in_maintenance"));
  return row;
}

std::string
EncodeNode(const NodeRecord& aNode)
{
  return Json{
    { "node", aNode.mNode },
    { "data_centre", aNode.mDataCentre },
    { "incarnation", ToNumber(aNode.mIncarnation) },
    { "peer", EndpointToJson(aNode.mPeerEndpoint) },
    { "since", aNode.mSince.mMillis }
  }.dump();
}

leaf::result<NodeRecord>
DecodeNode(std::string_view aText)
{
  BOOST_LEAF_AUTO(json, ParseJson(aText));
  NodeRecord node;
  BOOST_LEAF_ASSIGN(node.mNode, ReadString(json, "node"));
  BOOST_LEAF_ASSIGN(node.mDataCentre, ReadString(json, "data_centre"));
  BOOST_LEAF_AUTO(incarnation, ReadUnsigned(json, "incarnation"));
  node.mIncarnation = Incarnation(incarnation);
  BOOST_LEAF_AUTO(peer, Member(json, "peer"));
  BOOST_LEAF_ASSIGN(node.mPeerEndpoint, EndpointFromJson(*peer));
  BOOST_LEAF_ASSIGN(node.mSince.mMillis, ReadSigned(json, "since"));
  return node;
}

std::string
EncodeAck(const LeaveAck& aAck)
{
  return Json{
    { "vm", aAck.mVm },
    { "node", aAck.mNode },
    { "incarnation", ToNumber(aAck.mIncarnation) },
    { "epoch", ToNumber(aAck.mEpoch) }
  }.dump();
}

leaf::result<LeaveAck>
DecodeAck(std::string_view aText)
{
  BOOST_LEAF_AUTO(json, ParseJson(aText));
  LeaveAck ack;
  BOOST_LEAF_ASSIGN(ack.mVm, ReadString(json, "vm"));
  BOOST_LEAF_ASSIGN(ack.mNode, ReadString(json, "node"));
  BOOST_LEAF_AUTO(incarnation, ReadUnsigned(json, "incarnation"));
  ack.mIncarnation = Incarnation(incarnation);
  BOOST_LEAF_AUTO(epoch, ReadUnsigned(json, "epoch"));
  ack.mEpoch = Epoch(epoch);
  return ack;
}

namespace {

constexpr std::string_view kStarted = "started";
constexpr std::string_view kFinished = "finished";
constexpr std::string_view kReleased = "released";

std::string_view
ClaimStateName(ClaimState aState)
{
  switch (aState) {
    case ClaimState::Started:
      return kStarted;
    case ClaimState::Finished:
      return kFinished;
    case ClaimState::Released:
      break;
  }
  return kReleased;
}

leaf::result<ClaimState>
ParseClaimState(std::string_view aText)
{
  if (aText == kStarted) {
    return ClaimState::Started;
  }
  if (aText == kFinished) {
    return ClaimState::Finished;
  }
  if (aText == kReleased) {
    return ClaimState::Released;
  }
  return Fail(MessageFailure{ MessageFault::WrongType, "state" });
}

} // namespace

// CBOR, since the answer is the backend's and may be arbitrary bytes.
std::string
EncodeClaim(const StoredClaim& aClaim)
{
  const Claim& claim = aClaim.mClaim;
  return ToCbor(Json{ { "dc", aClaim.mDataCentre },
                      { "state", ClaimStateName(claim.mState) },
                      { "attempt", ToString(claim.mAttempt) },
                      { "vm", claim.mVm },
                      { "boot", claim.mServerIncarnation },
                      { "failed", claim.mFailed },
                      { "answer", BytesToJson(claim.mAnswer) } });
}

leaf::result<StoredClaim>
DecodeClaim(std::string_view aText)
{
  BOOST_LEAF_AUTO(json, ParseCbor(aText));
  StoredClaim stored;
  Claim& claim = stored.mClaim;
  BOOST_LEAF_ASSIGN(stored.mDataCentre, ReadString(json, "dc"));
  BOOST_LEAF_AUTO(state, ReadString(json, "state"));
  BOOST_LEAF_ASSIGN(claim.mState, ParseClaimState(state));
  BOOST_LEAF_AUTO(attempt, ReadString(json, "attempt"));
  if (!ParseAttemptId(attempt, claim.mAttempt)) {
    return Fail(MessageFailure{ MessageFault::WrongType, "attempt" });
  }
  BOOST_LEAF_ASSIGN(claim.mVm, ReadString(json, "vm"));
  BOOST_LEAF_ASSIGN(claim.mServerIncarnation, ReadUnsigned(json, "boot"));
  BOOST_LEAF_ASSIGN(claim.mFailed, ReadBool(json, "failed"));
  BOOST_LEAF_ASSIGN(claim.mAnswer, ReadBytes(json, "answer"));
  return stored;
}

std::string
WaveKey(std::string_view aDataCentre)
{
  return JoinKey(kWavePrefix, aDataCentre);
}

std::string
EncodeWave(const Wave& aWave)
{
  return Json{
    { "number", aWave.mNumber },
    { "state", ToString(aWave.mState) },
    { "started", aWave.mStarted.mMillis },
    { "reason", aWave.mReason }
  }.dump();
}

leaf::result<Wave>
DecodeWave(std::string_view aText)
{
  BOOST_LEAF_AUTO(json, ParseJson(aText));
  Wave wave;
  BOOST_LEAF_ASSIGN(wave.mNumber, ReadUnsigned(json, "number"));
  BOOST_LEAF_AUTO(state, ReadString(json, "state"));
  if (!ParseWaveState(state, wave.mState)) {
    return Fail(MessageFailure{ MessageFault::WrongType, "state" });
  }
  BOOST_LEAF_ASSIGN(wave.mStarted.mMillis, ReadSigned(json, "started"));
  BOOST_LEAF_ASSIGN(wave.mReason, ReadString(json, "reason"));
  return wave;
}

std::string
EncodeRole(const RoleLease& aRole)
{
  return Json{
    { "node", aRole.mNode },
    { "incarnation", ToNumber(aRole.mIncarnation) },
    { "renewals", aRole.mRenewals }
  }.dump();
}

leaf::result<RoleLease>
DecodeRole(std::string_view aText)
{
  BOOST_LEAF_AUTO(json, ParseJson(aText));
  RoleLease role;
  BOOST_LEAF_ASSIGN(role.mNode, ReadString(json, "node"));
  BOOST_LEAF_AUTO(incarnation, ReadUnsigned(json, "incarnation"));
  role.mIncarnation = Incarnation(incarnation);
  BOOST_LEAF_ASSIGN(role.mRenewals, ReadUnsigned(json, "renewals"));
  return role;
}

// A row's value may be arbitrary bytes, which JSON text can't hold, so both
// sides of the platform's interface send it as binary in CBOR.
Json
RowToJson(const Row& aRow)
{
  return { { "key", aRow.mKey },
           { "value", BytesToJson(aRow.mValue) },
           { "revision", ToNumber(aRow.mRevision) },
           { "committed", aRow.mCommitted.mMillis },
           { "deleted", aRow.mDeleted } };
}

leaf::result<Row>
RowFromJson(const Json& aJson)
{
  Row row;
  BOOST_LEAF_ASSIGN(row.mKey, ReadString(aJson, "key"));
  BOOST_LEAF_ASSIGN(row.mValue, ReadBytes(aJson, "value"));
  BOOST_LEAF_AUTO(revision, ReadUnsigned(aJson, "revision"));
  row.mRevision = Revision(revision);
  BOOST_LEAF_ASSIGN(row.mCommitted.mMillis, ReadSigned(aJson, "committed"));
  BOOST_LEAF_ASSIGN(row.mDeleted, ReadBool(aJson, "deleted"));
  return row;
}

Json
BatchToJson(const RowBatch& aBatch)
{
  Json rows = Json::array();
  for (const Row& row : aBatch.mRows) {
    rows.push_back(RowToJson(row));
  }
  return { { "after", ToNumber(aBatch.mAfter) },
           { "up_to", ToNumber(aBatch.mUpTo) },
           { "rows", std::move(rows) } };
}

leaf::result<RowBatch>
BatchFromJson(const Json& aJson)
{
  RowBatch batch;
  BOOST_LEAF_AUTO(after, ReadUnsigned(aJson, "after"));
  batch.mAfter = Revision(after);
  BOOST_LEAF_AUTO(upTo, ReadUnsigned(aJson, "up_to"));
  batch.mUpTo = Revision(upTo);
  BOOST_LEAF_AUTO(rows, ReadArray(aJson, "rows"));
  for (const Json& item : *rows) {
    BOOST_LEAF_AUTO(row, RowFromJson(item));
    batch.mRows.push_back(std::move(row));
  }
  return batch;
}

} // namespace buckthornshunt
