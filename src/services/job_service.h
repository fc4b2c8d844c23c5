#ifndef BUCKTHORNSHUNT_SERVICES_JOB_SERVICE_H
#define BUCKTHORNSHUNT_SERVICES_JOB_SERVICE_H

#include "kernel/caller_state.h"
#include "kernel/kernel.h"
#include "wire/job_codec.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace buckthornshunt {

class DispatchService;
class MemberService;
class PeerService;
class TableService;

/// A job and its answer, as returned to the caller.
struct JobView
{
  std::string mName;
  Job mJob;
  std::string mAnswer;
};

/// Runs durable jobs: stored in the platform's table before they are accepted,
/// run by the nodes of their data centre, finished once.
class JobService
{
public:
  static constexpr std::string_view kName = "jobs";

  explicit JobService(Kernel& aKernel);

  leaf::result<void> Start();
  Task<void> Stop();

  /// Stores a job and returns its name. Submitting the same key again returns
  /// the existing job. StoreUnavailable or CommitOutcomeUnknown mean that it
  /// may not have been stored.
  Task<Expected<std::string>> Submit(Request aRequest, TimePoint aDeadline);

  /// Reads a job, and its answer if it is done.
  Task<Expected<JobView>> Find(std::string aName, TimePoint aDeadline);

  /// Cancels a job that isn't final: a running attempt is stopped and its
  /// answer is never accepted.
  Task<Expected<JobView>> Cancel(std::string aName, TimePoint aDeadline);

private:
  struct Entry
  {
    Job mJob;
    Revision mRevision{};
    TimePoint mNotBefore;
    /// Set while this node runs the job.
    std::shared_ptr<CallerState> mCaller;
  };

  using Entries = std::map<std::string, Entry, std::less<>>;

  Task<void> PollJobs();
  Task<void> Refresh();
  void StartDueJobs();
  bool ShouldRunHere(std::string_view aName, const Entry& aEntry) const;
  Task<void> Run(std::string aName);
  Task<void> RecordOutcome(std::string aName,
                           Outcome aOutcome,
                           bool aRepeatable);
  Task<Expected<Revision>> WriteState(std::string aName,
                                      JobState aState,
                                      TimePoint aDeadline);

  Kernel& mKernel;
  TableService* mTable = nullptr;
  MemberService* mMembers = nullptr;
  PeerService* mPeers = nullptr;
  DispatchService* mDispatch = nullptr;
  Revision mReadRevision{};
  bool mStopping = false;
  /// Jobs of this data centre that aren't final.
  Entries mEntries;
  TaskGroup mTasks;
};

} // namespace buckthornshunt

#endif
