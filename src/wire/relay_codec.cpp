#include "wire/relay_codec.h"

#include "wire/cell_codec.h"

#include <array>
#include <utility>

namespace buckthornshunt {

namespace {

constexpr const char* kKindField = "k";

constexpr const char* kOrganisationField = "org";

Json
WithOrganisation(Json aCall, std::string_view aOrganisation)
{
  if (!aOrganisation.empty()) {
    aCall[kOrganisationField] = aOrganisation;
  }
  return aCall;
}

struct CallEncoder
{
  Json operator()(const SubmitJob& aCall) const
  {
    Json call = { { kKindField, "submit" },
                  { "q", aCall.mQueue },
                  { "id", aCall.mId },
                  { "job", JobSpecToJson(aCall.mSpec) } };
    return WithOrganisation(std::move(call), aCall.mOrganisation);
  }
  Json operator()(const ReadJob& aCall) const
  {
    Json call = { { kKindField, "read" },
                  { "q", aCall.mQueue },
                  { "id", aCall.mId } };
    return WithOrganisation(std::move(call), aCall.mOrganisation);
  }
  Json operator()(const LocateJob& aCall) const
  {
    return { { kKindField, "locate" },
             { "q", aCall.mQueue },
             { "id", aCall.mId },
             { "v", ToNumber(aCall.mVersion) } };
  }
  Json operator()(const CancelJob& aCall) const
  {
    Json call = { { kKindField, "cancel" },
                  { "q", aCall.mQueue },
                  { "id", aCall.mId } };
    return WithOrganisation(std::move(call), aCall.mOrganisation);
  }
  Json operator()(const CountQueuedJobs& aCall) const
  {
    return { { kKindField, "waiting" }, { "q", aCall.mQueue } };
  }
};

struct ReplyEncoder
{
  Json operator()(const JobAccepted&) const
  {
    return { { kKindField, "accepted" } };
  }
  Json operator()(const JobRefused& aReply) const
  {
    return { { kKindField, "refused" },
             { "ms", ToMillis(aReply.mRetryAfter) } };
  }
  Json operator()(const JobPhaseReply& aReply) const
  {
    return { { kKindField, "phase" },
             { "p", static_cast<std::uint32_t>(aReply.mPhase) } };
  }
  Json operator()(const JobCancelled&) const
  {
    return { { kKindField, "cancelled" } };
  }
  Json operator()(const JobNotFound&) const
  {
    return { { kKindField, "unknown" } };
  }
  Json operator()(const QueuedJobCount& aReply) const
  {
    return { { kKindField, "count" }, { "n", aReply.mJobs } };
  }
  Json operator()(const QueueNotFound&) const
  {
    return { { kKindField, "no_queue" } };
  }
  Json operator()(const ServiceUnavailable& aReply) const
  {
    return { { kKindField, "unavailable" },
             { "ms", ToMillis(aReply.mRetryAfter) } };
  }
  Json operator()(const CallOutcomeUnknown&) const
  {
    return { { kKindField, "unsettled" } };
  }
  Json operator()(const CallerUnauthorized&) const
  {
    return { { kKindField, "unauthorized" } };
  }
};

leaf::result<CallerCall>
CallFromJson(const Json& aJson)
{
  BOOST_LEAF_AUTO(kind, ReadString(aJson, kKindField));
  BOOST_LEAF_AUTO(queue, ReadString(aJson, "q"));
  if (kind == "waiting") {
    return CallerCall(CountQueuedJobs{ std::move(queue) });
  }
  BOOST_LEAF_AUTO(id, ReadString(aJson, "id"));
  std::string organisation;
  if (aJson.contains(kOrganisationField)) {
    BOOST_LEAF_ASSIGN(organisation, ReadString(aJson, kOrganisationField));
  }
  if (kind == "read") {
    return CallerCall(
      ReadJob{ std::move(queue), std::move(id), std::move(organisation) });
  }
  if (kind == "locate") {
    BOOST_LEAF_AUTO(version, ReadUnsigned(aJson, "v"));
    return CallerCall(
      LocateJob{ std::move(queue), std::move(id), ConfigVersion(version) });
  }
  if (kind == "cancel") {
    return CallerCall(
      CancelJob{ std::move(queue), std::move(id), std::move(organisation) });
  }
  if (kind != "submit") {
    return Fail(MessageFailure{ MessageFault::UnknownKind, kind });
  }
  BOOST_LEAF_AUTO(job, Member(aJson, "job"));
  BOOST_LEAF_AUTO(spec, JobSpecFromJson(*job));
  return CallerCall(SubmitJob{ std::move(queue),
                               std::move(id),
                               std::move(spec),
                               std::move(organisation) });
}

} // namespace

leaf::result<LinkCall>
DecodeLinkCall(std::string_view aBytes)
{
  BOOST_LEAF_AUTO(fields, ParseCbor(aBytes));
  bool ok = fields.is_array() && fields.size() == kLinkCallFields &&
            fields[0].is_number_unsigned() && fields[1].is_string() &&
            fields[2].is_number_integer();
  bool tooLarge = ok && fields[2].is_number_unsigned() &&
                  !std::in_range<std::int64_t>(fields[2].get<std::uint64_t>());
  std::int64_t millis = ok ? fields[2].get<std::int64_t>() : 0;
  if (!ok || tooLarge || millis < -kMaxMillis || millis > kMaxMillis) {
    return Fail(MessageFailure{ MessageFault::WrongType, "call" });
  }
  LinkCall call;
  call.mNumber = fields[0].get<std::uint64_t>();
  call.mKind = fields[1].get<std::string>();
  call.mTimeLeft = std::chrono::milliseconds(millis);
  call.mBody = std::move(fields[3]);
  return call;
}

Json
RelayedCallToJson(const RelayedCall& aCall)
{
  return { { "pool", aCall.mCell },
           { "ms", ToMillis(aCall.mPatience) },
           { "call", std::visit(CallEncoder{}, aCall.mCall) } };
}

leaf::result<RelayedCall>
RelayedCallFromJson(const Json& aJson)
{
  RelayedCall relayed;
  BOOST_LEAF_ASSIGN(relayed.mCell, ReadString(aJson, "pool"));
  BOOST_LEAF_ASSIGN(relayed.mPatience, ReadMillis(aJson, "ms"));
  BOOST_LEAF_AUTO(call, Member(aJson, "call"));
  BOOST_LEAF_ASSIGN(relayed.mCall, CallFromJson(*call));
  return relayed;
}

Json
OwnerReplyToJson(const OwnerReply& aReply)
{
  if (std::holds_alternative<NotOwner>(aReply)) {
    return { { kKindField, "not_owner" } };
  }
  return std::visit(ReplyEncoder{}, std::get<CallerReply>(aReply));
}

leaf::result<OwnerReply>
OwnerReplyFromJson(const Json& aJson)
{
  BOOST_LEAF_AUTO(kind, ReadString(aJson, kKindField));
  if (kind == "not_owner") {
    return OwnerReply(NotOwner{});
  }
  if (kind == "accepted") {
    return OwnerReply(JobAccepted{});
  }
  if (kind == "refused") {
    BOOST_LEAF_AUTO(retryAfter, ReadMillis(aJson, "ms"));
    return OwnerReply(JobRefused{ retryAfter });
  }
  if (kind == "phase") {
    BOOST_LEAF_AUTO(phase, ReadUnsigned(aJson, "p"));
    if (phase > static_cast<std::uint64_t>(JobPhase::Cancelled)) {
      return Fail(MessageFailure{ MessageFault::UnknownKind, "p" });
    }
    return OwnerReply(JobPhaseReply{ static_cast<JobPhase>(phase) });
  }
  if (kind == "cancelled") {
    return OwnerReply(JobCancelled{});
  }
  if (kind == "unknown") {
    return OwnerReply(JobNotFound{});
  }
  if (kind == "count") {
    BOOST_LEAF_AUTO(jobs, ReadUnsigned(aJson, "n"));
    return OwnerReply(QueuedJobCount{ jobs });
  }
  if (kind == "no_queue") {
    return OwnerReply(QueueNotFound{});
  }
  if (kind == "unavailable") {
    BOOST_LEAF_AUTO(retryAfter, ReadMillis(aJson, "ms"));
    return OwnerReply(ServiceUnavailable{ retryAfter });
  }
  if (kind == "unsettled") {
    return OwnerReply(CallOutcomeUnknown{});
  }
  if (kind == "unauthorized") {
    return OwnerReply(CallerUnauthorized{});
  }
  return Fail(MessageFailure{ MessageFault::UnknownKind, kind });
}

} // namespace buckthornshunt
