#include "decide/cell.h"

#include <algorithm>
#include <tuple>

namespace buckthornshunt {

namespace {

/// Run numbers of a task in one term; later terms use higher ones.
constexpr std::uint64_t kMaxRunsPerTerm = 1000;
constexpr Duration kStopRetryInterval = std::chrono::milliseconds(700);
/// Steps without room after which a planning pass ends.
constexpr int kMaxUnplacedSteps = 40;
/// A late job has a low value up to this multiple of its objective, then none.
constexpr int kOverdueFactor = 3;
/// Fractions of the target of a run's tail latency: above the first,
/// best-effort runs on the same worker slow down; below the second, they speed
/// up.
constexpr double kSlowDownTailFraction = 0.8;
constexpr double kSpeedUpTailFraction = 0.5;
/// Equals the period that the workers' gauges cover.
constexpr Duration kRateControlInterval = std::chrono::milliseconds(500);
constexpr int kFullRatePercent = 100;
constexpr int kRateStepPercent = 20;
/// A worker that answered within this time is alive; renewals wait at most half
/// as long.
constexpr Duration kLivenessTimeout = std::chrono::seconds(3);
/// Run time before a task is stopped on a draining worker: short for tasks with
/// checkpoints, else close to the time allowed for emptying the worker.
constexpr Duration kCheckpointedEvacuationDelay =
  std::chrono::milliseconds(600);
constexpr Duration kEvacuationDelay = std::chrono::seconds(4);

/// Classes of tasks in the order in which they are placed.
enum class Urgency : std::uint8_t
{
  /// Long-running tasks that don't run.
  LongRunning,
  /// Can still meet its objective.
  OnTime,
  /// Uses processor time that other tasks leave idle.
  BestEffort,
  /// Will miss its objective but still has some value.
  Late,
  /// Has no value any more, but was accepted.
  Overdue
};

} // namespace

struct Cell::Candidate
{
  Urgency mUrgency = Urgency::OnTime;
  int mPriority = 0;
  TimePoint mLatestStart;
  CellJob* mJob = nullptr;
  std::uint32_t mOccurrence = 0;
  std::uint32_t mStep = 0;

  friend bool operator<(const Candidate& aLeft, const Candidate& aRight)
  {
    return std::tie(aLeft.mUrgency, aLeft.mPriority, aLeft.mLatestStart) <
           std::tie(aRight.mUrgency, aRight.mPriority, aRight.mLatestStart);
  }
};

namespace {

/// Detects tasks that fit on no worker, after the placement of one has failed.
/// Saves a scan of all workers for each of hundreds of tasks that are queued
/// while the pool is full.
class FreeCapacityFilter
{
public:
  bool CannotFit(const StepSpec& aSpec) const
  {
    Resources required = ReservedResources(aSpec);
    // Each long-running task is tried, since failing reserves a worker for it.
    return mMeasured && !aSpec.mLongRunning &&
           (required.mCpuMillis > mMaxFreeCpuMillis ||
            required.mMemoryMb > mMaxFreeMemoryMb);
  }

  // Free capacity only shrinks within a pass, so the maxima stay upper bounds.
  void RecordFailure(const StepSpec& aSpec,
                     std::span<const PlacementTarget> aTargets)
  {
    if (aSpec.mGang) {
      return;
    }
    mMeasured = true;
    mMaxFreeCpuMillis = 0;
    mMaxFreeMemoryMb = 0;
    for (const PlacementTarget& target : aTargets) {
      if (!target.mUnschedulable) {
        mMaxFreeCpuMillis =
          std::max(mMaxFreeCpuMillis,
                   target.mCapacity.mCpuMillis - target.mReserved.mCpuMillis);
        mMaxFreeMemoryMb =
          std::max(mMaxFreeMemoryMb,
                   target.mCapacity.mMemoryMb - target.mReserved.mMemoryMb);
      }
    }
  }

private:
  bool mMeasured = false;
  std::int64_t mMaxFreeCpuMillis = 0;
  std::int64_t mMaxFreeMemoryMb = 0;
};

} // namespace

std::vector<CellOrder>
Cell::Plan(TimePoint aNow, WallTime aWallNow)
{
  std::vector<CellOrder> orders;
  if (mFenced) {
    return orders;
  }
  ExpireLeases(aNow);
  OpenOccurrences(aWallNow);
  PlanEvacuation(aNow);
  PlanStops(aNow, orders);
  PlanRates(aNow, orders);
  PlanStarts(aNow, orders);
  return orders;
}

// A worker that doesn't answer has no runs after its last lease expires.
void
Cell::ExpireLeases(TimePoint aNow)
{
  for (auto& [id, worker] : mWorkers) {
    if (aNow <= worker.mLeaseExpiry ||
        worker.mMissedAnswers < kMissedAnswersUntilSuspected) {
      continue;
    }
    worker.mInheritedRunsUnknown = false;
    // A worker that is cut off stays listed; one that has crashed isn't.
    if (!worker.mListed) {
      RecordCrash(worker, worker.RunningTasks(), aNow);
    }
    while (!worker.mRuns.empty()) {
      RemoveRun(worker, worker.mRuns.begin()->first);
    }
  }
}

void
Cell::OpenOccurrences(WallTime aWallNow)
{
  for (const std::string& id : mLiveJobs) {
    CellJob& job = mJobs.find(id)->second;
    for (std::uint32_t k = 0; k < job.OccurrenceCount(); ++k) {
      std::int64_t due = job.mSpec.mOccurrences == 0
                           ? 0
                           : job.mSpec.mFirstStartTime.mMillis +
                               k * ToMillis(job.mSpec.mInterval);
      if (due > aWallNow.mMillis) {
        break;
      }
      OpenOccurrence(job, k);
    }
  }
}

// Until every worker of an earlier owner has answered or its leases have
// expired, a task that isn't listed may be running there.
bool
Cell::InheritedRunsKnown(TimePoint aNow) const
{
  return std::none_of(
    mWorkers.begin(), mWorkers.end(), [&](const auto& aEntry) {
      const CellWorker& worker = aEntry.second;
      return worker.mInheritedRunsUnknown && aNow <= worker.mLeaseExpiry;
    });
}

bool
Cell::Usable(const CellWorker& aWorker, TimePoint aNow) const
{
  return aWorker.mListed && aWorker.mTokenAccepted && aWorker.mPersisted &&
         !aWorker.mReport.mDraining && !aWorker.mDraining &&
         aWorker.mMissedAnswers < kMissedAnswersUntilSuspected &&
         aNow >= aWorker.mAvoidUntil;
}

// A suspect of a crash shares its worker with no other one; after a second
// crash it shares it with no other short task, so that a third one proves the
// cause.
bool
Cell::MayHostSuspect(const CellWorker& aWorker, std::uint32_t aCrashes)
{
  return std::none_of(
    aWorker.mRuns.begin(), aWorker.mRuns.end(), [&](const auto& aEntry) {
      const ActiveRun& run = aEntry.second;
      return !run.mLongRunning &&
             (run.mEarlierCrashes > 0 || aCrashes >= kCrashesUntilIsolated);
    });
}

std::vector<PlacementTarget>
Cell::PlacementTargets(TimePoint aNow, std::vector<CellWorker*>& aWorkers)
{
  std::vector<PlacementTarget> targets;
  targets.reserve(mWorkers.size());
  aWorkers.reserve(mWorkers.size());
  for (auto& [id, worker] : mWorkers) {
    aWorkers.push_back(&worker);
    targets.push_back({ id,
                        worker.mReport.mRack,
                        worker.mReport.mLabels,
                        worker.mReport.mCapacity,
                        worker.mReserved,
                        !Usable(worker, aNow) || worker.mIsolatedRuns > 0,
                        0 });
  }
  return targets;
}

void
Cell::CollectCandidates(TimePoint aNow, std::vector<Candidate>& aOut)
{
  bool inheritedRunsKnown = InheritedRunsKnown(aNow);
  for (const std::string& id : mLiveJobs) {
    CellJob& job = mJobs.find(id)->second;
    const QueueConfig* queue = QueueOf(job);
    // A job stays in the cell that accepted it, even if its queue now uses
    // another pool.
    bool ready = job.mStored && queue != nullptr &&
                 (inheritedRunsKnown || !job.mInherited);
    if (!ready) {
      continue;
    }
    Duration objective = ObjectiveOf(job.mQueue, job.mSpec);
    for (auto& [number, occurrence] : job.mOccurrences) {
      Duration chain =
        RemainingCriticalPath(job.mSpec, &occurrence, ModelOf(job.mQueue));
      for (std::uint32_t s = 0; s < occurrence.mSteps.size(); ++s) {
        const StepRecord& step = occurrence.mSteps[s];
        bool hasIdleTasks =
          step.mDoneTasks + step.mActiveTasks < step.mTasks.size();
        if (!hasIdleTasks || !IsStepReady(job.mSpec, occurrence, s)) {
          continue;
        }
        Candidate candidate;
        candidate.mPriority = queue->mPriority;
        candidate.mLatestStart = job.mFirstSeen + objective - chain;
        candidate.mJob = &job;
        candidate.mOccurrence = number;
        candidate.mStep = s;
        const StepSpec& spec = job.mSpec.mSteps[s];
        if (spec.mBestEffort) {
          candidate.mUrgency = Urgency::BestEffort;
        } else if (spec.mLongRunning) {
          candidate.mUrgency = Urgency::LongRunning;
        } else if (aNow > job.mFirstSeen + kOverdueFactor * objective) {
          candidate.mUrgency = Urgency::Overdue;
        } else if (aNow > candidate.mLatestStart) {
          candidate.mUrgency = Urgency::Late;
        }
        aOut.push_back(candidate);
      }
    }
  }
  std::sort(aOut.begin(), aOut.end());
}

void
Cell::PlanStarts(TimePoint aNow, std::vector<CellOrder>& aOrders)
{
  std::vector<Candidate> candidates;
  CollectCandidates(aNow, candidates);
  if (candidates.empty()) {
    return;
  }
  std::vector<CellWorker*> workers;
  std::vector<PlacementTarget> targets = PlacementTargets(aNow, workers);
  FreeCapacityFilter freeCapacity;
  int unplacedSteps = 0;
  for (const Candidate& candidate : candidates) {
    const StepSpec& spec = candidate.mJob->mSpec.mSteps[candidate.mStep];
    if (freeCapacity.CannotFit(spec)) {
      continue;
    }
    bool allPlaced = PlaceStep(candidate, targets, workers, aNow, aOrders);
    unplacedSteps += allPlaced ? 0 : 1;
    if (!allPlaced) {
      freeCapacity.RecordFailure(spec, targets);
    }
    if (!allPlaced && candidate.mUrgency == Urgency::LongRunning) {
      ReserveTarget(candidate, targets);
    }
    if (unplacedSteps > kMaxUnplacedSteps) {
      return;
    }
  }
}

void
Cell::StartTask(CellWorker& aWorker,
                CellJob& aJob,
                const TaskId& aTask,
                std::uint64_t aRun,
                TimePoint aNow,
                std::vector<CellOrder>& aOrders)
{
  const StepSpec& spec = aJob.mSpec.mSteps[aTask.mStep];
  StepRecord& step =
    aJob.mOccurrences.find(aTask.mOccurrence)->second.mSteps[aTask.mStep];
  TaskRecord& task = step.mTasks[aTask.mIndex];
  task.mStage = TaskStage::Active;
  task.mWorker = aWorker.mReport.mId;
  ++task.mStarts;
  ++step.mActiveTasks;
  aJob.mStarted = true;

  ActiveRun run;
  run.mRun = aRun;
  run.mStageSince = aNow;
  run.mStartedAt = aNow;
  run.mReserved = ReservedResources(spec);
  run.mBestEffort = spec.mBestEffort;
  run.mLongRunning = spec.mLongRunning;
  run.mEarlierCrashes = task.mCrashes;
  run.mTailLatencyTarget = spec.mTailLatencyTarget;
  aWorker.AddRun(aTask, run);

  StartRun start;
  start.mTask = aTask;
  start.mRun = aRun;
  start.mPayload = aJob.mSpec.mPayload;
  start.mLeaseExpiry = GrantLease(aWorker, aNow);
  start.mToken = mToken;
  if (spec.mCheckpointable) {
    start.mCheckpoint = task.mCheckpoint;
  }
  auto ticket = step.mTickets.find(aWorker.mReport.mId);
  if (ticket != step.mTickets.end()) {
    start.mTicket = ticket->second;
  }
  aOrders.push_back({ aWorker.mReport.mId, std::move(start) });
}

// In a full pool, short tasks take all capacity as it becomes free, which
// starves a larger long-running task. The worker with the most free capacity is
// reserved for it until it fits.
void
Cell::ReserveTarget(const Candidate& aCandidate,
                    std::vector<PlacementTarget>& aTargets)
{
  const StepSpec& spec = aCandidate.mJob->mSpec.mSteps[aCandidate.mStep];
  TaskRequirements requirements;
  requirements.mResources = ReservedResources(spec);
  requirements.mRequiredLabel = spec.mRequiredLabel;
  PlacementTarget* best = nullptr;
  for (PlacementTarget& target : aTargets) {
    bool full =
      spec.mMaxPerWorker > 0 && target.mStepTasks >= spec.mMaxPerWorker;
    bool fits =
      FitsWhenEmpty(std::span<const PlacementTarget>(&target, 1), requirements);
    bool better = best == nullptr ||
                  target.mCapacity.mCpuMillis - target.mReserved.mCpuMillis >
                    best->mCapacity.mCpuMillis - best->mReserved.mCpuMillis;
    if (!target.mUnschedulable && !full && fits && better) {
      best = &target;
    }
  }
  if (best != nullptr) {
    best->mUnschedulable = true;
  }
}

// Places the idle tasks of a step; true if all were placed. A gang is placed as
// a whole or not at all.
bool
Cell::PlaceStep(const Candidate& aCandidate,
                std::vector<PlacementTarget>& aTargets,
                std::span<CellWorker* const> aWorkers,
                TimePoint aNow,
                std::vector<CellOrder>& aOrders)
{
  CellJob& job = *aCandidate.mJob;
  const StepSpec& spec = job.mSpec.mSteps[aCandidate.mStep];
  StepRecord& step = job.mOccurrences.find(aCandidate.mOccurrence)
                       ->second.mSteps[aCandidate.mStep];
  const QueueConfig* queue = QueueOf(job);
  bool needsAdvice = queue->mAdvice.has_value();
  if (needsAdvice && aNow > step.mTicketExpiry) {
    step.mTickets.clear();
  }
  if (spec.mGang && step.mActiveTasks > 0) {
    return false;
  }
  TaskRequirements requirements;
  requirements.mResources = ReservedResources(spec);
  requirements.mRequiredLabel = spec.mRequiredLabel;
  requirements.mPreferredRack = spec.mPreferredRack;
  requirements.mMaxPerWorker = spec.mMaxPerWorker;

  std::map<std::string_view, std::uint32_t> tasksByWorker;
  std::string_view rack = spec.mPreferredRack;
  for (const TaskRecord& task : step.mTasks) {
    if (task.mStage == TaskStage::Active) {
      ++tasksByWorker[task.mWorker];
    }
  }
  for (PlacementTarget& target : aTargets) {
    auto it = tasksByWorker.find(target.mId);
    target.mStepTasks = it == tasksByWorker.end() ? 0 : it->second;
    if (spec.mSameRack && rack.empty() && target.mStepTasks > 0) {
      rack = target.mRack;
    }
  }
  std::vector<std::pair<std::uint32_t, std::size_t>> placed;
  std::vector<bool> unschedulable;
  unschedulable.reserve(aTargets.size());
  for (PlacementTarget& target : aTargets) {
    unschedulable.push_back(target.mUnschedulable);
    target.mUnschedulable =
      target.mUnschedulable ||
      (needsAdvice && !step.mTickets.contains(target.mId));
  }
  bool allPlaced = true;
  std::uint64_t firstRun = (mTerm - job.mAcceptedTerm) * kMaxRunsPerTerm;
  std::uint32_t starts = step.mGangStarts;
  for (std::uint32_t i = 0; i < step.mTasks.size(); ++i) {
    const TaskRecord& task = step.mTasks[i];
    if (task.mStage != TaskStage::Idle) {
      continue;
    }
    if (aNow < task.mNotBefore) {
      allPlaced = false;
      continue;
    }
    requirements.mAvoidedWorker = task.mLastFailedWorker;
    requirements.mPreferredRack = rack;
    TaskId id{ job.mId, aCandidate.mOccurrence, aCandidate.mStep, i };
    // The members of a gang can't be kept apart.
    bool suspect = task.mCrashes > 0 && !spec.mGang;
    requirements.mSpread = suspect;
    std::vector<std::size_t> occupied;
    for (std::size_t w = 0; suspect && w < aTargets.size(); ++w) {
      bool taken =
        !MayHostSuspect(*aWorkers[w], task.mCrashes) ||
        std::any_of(placed.begin(), placed.end(), [&](const auto& aPlaced) {
          return aPlaced.second == w;
        });
      if (taken && !aTargets[w].mUnschedulable) {
        occupied.push_back(w);
        aTargets[w].mUnschedulable = true;
      }
    }
    std::optional<std::size_t> chosen = PickWorker(aTargets, requirements);
    // An earlier run of the task may be on the worker, still being stopped.
    while (chosen && aWorkers[*chosen]->mRuns.contains(id)) {
      occupied.push_back(*chosen);
      aTargets[*chosen].mUnschedulable = true;
      chosen = PickWorker(aTargets, requirements);
    }
    for (std::size_t w : occupied) {
      aTargets[w].mUnschedulable = false;
    }
    if (!chosen && suspect) {
      continue;
    }
    if (!chosen) {
      allPlaced = false;
      break;
    }
    aTargets[*chosen].mReserved += requirements.mResources;
    ++aTargets[*chosen].mStepTasks;
    if (spec.mSameRack && rack.empty()) {
      rack = aTargets[*chosen].mRack;
    }
    placed.emplace_back(i, *chosen);
  }
  for (std::size_t w = 0; w < aTargets.size(); ++w) {
    aTargets[w].mUnschedulable = unschedulable[w];
  }
  if (spec.mGang && !allPlaced) {
    for (auto [index, target] : placed) {
      aTargets[target].mReserved -= requirements.mResources;
    }
    return false;
  }
  if (spec.mGang && !placed.empty()) {
    ++step.mGangStarts;
    ++starts;
  }
  for (auto [index, target] : placed) {
    TaskId task{ job.mId, aCandidate.mOccurrence, aCandidate.mStep, index };
    std::uint64_t run =
      firstRun + (spec.mGang ? starts : step.mTasks[index].mStarts + 1);
    StartTask(*aWorkers[target], job, task, run, aNow, aOrders);
    aTargets[target].mUnschedulable =
      aTargets[target].mUnschedulable || aWorkers[target]->mIsolatedRuns > 0;
  }
  return allPlaced;
}

// --- Stops

std::uint32_t
Cell::CountUnavailableTasks(const CellJob& aJob,
                            std::uint32_t aOccurrence,
                            std::uint32_t aStep,
                            const TaskId& aExcluded,
                            TimePoint aNow) const
{
  const StepRecord& step =
    aJob.mOccurrences.find(aOccurrence)->second.mSteps[aStep];
  std::uint32_t unavailable = 0;
  for (std::uint32_t i = 0; i < step.mTasks.size(); ++i) {
    TaskId task{ aJob.mId, aOccurrence, aStep, i };
    if (task == aExcluded) {
      continue;
    }
    bool available = false;
    auto worker = mWorkers.find(step.mTasks[i].mWorker);
    // The runs of a worker that doesn't answer, or that has restarted, may be
    // gone.
    bool alive = worker != mWorkers.end() && worker->second.mTokenAccepted &&
                 worker->second.mMissedAnswers == 0 &&
                 aNow - worker->second.mLastAnswerAt < kLivenessTimeout;
    if (step.mTasks[i].mStage == TaskStage::Active && alive) {
      auto run = worker->second.mRuns.find(task);
      available = run != worker->second.mRuns.end() &&
                  run->second.mStage == ActiveRun::Stage::Running &&
                  run->second.mRatePercent >= kFullRatePercent;
    }
    unavailable += available ? 0 : 1;
  }
  return unavailable;
}

// Stops the tasks on draining workers. Long-running tasks are stopped within
// their step's limit of unavailable tasks, but at once on a worker that the
// platform drains, where they end in any case.
void
Cell::PlanEvacuation(TimePoint aNow)
{
  bool inheritedRunsKnown = InheritedRunsKnown(aNow);
  for (auto& [id, worker] : mWorkers) {
    bool draining = worker.mReport.mDraining && worker.mListed;
    if ((!worker.mDraining && !draining) || !worker.mTokenAccepted) {
      continue;
    }
    for (auto& [task, run] : worker.mRuns) {
      const CellJob* job = FindJob(task.mJob);
      if (run.mStage != ActiveRun::Stage::Running || job == nullptr ||
          !job->IsLive()) {
        continue;
      }
      const StepSpec& spec = job->mSpec.mSteps[task.mStep];
      Duration ran = aNow - run.mStageSince;
      if (spec.mLongRunning) {
        // A task of an earlier term can't be started elsewhere yet.
        bool movable = inheritedRunsKnown || !job->mInherited;
        bool mayBecomeUnavailable =
          spec.mMaxUnavailable == 0 ||
          CountUnavailableTasks(
            *job, task.mOccurrence, task.mStep, task, aNow) <
            spec.mMaxUnavailable;
        if (draining || (movable && mayBecomeUnavailable)) {
          RequestStop(run, aNow);
        }
      } else if (worker.mDraining) {
        Duration evacuationDelay = spec.mCheckpointable
                                     ? kCheckpointedEvacuationDelay
                                     : kEvacuationDelay;
        if (ran > evacuationDelay) {
          RequestStop(run, aNow);
        }
      }
    }
  }
}

void
Cell::PlanStops(TimePoint aNow, std::vector<CellOrder>& aOrders)
{
  for (auto& [id, worker] : mWorkers) {
    for (auto& [task, run] : worker.mRuns) {
      if (run.mStage != ActiveRun::Stage::Stopping || run.mStopAcknowledgedAt) {
        continue;
      }
      bool due = !run.mStopSent || aNow > run.mStopSentAt + kStopRetryInterval;
      if (due) {
        run.mStopSent = true;
        run.mStopSentAt = aNow;
        aOrders.push_back({ id, StopRun{ task, run.mRun, mToken } });
      }
    }
  }
}

// Best-effort runs slow down latency-sensitive runs on the same worker by
// amounts that change within seconds. Their rate is halved while a tail latency
// is near its target, and rises in steps while all tail latencies are low.
void
Cell::PlanRates(TimePoint aNow, std::vector<CellOrder>& aOrders)
{
  for (auto& [id, worker] : mWorkers) {
    if (!worker.mTokenAccepted ||
        aNow < worker.mRateAdjustedAt + kRateControlInterval) {
      continue;
    }
    double worstTailFraction = 0;
    bool hasBestEffort = false;
    for (const auto& [task, run] : worker.mRuns) {
      hasBestEffort = hasBestEffort || run.mBestEffort;
      if (run.mTailLatencyTarget > Duration::zero() && run.mGauge) {
        worstTailFraction = std::max(
          worstTailFraction,
          *run.mGauge / static_cast<double>(ToMillis(run.mTailLatencyTarget)));
      }
    }
    if (!hasBestEffort) {
      continue;
    }
    worker.mRateAdjustedAt = aNow;
    for (auto& [task, run] : worker.mRuns) {
      if (!run.mBestEffort || run.mStage != ActiveRun::Stage::Running) {
        continue;
      }
      int targetPercent = run.mTargetRatePercent;
      if (worstTailFraction > kSlowDownTailFraction) {
        targetPercent = targetPercent > 10 ? targetPercent / 2 : 0;
      } else if (worstTailFraction < kSpeedUpTailFraction) {
        targetPercent =
          std::min(targetPercent + kRateStepPercent, kFullRatePercent);
      }
      if (targetPercent != run.mTargetRatePercent) {
        run.mTargetRatePercent = targetPercent;
        aOrders.push_back(
          { id, ThrottleRun{ task, run.mRun, targetPercent, mToken } });
      }
    }
  }
}

} // namespace buckthornshunt
