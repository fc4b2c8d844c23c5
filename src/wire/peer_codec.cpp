#include "wire/peer_codec.h"

#include "wire/row_codec.h"

#include <array>
#include <utility>

namespace buckthornshunt {

namespace {

leaf::result<AttemptId>
ReadAttempt(const Json& aObject)
{
  BOOST_LEAF_AUTO(text, ReadString(aObject, "attempt"));
  AttemptId attempt;
  if (!ParseAttemptId(text, attempt)) {
    return Fail(MessageFailure{ MessageFault::WrongType, "attempt" });
  }
  return attempt;
}

Json
RequestToJson(const Request& aRequest)
{
  return { { "pool", aRequest.mPool },
           { "operation", aRequest.mOperation },
           { "team", aRequest.mTeam },
           { "key", aRequest.mKey },
           { "idempotent", aRequest.mIdempotency == Idempotency::Idempotent },
           { "body", BytesToJson(aRequest.mBody) },
           { "declared", aRequest.mDeclaredRunTime.count() },
           { "trace", aRequest.mTraceId },
           { "span", aRequest.mSpanId } };
}

leaf::result<Request>
RequestFromJson(const Json& aJson)
{
  Request request;
  BOOST_LEAF_ASSIGN(request.mPool, ReadString(aJson, "pool"));
  BOOST_LEAF_ASSIGN(request.mOperation, ReadString(aJson, "operation"));
  BOOST_LEAF_ASSIGN(request.mTeam, ReadString(aJson, "team"));
  BOOST_LEAF_ASSIGN(request.mKey, ReadString(aJson, "key"));
  BOOST_LEAF_AUTO(idempotent, ReadBool(aJson, "idempotent"));
  request.mIdempotency =
    idempotent ? Idempotency::Idempotent : Idempotency::NonIdempotent;
  BOOST_LEAF_ASSIGN(request.mBody, ReadBytes(aJson, "body"));
  BOOST_LEAF_ASSIGN(request.mDeclaredRunTime, ReadNanos(aJson, "declared"));
  BOOST_LEAF_ASSIGN(request.mTraceId, ReadUnsigned(aJson, "trace"));
  BOOST_LEAF_ASSIGN(request.mSpanId, ReadUnsigned(aJson, "span"));
  return request;
}

struct OutcomeEncoder
{
  Json operator()(const Completed& aOutcome) const
  {
    return { { "body", BytesToJson(aOutcome.mBody) },
             { "attempt", ToString(aOutcome.mAttempt) } };
  }
  Json operator()(const NotRun& aOutcome) const
  {
    return { { "reason", ToString(aOutcome.mReason) },
             { "retry_after", aOutcome.mRetryAfter.count() } };
  }
  Json operator()(const Unknown& aOutcome) const
  {
    return { { "attempt", ToString(aOutcome.mAttempt) } };
  }
  Json operator()(const Failed& aOutcome) const
  {
    return { { "body", BytesToJson(aOutcome.mBody) },
             { "attempt", ToString(aOutcome.mAttempt) } };
  }
};

Json
OutcomeToJson(const Outcome& aOutcome)
{
  Json json = std::visit(OutcomeEncoder{}, aOutcome);
  json["outcome"] = OutcomeName(aOutcome);
  return json;
}

leaf::result<Outcome>
NotRunFromJson(const Json& aJson)
{
  NotRun outcome;
  BOOST_LEAF_AUTO(reason, ReadString(aJson, "reason"));
  if (!ParseNotRunReason(reason, outcome.mReason)) {
    return Fail(MessageFailure{ MessageFault::WrongType, "reason" });
  }
  BOOST_LEAF_ASSIGN(outcome.mRetryAfter, ReadNanos(aJson, "retry_after"));
  return Outcome(outcome);
}

leaf::result<Outcome>
OutcomeFromJson(const Json& aJson)
{
  BOOST_LEAF_AUTO(name, ReadString(aJson, "outcome"));
  if (name == "not_run") {
    return NotRunFromJson(aJson);
  }
  BOOST_LEAF_AUTO(attempt, ReadAttempt(aJson));
  if (name == "unknown") {
    return Outcome(Unknown{ attempt });
  }
  BOOST_LEAF_AUTO(body, ReadBytes(aJson, "body"));
  if (name == "completed") {
    return Outcome(Completed{ std::move(body), attempt });
  }
  if (name == "failed") {
    return Outcome(Failed{ std::move(body), attempt });
  }
  return Fail(MessageFailure{ MessageFault::UnknownKind, std::move(name) });
}

struct MessageEncoder
{
  Json operator()(const Hello& aMessage) const
  {
    return { { "node", aMessage.mNode },
             { "dc", aMessage.mDataCentre },
             { "incarnation", ToNumber(aMessage.mIncarnation) },
             { "endpoint", EndpointToJson(aMessage.mEndpoint) } };
  }
  Json operator()(const Ping& aMessage) const
  {
    return { { "position", ToNumber(aMessage.mPosition) } };
  }
  Json operator()(const FeedRows& aMessage) const
  {
    return BatchToJson(aMessage.mBatch);
  }
  Json operator()(const PoolCapacity& aMessage) const
  {
    return { { "pool", aMessage.mPool }, { "room", aMessage.mHasCapacity } };
  }
  Json operator()(const ForwardRequest& aMessage) const
  {
    return { { "call", aMessage.mCallId },
             { "request", RequestToJson(aMessage.mRequest) },
             { "time_left", aMessage.mTimeLeft.count() } };
  }
  Json operator()(const ForwardResponse& aMessage) const
  {
    return { { "call", aMessage.mCallId },
             { "outcome", OutcomeToJson(aMessage.mOutcome) } };
  }
  Json operator()(const ForwardCancel& aMessage) const
  {
    return { { "call", aMessage.mCallId } };
  }
  Json operator()(const TraceRequest& aMessage) const
  {
    return { { "call", aMessage.mCallId }, { "trace", aMessage.mTraceId } };
  }
  Json operator()(const TraceResponse& aMessage) const
  {
    return { { "call", aMessage.mCallId },
             { "spans", SpansToJson(aMessage.mSpans) } };
  }
  Json operator()(const Goodbye&) const { return Json::object(); }
};

leaf::result<PeerMessage>
DecodeHello(const Json& aJson)
{
  Hello hello;
  BOOST_LEAF_ASSIGN(hello.mNode, ReadString(aJson, "node"));
  BOOST_LEAF_ASSIGN(hello.mDataCentre, ReadString(aJson, "dc"));
  BOOST_LEAF_AUTO(incarnation, ReadUnsigned(aJson, "incarnation"));
  hello.mIncarnation = Incarnation(incarnation);
  BOOST_LEAF_AUTO(endpoint, Member(aJson, "endpoint"));
  BOOST_LEAF_ASSIGN(hello.mEndpoint, EndpointFromJson(*endpoint));
  return PeerMessage(std::move(hello));
}

leaf::result<PeerMessage>
DecodePing(const Json& aJson)
{
  BOOST_LEAF_AUTO(position, ReadUnsigned(aJson, "position"));
  return PeerMessage(Ping{ Revision(position) });
}

leaf::result<PeerMessage>
DecodeFeedRows(const Json& aJson)
{
  BOOST_LEAF_AUTO(batch, BatchFromJson(aJson));
  return PeerMessage(FeedRows{ std::move(batch) });
}

leaf::result<PeerMessage>
DecodePoolCapacity(const Json& aJson)
{
  PoolCapacity message;
  BOOST_LEAF_ASSIGN(message.mPool, ReadString(aJson, "pool"));
  BOOST_LEAF_ASSIGN(message.mHasCapacity, ReadBool(aJson, "room"));
  return PeerMessage(std::move(message));
}

leaf::result<PeerMessage>
DecodeForwardRequest(const Json& aJson)
{
  ForwardRequest message;
  BOOST_LEAF_ASSIGN(message.mCallId, ReadUnsigned(aJson, "call"));
  BOOST_LEAF_AUTO(request, Member(aJson, "request"));
  BOOST_LEAF_ASSIGN(message.mRequest, RequestFromJson(*request));
  BOOST_LEAF_ASSIGN(message.mTimeLeft, ReadNanos(aJson, "time_left"));
  return PeerMessage(std::move(message));
}

leaf::result<PeerMessage>
DecodeForwardResponse(const Json& aJson)
{
  ForwardResponse message;
  BOOST_LEAF_ASSIGN(message.mCallId, ReadUnsigned(aJson, "call"));
  BOOST_LEAF_AUTO(outcome, Member(aJson, "outcome"));
  BOOST_LEAF_ASSIGN(message.mOutcome, OutcomeFromJson(*outcome));
  return PeerMessage(std::move(message));
}

leaf::result<PeerMessage>
DecodeForwardCancel(const Json& aJson)
{
  BOOST_LEAF_AUTO(call, ReadUnsigned(aJson, "call"));
  return PeerMessage(ForwardCancel{ call });
}

leaf::result<PeerMessage>
DecodeTraceRequest(const Json& aJson)
{
  TraceRequest message;
  BOOST_LEAF_ASSIGN(message.mCallId, ReadUnsigned(aJson, "call"));
  BOOST_LEAF_ASSIGN(message.mTraceId, ReadUnsigned(aJson, "trace"));
  return PeerMessage(message);
}

leaf::result<PeerMessage>
DecodeTraceResponse(const Json& aJson)
{
  TraceResponse message;
  BOOST_LEAF_ASSIGN(message.mCallId, ReadUnsigned(aJson, "call"));
  BOOST_LEAF_AUTO(spans, Member(aJson, "spans"));
  BOOST_LEAF_ASSIGN(message.mSpans, SpansFromJson(*spans));
  return PeerMessage(std::move(message));
}

leaf::result<PeerMessage>
DecodeGoodbye(const Json&)
{
  return PeerMessage(Goodbye{});
}

/// Name and decoder of a message kind.
struct MessageKind
{
  std::string_view mName;
  leaf::result<PeerMessage> (*mDecode)(const Json&);
};

// In the order of the alternatives of PeerMessage.
constexpr std::array<MessageKind, std::variant_size_v<PeerMessage>>
  kMessageKinds = { {
    { "hello", DecodeHello },
    { "ping", DecodePing },
    { "feed_rows", DecodeFeedRows },
    { "pool_room", DecodePoolCapacity },
    { "forward_request", DecodeForwardRequest },
    { "forward_answer", DecodeForwardResponse },
    { "forward_cancel", DecodeForwardCancel },
    { "trace_ask", DecodeTraceRequest },
    { "trace_answer", DecodeTraceResponse },
    { "goodbye", DecodeGoodbye },
  } };

} // namespace

std::string
EncodePeerMessage(const PeerMessage& aMessage)
{
  Json json = std::visit(MessageEncoder{}, aMessage);
  json["kind"] = kMessageKinds[aMessage.index()].mName;
  return ToCbor(json);
}

leaf::result<PeerMessage>
DecodePeerMessage(std::string_view aBytes)
{
  BOOST_LEAF_AUTO(json, ParseCbor(aBytes));
  BOOST_LEAF_AUTO(name, ReadString(json, "kind"));
  for (const MessageKind& kind : kMessageKinds) {
    if (kind.mName == name) {
      return kind.mDecode(json);
    }
  }
  return Fail(MessageFailure{ MessageFault::UnknownKind, std::move(name) });
}

Json
SpansToJson(std::span<const Span> aSpans)
{
  Json spans = Json::array();
  for (const Span& span : aSpans) {
    spans.push_back({ { "trace", FormatId(span.mTraceId) },
                      { "span", FormatId(span.mId) },
                      { "parent", FormatId(span.mParentId) },
                      { "name", span.mName },
                      { "node", span.mNode },
                      { "start_ms", span.mStart.mMillis },
                      { "length_us", span.mDuration.count() / 1000 },
                      { "note", span.mNote } });
  }
  return spans;
}

leaf::result<std::vector<Span>>
SpansFromJson(const Json& aJson)
{
  if (!aJson.is_array()) {
    return Fail(MessageFailure{ MessageFault::WrongType, "spans" });
  }
  std::vector<Span> spans;
  for (const Json& entry : aJson) {
    Span span;
    BOOST_LEAF_AUTO(trace, ReadString(entry, "trace"));
    span.mTraceId = ParseId(trace);
    BOOST_LEAF_AUTO(id, ReadString(entry, "span"));
    span.mId = ParseId(id);
    BOOST_LEAF_AUTO(parent, ReadString(entry, "parent"));
    span.mParentId = ParseId(parent);
    BOOST_LEAF_ASSIGN(span.mName, ReadString(entry, "name"));
    BOOST_LEAF_ASSIGN(span.mNode, ReadString(entry, "node"));
    BOOST_LEAF_ASSIGN(span.mStart.mMillis, ReadSigned(entry, "start_ms"));
    BOOST_LEAF_AUTO(micros,
                    ReadInRange(entry, "length_us", 0, kMaxMillis * 1000));
    span.mDuration = std::chrono::microseconds(micros);
    BOOST_LEAF_ASSIGN(span.mNote, ReadString(entry, "note"));
    spans.push_back(std::move(span));
  }
  return spans;
}

} // namespace buckthornshunt
