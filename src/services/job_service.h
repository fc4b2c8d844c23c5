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

/// A job as its caller sees it.
struct JobView
{
  std::string mName;
  Job mJob;
  std::string mAnswer;
};

/// Durable jobs: recorded in the platform's table before they are accepted,
/// run by the nodes of their data centre, finished once.
class JobService
{
public:
  static constexpr std::string_view kName = "jobs";

  explicit JobService(Kernel& aKernel);

  leaf::result<void> Start();
  Task<void> Stop();

  /// Records a job and returns its name. A repeat of the same key returns the
  /// job that is there. StoreUnavailable or CommitOutcomeUnknown say that it
  /// may not have been recorded.
  Task<Expected<std::string>> Submit(Request aRequest, TimePoint aDeadline);

  /// A job and its answer, if it is done.
  Task<Expected<JobView>> Find(std::string aName, TimePoint aDeadline);

  /// Ends a job that isn't final. What runs of it is stopped, and its answer
  /// is never taken.
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
