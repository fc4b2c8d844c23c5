#ifndef BUCKTHORNSHUNT_DECIDE_CELL_JOB_H
#define BUCKTHORNSHUNT_DECIDE_CELL_JOB_H

#include "buckthornshunt/workload.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace buckthornshunt {

/// A job's first row: the submission, which never changes.
struct StoredJob
{
  std::string mId;
  std::string mQueue;
  JobSpec mSpec;
  /// Term of the cell in which the job was accepted.
  std::uint32_t mAcceptedTerm = 0;
  WallTime mSubmitted;
  /// Organisation of its caller; empty for a public queue.
  std::string mOrganisation = {};
};

/// Stored state of a task that is done, has failed, has a checkpoint or may
/// have crashed a worker.
struct StoredTask
{
  std::uint32_t mOccurrence = 0;
  std::uint32_t mStep = 0;
  std::uint32_t mIndex = 0;
  bool mDone = false;
  std::vector<std::uint64_t> mFailedRuns;
  std::string mCheckpoint;
  /// Runs during which the worker crashed.
  std::uint32_t mCrashes = 0;

  friend bool operator==(const StoredTask&, const StoredTask&) = default;
};

/// A job's second row: its progress.
struct StoredProgress
{
  JobPhase mPhase = JobPhase::Pending;
  /// Queue and organisation, needed after the job's first row is deleted.
  std::string mQueue;
  std::string mOrganisation;
  /// What runs of an ended job may still have held.
  Resources mHeld;
  std::vector<std::uint32_t> mDoneOccurrences;
  std::vector<StoredTask> mTasks;
};

enum class TaskStage : std::uint8_t
{
  Idle,
  /// A run of it is, or may be, on a worker.
  Active,
  Done
};

struct TaskRecord
{
  TaskStage mStage = TaskStage::Idle;
  /// Failed runs, each once, however often workers list it.
  std::vector<std::uint64_t> mFailedRuns;
  /// Runs during which the worker crashed, by this task or by another one.
  std::uint32_t mCrashes = 0;
  /// Starts in this term.
  std::uint32_t mStarts = 0;
  std::string mCheckpoint;
  /// Worker of the active run.
  std::string mWorker;
  std::string mLastFailedWorker;
  TimePoint mNotBefore;
  /// Crashes that a common cause explains and that aren't in mCrashes.
  std::uint32_t mExcusedCrashes = 0;
  /// Until when an attempt to start an earlier run may be carried out, also by
  /// another worker.
  TimePoint mEarlierStartsUntil = TimePoint::min();
  /// Since when the task waits for a worker without other short tasks.
  std::optional<TimePoint> mAwaitsIsolationSince;
};

/// The advice service lets an incarnation of a worker run a step.
struct StepTicket
{
  std::string mText;
  std::int64_t mIncarnation = 0;
};

struct StepRecord
{
  std::vector<TaskRecord> mTasks;
  std::uint32_t mDoneTasks = 0;
  std::uint32_t mActiveTasks = 0;
  /// Starts of the whole gang in this term.
  std::uint32_t mGangStarts = 0;
  /// Ticket of each worker that may run the step, for queues with advice.
  std::map<std::string, StepTicket, std::less<>> mTickets;
  TimePoint mTicketExpiry;
  bool mAdviceRequested = false;
  /// Since when some task has been ready without a run that is known to go on;
  /// none if there is no such task.
  std::optional<TimePoint> mWaitsSince;
};

/// State of one occurrence of a job.
struct OccurrenceRecord
{
  std::vector<StepRecord> mSteps;
  std::uint32_t mDoneSteps = 0;
};

/// A job's state, as known to the cell's owner.
struct CellJob
{
  std::string mId;
  std::string mQueue;
  std::string mOrganisation;
  JobSpec mSpec;
  std::uint32_t mAcceptedTerm = 0;
  WallTime mSubmitted;
  /// When the caller first submitted the job, accepted or not.
  TimePoint mFirstSeen;
  /// Tag of its organisation's fair share of the pool.
  double mFairTag = 0;
  /// Of an ended job of an earlier owner: what its runs may hold.
  Resources mInheritedHold;
  /// The job's first row, or its end, is committed.
  bool mStored = false;
  bool mCancelled = false;
  bool mFailed = false;
  /// A start of some task has been ordered.
  bool mStarted = false;
  /// A worker may have begun some task.
  bool mBegun = false;
  /// Changed since the last commit began.
  bool mDirty = false;
  /// Number of the cell's change that made it dirty; 0 if a commit of it
  /// failed.
  std::uint64_t mDirtySince = 0;
  /// A commit of its latest change is in flight.
  bool mCommitting = false;
  /// Restored from the rows of an earlier owner.
  bool mInherited = false;
  std::map<std::uint32_t, OccurrenceRecord> mOccurrences;
  std::vector<std::uint32_t> mDoneOccurrences;
  /// Committed final phase; Pending until there is one.
  JobPhase mCommittedPhase = JobPhase::Pending;
  TimePoint mEndedAt;

  bool IsLive() const;
  bool IsLongRunning() const;
  /// All occurrences are done.
  bool AllDone() const;
  std::uint32_t OccurrenceCount() const;
  /// Phase that the next commit will record.
  JobPhase NextPhase() const;
};

/// Number of failed runs of a task; for a gang, of runs that failed in any
/// member.
std::size_t
CountFailures(const StepSpec& aSpec,
              const StepRecord& aStep,
              std::uint32_t aTask);

/// Returns an occurrence whose tasks are all idle.
OccurrenceRecord
MakeOccurrence(const JobSpec& aSpec);

/// Whether all steps that a step depends on are done.
bool
IsStepReady(const JobSpec& aSpec,
            const OccurrenceRecord& aOccurrence,
            std::size_t aStep);

StoredProgress
ProgressOf(const CellJob& aJob);

/// Rebuilds a job from its rows.
CellJob
RestoreJob(const StoredJob& aStored, const StoredProgress& aProgress);

/// Predicts run times from the ended runs of a queue.
struct RunTimeModel
{
  /// Mean run time of a task; zero without enough runs.
  double mMeanSeconds = 0;
  /// Ratio of mean run time to mean estimate.
  double mEstimateScale = 1;

  /// Expected run time of a task with that estimate. The mean weighs more,
  /// since callers' estimates err by more than run times vary.
  double ExpectedSeconds(Duration aEstimate) const;
};

/// Expected run time of a task, never zero.
Duration
ExpectedRunTime(const RunTimeModel& aModel, Duration aEstimate);

/// Expected duration of the longest chain of unfinished steps; aOccurrence may
/// be null for a job that hasn't started.
Duration
RemainingCriticalPath(const JobSpec& aSpec,
                      const OccurrenceRecord* aOccurrence,
                      const RunTimeModel& aModel);

/// Cores requested by the steps without dependencies.
double
InitialCores(const JobSpec& aSpec);

/// Cores requested by tasks that are ready to start, without long-running and
/// best-effort ones.
double
WaitingCores(const CellJob& aJob);

/// Expected core-seconds of the unfinished tasks, without long-running ones.
double
RemainingCoreSeconds(const JobSpec& aSpec,
                     const OccurrenceRecord* aOccurrence,
                     const RunTimeModel& aModel);

} // namespace buckthornshunt

#endif
