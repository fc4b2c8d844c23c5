#include "wire/api_codec.h"

#include <charconv>
#include <cmath>

namespace buckthornshunt {

namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusBadRequest = 400;
constexpr int kStatusNotFound = 404;
constexpr int kStatusConflict = 409;
constexpr int kStatusContentTooLarge = 413;
constexpr int kStatusUnprocessable = 422;
constexpr int kStatusUnavailable = 503;
constexpr int kStatusGatewayTimeout = 504;

constexpr std::size_t kMaxNameBytes = 128;
constexpr std::size_t kMaxKeyBytes = 256;
constexpr std::int64_t kMaxHeaderMillis = 7LL * 24 * 3600 * 1000;

leaf::result<std::string>
ReadBoundedText(std::string_view aText,
                const char* aField,
                std::size_t aMaxBytes)
{
  if (aText.size() > aMaxBytes) {
    return Fail(MessageFailure{ MessageFault::TooLarge, aField });
  }
  if (!IsUtf8(aText)) {
    return Fail(MessageFailure{ MessageFault::Malformed, aField });
  }
  return std::string(aText);
}

bool
ParseMillis(std::string_view aText, std::int64_t& aMillis)
{
  const char* end = aText.data() + aText.size();
  auto [next, ec] = std::from_chars(aText.data(), end, aMillis);
  return !aText.empty() && ec == std::errc{} && next == end;
}

// Reads a positive number of milliseconds; returns zero if the field is absent.
leaf::result<Duration>
ReadMillis(const HttpRequest& aRequest, std::string_view aField)
{
  std::string_view text = FindField(aRequest.mFields, aField);
  if (text.empty()) {
    return Duration::zero();
  }
  std::int64_t millis = 0;
  if (!ParseMillis(text, millis) || millis <= 0 || millis > kMaxHeaderMillis) {
    return Fail(MessageFailure{ MessageFault::WrongType, std::string(aField) });
  }
  return Duration(std::chrono::milliseconds(millis));
}

} // namespace

leaf::result<Request>
DecodeCallerRequest(const HttpRequest& aRequest)
{
  // /v1/pools/POOL/operations/OPERATION
  std::vector<std::string> path = SplitPath(TargetPath(aRequest.mTarget));
  constexpr std::size_t kPoolIndex = 2;
  constexpr std::size_t kOperationIndex = 4;
  if (path.size() != kOperationIndex + 1) {
    return Fail(MessageFailure{ MessageFault::UnknownKind, "path" });
  }
  Request request;
  BOOST_LEAF_ASSIGN(request.mPool,
                    ReadBoundedText(path[kPoolIndex], "pool", kMaxNameBytes));
  BOOST_LEAF_ASSIGN(
    request.mOperation,
    ReadBoundedText(path[kOperationIndex], "operation", kMaxNameBytes));
  std::string_view team = FindField(aRequest.mFields, kTeamField);
  BOOST_LEAF_ASSIGN(request.mTeam,
                    ReadBoundedText(team, kTeamField.data(), kMaxNameBytes));
  std::string_view key = FindField(aRequest.mFields, kIdempotencyKeyField);
  BOOST_LEAF_ASSIGN(
    request.mKey,
    ReadBoundedText(key, kIdempotencyKeyField.data(), kMaxKeyBytes));
  std::string_view idempotent = FindField(aRequest.mFields, kIdempotentField);
  if (!idempotent.empty() && idempotent != "true" && idempotent != "false") {
    return Fail(
      MessageFailure{ MessageFault::WrongType, std::string(kIdempotentField) });
  }
  bool isIdempotent = idempotent != "false";
  request.mIdempotency =
    isIdempotent ? Idempotency::Idempotent : Idempotency::NonIdempotent;
  BOOST_LEAF_ASSIGN(request.mDeclaredRunTime,
                    ReadMillis(aRequest, kDeclaredRunTimeField));
  request.mBody = aRequest.mBody;
  return request;
}

leaf::result<Duration>
DecodeDeadline(const HttpRequest& aRequest)
{
  return ReadMillis(aRequest, kDeadlineField);
}

namespace {

struct OutcomeEncoder
{
  HttpReply operator()(const Completed& aOutcome) const
  {
    HttpReply reply = MakeReply(kStatusOk, kBytesType, aOutcome.mBody);
    reply.mFields.emplace_back(kAttemptIdField, ToString(aOutcome.mAttempt));
    return reply;
  }
  HttpReply operator()(const NotRun& aOutcome) const
  {
    Json json{ { "outcome", "not_run" },
               { "reason", ToString(aOutcome.mReason) },
               { "retry_after_ms", ToMillis(aOutcome.mRetryAfter) } };
    bool unknownPool = aOutcome.mReason == NotRunReason::UnknownPool;
    HttpReply reply =
      MakeReply(unknownPool ? kStatusNotFound : kStatusUnavailable,
                kJsonType,
                json.dump());
    auto seconds =
      static_cast<std::int64_t>(std::ceil(ToSeconds(aOutcome.mRetryAfter)));
    reply.mFields.emplace_back("Retry-After", std::to_string(seconds));
    reply.mFields.emplace_back(kReasonField, ToString(aOutcome.mReason));
    return reply;
  }
  HttpReply operator()(const Unknown& aOutcome) const
  {
    Json json{ { "outcome", "unknown" },
               { "attempt", ToString(aOutcome.mAttempt) } };
    HttpReply reply = MakeReply(kStatusGatewayTimeout, kJsonType, json.dump());
    reply.mFields.emplace_back(kAttemptIdField, ToString(aOutcome.mAttempt));
    return reply;
  }
  HttpReply operator()(const Failed& aOutcome) const
  {
    HttpReply reply =
      MakeReply(kStatusUnprocessable, kBytesType, aOutcome.mBody);
    reply.mFields.emplace_back(kAttemptIdField, ToString(aOutcome.mAttempt));
    return reply;
  }
};

} // namespace

HttpReply
EncodeOutcome(const Outcome& aOutcome)
{
  HttpReply reply = std::visit(OutcomeEncoder{}, aOutcome);
  reply.mFields.emplace_back(kOutcomeField, OutcomeName(aOutcome));
  return reply;
}

leaf::result<Outcome>
DecodeOutcome(const HttpReply& aReply)
{
  std::string_view name = FindField(aReply.mFields, kOutcomeField);
  AttemptId attempt;
  ParseAttemptId(FindField(aReply.mFields, kAttemptIdField), attempt);
  if (name == "completed") {
    return Outcome(Completed{ aReply.mBody, attempt });
  }
  if (name == "failed") {
    return Outcome(Failed{ aReply.mBody, attempt });
  }
  if (name == "unknown") {
    return Outcome(Unknown{ attempt });
  }
  if (name != "not_run") {
    return Fail(
      MessageFailure{ MessageFault::MissingField, std::string(kOutcomeField) });
  }
  BOOST_LEAF_AUTO(json, ParseJson(aReply.mBody));
  NotRun outcome;
  BOOST_LEAF_AUTO(reason, ReadString(json, "reason"));
  if (!ParseNotRunReason(reason, outcome.mReason)) {
    return Fail(MessageFailure{ MessageFault::WrongType, "reason" });
  }
  BOOST_LEAF_ASSIGN(outcome.mRetryAfter, ReadMillis(json, "retry_after_ms"));
  return Outcome(outcome);
}

namespace {

struct StatusCodeVisitor
{
  int operator()(const CommitConflict&) const { return kStatusConflict; }
  int operator()(const StateConflict&) const { return kStatusConflict; }
  int operator()(const NotFound&) const { return kStatusNotFound; }
  int operator()(const ConfigFailure&) const { return kStatusUnprocessable; }
  int operator()(const MessageFailure& aFailure) const
  {
    bool tooLarge = aFailure.mFault == MessageFault::TooLarge;
    return tooLarge ? kStatusContentTooLarge : kStatusBadRequest;
  }
  template<class Other>
  int operator()(const Other&) const
  {
    return kStatusUnavailable;
  }
};

} // namespace

HttpReply
EncodeError(const Failure& aFailure)
{
  Json json{ { "error", FailureName(aFailure) },
             { "detail", Describe(aFailure) } };
  if (const auto* config = std::get_if<ConfigFailure>(&aFailure)) {
    json["fault"] = ToString(config->mFault);
    json["file"] = config->mFile;
    json["pointer"] = config->mPointer;
  }
  if (const auto* conflict = std::get_if<CommitConflict>(&aFailure)) {
    json["newest"] = ToNumber(conflict->mRevision);
  }
  return MakeReply(
    std::visit(StatusCodeVisitor{}, aFailure), kJsonType, json.dump());
}

Json
ConfigSourceToJson(const ConfigSource& aSource)
{
  Json overlays = Json::object();
  for (const Document& overlay : aSource.mOverlays) {
    overlays[overlay.mFile] = overlay.mJson;
  }
  return { { "base_file", aSource.mBase.mFile },
           { "base", aSource.mBase.mJson },
           { "overlays", std::move(overlays) } };
}

leaf::result<ConfigSource>
ConfigSourceFromJson(const Json& aJson)
{
  ConfigSource source;
  BOOST_LEAF_ASSIGN(source.mBase.mFile, ReadString(aJson, "base_file"));
  BOOST_LEAF_AUTO(base, Member(aJson, "base"));
  source.mBase.mJson = *base;
  BOOST_LEAF_AUTO(overlays, Member(aJson, "overlays"));
  if (!overlays->is_object()) {
    return Fail(MessageFailure{ MessageFault::WrongType, "overlays" });
  }
  for (const auto& [file, json] : overlays->items()) {
    source.mOverlays.push_back({ file, json });
  }
  return source;
}

} // namespace buckthornshunt
