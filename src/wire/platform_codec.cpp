#include "wire/platform_codec.h"

#include "wire/row_codec.h"

namespace buckthornshunt {

namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusBadRequest = 400;
constexpr int kStatusNotFound = 404;
constexpr int kStatusConflict = 409;
constexpr int kStatusUnavailable = 503;

constexpr int kStatusNotModified = 304;
constexpr std::string_view kEtagField = "ETag";
constexpr std::string_view kIfNoneMatchField = "If-None-Match";

constexpr std::string_view kTablePath = "/table";
constexpr std::string_view kRowPath = "/row";
constexpr std::string_view kCommitPath = "/commit";
constexpr std::string_view kVmsPath = "/vms";
constexpr std::string_view kRebootPath = "/reboot/";
constexpr std::string_view kObjectPath = "/objects/";

HttpRequest
MakeRequest(std::string_view aMethod,
            std::string aTarget,
            std::string aBody = {})
{
  HttpRequest request;
  request.mMethod = aMethod;
  request.mTarget = std::move(aTarget);
  request.mBody = std::move(aBody);
  request.mFields.emplace_back("Content-Type", kCborType);
  return request;
}

struct CallEncoder
{
  HttpRequest operator()(const ReadRows& aCall) const
  {
    return MakeRequest("GET",
                       std::string(kTablePath) +
                         "?prefix=" + EncodeUrl(aCall.mPrefix) +
                         "&after=" + std::to_string(ToNumber(aCall.mAfter)));
  }
  HttpRequest operator()(const ReadRow& aCall) const
  {
    return MakeRequest("GET",
                       std::string(kRowPath) + "?key=" + EncodeUrl(aCall.mKey));
  }
  HttpRequest operator()(const CommitRows& aCall) const
  {
    Json writes = Json::array();
    for (const RowWrite& write : aCall.mWrites) {
      writes.push_back({ { "key", write.mKey },
                         { "value", BytesToJson(write.mValue) },
                         { "expected", ToNumber(write.mExpectedRevision) },
                         { "delete", write.mDelete } });
    }
    return MakeRequest("POST",
                       std::string(kCommitPath),
                       ToCbor(Json{ { "writes", std::move(writes) } }));
  }
  HttpRequest operator()(const ListVms& aCall) const
  {
    HttpRequest request = MakeRequest(
      "GET", std::string(kVmsPath) + "?dc=" + EncodeUrl(aCall.mDataCentre));
    if (!aCall.mKnownTag.empty()) {
      request.mFields.emplace_back(kIfNoneMatchField, aCall.mKnownTag);
    }
    return request;
  }
  HttpRequest operator()(const RebootVm& aCall) const
  {
    return MakeRequest("POST", std::string(kRebootPath) + EncodeUrl(aCall.mVm));
  }
  HttpRequest operator()(const PutObject& aCall) const
  {
    return MakeRequest(
      "PUT", std::string(kObjectPath) + EncodeUrl(aCall.mName), aCall.mBytes);
  }
  HttpRequest operator()(const GetObject& aCall) const
  {
    return MakeRequest("GET",
                       std::string(kObjectPath) + EncodeUrl(aCall.mName));
  }
};

leaf::result<PlatformCall>
DecodeCommit(std::string_view aBody)
{
  BOOST_LEAF_AUTO(json, ParseCbor(aBody));
  BOOST_LEAF_AUTO(writes, ReadArray(json, "writes"));
  CommitRows commit;
  for (const Json& entry : *writes) {
    RowWrite write;
    BOOST_LEAF_ASSIGN(write.mKey, ReadString(entry, "key"));
    BOOST_LEAF_ASSIGN(write.mValue, ReadBytes(entry, "value"));
    BOOST_LEAF_AUTO(expected, ReadUnsigned(entry, "expected"));
    write.mExpectedRevision = Revision(expected);
    BOOST_LEAF_ASSIGN(write.mDelete, ReadBool(entry, "delete"));
    commit.mWrites.push_back(std::move(write));
  }
  return PlatformCall(std::move(commit));
}

leaf::result<PlatformCall>
DecodeReadRows(const HttpRequest& aRequest)
{
  ReadRows call;
  call.mPrefix = QueryValue(aRequest.mTarget, "prefix");
  std::string after = QueryValue(aRequest.mTarget, "after");
  BOOST_LEAF_AUTO(json,
                  ParseJson(after.empty() ? "0" : std::string_view(after)));
  if (!json.is_number_unsigned()) {
    return Fail(MessageFailure{ MessageFault::WrongType, "after" });
  }
  call.mAfter = Revision(json.get<std::uint64_t>());
  return PlatformCall(std::move(call));
}

} // namespace

HttpRequest
EncodePlatformCall(const PlatformCall& aCall)
{
  return std::visit(CallEncoder{}, aCall);
}

leaf::result<PlatformCall>
DecodePlatformCall(const HttpRequest& aRequest)
{
  std::string_view path = TargetPath(aRequest.mTarget);
  if (path == kTablePath) {
    return DecodeReadRows(aRequest);
  }
  if (path == kRowPath) {
    return PlatformCall(ReadRow{ QueryValue(aRequest.mTarget, "key") });
  }
  if (path == kCommitPath) {
    return DecodeCommit(aRequest.mBody);
  }
  if (path == kVmsPath) {
    std::string tag(FindField(aRequest.mFields, kIfNoneMatchField));
    return PlatformCall(
      ListVms{ QueryValue(aRequest.mTarget, "dc"), std::move(tag) });
  }
  if (path.starts_with(kRebootPath)) {
    return PlatformCall(RebootVm{ DecodeUrl(path.substr(kRebootPath.size())) });
  }
  if (path.starts_with(kObjectPath)) {
    std::string name = DecodeUrl(path.substr(kObjectPath.size()));
    if (aRequest.mMethod == "PUT") {
      return PlatformCall(PutObject{ std::move(name), aRequest.mBody });
    }
    return PlatformCall(GetObject{ std::move(name) });
  }
  return Fail(MessageFailure{ MessageFault::UnknownKind, std::string(path) });
}

namespace {

Json
VmListingToJson(const VmListing& aVm)
{
  return { { "vm", aVm.mVm },
           { "dc", aVm.mDataCentre },
           { "rack", aVm.mRack },
           { "endpoint", EndpointToJson(aVm.mEndpoint) },
           { "leaving", aVm.mLeaving } };
}

leaf::result<VmListing>
VmListingFromJson(const Json& aJson)
{
  VmListing vm;
  BOOST_LEAF_ASSIGN(vm.mVm, ReadString(aJson, "vm"));
  BOOST_LEAF_ASSIGN(vm.mDataCentre, ReadString(aJson, "dc"));
  BOOST_LEAF_ASSIGN(vm.mRack, ReadString(aJson, "rack"));
  BOOST_LEAF_AUTO(endpoint, Member(aJson, "endpoint"));
  BOOST_LEAF_ASSIGN(vm.mEndpoint, EndpointFromJson(*endpoint));
  BOOST_LEAF_ASSIGN(vm.mLeaving, ReadBool(aJson, "leaving"));
  return vm;
}

struct ReplyEncoder
{
  HttpReply operator()(const RowBatch& aReply) const
  {
    return MakeCborReply(BatchToJson(aReply));
  }
  HttpReply operator()(const RowRead& aReply) const
  {
    Json row = aReply.mRow ? RowToJson(*aReply.mRow) : Json(nullptr);
    return MakeCborReply(Json{ { "row", std::move(row) } });
  }
  HttpReply operator()(const Committed& aReply) const
  {
    return MakeCborReply(Json{ { "revision", ToNumber(aReply.mRevision) } });
  }
  HttpReply operator()(const VmList& aReply) const
  {
    if (aReply.mUnchanged) {
      return MakeReply(kStatusNotModified, kCborType, {});
    }
    Json workers = Json::array();
    for (const VmListing& vm : aReply.mWorkers) {
      workers.push_back(VmListingToJson(vm));
    }
    HttpReply reply = MakeCborReply(
      Json{ { "workers", std::move(workers) }, { "entry", aReply.mEntryVms } });
    reply.mFields.emplace_back(kEtagField, aReply.mTag);
    return reply;
  }
  HttpReply operator()(const RebootStarted&) const
  {
    return MakeCborReply(Json::object());
  }
  HttpReply operator()(const ObjectStored&) const
  {
    return MakeCborReply(Json::object());
  }
  HttpReply operator()(const ObjectRead& aReply) const
  {
    return MakeReply(kStatusOk, kBytesType, aReply.mBytes);
  }

  static HttpReply MakeCborReply(const Json& aJson)
  {
    return MakeReply(kStatusOk, kCborType, ToCbor(aJson));
  }
};

HttpReply
EncodeFailure(const Failure& aFailure)
{
  if (const auto* conflict = std::get_if<CommitConflict>(&aFailure)) {
    Json json{ { "key", conflict->mKey },
               { "revision", ToNumber(conflict->mRevision) } };
    return MakeReply(kStatusConflict, kCborType, ToCbor(json));
  }
  if (const auto* missing = std::get_if<NotFound>(&aFailure)) {
    return MakeReply(
      kStatusNotFound, kCborType, ToCbor(Json{ { "name", missing->mName } }));
  }
  bool badRequest = std::holds_alternative<MessageFailure>(aFailure);
  return MakeReply(
    badRequest ? kStatusBadRequest : kStatusUnavailable, kBytesType, {});
}

leaf::result<VmList>
VmListFromJson(const Json& aJson)
{
  VmList list;
  BOOST_LEAF_AUTO(workers, ReadArray(aJson, "workers"));
  for (const Json& entry : *workers) {
    BOOST_LEAF_AUTO(vm, VmListingFromJson(entry));
    list.mWorkers.push_back(std::move(vm));
  }
  BOOST_LEAF_AUTO(names, ReadArray(aJson, "entry"));
  for (const Json& name : *names) {
    if (!name.is_string()) {
      return Fail(MessageFailure{ MessageFault::WrongType, "entry" });
    }
    list.mEntryVms.push_back(name.get<std::string>());
  }
  return list;
}

/// Decodes the body of a 200 reply according to the call it belongs to.
struct ReplyDecoder
{
  std::string_view mBody;
  std::string_view mTag;

  leaf::result<PlatformReply> operator()(const ReadRows&) const
  {
    BOOST_LEAF_AUTO(json, ParseCbor(mBody));
    BOOST_LEAF_AUTO(batch, BatchFromJson(json));
    return PlatformReply(std::move(batch));
  }
  leaf::result<PlatformReply> operator()(const ReadRow&) const
  {
    BOOST_LEAF_AUTO(json, ParseCbor(mBody));
    BOOST_LEAF_AUTO(member, Member(json, "row"));
    RowRead read;
    if (!member->is_null()) {
      BOOST_LEAF_AUTO(row, RowFromJson(*member));
      read.mRow = std::move(row);
    }
    return PlatformReply(std::move(read));
  }
  leaf::result<PlatformReply> operator()(const CommitRows&) const
  {
    BOOST_LEAF_AUTO(json, ParseCbor(mBody));
    BOOST_LEAF_AUTO(revision, ReadUnsigned(json, "revision"));
    return PlatformReply(Committed{ Revision(revision) });
  }
  leaf::result<PlatformReply> operator()(const ListVms&) const
  {
    BOOST_LEAF_AUTO(json, ParseCbor(mBody));
    BOOST_LEAF_AUTO(list, VmListFromJson(json));
    list.mTag = mTag;
    return PlatformReply(std::move(list));
  }
  leaf::result<PlatformReply> operator()(const RebootVm&) const
  {
    return PlatformReply(RebootStarted{});
  }
  leaf::result<PlatformReply> operator()(const PutObject&) const
  {
    return PlatformReply(ObjectStored{});
  }
  leaf::result<PlatformReply> operator()(const GetObject&) const
  {
    return PlatformReply(ObjectRead{ std::string(mBody) });
  }
};

leaf::result<CommitConflict>
DecodeConflict(std::string_view aBody)
{
  BOOST_LEAF_AUTO(json, ParseCbor(aBody));
  CommitConflict conflict;
  BOOST_LEAF_ASSIGN(conflict.mKey, ReadString(json, "key"));
  BOOST_LEAF_AUTO(revision, ReadUnsigned(json, "revision"));
  conflict.mRevision = Revision(revision);
  return conflict;
}

} // namespace

HttpReply
EncodePlatformReply(const Expected<PlatformReply>& aReply)
{
  if (const auto* failure = std::get_if<Failure>(&aReply)) {
    return EncodeFailure(*failure);
  }
  return std::visit(ReplyEncoder{}, std::get<PlatformReply>(aReply));
}

Expected<PlatformReply>
DecodePlatformReply(const PlatformCall& aCall, const HttpReply& aReply)
{
  if (aReply.mStatus == kStatusConflict) {
    auto conflict =
      ToExpected<CommitConflict>([&] { return DecodeConflict(aReply.mBody); });
    return Ok(conflict) ? Failure(std::get<CommitConflict>(conflict))
                        : Failure(ProtocolFailure{});
  }
  if (aReply.mStatus == kStatusNotFound) {
    return Failure(NotFound{});
  }
  if (aReply.mStatus == kStatusNotModified) {
    VmList unchanged;
    unchanged.mUnchanged = true;
    return PlatformReply(std::move(unchanged));
  }
  // A gateway may return an error status although the store did the work.
  if (aReply.mStatus != kStatusOk) {
    return Failure(ProtocolFailure{});
  }
  auto decoded = ToExpected<PlatformReply>([&] {
    return std::visit(
      ReplyDecoder{ aReply.mBody, FindField(aReply.mFields, kEtagField) },
      aCall);
  });
  return Ok(decoded) ? decoded : Failure(ProtocolFailure{});
}

} // namespace buckthornshunt
