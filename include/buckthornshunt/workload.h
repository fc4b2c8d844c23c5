#ifndef BUCKTHORNSHUNT_WORKLOAD_H
#define BUCKTHORNSHUNT_WORKLOAD_H

#include "buckthornshunt/failure.h"
#include "buckthornshunt/types.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornshunt {

/// Resources that a task occupies or that a worker has.
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

/// Whether aUsed plus aNeed stays within aCapacity.
bool
Fits(const Resources& aCapacity,
     const Resources& aUsed,
     const Resources& aNeed);

/// A group of identical tasks of a job.
struct StepSpec
{
  std::uint32_t mTaskCount = 1;
  Resources mTaskResources;
  /// The caller's estimate of one task's run time; may be far off.
  Duration mEstimatedRunTime{};
  /// Indices of earlier steps that must finish first.
  std::vector<std::uint32_t> mDependencies;
  /// Tasks save checkpoints and can resume from them.
  bool mCheckpointable = false;
  /// Tasks make progress only while all of them are running.
  bool mGang = false;
  /// Tasks run slower when they are spread over several racks.
  bool mSameRack = false;
  bool mSpeculative = false;
  /// Tasks run until the job is cancelled and are restarted whenever they end.
  bool mLongRunning = false;
  /// Tasks use only idle processor time; none is reserved for them.
  bool mBestEffort = false;
  /// Label that the worker must have; empty for none.
  std::string mRequiredLabel;
  /// Rack that holds the tasks' data; empty for none.
  std::string mPreferredRack;
  /// Name of the program; tasks of the same image behave alike.
  std::string mImage;
  /// Maximum number of tasks of one occurrence per worker; 0 for no limit.
  std::uint32_t mMaxPerWorker = 0;
  /// Tail latency objective of tasks that serve requests; zero for other tasks.
  Duration mTailLatencyTarget{};
  /// Maximum number of tasks made unavailable at once by the system's own
  /// actions; 0 for no limit.
  std::uint32_t mMaxUnavailable = 0;

  friend bool operator==(const StepSpec&, const StepSpec&) = default;
};

/// A job as a caller submitted it.
struct JobSpec
{
  /// Opaque text that is passed to each task.
  std::string mPayload;
  std::vector<StepSpec> mSteps;
  /// Number of times that the steps run; 0 for once, without a start time.
  std::uint32_t mOccurrences = 0;
  /// Start of the first occurrence; the others follow at mInterval.
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

/// Parses the output of ToString; nullopt if the text is malformed.
std::optional<TaskId>
ParseTaskId(std::string_view aText);

/// State of a job as callers see it.
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

/// Time limits of the advice service, which decides which workers may run a
/// step.
struct AdviceConfig
{
  /// A request may take this long, plus mTimeoutPerWorker for each worker in
  /// it.
  Duration mBaseTimeout{};
  Duration mTimeoutPerWorker{};
  Duration mTicketLifetime{};

  friend bool operator==(const AdviceConfig&, const AdviceConfig&) = default;
};

/// A queue of jobs: the address that callers use, and how its jobs are run.
struct QueueConfig
{
  std::string mName;
  std::string mHost;
  std::string mPathPrefix;
  /// Pool of workers that runs the tasks.
  std::string mPool;
  /// 0 is the highest priority and may preempt others.
  int mPriority = 0;
  /// Number of failed runs of one task after which its job fails.
  std::uint32_t mMaxAttempts = 1;
  /// A job should finish within mTargetStretch times its critical path, plus
  /// mTargetLatency.
  double mTargetStretch = 1;
  Duration mTargetLatency{};
  std::optional<AdviceConfig> mAdvice;
  /// Callers need no key.
  bool mPublic = false;

  friend bool operator==(const QueueConfig&, const QueueConfig&) = default;
};

/// A customer of the fleet, whose callers present one of its keys.
struct OrganisationConfig
{
  std::string mName;
  /// Secret; never logged or stored by the system.
  std::vector<std::string> mKeys;
  /// Share of a full pool, relative to other organisations; also the number of
  /// jobs a second to which the share applies.
  double mWeight = 1;
  /// Maximum of what its tasks hold on all workers; 0 for no limit.
  Resources mMaximum;

  friend bool operator==(const OrganisationConfig&,
                         const OrganisationConfig&) = default;
};

/// A pool of workers.
struct WorkerPoolConfig
{
  std::string mName;
  /// Workers reject a task that exceeds their free capacity.
  bool mEnforcesCapacity = true;
  /// Workers of this pool are switched off and cost nothing.
  bool mSpare = false;

  friend bool operator==(const WorkerPoolConfig&,
                         const WorkerPoolConfig&) = default;
};

/// Queues and pools in effect. Versions increase, not always by one.
struct WorkloadConfig
{
  ConfigVersion mVersion{};
  std::vector<QueueConfig> mQueues;
  std::vector<WorkerPoolConfig> mPools;
  /// None if callers need no keys.
  std::optional<std::vector<OrganisationConfig>> mOrganisations = {};

  /// Queue of the host with the longest matching path prefix; null if none
  /// matches.
  const QueueConfig* FindQueue(std::string_view aHost,
                               std::string_view aPath) const;
  const QueueConfig* FindQueueByName(std::string_view aName) const;
  const WorkerPoolConfig* FindPool(std::string_view aName) const;
  const OrganisationConfig* FindOrganisation(std::string_view aName) const;
  const OrganisationConfig* FindOrganisationByKey(std::string_view aKey) const;
};

/// A worker's own entry in the platform's directory.
struct WorkerReport
{
  std::string mId;
  std::string mPool;
  /// VM that the worker runs on; empty if not reported.
  std::string mVm;
  Endpoint mEndpoint;
  std::string mDataCentre;
  Resources mCapacity;
  std::vector<std::string> mLabels;
  /// Label that names the rack; empty if there is none.
  std::string mRack;
  /// Start time of the worker's process in Unix milliseconds, which identifies
  /// its incarnation; 0 if not reported.
  std::int64_t mIncarnation = 0;
  bool mDraining = false;
  /// Minimum time that a draining worker remains available.
  Duration mMinRemainingTime{};

  friend bool operator==(const WorkerReport&, const WorkerReport&) = default;
};

/// One incarnation of a worker, as the directory reports it.
struct WorkerIncarnation
{
  std::string mVm;
  /// As WorkerReport::mIncarnation.
  std::int64_t mId = 0;
  /// When the directory first reported it.
  TimePoint mFirstSeen;
};

/// How a run of a task ended.
enum class RunEnd : std::uint8_t
{
  Done,
  Failed,
  Stopped,
  LeaseExpired,
  /// Another member of its gang ended.
  GangBroken,
  /// The other members of its gang never started.
  GangIncomplete
};

std::string_view
ToString(RunEnd aEnd);

/// A run that a worker reports as present.
struct ReportedRun
{
  TaskId mTask;
  std::uint64_t mRun = 0;
  /// Latest checkpoint; empty for none.
  std::string mCheckpoint;
  /// Speed in percent of full speed.
  int mSpeedPercent = 0;
  /// Tail latency in milliseconds for a task that serves requests, otherwise
  /// processor use in thousandths of a core; nullopt if not reported.
  std::optional<double> mGauge;
};

/// A run that a worker reports as ended.
struct EndedRun
{
  /// Position in the worker's list of ended runs; increases within one
  /// incarnation.
  std::uint64_t mSequence = 0;
  TaskId mTask;
  std::uint64_t mRun = 0;
  RunEnd mEnd = RunEnd::Failed;
  std::string mCheckpoint;
};

/// A worker's reply to the renewal of its lease.
struct WorkerStatus
{
  /// The worker's own steady clock, in milliseconds.
  std::int64_t mClockMs = 0;
  /// As WorkerReport::mIncarnation.
  std::int64_t mIncarnation = 0;
  std::vector<ReportedRun> mActiveRuns;
  std::vector<EndedRun> mEndedRuns;
  /// Rows of both lists that can't be read; any task may be meant.
  std::vector<MalformedEntry> mMalformed = {};
  /// Position from which on ended runs must not be acknowledged, since one of
  /// them can't be read.
  std::optional<std::uint64_t> mFirstUnreadableEnd = {};
  /// More ended runs follow, which are listed once these are acknowledged.
  bool mHasMoreEnds = false;

  /// Whether a run that neither list has isn't on the worker and hasn't ended
  /// there unheard of.
  bool IsComplete() const { return mMalformed.empty() && !mHasMoreEnds; }
};

/// Why a worker refused to start a run.
enum class StartRefusal : std::uint8_t
{
  /// The worker has received a higher fencing token.
  Fenced,
  /// This run of the task, or a later one, was stopped or has ended there.
  StaleRun,
  LeaseExpired,
  InsufficientCapacity,
  InvalidTicket,
  /// The worker reports itself as unhealthy, or the order was malformed.
  Rejected
};

std::string_view
ToString(StartRefusal aRefusal);

/// State of a VM as the platform's machine service reports it.
enum class PoolVmState : std::uint8_t
{
  /// Running, or switched off in the spare pool.
  Up,
  /// Being moved to another pool.
  Moving,
  Maintenance,
  Down,
  /// An unrecognised state; implies nothing about the VM's worker.
  Unknown
};

std::string_view
ToString(PoolVmState aState);

/// A VM in the list of the platform's machine service.
struct PoolVm
{
  std::string mVm;
  std::string mPool;
  PoolVmState mState = PoolVmState::Up;
  /// Worker that runs on the VM; empty for none.
  std::string mWorker;
  std::string mRack;
  Resources mCapacity;

  friend bool operator==(const PoolVm&, const PoolVm&) = default;
};

/// A maintenance wave ordered by the operator.
struct WaveOrder
{
  std::uint64_t mNumber = 0;
  std::vector<std::string> mVms;
  /// Time from the order within which all VMs must be maintained.
  Duration mDeadline{};
  /// Maximum number of VMs out of service for the wave at the same time.
  std::uint32_t mMaxConcurrent = 1;

  friend bool operator==(const WaveOrder&, const WaveOrder&) = default;
};

} // namespace buckthornshunt

#endif
