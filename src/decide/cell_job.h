#ifndef BUCKTHORNSHUNT_DECIDE_CELL_JOB_H
#define BUCKTHORNSHUNT_DECIDE_CELL_JOB_H

#include "buckthornshunt/workload.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace buckthornshunt {

/// A job's row: what was submitted, never changed afterwards.
struct StoredJob
{
  std::string mId;
  std::string mQueue;
  JobSpec mSpec;
  /// Term of the cell in which the job was accepted.
  std::uint32_t mAcceptedTerm = 0;
  WallTime mSubmitted;
};

/// A task that differs from one that never ran.
struct StoredTask
{
  std::uint32_t mOccurrence = 0;
  std::uint32_t mStep = 0;
  std::uint32_t mIndex = 0;
  bool mDone = false;
  std::vector<std::uint64_t> mFailedRuns;
  std::string mCheckpoint;

  friend bool operator==(const StoredTask&, const StoredTask&) = default;
};

/// A job's second row: how far it has come.
struct StoredProgress
{
  JobPhase mPhase = JobPhase::Pending;
  /// Queue, kept after the job's first row is gone.
  std::string mQueue;
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
  /// Runs that failed, each counted once however often it is listed.
  std::vector<std::uint64_t> mFailedRuns;
  /// Starts in this term.
  std::uint32_t mStarts = 0;
  std::string mCheckpoint;
  /// Worker of the active run.
  std::string mWorker;
  /// Worker of the last failed run.
  std::string mLastFailedWorker;
  TimePoint mNotBefore;
};

struct StepRecord
{
  std::vector<TaskRecord> mTasks;
  std::uint32_t mDoneTasks = 0;
  std::uint32_t mActiveTasks = 0;
  /// Starts of the gang as a whole in this term.
  std::uint32_t mGangStarts = 0;
  /// Ticket of each worker that may run the step, where advice is needed.
  std::map<std::string, std::string, std::less<>> mTickets;
  TimePoint mTicketExpiry;
  bool mAdviceRequested = false;
};

/// One run through the steps of a job.
struct OccurrenceRecord
{
  std::vector<StepRecord> mSteps;
  std::uint32_t mDoneSteps = 0;
};

/// A job as its cell's owner knows it.
struct CellJob
{
  std::string mId;
  std::string mQueue;
  JobSpec mSpec;
  std::uint32_t mAcceptedTerm = 0;
  WallTime mSubmitted;
  /// When the caller first tried to hand the job in.
  TimePoint mFirstSeen;
  /// The row is committed.
  bool mStored = false;
  bool mCancelled = false;
  bool mFailed = false;
  bool mStarted = false;
  /// Changed since the last commit began.
  bool mDirty = false;
  /// A commit of its latest change is under way.
  bool mCommitting = false;
  /// Taken over from an earlier owner.
  bool mInherited = false;
  std::map<std::uint32_t, OccurrenceRecord> mOccurrences;
  std::vector<std::uint32_t> mDoneOccurrences;
  /// Final phase that is committed; Pending while there is none.
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

/// Failed runs of a task; of a gang, the runs that failed in any member.
std::size_t
CountFailures(const StepSpec& aSpec,
              const StepRecord& aStep,
              std::uint32_t aTask);

/// Occurrence with every task idle.
OccurrenceRecord
MakeOccurrence(const JobSpec& aSpec);

/// All steps that a step waits for are done.
bool
IsStepReady(const JobSpec& aSpec,
            const OccurrenceRecord& aOccurrence,
            std::size_t aStep);

StoredProgress
ProgressOf(const CellJob& aJob);

/// Puts a job together again from its rows.
CellJob
RestoreJob(const StoredJob& aStored, const StoredProgress& aProgress);

/// What the ended runs of a queue tell about the next ones.
struct RunTimeModel
{
  /// Mean run time of a task; zero if none was seen.
  double mMeanSeconds = 0;
  /// Mean run time over mean estimate.
  double mEstimateScale = 1;

  /// Expected run time, in seconds, of a task with that estimate. Callers'
  /// estimates are off by more than run times differ, so the mean weighs more.
  double ExpectedSeconds(Duration aEstimate) const;
};

/// Longest expected chain through the steps that aren't done; aRun may be null
/// for a job that hasn't begun.
Duration
RemainingCriticalPath(const JobSpec& aSpec,
                      const OccurrenceRecord* aOccurrence,
                      const RunTimeModel& aModel);

/// Cores that the steps which wait for nothing ask for.
double
InitialCores(const JobSpec& aSpec);

/// Cores of the tasks that end by themselves and could start if there were
/// room.
double
WaitingCores(const CellJob& aJob);

/// Core-seconds of the tasks that aren't done.
double
RemainingCoreSeconds(const JobSpec& aSpec,
                     const OccurrenceRecord* aOccurrence,
                     const RunTimeModel& aModel);

} // namespace buckthornshunt

#endif
