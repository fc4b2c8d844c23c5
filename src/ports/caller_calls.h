#ifndef BUCKTHORNSHUNT_PORTS_CALLER_CALLS_H
#define BUCKTHORNSHUNT_PORTS_CALLER_CALLS_H

#include "buckthornshunt/failure.h"
#include "buckthornshunt/workload.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace buckthornshunt {

/// Submits a job. Idempotent: repeated submissions with one id are one job.
struct SubmitJob
{
  std::string mQueue;
  std::string mId;
  JobSpec mSpec;
  /// Organisation of the caller; empty on a public queue.
  std::string mOrganisation = {};
};

struct ReadJob
{
  std::string mQueue;
  std::string mId;
  std::string mOrganisation = {};
};

/// Asks the cell that a queue used earlier whether it has accepted a job; the
/// reply is JobAccepted or JobNotFound. From then on the cell accepts no new
/// jobs of the queue unless a later configuration sends them there.
struct LocateJob
{
  std::string mQueue;
  std::string mId;
  /// Configuration by which the queue uses another cell.
  ConfigVersion mVersion{};
};

struct CancelJob
{
  std::string mQueue;
  std::string mId;
  std::string mOrganisation = {};
};

/// Counts the accepted jobs of a queue that haven't started.
struct CountQueuedJobs
{
  std::string mQueue;
};

using CallerCall =
  std::variant<SubmitJob, ReadJob, LocateJob, CancelJob, CountQueuedJobs>;

/// Id of the job that a call is about; empty if it is about none. The call must
/// outlive it.
std::string_view
JobIdOf(const CallerCall& aCall);

/// The job is stored.
struct JobAccepted
{};

/// The job isn't stored, and this submission never runs it.
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

/// The call had no effect, and this node can't handle it at present.
struct ServiceUnavailable
{
  Duration mRetryAfter{};
};

/// The call may have taken effect, or may still do so.
struct CallOutcomeUnknown
{};

/// The caller's key is missing or belongs to no organisation.
struct CallerUnauthorized
{};

using CallerReply = std::variant<JobAccepted,
                                 JobRefused,
                                 JobPhaseReply,
                                 JobCancelled,
                                 JobNotFound,
                                 QueuedJobCount,
                                 QueueNotFound,
                                 ServiceUnavailable,
                                 CallOutcomeUnknown,
                                 CallerUnauthorized>;

} // namespace buckthornshunt

#endif
