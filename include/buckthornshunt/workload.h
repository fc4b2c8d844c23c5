#ifndef BUCKTHORNSHUNT_WORKLOAD_H
#define BUCKTHORNSHUNT_WORKLOAD_H

#include "buckthornshunt/types.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornshunt {

/// What a task occupies, or what a worker has.
struct Resources
{
  /// Thousandths of a core.
  std::int64_t mCpuMillis = 0;
  std::int64_t mMemoryMb = 0;
  std::int64_t mGpus = 0;

  Resources& operator+=(const Resources& aOther);
  Resources& operator-=(const Resources& aOther);
  friend bool operator==(const Resources&, const Resources&) = default;
};

/// Whether aNeed fits beside aUsed within aCapacity.
bool
Fits(const Resources& aCapacity,
     const Resources& aUsed,
     const Resources& aNeed);

/// A group of equal tasks of a job.
struct StepSpec
{
  std::uint32_t mTaskCount = 1;
  Resources mTaskResources;
  /// The caller's guess of one task's run time; may be far off.
  Duration mEstimatedRunTime{};
  /// Numbers of earlier steps that must be done first.
  std::vector<std::uint32_t> mDependencies;
  /// Tasks save their progress and can resume from it.
  bool mCheckpointable = false;
  /// Tasks work only while all of them are present.
  bool mGang = false;
  /// Tasks run slower when they are spread over racks.
  bool mSameRack = false;
  bool mSpeculative = false;
  /// Tasks run until the job is cancelled and are restarted however they end.
  bool mLongRunning = false;
  /// Tasks use only processor time that others leave; it isn't reserved.
  bool mBestEffort = false;
  /// Label that the worker must carry; empty for none.
  std::string mRequiredLabel;
  /// Rack that holds the data; empty for none.
  std::string mPreferredRack;
  /// Name of the program; tasks of one image behave alike.
  std::string mImage;
  /// Most tasks of one occurrence on one worker; 0 for any number.
  std::uint32_t mMaxPerWorker = 0;
  /// Tail latency that the task must keep; zero if it doesn't serve.
  Duration mTailLatencyTarget{};
  /// Tasks that may be away at once because of the system's own actions.
  std::uint32_t mMaxUnavailable = 0;

  friend bool operator==(const StepSpec&, const StepSpec&) = default;
};

/// A job as a caller submitted it.
struct JobSpec
{
  /// Text that is handed to each task unread.
  std::string mPayload;
  std::vector<StepSpec> mSteps;
  /// Number of times that the steps run; 0 for once, without a due time.
  std::uint32_t mOccurrences = 0;
  WallTime mFirstStartTime;
  Duration mInterval{};

  friend bool operator==(const JobSpec&, const JobSpec&) = default;
};

/// One task of a job.
struct TaskId
{
  std::string mJob;
  std::uint32_t mOccurrence = 0;
  std::uint32_t mStep = 0;
  std::uint32_t mIndex = 0;

  friend auto operator<=>(const TaskId&, const TaskId&) = default;
};

/// "job.occurrence.step.index".
std::string
ToString(const TaskId& aTask);

/// Reads the form that ToString writes; none if the text is malformed.
std::optional<TaskId>
ParseTaskId(std::string_view aText);

/// What callers see of a job.
enum class JobPhase : std::uint8_t
{
  Pending,
  Running,
  Completed,
  Failed,
  Cancelled
};

std::string_view
ToString(JobPhase aPhase);

/// Service that decides which workers may run a step.
struct AdviceConfig
{
  Duration mBaseTimeout{};
  Duration mTimeoutPerWorker{};
  Duration mTicketLifetime{};

  friend bool operator==(const AdviceConfig&, const AdviceConfig&) = default;
};

/// A queue of jobs: what callers address, and how its jobs are to be run.
struct QueueConfig
{
  std::string mName;
  std::string mHost;
  std::string mPathPrefix;
  /// Pool of workers that runs the tasks.
  std::string mPool;
  /// 0 goes first and may preempt others.
  int mPriority = 0;
  /// Failed runs of one task after which its job fails.
  std::uint32_t mMaxAttempts = 1;
  /// A job should end within its longest chain times this, plus mTargetLatency.
  double mTargetStretch = 1;
  Duration mTargetLatency{};
  std::optional<AdviceConfig> mAdvice;

  friend bool operator==(const QueueConfig&, const QueueConfig&) = default;
};

/// A pool of workers.
struct WorkerPoolConfig
{
  std::string mName;
  /// Workers refuse a task that doesn't fit.
  bool mEnforcesCapacity = true;
  /// Workers of this pool are switched off and cost nothing.
  bool mSpare = false;

  friend bool operator==(const WorkerPoolConfig&,
                         const WorkerPoolConfig&) = default;
};

/// Queues and pools in force; versions rise, not always by one.
struct WorkloadConfig
{
  ConfigVersion mVersion{};
  std::vector<QueueConfig> mQueues;
  std::vector<WorkerPoolConfig> mPools;

  /// Queue with the longest path prefix that matches; null if there is none.
  const QueueConfig* FindQueue(std::string_view aHost,
                               std::string_view aPath) const;
  const QueueConfig* FindQueueByName(std::string_view aName) const;
  const WorkerPoolConfig* FindPool(std::string_view aName) const;
};

/// A worker as it describes itself in the platform's directory.
struct WorkerReport
{
  std::string mId;
  std::string mPool;
  /// VM that the worker runs on; empty if the report doesn't say.
  std::string mVm;
  Endpoint mEndpoint;
  std::string mDataCentre;
  Resources mCapacity;
  std::vector<std::string> mLabels;
  /// Label that names the rack; empty if there is none.
  std::string mRack;
  /// Start of the worker's present run, in Unix milliseconds; 0 if not said.
  std::int64_t mIncarnation = 0;
  bool mDraining = false;
  /// Least time that a draining worker stays.
  Duration mMinRemainingTime{};

  friend bool operator==(const WorkerReport&, const WorkerReport&) = default;
};

/// One life of a worker, as the directory knows it.
struct WorkerIncarnation
{
  std::string mVm;
  /// Start of the life; 0 if the directory doesn't say.
  std::int64_t mId = 0;
  /// When the directory first showed it.
  TimePoint mFirstSeen;
};

/// How a run of a task ended.
enum class RunEnd : std::uint8_t
{
  Done,
  Failed,
  Stopped,
  /// Its lease ran out.
  LeaseExpired,
  /// Another member of its gang ended.
  GangBroken,
  /// The other members of its gang never came.
  GangIncomplete
};

std::string_view
ToString(RunEnd aEnd);

/// A run that a worker lists as present.
struct ReportedRun
{
  TaskId mTask;
  std::uint64_t mRun = 0;
  /// Last saved progress; empty for none.
  std::string mCheckpoint;
  /// Share of full speed at which it works; 100 is full.
  int mSpeedPercent = 0;
  /// Tail latency in milliseconds of a task that serves, else processor use in
  /// thousandths of a core; none if not reported.
  std::optional<double> mGauge;
};

/// A run that a worker lists as ended.
struct EndedRun
{
  /// Position in the worker's list of ends; rises within one of its lives.
  std::uint64_t mSequence = 0;
  TaskId mTask;
  std::uint64_t mRun = 0;
  RunEnd mEnd = RunEnd::Failed;
  std::string mCheckpoint;
};

/// A worker's answer to the renewal of its lease.
struct WorkerStatus
{
  /// The worker's own steady clock, in milliseconds.
  std::int64_t mClockMs = 0;
  /// As in WorkerReport.
  std::int64_t mIncarnation = 0;
  std::vector<ReportedRun> mActiveRuns;
  std::vector<EndedRun> mEndedRuns;
};

/// Why a worker refused a start.
enum class StartRefusal : std::uint8_t
{
  /// A newer owner has given it orders.
  Fenced,
  /// The run, or a later one, was stopped or has ended there.
  StaleRun,
  /// The lease would already be over.
  LeaseExpired,
  InsufficientCapacity,
  InvalidTicket,
  /// The worker says that it is unhealthy, or the order was malformed.
  Rejected
};

std::string_view
ToString(StartRefusal aRefusal);

/// What the platform's machine service says that a VM does.
enum class PoolVmState : std::uint8_t
{
  /// Running, or switched off in the spare pool.
  Up,
  /// On its way to another pool.
  Moving,
  Maintenance,
  Down,
  /// A state that isn't known here; tells nothing of the VM's worker.
  Unknown
};

std::string_view
ToString(PoolVmState aState);

/// A VM as the platform's machine service lists it.
struct PoolVm
{
  std::string mVm;
  std::string mPool;
  PoolVmState mState = PoolVmState::Up;
  /// Worker that runs on it; empty if there is none.
  std::string mWorker;
  std::string mRack;
  Resources mCapacity;

  friend bool operator==(const PoolVm&, const PoolVm&) = default;
};

/// A maintenance wave that the operator asked for.
struct WaveOrder
{
  std::uint64_t mNumber = 0;
  std::vector<std::string> mVms;
  /// Time from the order within which all must be done.
  Duration mDeadline{};
  std::uint32_t mMaxConcurrent = 1;

  friend bool operator==(const WaveOrder&, const WaveOrder&) = default;
};

} // namespace buckthornshunt

#endif
