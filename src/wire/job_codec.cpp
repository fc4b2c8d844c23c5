#include "wire/job_codec.h"

#include <array>

namespace buckthornshunt {

namespace {

constexpr std::string_view kJobPrefix = "j/";

constexpr std::array<std::string_view, 7> kJobStateNames = {
  "queued", "running", "done", "failed", "cancelled", "set_aside", "unknown"
};

leaf::result<JobState>
ParseJobState(std::string_view aText)
{
  for (std::size_t i = 0; i < kJobStateNames.size(); ++i) {
    if (kJobStateNames[i] == aText) {
      return static_cast<JobState>(i);
    }
  }
  return Fail(MessageFailure{ MessageFault::WrongType, "state" });
}

} // namespace

std::string_view
ToString(JobState aState)
{
  return kJobStateNames[static_cast<std::size_t>(aState)];
}

bool
IsFinal(JobState aState)
{
  return aState != JobState::Queued && aState != JobState::Running;
}

std::string
JobPrefix(std::string_view aDataCentre)
{
  return std::string(kJobPrefix) + std::string(aDataCentre) + "/";
}

std::string
JobKey(std::string_view aDataCentre, std::string_view aName)
{
  return JobPrefix(aDataCentre) + std::string(aName);
}

bool
IsJobKey(std::string_view aText)
{
  return aText.starts_with(kJobPrefix);
}

std::string
EncodeJob(const Job& aJob)
{
  Json json{
    { "dc", aJob.mDataCentre },          { "pool", aJob.mPool },
    { "operation", aJob.mOperation },    { "team", aJob.mTeam },
    { "body", BytesToJson(aJob.mBody) }, { "declared", aJob.mDeclared.count() },
    { "state", ToString(aJob.mState) },  { "tries", aJob.mTries },
    { "object", aJob.mAnswerObject },    { "claim", nullptr }
  };
  if (aJob.mClaim) {
    json["claim"] = BytesToJson(EncodeClaim(*aJob.mClaim));
  }
  return ToCbor(json);
}

leaf::result<Job>
DecodeJob(std::string_view aText)
{
  BOOST_LEAF_AUTO(json, ParseCbor(aText));
  Job job;
  BOOST_LEAF_ASSIGN(job.mDataCentre, ReadString(json, "dc"));
  BOOST_LEAF_ASSIGN(job.mPool, ReadString(json, "pool"));
  BOOST_LEAF_ASSIGN(job.mOperation, ReadString(json, "operation"));
  BOOST_LEAF_ASSIGN(job.mTeam, ReadString(json, "team"));
  BOOST_LEAF_ASSIGN(job.mBody, ReadBytes(json, "body"));
  BOOST_LEAF_ASSIGN(job.mDeclared, ReadNanos(json, "declared"));
  BOOST_LEAF_AUTO(state, ReadString(json, "state"));
  BOOST_LEAF_ASSIGN(job.mState, ParseJobState(state));
  BOOST_LEAF_ASSIGN(job.mTries, ReadUnsigned(json, "tries"));
  BOOST_LEAF_ASSIGN(job.mAnswerObject, ReadString(json, "object"));
  BOOST_LEAF_AUTO(claim, Member(json, "claim"));
  if (!claim->is_null()) {
    BOOST_LEAF_AUTO(bytes, ReadBytes(json, "claim"));
    BOOST_LEAF_ASSIGN(job.mClaim, DecodeClaim(bytes));
  }
  return job;
}

} // namespace buckthornshunt
