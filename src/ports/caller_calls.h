#ifndef BUCKTHORNSHUNT_PORTS_CALLER_CALLS_H
#define BUCKTHORNSHUNT_PORTS_CALLER_CALLS_H

#include "buckthornshunt/failure.h"
#include "buckthornshunt/workload.h"

#include <cstdint>
#include <string>
#include <variant>

namespace buckthornshunt {

/// Hands a job in; the same id is the same job, however often it comes.
struct SubmitJob
{
  std::string mQueue;
  std::string mId;
  JobSpec mSpec;
};

struct ReadJob
{
  std::string mQueue;
  std::string mId;
};

struct CancelJob
{
  std::string mQueue;
  std::string mId;
};

/// Asks how many accepted jobs of a queue haven't started.
struct CountQueuedJobs
{
  std::string mQueue;
};

using CallerCall = std::variant<SubmitJob, ReadJob, CancelJob, CountQueuedJobs>;

/// The job is stored.
struct JobAccepted
{};

/// The job isn't stored and never runs under this submission.
struct JobRefused
{
  Duration mRetryAfter{};
};

struct JobPhaseReply
{
  JobPhase mPhase = JobPhase::Pending;
};

struct JobCancelled
{};

struct JobNotFound
{};

struct QueuedJobCount
{
  std::uint64_t mJobs = 0;
};

/// No queue has this address.
struct QueueNotFound
{};

/// Nothing was done, and the question can't be answered here at present.
struct ServiceUnavailable
{
  Duration mRetryAfter{};
};

/// The call may have been carried out, or may still be.
struct CallOutcomeUnknown
{};

using CallerReply = std::variant<JobAccepted,
                                 JobRefused,
                                 JobPhaseReply,
                                 JobCancelled,
                                 JobNotFound,
                                 QueuedJobCount,
                                 QueueNotFound,
                                 ServiceUnavailable,
                                 CallOutcomeUnknown>;

} // namespace buckthornshunt

#endif
