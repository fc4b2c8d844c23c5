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
struct CountWaiting
{
  std::string mQueue;
};

using CallerCall = std::variant<SubmitJob, ReadJob, CancelJob, CountWaiting>;

/// The job is stored.
struct JobAccepted
{};

/// The job isn't stored and never runs under this submission.
struct JobRefused
{
  Duration mRetryAfter{};
};

struct JobPhaseIs
{
  JobPhase mPhase = JobPhase::Pending;
};

struct JobCancelled
{};

struct JobUnknown
{};

struct WaitingCount
{
  std::uint64_t mJobs = 0;
};

/// No queue has this address.
struct QueueUnknown
{};

/// Nothing was done, and the question can't be answered here at present.
struct CallUnavailable
{
  Duration mRetryAfter{};
};

/// The call may have been carried out, or may still be.
struct CallUnsettled
{};

using CallerReply = std::variant<JobAccepted,
                                 JobRefused,
                                 JobPhaseIs,
                                 JobCancelled,
                                 JobUnknown,
                                 WaitingCount,
                                 QueueUnknown,
                                 CallUnavailable,
                                 CallUnsettled>;

} // namespace buckthornshunt

#endif
