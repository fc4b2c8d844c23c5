#include "decide/cell.h"

#include <algorithm>
#include <tuple>

namespace buckthornshunt {

namespace {

/// Run numbers of a term, for one task: later terms use higher ones.
constexpr std::uint64_t kRunsPerTerm = 1000;
/// A stop without an answer is sent again after this time.
constexpr Duration kStopAgain = std::chrono::milliseconds(700);
/// Steps that find no room before a pass gives up.
constexpr int kMostMisfits = 40;
/// A job earns little up to this many times its objective, then nothing.
constexpr int kLateFactor = 3;
/// Tails above this part of the target slow down what fills beside them; below
/// the second, what fills may speed up again.
constexpr double kTailHigh = 0.8;
constexpr double kTailLow = 0.5;
/// The workers' gauges cover half a second, so that is the pace of control.
constexpr Duration kPaceInterval = std::chrono::milliseconds(500);
constexpr int kFullPace = 100;
constexpr int kPaceStep = 20;
/// A worker that answered within this time is there; renewals wait at most
/// half as long.
constexpr Duration kHeardWithin = std::chrono::seconds(3);
/// Tasks that save their progress are stopped on a worker that is to be
/// emptied after this time; others when it has nearly passed.
constexpr Duration kEvacuateSaved = std::chrono::milliseconds(600);
constexpr Duration kEvacuateAll = std::chrono::seconds(4);

/// Classes of work in the order in which they get room.
enum class Urgency : std::uint8_t
{
  /// Tasks that last and are away.
  Lasting,
  /// Can still meet its objective.
  InTime,
  /// Fills what others leave.
  Filling,
  /// Can still be late.
  Late,
  /// Earns nothing any more, but was accepted.
  Overdue
};

} // namespace

struct Cell::Candidate
{
  Urgency mUrgency = Urgency::InTime;
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

/// Tells tasks that surely fit nowhere, after one has been tried in vain.
/// Answers a pool that is full while hundreds of tasks wait: the same workers
/// would be looked through for each of them.
class MisfitFilter
{
public:
  bool Hopeless(const StepSpec& aSpec) const
  {
    Resources need = ReservedBy(aSpec);
    // Tasks that last make a worker keep room for them, so each is tried.
    return mKnown && !aSpec.mLongRunning &&
           (need.mCpuMillis > mMostCpuMillis || need.mMemoryMb > mMostMemoryMb);
  }

  // Room only shrinks within a pass.
  void Note(const StepSpec& aSpec, std::span<const WorkerRoom> aRooms)
  {
    if (aSpec.mGang) {
      return;
    }
    mKnown = true;
    mMostCpuMillis = 0;
    mMostMemoryMb = 0;
    for (const WorkerRoom& room : aRooms) {
      if (!room.mClosed) {
        mMostCpuMillis = std::max(
          mMostCpuMillis, room.mCapacity.mCpuMillis - room.mUsed.mCpuMillis);
        mMostMemoryMb = std::max(
          mMostMemoryMb, room.mCapacity.mMemoryMb - room.mUsed.mMemoryMb);
      }
    }
  }

private:
  bool mKnown = false;
  std::int64_t mMostCpuMillis = 0;
  std::int64_t mMostMemoryMb = 0;
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
  PlanPaces(aNow, orders);
  PlanStarts(aNow, orders);
  return orders;
}

// A worker that hasn't answered keeps nothing after its last lease.
void
Cell::ExpireLeases(TimePoint aNow)
{
  for (auto& [id, worker] : mWorkers) {
    if (aNow <= worker.mLeaseOver || worker.mMissed < kMissesUntilSuspect) {
      continue;
    }
    worker.mInherited = false;
    while (!worker.mRuns.empty()) {
      LoseRun(worker, worker.mRuns.begin()->first);
    }
  }
}

void
Cell::OpenOccurrences(WallTime aWallNow)
{
  for (const std::string& id : mLive) {
    CellJob& job = mJobs.find(id)->second;
    for (std::uint32_t k = 0; k < job.Occurrences(); ++k) {
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

// Until every worker that an earlier owner used has answered, or its leases
// are over, a task that isn't listed may be running there.
bool
Cell::InheritedRunsSettled(TimePoint aNow) const
{
  return std::none_of(
    mWorkers.begin(), mWorkers.end(), [&](const auto& aEntry) {
      const CellWorker& worker = aEntry.second;
      return worker.mInherited && aNow <= worker.mLeaseOver;
    });
}

bool
Cell::Usable(const CellWorker& aWorker, TimePoint aNow) const
{
  return aWorker.mListed && aWorker.mContacted && aWorker.mDurable &&
         !aWorker.mReport.mDraining && !aWorker.mSealed &&
         aWorker.mMissed < kMissesUntilSuspect && aNow >= aWorker.mAvoidUntil;
}

std::vector<WorkerRoom>
Cell::Rooms(TimePoint aNow, std::vector<CellWorker*>& aWorkers)
{
  std::vector<WorkerRoom> rooms;
  rooms.reserve(mWorkers.size());
  aWorkers.reserve(mWorkers.size());
  for (auto& [id, worker] : mWorkers) {
    aWorkers.push_back(&worker);
    rooms.push_back({ id,
                      worker.mReport.mRack,
                      worker.mReport.mLabels,
                      worker.mReport.mCapacity,
                      worker.mUsed,
                      !Usable(worker, aNow),
                      0 });
  }
  return rooms;
}

void
Cell::CollectCandidates(TimePoint aNow, std::vector<Candidate>& aOut)
{
  bool settled = InheritedRunsSettled(aNow);
  for (const std::string& id : mLive) {
    CellJob& job = mJobs.find(id)->second;
    const QueueConfig* queue = QueueOf(job);
    // A job stays in the cell that accepted it, wherever its queue sends new
    // jobs now.
    bool ready =
      job.mStored && queue != nullptr && (settled || !job.mInherited);
    if (!ready) {
      continue;
    }
    Duration objective = ObjectiveOf(job.mQueue, job.mSpec);
    for (auto& [number, run] : job.mOccurrences) {
      Duration chain = RemainingChain(job.mSpec, &run, ModelOf(job.mQueue));
      for (std::uint32_t s = 0; s < run.mSteps.size(); ++s) {
        const StepRecord& step = run.mSteps[s];
        bool idle = step.mDone + step.mActive < step.mTasks.size();
        if (!idle || !StepReady(job.mSpec, run, s)) {
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
          candidate.mUrgency = Urgency::Filling;
        } else if (spec.mLongRunning) {
          candidate.mUrgency = Urgency::Lasting;
        } else if (aNow > job.mFirstSeen + kLateFactor * objective) {
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
  std::vector<WorkerRoom> rooms = Rooms(aNow, workers);
  MisfitFilter filter;
  int misfits = 0;
  for (const Candidate& candidate : candidates) {
    const StepSpec& spec = candidate.mJob->mSpec.mSteps[candidate.mStep];
    if (filter.Hopeless(spec)) {
      continue;
    }
    bool whole = PlaceStep(candidate, rooms, workers, aNow, aOrders);
    misfits += whole ? 0 : 1;
    if (!whole) {
      filter.Note(spec, rooms);
    }
    if (!whole && candidate.mUrgency == Urgency::Lasting) {
      ReserveRoom(candidate, rooms);
    }
    if (misfits > kMostMisfits) {
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
  ++step.mActive;
  aJob.mStarted = true;

  ActiveRun run;
  run.mRun = aRun;
  run.mSince = aNow;
  run.mStarted = aNow;
  run.mReserved = ReservedBy(spec);
  run.mFills = spec.mBestEffort;
  run.mLongRunning = spec.mLongRunning;
  run.mTailTarget = spec.mTailLatencyTarget;
  aWorker.mUsed += run.mReserved;
  aWorker.mRuns.insert_or_assign(aTask, run);

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

// Short tasks would take each piece of room as it comes free, so that a larger
// task that lasts never found enough on one worker while the pool is full. The
// worker with most room is left to it until it fits.
void
Cell::ReserveRoom(const Candidate& aCandidate, std::vector<WorkerRoom>& aRooms)
{
  const StepSpec& spec = aCandidate.mJob->mSpec.mSteps[aCandidate.mStep];
  TaskNeed need;
  need.mResources = ReservedBy(spec);
  need.mRequiredLabel = spec.mRequiredLabel;
  WorkerRoom* best = nullptr;
  for (WorkerRoom& room : aRooms) {
    bool full = spec.mMaxPerWorker > 0 && room.mOfStep >= spec.mMaxPerWorker;
    bool fits = CouldEverRun(std::span<const WorkerRoom>(&room, 1), need);
    bool better =
      best == nullptr || room.mCapacity.mCpuMillis - room.mUsed.mCpuMillis >
                           best->mCapacity.mCpuMillis - best->mUsed.mCpuMillis;
    if (!room.mClosed && !full && fits && better) {
      best = &room;
    }
  }
  if (best != nullptr) {
    best->mClosed = true;
  }
}

// Places the idle tasks of a step; true if all of them found room. A gang is
// placed whole or not at all.
bool
Cell::PlaceStep(const Candidate& aCandidate,
                std::vector<WorkerRoom>& aRooms,
                std::span<CellWorker* const> aWorkers,
                TimePoint aNow,
                std::vector<CellOrder>& aOrders)
{
  CellJob& job = *aCandidate.mJob;
  const StepSpec& spec = job.mSpec.mSteps[aCandidate.mStep];
  StepRecord& step = job.mOccurrences.find(aCandidate.mOccurrence)
                       ->second.mSteps[aCandidate.mStep];
  const QueueConfig* queue = QueueOf(job);
  bool advised = queue->mAdvice.has_value();
  if (advised && aNow > step.mTicketsUntil) {
    step.mTickets.clear();
  }
  if (spec.mGang && step.mActive > 0) {
    return false;
  }
  TaskNeed need;
  need.mResources = ReservedBy(spec);
  need.mRequiredLabel = spec.mRequiredLabel;
  need.mPreferredRack = spec.mPreferredRack;
  need.mMostPerWorker = spec.mMaxPerWorker;

  std::map<std::string_view, std::uint32_t> here;
  std::string_view rack = spec.mPreferredRack;
  for (const TaskRecord& task : step.mTasks) {
    if (task.mStage == TaskStage::Active) {
      ++here[task.mWorker];
    }
  }
  for (WorkerRoom& room : aRooms) {
    auto it = here.find(room.mId);
    room.mOfStep = it == here.end() ? 0 : it->second;
    if (spec.mSameRack && rack.empty() && room.mOfStep > 0) {
      rack = room.mRack;
    }
  }
  std::vector<std::pair<std::uint32_t, std::size_t>> placed;
  std::vector<bool> closed;
  closed.reserve(aRooms.size());
  for (WorkerRoom& room : aRooms) {
    closed.push_back(room.mClosed);
    room.mClosed =
      room.mClosed || (advised && !step.mTickets.contains(room.mId));
  }
  bool whole = true;
  std::uint64_t base = (mTerm - job.mAcceptedTerm) * kRunsPerTerm;
  std::uint32_t starts = step.mGangStarts;
  for (std::uint32_t i = 0; i < step.mTasks.size(); ++i) {
    const TaskRecord& task = step.mTasks[i];
    if (task.mStage != TaskStage::Idle) {
      continue;
    }
    if (aNow < task.mNotBefore) {
      whole = false;
      continue;
    }
    need.mAvoid = task.mFailedOn;
    need.mPreferredRack = rack;
    TaskId id{ job.mId, aCandidate.mOccurrence, aCandidate.mStep, i };
    std::optional<std::size_t> at = PickWorker(aRooms, need);
    // An earlier run of the task may still be there, about to be stopped.
    std::vector<std::size_t> occupied;
    while (at && aWorkers[*at]->mRuns.contains(id)) {
      occupied.push_back(*at);
      aRooms[*at].mClosed = true;
      at = PickWorker(aRooms, need);
    }
    for (std::size_t w : occupied) {
      aRooms[w].mClosed = false;
    }
    if (!at) {
      whole = false;
      break;
    }
    aRooms[*at].mUsed += need.mResources;
    ++aRooms[*at].mOfStep;
    if (spec.mSameRack && rack.empty()) {
      rack = aRooms[*at].mRack;
    }
    placed.emplace_back(i, *at);
  }
  for (std::size_t w = 0; w < aRooms.size(); ++w) {
    aRooms[w].mClosed = closed[w];
  }
  if (spec.mGang && !whole) {
    for (auto [index, room] : placed) {
      aRooms[room].mUsed -= need.mResources;
    }
    return false;
  }
  if (spec.mGang && !placed.empty()) {
    ++step.mGangStarts;
    ++starts;
  }
  for (auto [index, room] : placed) {
    TaskId task{ job.mId, aCandidate.mOccurrence, aCandidate.mStep, index };
    std::uint64_t run =
      base + (spec.mGang ? starts : step.mTasks[index].mStarts + 1);
    StartTask(*aWorkers[room], job, task, run, aNow, aOrders);
  }
  return whole;
}

// --- Stops

std::uint32_t
Cell::TasksAway(const CellJob& aJob,
                std::uint32_t aOccurrence,
                std::uint32_t aStep,
                const TaskId& aBut,
                TimePoint aNow) const
{
  const StepRecord& step =
    aJob.mOccurrences.find(aOccurrence)->second.mSteps[aStep];
  std::uint32_t away = 0;
  for (std::uint32_t i = 0; i < step.mTasks.size(); ++i) {
    TaskId task{ aJob.mId, aOccurrence, aStep, i };
    if (task == aBut) {
      continue;
    }
    bool atWork = false;
    auto worker = mWorkers.find(step.mTasks[i].mWorker);
    // What a silent worker was last seen to run may be gone.
    bool heard = worker != mWorkers.end() && worker->second.mMissed == 0 &&
                 aNow - worker->second.mLastAnswer < kHeardWithin;
    if (step.mTasks[i].mStage == TaskStage::Active && heard) {
      auto run = worker->second.mRuns.find(task);
      atWork = run != worker->second.mRuns.end() &&
               run->second.mStage == ActiveRun::Stage::Running &&
               run->second.mPercent >= kFullPace;
    }
    away += atWork ? 0 : 1;
  }
  return away;
}

// Empties workers that are about to go. Tasks that last leave one at a time,
// as far as their step may miss them; a draining worker takes them with it in
// any case, so there they leave at once.
void
Cell::PlanEvacuation(TimePoint aNow)
{
  bool settled = InheritedRunsSettled(aNow);
  for (auto& [id, worker] : mWorkers) {
    bool draining = worker.mReport.mDraining && worker.mListed;
    if ((!worker.mSealed && !draining) || !worker.mContacted) {
      continue;
    }
    for (auto& [task, run] : worker.mRuns) {
      const CellJob* job = FindJob(task.mJob);
      if (run.mStage != ActiveRun::Stage::Running || job == nullptr ||
          !job->Live()) {
        continue;
      }
      const StepSpec& spec = job->mSpec.mSteps[task.mStep];
      Duration ran = aNow - run.mSince;
      if (spec.mLongRunning) {
        // A task of an earlier term couldn't start elsewhere yet.
        bool movable = settled || !job->mInherited;
        bool mayMiss =
          spec.mMaxUnavailable == 0 ||
          TasksAway(*job, task.mOccurrence, task.mStep, task, aNow) <
            spec.mMaxUnavailable;
        if (draining || (movable && mayMiss)) {
          StopRunOn(run, aNow);
        }
      } else if (worker.mSealed) {
        Duration patience =
          spec.mCheckpointable ? kEvacuateSaved : kEvacuateAll;
        if (ran > patience) {
          StopRunOn(run, aNow);
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
      if (run.mStage != ActiveRun::Stage::Stopping || run.mStoppedAt) {
        continue;
      }
      bool due = !run.mStopSent || aNow > run.mStopSentAt + kStopAgain;
      if (due) {
        run.mStopSent = true;
        run.mStopSentAt = aNow;
        aOrders.push_back({ id, StopRun{ task, run.mRun, mToken } });
      }
    }
  }
}

// Work that fills disturbs what serves beside it by amounts that change within
// seconds. It is slowed down as soon as a tail comes near its target, halving
// each time, and speeds up in steps while all tails are low.
void
Cell::PlanPaces(TimePoint aNow, std::vector<CellOrder>& aOrders)
{
  for (auto& [id, worker] : mWorkers) {
    if (!worker.mContacted || aNow < worker.mPacedAt + kPaceInterval) {
      continue;
    }
    double worst = 0;
    bool fills = false;
    for (const auto& [task, run] : worker.mRuns) {
      fills = fills || run.mFills;
      if (run.mTailTarget > Duration::zero() && run.mGauge) {
        worst = std::max(
          worst, *run.mGauge / static_cast<double>(ToMillis(run.mTailTarget)));
      }
    }
    if (!fills) {
      continue;
    }
    worker.mPacedAt = aNow;
    for (auto& [task, run] : worker.mRuns) {
      if (!run.mFills || run.mStage != ActiveRun::Stage::Running) {
        continue;
      }
      int wanted = run.mWantedPercent;
      if (worst > kTailHigh) {
        wanted = wanted > 10 ? wanted / 2 : 0;
      } else if (worst < kTailLow) {
        wanted = std::min(wanted + kPaceStep, kFullPace);
      }
      if (wanted != run.mWantedPercent) {
        run.mWantedPercent = wanted;
        aOrders.push_back(
          { id, ThrottleRun{ task, run.mRun, wanted, mToken } });
      }
    }
  }
}

} // namespace buckthornshunt
