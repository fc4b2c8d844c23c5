#include "decide/cell.h"

#include <algorithm>

namespace buckthornshunt {

void
Cell::SetWorkers(std::span<const WorkerReport> aReports, TimePoint aNow)
{
  for (auto& [id, worker] : mWorkers) {
    worker.mListed = false;
  }
  for (const WorkerReport& report : aReports) {
    if (report.mPool != mPool) {
      continue;
    }
    CellWorker& worker = mWorkers[report.mId];
    bool reborn = report.mIncarnation > worker.mBorn && worker.mBorn != 0;
    worker.mReport = report;
    if (reborn) {
      StartNewLife(worker, aNow);
    }
    worker.mListed = !worker.mEnded;
    worker.mBorn = std::max(worker.mBorn, report.mIncarnation);
  }
  std::erase_if(mWorkers, [&](const auto& aEntry) {
    const CellWorker& worker = aEntry.second;
    // What an earlier owner started there isn't known before its lease is over.
    bool unknown = worker.mInherited && aNow <= worker.mLeaseOver;
    bool gone = !worker.mListed && worker.mRuns.empty() && !unknown;
    mWorkersDirty = mWorkersDirty || (gone && worker.mDurable);
    return gone;
  });
}

void
Cell::Seal(std::string_view aWorker, bool aSealed)
{
  if (CellWorker* worker = FindWorker(aWorker)) {
    worker->mSealed = aSealed;
  }
}

// The worker may have begun to leave while the order waited its turn.
bool
Cell::MayStartOn(std::string_view aWorker) const
{
  auto it = mWorkers.find(aWorker);
  return it != mWorkers.end() && it->second.mListed &&
         !it->second.mReport.mDraining && !it->second.mSealed;
}

bool
Cell::NeedsRenewal(std::string_view aWorker) const
{
  auto it = mWorkers.find(aWorker);
  if (it == mWorkers.end()) {
    return false;
  }
  const CellWorker& worker = it->second;
  if (worker.mEnded) {
    return false;
  }
  // A silent worker is asked until it answers; only then is it used again.
  return !worker.mRuns.empty() || !worker.mContacted || worker.mMissed > 0 ||
         worker.mDoubted || worker.mSeenEnds > worker.mCommittedEnds;
}

// The end of the lease is told on the worker's clock, which is only known as
// of its last answer; assuming that it is slow never grants too much. A worker
// that doesn't answer gets no longer lease, so that its runs lapse in time.
std::int64_t
Cell::GrantLease(CellWorker& aWorker, TimePoint aNow)
{
  double since = ToSeconds(aNow - aWorker.mClockAt) * (1 - kClockDrift);
  std::int64_t clock = aWorker.mClock + static_cast<std::int64_t>(since * 1000);
  std::int64_t end = clock + ToMillis(mTimes.mRunLease);
  double left = static_cast<double>(end - aWorker.mClock) / 1000;
  TimePoint over = aWorker.mClockAt +
                   std::chrono::duration_cast<Duration>(
                     std::chrono::duration<double>(left / (1 - kClockDrift))) +
                   kLeaseSlack;
  aWorker.mLeaseOver = std::max(aWorker.mLeaseOver, over);
  return end;
}

RenewLease
Cell::NextRenewal(std::string_view aWorker, Duration aWait, TimePoint aNow)
{
  RenewLease renewal;
  renewal.mToken = mToken;
  CellWorker* worker = FindWorker(aWorker);
  if (worker == nullptr) {
    return renewal;
  }
  renewal.mAcknowledgedSequence = worker->mCommittedEnds;
  renewal.mMaxWait = worker->mContacted ? aWait : Duration::zero();
  if (worker->mContacted && worker->mMissed < kMissesUntilSuspect) {
    renewal.mLeaseExpiry = GrantLease(*worker, aNow);
  }
  return renewal;
}

// Runs of the earlier life are gone. An order that was on its way may still
// start its run in the new life, so that one is stopped first.
void
Cell::StartNewLife(CellWorker& aWorker, TimePoint aNow)
{
  std::vector<TaskId> gone;
  for (auto& [task, run] : aWorker.mRuns) {
    bool certain = run.mStage == ActiveRun::Stage::Running;
    if (certain) {
      gone.push_back(task);
    } else {
      StopRunOn(run, aNow);
      run.mStopSent = false;
    }
  }
  for (const TaskId& task : gone) {
    LoseRun(aWorker, task);
  }
  aWorker.mContacted = false;
  aWorker.mEnded = false;
  aWorker.mInherited = false;
  aWorker.mSeenEnds = 0;
  aWorker.mCommittedEnds = 0;
  aWorker.mMissed = 0;
  aWorker.mFailuresInRow = 0;
}

void
Cell::ReleaseRun(CellWorker& aWorker, const TaskId& aTask)
{
  auto it = aWorker.mRuns.find(aTask);
  if (it != aWorker.mRuns.end()) {
    aWorker.mUsed -= it->second.mReserved;
    aWorker.mRuns.erase(it);
  }
}

void
Cell::LoseRun(CellWorker& aWorker, const TaskId& aTask)
{
  // The task may be named by the entry that goes last.
  TaskGone(aTask, aWorker.mReport.mId);
  ReleaseRun(aWorker, aTask);
}

// The task's active run is surely over without an end that counts.
void
Cell::TaskGone(const TaskId& aTask, std::string_view aWorker)
{
  CellJob* job = FindJob(aTask.mJob);
  if (job == nullptr) {
    return;
  }
  auto run = job->mOccurrences.find(aTask.mOccurrence);
  if (run == job->mOccurrences.end()) {
    return;
  }
  StepRecord& step = run->second.mSteps[aTask.mStep];
  TaskRecord& task = step.mTasks[aTask.mIndex];
  if (task.mStage == TaskStage::Active && task.mWorker == aWorker) {
    task.mStage = TaskStage::Idle;
    task.mWorker.clear();
    --step.mActive;
  }
}

void
Cell::StopRunOn(ActiveRun& aRun, TimePoint aNow)
{
  if (aRun.mStage != ActiveRun::Stage::Stopping) {
    aRun.mStage = ActiveRun::Stage::Stopping;
    aRun.mSince = aNow;
    aRun.mStopSent = false;
    aRun.mStoppedAt.reset();
  }
}

void
Cell::StopRunsOf(const CellJob& aJob, TimePoint aNow)
{
  for (auto& [id, worker] : mWorkers) {
    auto it = worker.mRuns.lower_bound(TaskId{ aJob.mId, 0, 0, 0 });
    for (; it != worker.mRuns.end() && it->first.mJob == aJob.mId; ++it) {
      StopRunOn(it->second, aNow);
    }
  }
}

// Reports of workers may come before the first plan opens the occurrence.
OccurrenceRecord*
Cell::OpenOccurrence(CellJob& aJob, std::uint32_t aNumber)
{
  bool done = std::find(aJob.mDoneOccurrences.begin(),
                        aJob.mDoneOccurrences.end(),
                        aNumber) != aJob.mDoneOccurrences.end();
  if (done || aNumber >= aJob.Occurrences()) {
    return nullptr;
  }
  auto [it, added] = aJob.mOccurrences.try_emplace(aNumber);
  if (added) {
    it->second = MakeOccurrence(aJob.mSpec);
  }
  return &it->second;
}

void
Cell::MarkDirty(CellJob& aJob)
{
  aJob.mDirty = true;
  mDirty.insert(aJob.mId);
}

} // namespace buckthornshunt
