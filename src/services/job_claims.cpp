#include "services/job_claims.h"

#include "services/table_service.h"
#include "wire/job_codec.h"

namespace buckthornshunt {

namespace {

/// Longer answers go to the object store, to keep rows small.
constexpr std::size_t kMaxInlineAnswerBytes = 16 * 1024;

JobState
StateOfClaim(const Claim& aClaim)
{
  switch (aClaim.mState) {
    case ClaimState::Started:
      return JobState::Running;
    case ClaimState::Finished:
      return aClaim.mFailed ? JobState::Failed : JobState::Done;
    case ClaimState::Released:
      break;
  }
  return JobState::Queued;
}

} // namespace

Task<Expected<VersionedClaim>>
JobClaims::Load(std::string aKey, TimePoint aDeadline)
{
  auto read = co_await mTable->Read(std::move(aKey), aDeadline);
  if (!Ok(read)) {
    co_return std::get<Failure>(std::move(read));
  }
  const std::optional<Row>& row = std::get<RowRead>(read).mRow;
  if (!row) {
    co_return Failure(NotFound{ "job" });
  }
  auto job = ToExpected<Job>([&] { return DecodeJob(row->mValue); });
  if (!Ok(job)) {
    co_return std::get<Failure>(std::move(job));
  }
  co_return VersionedClaim{ std::get<Job>(std::move(job)).mClaim,
                            row->mRevision };
}

// Reads the row again, since the claim is only part of it; the revision of the
// loaded claim guards the write. The answer is stored before the row that
// refers to it.
Task<Expected<Revision>>
JobClaims::Save(std::string aKey,
                StoredClaim aClaim,
                Revision aExpected,
                TimePoint aDeadline)
{
  auto read = co_await mTable->Read(aKey, aDeadline);
  if (!Ok(read)) {
    co_return Failure(StoreUnavailable{});
  }
  const std::optional<Row>& row = std::get<RowRead>(read).mRow;
  if (!row || row->mRevision != aExpected) {
    co_return Failure(
      CommitConflict{ aKey, row ? row->mRevision : Revision{} });
  }
  auto decoded = ToExpected<Job>([&] { return DecodeJob(row->mValue); });
  if (!Ok(decoded)) {
    co_return std::get<Failure>(std::move(decoded));
  }
  Job job = std::get<Job>(std::move(decoded));
  if (IsFinal(job.mState)) {
    co_return Failure(StateConflict{ "the job has ended" });
  }
  bool finished = aClaim.mClaim.mState == ClaimState::Finished;
  if (finished && aClaim.mClaim.mAnswer.size() > kMaxInlineAnswerBytes) {
    std::string name = aKey + "/" + ToString(aClaim.mClaim.mAttempt);
    auto stored = co_await mTable->PutObjectBytes(
      name, std::move(aClaim.mClaim.mAnswer), aDeadline);
    if (!Ok(stored)) {
      co_return std::get<Failure>(std::move(stored));
    }
    job.mAnswerObject = std::move(name);
    aClaim.mClaim.mAnswer.clear();
  }
  job.mState = StateOfClaim(aClaim.mClaim);
  job.mTries += aClaim.mClaim.mState == ClaimState::Started ? 1 : 0;
  job.mClaim = std::move(aClaim);
  CommitRows commit;
  commit.mWrites.push_back(
    { std::move(aKey), EncodeJob(job), aExpected, false });
  auto written = co_await mTable->Commit(std::move(commit), aDeadline);
  co_return written;
}

} // namespace buckthornshunt
