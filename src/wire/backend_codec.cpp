#include "wire/backend_codec.h"

#include "kernel/trace.h"
#include "wire/digest.h"

#include <charconv>

namespace buckthornshunt {

namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusTaskFailed = 422;
constexpr int kStatusUnavailable = 503;

constexpr std::string_view kTasksPath = "/tasks/";
constexpr std::string_view kHealthPath = "/health";
constexpr std::string_view kSealSuffix = "/seal";

constexpr std::string_view kDigestField = "X-Digest";
constexpr std::string_view kIncarnationField = "X-Boot";
constexpr std::string_view kFreeSlotsField = "X-Free-Slots";
constexpr std::string_view kAttemptField = "X-Attempt";
constexpr std::string_view kRefusalReasonField = "X-Refused";

std::string
TaskPath(const AttemptId& aAttempt)
{
  return std::string(kTasksPath) + ToString(aAttempt);
}

HttpRequest
MakeRequest(std::string_view aMethod, std::string aTarget)
{
  HttpRequest request;
  request.mMethod = aMethod;
  request.mTarget = std::move(aTarget);
  return request;
}

struct CallEncoder
{
  HttpRequest operator()(const RunTask& aCall) const
  {
    HttpRequest request =
      MakeRequest("POST",
                  TaskPath(aCall.mAttempt) + "?pool=" + EncodeUrl(aCall.mPool) +
                    "&operation=" + EncodeUrl(aCall.mOperation) + "&lease_ms=" +
                    std::to_string(ToMillis(aCall.mLeaseDuration)));
    request.mFields.emplace_back("Content-Type", kBytesType);
    request.mBody = aCall.mBody;
    return request;
  }
  HttpRequest operator()(const SealTask& aCall) const
  {
    return MakeRequest("POST",
                       TaskPath(aCall.mAttempt) + std::string(kSealSuffix));
  }
  HttpRequest operator()(const CancelTask& aCall) const
  {
    return MakeRequest("DELETE", TaskPath(aCall.mAttempt));
  }
  HttpRequest operator()(const ProbeServer&) const
  {
    return MakeRequest("GET", std::string(kHealthPath));
  }
};

template<class Number>
bool
ParseNumber(std::string_view aText, Number& aNumber)
{
  const char* end = aText.data() + aText.size();
  auto [next, ec] = std::from_chars(aText.data(), end, aNumber);
  return !aText.empty() && ec == std::errc{} && next == end;
}

leaf::result<BackendCall>
DecodeRunTask(const HttpRequest& aRequest, const AttemptId& aAttempt)
{
  RunTask call;
  call.mAttempt = aAttempt;
  call.mPool = QueryValue(aRequest.mTarget, "pool");
  call.mOperation = QueryValue(aRequest.mTarget, "operation");
  std::int64_t leaseMillis = 0;
  if (!ParseNumber(QueryValue(aRequest.mTarget, "lease_ms"), leaseMillis)) {
    return Fail(MessageFailure{ MessageFault::MissingField, "lease_ms" });
  }
  call.mLeaseDuration = std::chrono::milliseconds(leaseMillis);
  call.mBody = aRequest.mBody;
  return BackendCall(std::move(call));
}

} // namespace

HttpRequest
EncodeBackendCall(const BackendCall& aCall)
{
  return std::visit(CallEncoder{}, aCall);
}

leaf::result<BackendCall>
DecodeBackendCall(const HttpRequest& aRequest)
{
  std::string_view path = TargetPath(aRequest.mTarget);
  if (path == kHealthPath) {
    return BackendCall(ProbeServer{});
  }
  if (!path.starts_with(kTasksPath)) {
    return Fail(MessageFailure{ MessageFault::UnknownKind, std::string(path) });
  }
  path.remove_prefix(kTasksPath.size());
  bool seal = path.ends_with(kSealSuffix);
  if (seal) {
    path.remove_suffix(kSealSuffix.size());
  }
  AttemptId attempt;
  if (!ParseAttemptId(path, attempt)) {
    return Fail(MessageFailure{ MessageFault::Malformed, "attempt" });
  }
  if (seal) {
    return BackendCall(SealTask{ attempt });
  }
  if (aRequest.mMethod == "DELETE") {
    return BackendCall(CancelTask{ attempt });
  }
  return DecodeRunTask(aRequest, attempt);
}

namespace {

void
AddServerReport(HttpReply& aReply, const ServerReport& aReport)
{
  aReply.mFields.emplace_back(kIncarnationField,
                              std::to_string(aReport.mIncarnation));
  aReply.mFields.emplace_back(kFreeSlotsField,
                              std::to_string(aReport.mFreeSlots));
}

std::string_view
SealStateName(SealAnswer::State aState)
{
  switch (aState) {
    case SealAnswer::State::Sealed:
      return "sealed";
    case SealAnswer::State::Running:
      return "running";
    case SealAnswer::State::Finished:
      break;
  }
  return "finished";
}

struct ReplyEncoder
{
  HttpReply operator()(const TaskEnded& aReply) const
  {
    HttpReply reply = MakeReply(
      aReply.mFailed ? kStatusTaskFailed : kStatusOk, kBytesType, aReply.mBody);
    reply.mFields.emplace_back(kDigestField,
                               FormatId(BodyDigest(aReply.mBody)));
    reply.mFields.emplace_back(kAttemptField, ToString(aReply.mAttempt));
    AddServerReport(reply, aReply.mReport);
    return reply;
  }
  HttpReply operator()(const TaskRefused& aReply) const
  {
    HttpReply reply = MakeReply(kStatusUnavailable, kBytesType, {});
    reply.mFields.emplace_back(kRefusalReasonField, ToString(aReply.mReason));
    AddServerReport(reply, aReply.mReport);
    return reply;
  }
  HttpReply operator()(const SealAnswer& aReply) const
  {
    Json json{ { "state", SealStateName(aReply.mState) },
               { "boot", aReply.mServerIncarnation },
               { "failed", aReply.mFailed },
               { "answer", BytesToJson(aReply.mAnswer) } };
    return MakeReply(kStatusOk, kCborType, ToCbor(json));
  }
  HttpReply operator()(const TaskCancelled&) const
  {
    return MakeReply(kStatusOk, kBytesType, {});
  }
  HttpReply operator()(const ServerHealth& aReply) const
  {
    Json json{ { "boot", aReply.mReport.mIncarnation },
               { "free_slots", aReply.mReport.mFreeSlots },
               { "draining", aReply.mDraining } };
    return MakeReply(kStatusOk, kJsonType, json.dump());
  }
};

bool
ReadServerReport(const HttpReply& aReply, ServerReport& aReport)
{
  return ParseNumber(FindField(aReply.mFields, kIncarnationField),
                     aReport.mIncarnation) &&
         ParseNumber(FindField(aReply.mFields, kFreeSlotsField),
                     aReport.mFreeSlots);
}

/// Decodes a reply according to the call it belongs to.
struct ReplyDecoder
{
  const Endpoint& mServer;
  HttpReply& mReply;

  leaf::result<BackendReply> operator()(const RunTask& aCall) const
  {
    ServerReport report;
    if (!ReadServerReport(mReply, report)) {
      return Fail(ProtocolFailure{ mServer });
    }
    if (mReply.mStatus == kStatusUnavailable) {
      TaskRefused refused;
      refused.mReport = report;
      if (!ParseRefusalReason(FindField(mReply.mFields, kRefusalReasonField),
                              refused.mReason)) {
        return Fail(ProtocolFailure{ mServer });
      }
      return BackendReply(refused);
    }
    bool ended =
      mReply.mStatus == kStatusOk || mReply.mStatus == kStatusTaskFailed;
    std::string digest = FormatId(BodyDigest(mReply.mBody));
    bool digestMatches = FindField(mReply.mFields, kDigestField) == digest;
    bool attemptMatches =
      FindField(mReply.mFields, kAttemptField) == ToString(aCall.mAttempt);
    if (!ended || !digestMatches || !attemptMatches) {
      return Fail(ProtocolFailure{ mServer });
    }
    TaskEnded task;
    task.mAttempt = aCall.mAttempt;
    task.mFailed = mReply.mStatus == kStatusTaskFailed;
    task.mBody = std::move(mReply.mBody);
    task.mReport = report;
    return BackendReply(std::move(task));
  }
  leaf::result<BackendReply> operator()(const SealTask&) const
  {
    BOOST_LEAF_AUTO(json, ParseCbor(mReply.mBody));
    BOOST_LEAF_AUTO(state, ReadString(json, "state"));
    SealAnswer answer;
    answer.mState = state == "finished" ? SealAnswer::State::Finished
                                        : SealAnswer::State::Running;
    if (state == "sealed") {
      answer.mState = SealAnswer::State::Sealed;
    }
    BOOST_LEAF_ASSIGN(answer.mServerIncarnation, ReadUnsigned(json, "boot"));
    BOOST_LEAF_ASSIGN(answer.mFailed, ReadBool(json, "failed"));
    BOOST_LEAF_ASSIGN(answer.mAnswer, ReadBytes(json, "answer"));
    return BackendReply(std::move(answer));
  }
  leaf::result<BackendReply> operator()(const CancelTask&) const
  {
    return BackendReply(TaskCancelled{});
  }
  leaf::result<BackendReply> operator()(const ProbeServer&) const
  {
    BOOST_LEAF_AUTO(json, ParseJson(mReply.mBody));
    ServerHealth health;
    BOOST_LEAF_ASSIGN(health.mReport.mIncarnation, ReadUnsigned(json, "boot"));
    BOOST_LEAF_AUTO(freeSlots, ReadUnsigned(json, "free_slots"));
    health.mReport.mFreeSlots = static_cast<int>(freeSlots);
    BOOST_LEAF_ASSIGN(health.mDraining, ReadBool(json, "draining"));
    return BackendReply(health);
  }
};

} // namespace

HttpReply
EncodeBackendReply(const BackendReply& aReply)
{
  return std::visit(ReplyEncoder{}, aReply);
}

Expected<BackendReply>
DecodeBackendReply(const BackendCall& aCall,
                   const Endpoint& aServer,
                   HttpReply aReply)
{
  auto decoded = ToExpected<BackendReply>([&] {
    return std::visit(ReplyDecoder{ aServer, aReply }, aCall);
  });
  return Ok(decoded) ? decoded : Failure(ProtocolFailure{ aServer });
}

} // namespace buckthornshunt
