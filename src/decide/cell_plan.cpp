#include "decide/cell.h"

#include <algorithm>
#include <tuple>

namespace buckthornshunt {

namespace {

/// Run numbers of a task in one term; later terms use higher ones.
constexpr std::uint64_t kMaxRunsPerTerm = 1000;
constexpr Duration kStopRetryInterval = std::chrono::milliseconds(700);
/// Sizes of tasks without room after which a planning pass ends.
constexpr int kMaxUnplacedSizes = 40;
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
/// Time after which the stops that an earlier owner ordered have ended and are
/// listed; workers list a run as present while it stops.
constexpr Duration kInheritedStopTime = std::chrono::milliseconds(1500);
/// A worker that answered within this time is alive; renewals wait at most half
/// as long.
constexpr Duration kLivenessTimeout = std::chrono::seconds(3);
/// Run time before a task is stopped on a draining worker: short for tasks with
/// checkpoints, else close to the time allowed for emptying the worker.
constexpr Duration kCheckpointedEvacuationDelay =
  std::chrono::milliseconds(600);
constexpr Duration kEvacuationDelay = std::chrono::seconds(4);

/// Time that a suspect waits for a worker without other short tasks, and the
/// share of the workers that suspects may have to themselves.
constexpr Duration kMaxIsolationWait = std::chrono::milliseconds(1500);
constexpr std::size_t kWorkersPerIsolated = 4;

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
  /// As FairShare::Rank.
  int mRank = 0;
  TimePoint mLatestStart;
  CellJob* mJob = nullptr;
  std::uint32_t mOccurrence = 0;
  std::uint32_t mStep = 0;

  friend bool operator<(const Candidate& aLeft, const Candidate& aRight)
  {
    return std::tie(
             aLeft.mUrgency, aLeft.mPriority, aLeft.mRank, aLeft.mLatestStart) <
           std::tie(aRight.mUrgency,
                    aRight.mPriority,
                    aRight.mRank,
                    aRight.mLatestStart);
  }
};

namespace {

TaskRequirements
RequirementsOf(const StepSpec& aSpec)
{
  TaskRequirements requirements;
  requirements.mResources = ReservedResources(aSpec);
  requirements.mRequiredLabel = aSpec.mRequiredLabel;
  requirements.mPreferredRack = aSpec.mPreferredRack;
  requirements.mMaxPerWorker = aSpec.mMaxPerWorker;
  return requirements;
}

/// Detects steps that can't be placed in the rest of a planning pass, so that
/// neither a full pool nor steps that no worker can ever run cost a search of
/// the workers for each of their tasks. Free capacity only shrinks within a
/// pass, so that what it has measured stays an upper bound.
class RoomFilter
{
public:
  explicit RoomFilter(std::span<const PlacementTarget> aTargets)
    : mTargets(aTargets)
  {
  }

  bool CannotFit(const StepSpec& aSpec)
  {
    TaskRequirements requirements = RequirementsOf(aSpec);
    if (aSpec.mLongRunning) {
      // One that could fit is tried, since failing reserves a worker for it.
      return std::none_of(mTargets.begin(), mTargets.end(), [&](auto& aTarget) {
        return FitsBesideLongRunning(aTarget, requirements);
      });
    }
    const Resources& need = requirements.mResources;
    const Resources& free = LargestFree(aSpec.mRequiredLabel);
    if (need.mCpuMillis > free.mCpuMillis || need.mMemoryMb > free.mMemoryMb ||
        need.mGpus > free.mGpus) {
      return true;
    }
    if (aSpec.mGang) {
      return CountSlots(mTargets, requirements, aSpec.mTaskCount) <
             aSpec.mTaskCount;
    }
    return std::any_of(mFailed.begin(), mFailed.end(), [&](const auto& aSize) {
      return aSize.first == aSpec.mRequiredLabel &&
             Fits(need, Resources{}, aSize.second);
    });
  }

  void RecordFailure(const StepSpec& aSpec)
  {
    if (!aSpec.mGang && !aSpec.mLongRunning) {
      mFailed.emplace_back(aSpec.mRequiredLabel, ReservedResources(aSpec));
      mFree.erase(aSpec.mRequiredLabel);
    }
  }

  std::size_t FailedSizes() const { return mFailed.size(); }

private:
  // The largest free amount of each resource, on any worker with the label.
  const Resources& LargestFree(std::string_view aLabel)
  {
    auto [it, added] = mFree.try_emplace(aLabel, Resources{ -1, -1, -1 });
    if (!added) {
      return it->second;
    }
    Resources& largest = it->second;
    for (const PlacementTarget& target : mTargets) {
      if (target.mUnschedulable || !HasLabel(target, aLabel)) {
        continue;
      }
      Resources free = target.mCapacity;
      free -= target.mReserved;
      largest.mCpuMillis = std::max(largest.mCpuMillis, free.mCpuMillis);
      largest.mMemoryMb = std::max(largest.mMemoryMb, free.mMemoryMb);
      largest.mGpus = std::max(largest.mGpus, free.mGpus);
    }
    return largest;
  }

  std::span<const PlacementTarget> mTargets;
  /// By required label.
  std::map<std::string_view, Resources, std::less<>> mFree;
  /// Tasks that found no room, with their required labels.
  std::vector<std::pair<std::string_view, Resources>> mFailed;
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
  UpdateInheritedHolds(aNow);
  OpenOccurrences(aWallNow);
  PlanEvacuation(aNow);
  PlanStops(aNow, orders);
  PlanRates(aNow, orders);
  PlanStarts(aNow, orders);
  RecordWaitingTasks(aNow);
  return orders;
}

// The runs of a worker that doesn't answer end with their leases.
void
Cell::ExpireLeases(TimePoint aNow)
{
  for (auto& [id, worker] : mWorkers) {
    if (!worker.mListed || worker.mMissedAnswers > 0) {
      worker.MarkLost(aNow);
    }
    if (aNow <= worker.mLeaseExpiry ||
        worker.mMissedAnswers < kMissedAnswersUntilSuspected) {
      continue;
    }
    if (aNow > worker.InheritedRunExpiry()) {
      ResolveInheritedRuns(worker, InheritedProof::LeaseExpired);
    }
    std::vector<TaskId> expired;
    std::vector<TaskId> running;
    for (const auto& [task, run] : worker.mRuns) {
      if (aNow > worker.RunExpiry(run)) {
        expired.push_back(task);
        if (run.mStage == ActiveRun::Stage::Running) {
          running.push_back(task);
        }
      }
    }
    // A worker that is cut off stays listed; one that has crashed isn't.
    if (!worker.mListed) {
      RecordCrash(worker, running, aNow);
    }
    RecordRunLoss(worker, RunLossCause::LeaseExpired, expired, aNow);
    for (const TaskId& task : expired) {
      RemoveRun(worker, task);
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
      return worker.mInheritedRunsUnknown &&
             aNow <= worker.InheritedRunExpiry();
    });
}

// The next process of a worker may be of another kind.
bool
Cell::Usable(const CellWorker& aWorker, TimePoint aNow) const
{
  return aWorker.mListed && aWorker.IsReportCurrent() &&
         aWorker.mTokenAccepted && aWorker.mPersisted &&
         !aWorker.mReport.mDraining && !aWorker.mDraining &&
         aWorker.mMissedAnswers < kMissedAnswersUntilSuspected &&
         aNow >= aWorker.mAvoidUntil;
}

namespace {

bool
HasShortRuns(const CellWorker& aWorker)
{
  return std::any_of(
    aWorker.mRuns.begin(), aWorker.mRuns.end(), [](const auto& aEntry) {
      return !aEntry.second.mLongRunning;
    });
}

bool
HasSuspects(const CellWorker& aWorker)
{
  return std::any_of(
    aWorker.mRuns.begin(), aWorker.mRuns.end(), [](const auto& aEntry) {
      return !aEntry.second.mLongRunning && aEntry.second.mEarlierCrashes > 0;
    });
}

} // namespace

// The short runs of the emptiest worker end before those of any other, so that
// a suspect gets a worker of its own soon.
void
Cell::ReserveForIsolation(const TaskRequirements& aRequirements,
                          std::vector<PlacementTarget>& aTargets)
{
  if (mIsolationSlots == 0) {
    return;
  }
  PlacementTarget* emptiest = nullptr;
  for (PlacementTarget& target : aTargets) {
    auto shortCores = [](const PlacementTarget& aTarget) {
      return aTarget.mReserved.mCpuMillis - aTarget.mLongRunning.mCpuMillis;
    };
    bool fits = !target.mUnschedulable &&
                target.mId != aRequirements.mAvoidedWorker &&
                FitsBesideLongRunning(target, aRequirements);
    if (fits &&
        (emptiest == nullptr || shortCores(target) < shortCores(*emptiest))) {
      emptiest = &target;
    }
  }
  if (emptiest != nullptr) {
    emptiest->mUnschedulable = true;
    --mIsolationSlots;
  }
}

std::size_t
Cell::CountIsolationSlots(TimePoint aNow) const
{
  std::size_t usable = 0;
  std::size_t isolated = 0;
  for (const auto& [id, worker] : mWorkers) {
    usable += Usable(worker, aNow) ? 1 : 0;
    isolated += worker.mIsolatedRuns > 0 ? 1 : 0;
  }
  std::size_t slots = std::max<std::size_t>(usable / kWorkersPerIsolated, 1);
  return usable > 1 && slots > isolated ? slots - isolated : 0;
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
                        worker.mLongRunning,
                        !Usable(worker, aNow) || worker.mIsolatedRuns > 0,
                        0 });
  }
  return targets;
}

void
Cell::CollectCandidates(TimePoint aNow, std::vector<Candidate>& aOut)
{
  bool inheritedRunsKnown = InheritedRunsKnown(aNow);
  AdvanceFairShare(aNow);
  for (const std::string& id : mLiveJobs) {
    CellJob& job = mJobs.find(id)->second;
    const QueueConfig* queue = QueueOf(job);
    if (!job.mStored) {
      AddQuotaNeed(job);
    }
    // A job stays in the cell that accepted it, even if its queue now uses
    // another pool.
    bool ready = job.mStored && queue != nullptr &&
                 (inheritedRunsKnown || !job.mInherited);
    if (!ready) {
      continue;
    }
    // Few jobs have tasks to start, and these values are costly.
    std::optional<Duration> objective;
    for (auto& [number, occurrence] : job.mOccurrences) {
      std::optional<Duration> chain;
      for (std::uint32_t s = 0; s < occurrence.mSteps.size(); ++s) {
        const StepRecord& step = occurrence.mSteps[s];
        bool hasIdleTasks =
          step.mDoneTasks + step.mActiveTasks < step.mTasks.size();
        if (!hasIdleTasks || !IsStepReady(job.mSpec, occurrence, s)) {
          continue;
        }
        if (!objective) {
          objective = ObjectiveOf(job.mQueue, job.mSpec);
        }
        if (!chain) {
          chain =
            RemainingCriticalPath(job.mSpec, &occurrence, ModelOf(job.mQueue));
        }
        Candidate candidate;
        candidate.mPriority = queue->mPriority;
        candidate.mRank = mFairShare.IsActive() && !job.mOrganisation.empty()
                            ? mFairShare.Rank(job.mFairTag, mSharedCores)
                            : 0;
        candidate.mLatestStart = job.mFirstSeen + *objective - *chain;
        candidate.mJob = &job;
        candidate.mOccurrence = number;
        candidate.mStep = s;
        const StepSpec& spec = job.mSpec.mSteps[s];
        if (spec.mBestEffort) {
          candidate.mUrgency = Urgency::BestEffort;
        } else if (spec.mLongRunning) {
          candidate.mUrgency = Urgency::LongRunning;
        } else if (aNow > job.mFirstSeen + kOverdueFactor * *objective) {
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
  mQuotaUse.clear();
  CollectCandidates(aNow, candidates);
  if (!candidates.empty()) {
    PlaceCandidates(candidates, aNow, aOrders);
  }
}

void
Cell::PlaceCandidates(std::span<const Candidate> aCandidates,
                      TimePoint aNow,
                      std::vector<CellOrder>& aOrders)
{
  std::vector<CellWorker*> workers;
  std::vector<PlacementTarget> targets = PlacementTargets(aNow, workers);
  RoomFilter room(targets);
  mIsolationSlots = CountIsolationSlots(aNow);
  for (const Candidate& candidate : aCandidates) {
    const StepSpec& spec = candidate.mJob->mSpec.mSteps[candidate.mStep];
    if (room.CannotFit(spec)) {
      continue;
    }
    Placement placement = PlaceStep(candidate, targets, workers, aNow, aOrders);
    if (placement == Placement::NoRoom) {
      room.RecordFailure(spec);
    }
    bool waits =
      placement == Placement::Waiting || placement == Placement::NoRoom;
    if (waits && spec.mLongRunning) {
      ReserveTarget(candidate, targets);
    }
    if (placement == Placement::OverQuota) {
      ++mQuotaWaits;
      AddQuotaNeed(candidate, targets);
    }
    if (room.FailedSizes() > kMaxUnplacedSizes) {
      return;
    }
  }
}

// Tasks that wait for a grant only. Others couldn't start with it either.
void
Cell::AddQuotaNeed(const Candidate& aCandidate,
                   std::span<const PlacementTarget> aTargets)
{
  const CellJob& job = *aCandidate.mJob;
  const StepSpec& spec = job.mSpec.mSteps[aCandidate.mStep];
  const StepRecord& step = job.mOccurrences.find(aCandidate.mOccurrence)
                             ->second.mSteps[aCandidate.mStep];
  auto idle = static_cast<std::uint32_t>(step.mTasks.size()) - step.mDoneTasks -
              step.mActiveTasks;
  std::uint32_t slots = CountSlots(aTargets, RequirementsOf(spec), idle);
  std::uint32_t least = spec.mGang ? idle : 1;
  if (slots < least) {
    return;
  }
  auto times = [&](std::uint32_t aCount) {
    const Resources& task = spec.mTaskResources;
    return Resources{ task.mCpuMillis * aCount,
                      task.mMemoryMb * aCount,
                      task.mGpus * aCount };
  };
  QuotaUse& use = mQuotaUse[job.mOrganisation];
  if (use.mNextTask == Resources{}) {
    use.mNextTask = times(least);
  }
  use.mNeeded += times(slots);
}

void
Cell::StartTask(CellWorker& aWorker,
                CellJob& aJob,
                const TaskId& aTask,
                std::uint64_t aRun,
                bool aIsolated,
                TimePoint aNow,
                std::vector<CellOrder>& aOrders)
{
  const StepSpec& spec = aJob.mSpec.mSteps[aTask.mStep];
  StepRecord& step =
    aJob.mOccurrences.find(aTask.mOccurrence)->second.mSteps[aTask.mStep];
  TaskRecord& task = step.mTasks[aTask.mIndex];
  task.mStage = TaskStage::Active;
  task.mWorker = aWorker.mReport.mId;
  task.mAwaitsIsolationSince.reset();
  ++task.mStarts;
  ++step.mActiveTasks;
  aJob.mStarted = true;

  ActiveRun run;
  run.mRun = aRun;
  run.mStartInFlight = true;
  run.mStageSince = aNow;
  run.mStartedAt = aNow;
  run.mReserved = ReservedResources(spec);
  run.mOrganisation = aJob.mOrganisation;
  run.mHeld = spec.mTaskResources;
  run.mImage = ImageToWatch(spec);
  run.mBestEffort = spec.mBestEffort;
  run.mLongRunning = spec.mLongRunning;
  run.mEarlierCrashes = task.mCrashes;
  run.mIsolated = aIsolated;
  run.mTailLatencyTarget = spec.mTailLatencyTarget;
  run.mExpectedRunTime =
    ExpectedRunTime(ModelOf(aJob.mQueue), spec.mEstimatedRunTime);
  AddRun(aWorker, aTask, run);

  StartRun start;
  start.mTask = aTask;
  start.mRun = aRun;
  start.mPayload = aJob.mSpec.mPayload;
  start.mLeaseExpiry = GrantLease(aWorker, aNow);
  start.mToken = TokenFor(aWorker);
  if (spec.mCheckpointable) {
    start.mCheckpoint = task.mCheckpoint;
  }
  auto ticket = step.mTickets.find(aWorker.mReport.mId);
  if (ticket != step.mTickets.end()) {
    start.mTicket = ticket->second.mText;
  }
  aOrders.push_back({ aWorker.mReport.mId, std::move(start) });
}

// A ticket is valid during one life of its worker. Once none is left, advice is
// asked for again.
void
Cell::RemoveStaleTickets(StepRecord& aStep, TimePoint aNow) const
{
  bool expired = aNow > aStep.mTicketExpiry;
  std::erase_if(aStep.mTickets, [&](const auto& aEntry) {
    auto worker = mWorkers.find(aEntry.first);
    return expired || worker == mWorkers.end() ||
           worker->second.LatestIncarnation() != aEntry.second.mIncarnation;
  });
}

// In a full pool, short tasks take all capacity as it becomes free, which
// starves a larger long-running task. The worker with the most free capacity is
// reserved for it until it fits.
void
Cell::ReserveTarget(const Candidate& aCandidate,
                    std::vector<PlacementTarget>& aTargets)
{
  const StepSpec& spec = aCandidate.mJob->mSpec.mSteps[aCandidate.mStep];
  TaskRequirements requirements = RequirementsOf(spec);
  PlacementTarget* best = nullptr;
  for (PlacementTarget& target : aTargets) {
    bool full =
      spec.mMaxPerWorker > 0 && target.mStepTasks >= spec.mMaxPerWorker;
    bool fits = FitsBesideLongRunning(target, requirements);
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

// A gang is placed as a whole or not at all.
Cell::Placement
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
  if (needsAdvice) {
    RemoveStaleTickets(step, aNow);
  }
  bool anyDue =
    std::any_of(step.mTasks.begin(), step.mTasks.end(), [&](auto& aTask) {
      return aTask.mStage == TaskStage::Idle && aNow >= aTask.mNotBefore;
    });
  if (!anyDue || (spec.mGang && step.mActiveTasks > 0) ||
      (needsAdvice && step.mTickets.empty())) {
    return Placement::Waiting;
  }
  TaskRequirements requirements = RequirementsOf(spec);

  std::string_view rack = spec.mPreferredRack;
  // Of other steps it doesn't matter where their tasks are.
  if (spec.mMaxPerWorker > 0 || spec.mSameRack) {
    std::map<std::string_view, std::uint32_t> tasksByWorker;
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
  }
  struct PlacedTask
  {
    std::uint32_t mIndex;
    std::size_t mTarget;
    bool mIsolated;
  };
  std::vector<PlacedTask> placed;
  // Chooses among the workers for which aExcludes doesn't hold.
  auto pick = [&](const TaskId& aTask, auto aExcludes) {
    std::vector<std::size_t> excluded;
    auto exclude = [&](std::size_t aTarget) {
      excluded.push_back(aTarget);
      aTargets[aTarget].mUnschedulable = true;
    };
    for (std::size_t w = 0; w < aTargets.size(); ++w) {
      if (!aTargets[w].mUnschedulable && aExcludes(w)) {
        exclude(w);
      }
    }
    std::optional<std::size_t> chosen = PickWorker(aTargets, requirements);
    // An earlier run of the task may be on the worker, still being stopped.
    while (chosen && aWorkers[*chosen]->mRuns.contains(aTask)) {
      exclude(*chosen);
      chosen = PickWorker(aTargets, requirements);
    }
    for (std::size_t w : excluded) {
      aTargets[w].mUnschedulable = false;
    }
    return chosen;
  };
  auto isPlacedOn = [&](std::size_t aTarget) {
    return std::any_of(placed.begin(), placed.end(), [&](const auto& aPlaced) {
      return aPlaced.mTarget == aTarget;
    });
  };
  std::vector<std::size_t> withoutTicket;
  for (std::size_t w = 0; needsAdvice && w < aTargets.size(); ++w) {
    if (!aTargets[w].mUnschedulable &&
        !step.mTickets.contains(aTargets[w].mId)) {
      withoutTicket.push_back(w);
      aTargets[w].mUnschedulable = true;
    }
  }
  bool mayInterfere = mTimes.mSeparateInterference &&
                      !ImageToWatch(spec).empty() && mInterference.Any(aNow);
  for (std::size_t w = 0; w < aTargets.size(); ++w) {
    aTargets[w].mInterferes =
      mayInterfere && HasInterferingNeighbour(*aWorkers[w], spec, aNow);
  }
  const Resources* maximum = mQuotas.MaximumOf(job.mOrganisation);
  Resources allowance;
  Resources held;
  if (maximum != nullptr) {
    allowance = mQuotas.Allowance(job.mOrganisation);
    held = HeldBy(job.mOrganisation);
  }
  Placement result = Placement::AllPlaced;
  std::uint64_t firstRun = (mTerm - job.mAcceptedTerm) * kMaxRunsPerTerm;
  std::uint32_t starts = step.mGangStarts;
  for (std::uint32_t i = 0; i < step.mTasks.size(); ++i) {
    TaskRecord& task = step.mTasks[i];
    if (task.mStage != TaskStage::Idle) {
      continue;
    }
    if (aNow < task.mNotBefore) {
      result = Placement::Waiting;
      continue;
    }
    if (maximum != nullptr &&
        !FitsAllowance(*maximum, allowance, held, spec.mTaskResources)) {
      result = Placement::OverQuota;
      break;
    }
    requirements.mAvoidedWorker = task.mLastFailedWorker;
    requirements.mPreferredRack = rack;
    TaskId id{ job.mId, aCandidate.mOccurrence, aCandidate.mStep, i };
    // The members of a gang can't be kept apart.
    bool suspect = task.mCrashes > 0 && !spec.mGang;
    requirements.mSpread = suspect;
    bool isolate = suspect && task.mCrashes >= kCrashesUntilIsolated;
    std::optional<std::size_t> chosen;
    bool isolated = false;
    if (isolate && mIsolationSlots > 0) {
      chosen = pick(id, [&](std::size_t aTarget) {
        return HasShortRuns(*aWorkers[aTarget]) || isPlacedOn(aTarget);
      });
      isolated = chosen.has_value();
      mIsolationSlots -= isolated ? 1 : 0;
    }
    if (isolate && !isolated && aWorkers.size() > 1) {
      task.mAwaitsIsolationSince = task.mAwaitsIsolationSince.value_or(aNow);
      if (aNow < *task.mAwaitsIsolationSince + kMaxIsolationWait) {
        ReserveForIsolation(requirements, aTargets);
        continue;
      }
    }
    if (!chosen && suspect) {
      chosen = pick(id, [&](std::size_t aTarget) {
        return HasSuspects(*aWorkers[aTarget]) || isPlacedOn(aTarget);
      });
    }
    if (!chosen) {
      chosen = pick(id, [](std::size_t) { return false; });
    }
    if (!chosen) {
      result = Placement::NoRoom;
      break;
    }
    aTargets[*chosen].mReserved += requirements.mResources;
    aTargets[*chosen].mUnschedulable = isolated;
    if (spec.mLongRunning) {
      aTargets[*chosen].mLongRunning += requirements.mResources;
    }
    ++aTargets[*chosen].mStepTasks;
    held += spec.mTaskResources;
    if (spec.mSameRack && rack.empty()) {
      rack = aTargets[*chosen].mRack;
    }
    placed.push_back({ i, *chosen, isolated });
  }
  for (std::size_t w : withoutTicket) {
    aTargets[w].mUnschedulable = false;
  }
  if (spec.mGang && result != Placement::AllPlaced) {
    for (auto [index, target, isolated] : placed) {
      aTargets[target].mReserved -= requirements.mResources;
      if (spec.mLongRunning) {
        aTargets[target].mLongRunning -= requirements.mResources;
      }
    }
    return result;
  }
  if (spec.mGang && !placed.empty()) {
    ++step.mGangStarts;
    ++starts;
  }
  for (auto [index, target, isolated] : placed) {
    TaskId task{ job.mId, aCandidate.mOccurrence, aCandidate.mStep, index };
    std::uint64_t run =
      firstRun + (spec.mGang ? starts : step.mTasks[index].mStarts + 1);
    StartTask(*aWorkers[target], job, task, run, isolated, aNow, aOrders);
    aTargets[target].mUnschedulable =
      aTargets[target].mUnschedulable || aWorkers[target]->mIsolatedRuns > 0;
  }
  // Others may have room where the step's own limits or tickets leave none.
  TaskRequirements unlimited = requirements;
  unlimited.mMaxPerWorker = 0;
  if (result == Placement::NoRoom && PickWorker(aTargets, unlimited)) {
    return Placement::Waiting;
  }
  return result;
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

namespace {

/// Places long-running tasks on the workers of a pool as if they ran no others,
/// which end by themselves, and on additional workers.
class LongRunningPacker
{
public:
  explicit LongRunningPacker(std::vector<PlacementTarget> aTargets)
    : mTargets(std::move(aTargets))
  {
  }

  /// Sets the worker that additional ones equal.
  void SetModel(const PlacementTarget& aModel) { mModel = aModel; }

  /// Begins a step whose tasks run on the listed workers.
  void BeginStep(const StepSpec& aSpec,
                 const std::map<std::string_view, std::uint32_t>& aActive)
  {
    mRequirements = RequirementsOf(aSpec);
    for (PlacementTarget& target : mTargets) {
      auto it = aActive.find(target.mId);
      target.mStepTasks = it == aActive.end() ? 0 : it->second;
    }
    for (PlacementTarget& target : mAdded) {
      target.mStepTasks = 0;
    }
  }

  /// Worker that has room for a task of the step; empty if none has.
  std::string_view Place()
  {
    if (auto index = PickWorker(mTargets, mRequirements)) {
      Reserve(mTargets[*index]);
      return mTargets[*index].mId;
    }
    auto index = PickWorker(mAdded, mRequirements);
    if (!index && mModel && PickWorker({ &*mModel, 1 }, mRequirements)) {
      mAdded.push_back(*mModel);
      index = mAdded.size() - 1;
    }
    if (index) {
      Reserve(mAdded[*index]);
    }
    return {};
  }

  std::size_t AddedWorkers() const { return mAdded.size(); }

private:
  void Reserve(PlacementTarget& aTarget)
  {
    aTarget.mReserved += mRequirements.mResources;
    ++aTarget.mStepTasks;
  }

  std::vector<PlacementTarget> mTargets;
  std::vector<PlacementTarget> mAdded;
  std::optional<PlacementTarget> mModel;
  TaskRequirements mRequirements;
};

} // namespace

// Tasks without a worker come before those that still run on a draining one.
// While the runs of an earlier owner aren't known, neither are the tasks
// without a worker.
Cell::LongRunningRoom
Cell::FindLongRunningRoom(TimePoint aNow) const
{
  struct Homeless
  {
    const StepSpec* mSpec;
    const StepRecord* mStep;
    std::vector<TaskId> mIdle;
    std::vector<TaskId> mLeaving;
  };
  auto isLeaving = [&](const TaskRecord& aTask) {
    auto worker = mWorkers.find(aTask.mWorker);
    return aTask.mStage == TaskStage::Active && worker != mWorkers.end() &&
           (worker->second.mDraining || worker->second.mReport.mDraining);
  };
  std::vector<Homeless> steps;
  for (const std::string& id : mLiveJobs) {
    const CellJob& job = mJobs.find(id)->second;
    if (!job.mStored) {
      continue;
    }
    for (const auto& [number, occurrence] : job.mOccurrences) {
      for (std::uint32_t s = 0; s < occurrence.mSteps.size(); ++s) {
        const StepSpec& spec = job.mSpec.mSteps[s];
        const StepRecord& step = occurrence.mSteps[s];
        if (!spec.mLongRunning || !IsStepReady(job.mSpec, occurrence, s)) {
          continue;
        }
        Homeless homeless{ &spec, &step, {}, {} };
        for (std::uint32_t i = 0; i < step.mTasks.size(); ++i) {
          if (step.mTasks[i].mStage == TaskStage::Idle) {
            homeless.mIdle.push_back({ id, number, s, i });
          } else if (isLeaving(step.mTasks[i])) {
            homeless.mLeaving.push_back({ id, number, s, i });
          }
        }
        if (!homeless.mIdle.empty() || !homeless.mLeaving.empty()) {
          steps.push_back(std::move(homeless));
        }
      }
    }
  }
  LongRunningRoom room;
  if (steps.empty() || !InheritedRunsKnown(aNow)) {
    return room;
  }
  std::vector<PlacementTarget> targets;
  std::optional<PlacementTarget> model;
  for (const auto& [id, worker] : mWorkers) {
    const WorkerReport& report = worker.mReport;
    PlacementTarget target{ id,
                            report.mRack,
                            report.mLabels,
                            report.mCapacity,
                            worker.mLongRunning,
                            worker.mLongRunning,
                            false,
                            0 };
    if (Usable(worker, aNow)) {
      targets.push_back(target);
    }
    if (worker.mListed &&
        (!model || target.mCapacity.mMemoryMb > model->mCapacity.mMemoryMb)) {
      target.mReserved = {};
      model = target;
    }
  }
  LongRunningPacker packer(std::move(targets));
  if (model) {
    packer.SetModel(*model);
  }
  for (bool leaving : { false, true }) {
    for (const Homeless& homeless : steps) {
      const std::vector<TaskId>& tasks =
        leaving ? homeless.mLeaving : homeless.mIdle;
      std::map<std::string_view, std::uint32_t> active;
      for (const TaskRecord& task : homeless.mStep->mTasks) {
        if (!tasks.empty() && task.mStage == TaskStage::Active) {
          ++active[task.mWorker];
        }
      }
      packer.BeginStep(*homeless.mSpec, active);
      for (const TaskId& task : tasks) {
        std::string_view worker = packer.Place();
        if (worker.empty()) {
          continue;
        }
        ++room.mExpectedRuns[worker];
        if (leaving) {
          room.mMovable.insert(task);
        }
      }
    }
  }
  room.mMissingWorkers = static_cast<std::uint32_t>(packer.AddedWorkers());
  return room;
}

// Stops the tasks on draining workers. Long-running tasks are stopped if they
// can run elsewhere, and within their step's limit of unavailable tasks, but at
// once on a worker that the platform drains, where they end in any case. A task
// that is stopped without room elsewhere would be away for as long as the
// worker drains, and would keep its step's other tasks there.
void
Cell::PlanEvacuation(TimePoint aNow)
{
  bool evacuates =
    std::any_of(mWorkers.begin(), mWorkers.end(), [](const auto& aEntry) {
      const CellWorker& worker = aEntry.second;
      return worker.mDraining && worker.mTokenAccepted && !worker.mRuns.empty();
    });
  LongRunningRoom room;
  if (evacuates) {
    room = FindLongRunningRoom(aNow);
  }
  bool inheritedRunsKnown = InheritedRunsKnown(aNow);
  for (auto& [id, worker] : mWorkers) {
    bool draining =
      worker.mReport.mDraining && worker.mListed && worker.IsReportCurrent();
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
        bool stopsKnown =
          inheritedRunsKnown && aNow >= mTakenOver + kInheritedStopTime;
        bool movable =
          (stopsKnown || !job->mInherited) && room.mMovable.contains(task);
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
        aOrders.push_back({ id, StopRun{ task, run.mRun, TokenFor(worker) } });
      }
    }
  }
}

namespace {

double
TailFraction(const ActiveRun& aRun)
{
  return *aRun.mGauge / static_cast<double>(ToMillis(aRun.mTailLatencyTarget));
}

bool
HasTail(const ActiveRun& aRun)
{
  return aRun.mTailLatencyTarget > Duration::zero() && aRun.mGauge &&
         aRun.mStage == ActiveRun::Stage::Running;
}

} // namespace

// --- Interference

void
Cell::RecordTails(const CellWorker& aWorker, TimePoint aNow)
{
  std::vector<BestEffortNeighbour> neighbours;
  for (const auto& [task, run] : aWorker.mRuns) {
    if (run.mBestEffort && run.mStage == ActiveRun::Stage::Running) {
      neighbours.push_back({ run.mImage, run.mRatePercent });
    }
  }
  for (const auto& [task, run] : aWorker.mRuns) {
    if (HasTail(run) && !run.mImage.empty()) {
      mInterference.Record(run.mImage, TailFraction(run), neighbours, aNow);
    }
  }
}

// Whether the worker's runs would slow down a task of the step, or be slowed
// down by it.
bool
Cell::HasInterferingNeighbour(const CellWorker& aWorker,
                              const StepSpec& aSpec,
                              TimePoint aNow) const
{
  std::string_view image = ImageToWatch(aSpec);
  return std::any_of(
    aWorker.mRuns.begin(), aWorker.mRuns.end(), [&](const auto& aEntry) {
      const ActiveRun& run = aEntry.second;
      if (run.mImage.empty() || run.mBestEffort == aSpec.mBestEffort) {
        return false;
      }
      return aSpec.mBestEffort
               ? mInterference.Interferes(run.mImage, image, aNow)
               : mInterference.Interferes(image, run.mImage, aNow);
    });
}

// While a tail latency is near its target, the best-effort runs that are known
// to cause it slow down; all of them if none is known, and once the target is
// missed.
bool
Cell::ShouldThrottle(const CellWorker& aWorker,
                     const ActiveRun& aRun,
                     TimePoint aNow) const
{
  if (!mTimes.mSeparateInterference) {
    return true;
  }
  bool anyKnown = false;
  for (const auto& [task, serving] : aWorker.mRuns) {
    if (!HasTail(serving) || TailFraction(serving) <= kSlowDownTailFraction) {
      continue;
    }
    if (TailFraction(serving) >= 1 ||
        mInterference.Interferes(serving.mImage, aRun.mImage, aNow)) {
      return true;
    }
    anyKnown =
      anyKnown ||
      std::any_of(
        aWorker.mRuns.begin(), aWorker.mRuns.end(), [&](const auto& aEntry) {
          const ActiveRun& other = aEntry.second;
          return other.mBestEffort &&
                 mInterference.Interferes(serving.mImage, other.mImage, aNow);
        });
  }
  return !anyKnown;
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
    RecordTails(worker, aNow);
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
        if (!ShouldThrottle(worker, run, aNow)) {
          continue;
        }
        targetPercent = targetPercent > 10 ? targetPercent / 2 : 0;
      } else if (worstTailFraction < kSpeedUpTailFraction) {
        targetPercent =
          std::min(targetPercent + kRateStepPercent, kFullRatePercent);
      }
      if (targetPercent != run.mTargetRatePercent || run.mRateUncertain) {
        run.mTargetRatePercent = targetPercent;
        run.mRateUncertain = false;
        aOrders.push_back(
          { id,
            ThrottleRun{ task, run.mRun, targetPercent, TokenFor(worker) } });
      }
    }
  }
}

} // namespace buckthornshunt
