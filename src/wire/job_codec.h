#ifndef BUCKTHORNSHUNT_WIRE_JOB_CODEC_H
#define BUCKTHORNSHUNT_WIRE_JOB_CODEC_H

#include "wire/row_codec.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace buckthornshunt {

/// State of a durable job.
enum class JobState : std::uint8_t
{
  Queued,
  Running,
  Done,
  Failed,
  Cancelled,
  /// Failed on several servers and isn't retried any more.
  SetAside,
  /// May have run, and must not run twice.
  Unknown
};

std::string_view
ToString(JobState aState);

/// True if the state never changes again.
bool
IsFinal(JobState aState);

/// A durable job as stored in its row.
struct Job
{
  std::string mDataCentre;
  std::string mPool;
  std::string mOperation;
  std::string mTeam;
  std::string mBody;
  /// Run time that the caller expects; zero if not given.
  Duration mDeclared{};
  JobState mState = JobState::Queued;
  /// Number of attempts started.
  std::uint64_t mTries = 0;
  std::optional<StoredClaim> mClaim;
  /// Name of the object that holds the answer; empty if the claim holds it.
  std::string mAnswerObject;
};

/// Key of a job's row, which is also the job's name for its caller.
std::string
JobKey(std::string_view aDataCentre, std::string_view aName);

/// Prefix of the keys of a data centre's jobs.
std::string
JobPrefix(std::string_view aDataCentre);

/// True if the text is the key of a job.
bool
IsJobKey(std::string_view aText);

/// CBOR encoding of a job's row; the decoder fails with MessageFailure.
std::string
EncodeJob(const Job& aJob);
leaf::result<Job>
DecodeJob(std::string_view aText);

} // namespace buckthornshunt

#endif
