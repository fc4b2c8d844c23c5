#include "decide/cell.h"

#include <algorithm>
#include <utility>

namespace buckthornshunt {

CellChanges
Cell::TakeChanges(TimePoint aNow)
{
  // The store takes 100 entries in a commit; a job may need three.
  constexpr std::size_t kMostJobs = 30;
  CellChanges changes;
  while (!mDirty.empty() && changes.mProgress.size() < kMostJobs &&
         changes.mNewJobs.size() < kMostJobs) {
    std::string id = *mDirty.begin();
    mDirty.erase(mDirty.begin());
    CellJob* job = FindJob(id);
    if (job == nullptr) {
      continue;
    }
    job->mDirty = false;
    job->mCommitting = true;
    if (!job->mStored) {
      changes.mNewJobs.push_back({ job->mId,
                                   job->mQueue,
                                   job->mSpec,
                                   job->mAcceptedTerm,
                                   job->mSubmitted });
      if (job->Live()) {
        continue;
      }
    }
    changes.mProgress.emplace_back(job->mId, ProgressOf(*job));
    if (!job->Live() && job->mStored) {
      changes.mEnded.push_back(job->mId);
    }
  }
  for (auto it = mJobs.begin();
       it != mJobs.end() && changes.mForgotten.size() < kMostJobs;
       ++it) {
    const CellJob& job = it->second;
    if (job.mCommitted != JobPhase::Pending &&
        aNow > job.mEnded + 2 * mTimes.mStatusKept) {
      changes.mForgotten.push_back(job.mId);
    }
  }
  if (mWorkersDirty) {
    mWorkersDirty = false;
    changes.mWorkers.emplace();
    for (const auto& [id, worker] : mWorkers) {
      changes.mWorkers->push_back(
        { id, worker.mReport.mEndpoint, worker.mReport.mVm });
    }
  }
  if (mDirty.empty()) {
    for (const auto& [id, worker] : mWorkers) {
      changes.mEnds[id] = worker.mSeenEnds;
    }
  }
  return changes;
}

CellChanges
Cell::TakeReleaseChanges(TimePoint aNow)
{
  CellChanges changes = TakeChanges(aNow);
  changes.mWorkers.emplace();
  for (const auto& [id, worker] : mWorkers) {
    bool unknown = worker.mInherited && aNow <= worker.mLeaseOver;
    if (!worker.mRuns.empty() || unknown) {
      changes.mWorkers->push_back(
        { id, worker.mReport.mEndpoint, worker.mReport.mVm });
    }
  }
  return changes;
}

void
Cell::OnCommitted(const CellChanges& aChanges, TimePoint aNow)
{
  for (const StoredJob& stored : aChanges.mNewJobs) {
    if (CellJob* job = FindJob(stored.mId)) {
      job->mStored = true;
      job->mCommitting = false;
    }
  }
  for (const auto& [id, progress] : aChanges.mProgress) {
    CellJob* job = FindJob(id);
    bool ended = progress.mPhase != JobPhase::Pending &&
                 progress.mPhase != JobPhase::Running;
    if (job != nullptr) {
      job->mCommitting = false;
    }
    if (job != nullptr && ended) {
      job->mCommitted = progress.mPhase;
      job->mEnded = aNow;
      job->mOccurrences.clear();
    }
  }
  for (const std::string& id : aChanges.mForgotten) {
    mJobs.erase(id);
  }
  if (aChanges.mWorkers) {
    for (const WorkerAddress& address : *aChanges.mWorkers) {
      if (CellWorker* worker = FindWorker(address.mId)) {
        worker->mDurable = true;
      }
    }
  }
  for (const auto& [id, sequence] : aChanges.mEnds) {
    CellWorker* worker = FindWorker(id);
    if (worker != nullptr && worker->mSeenEnds >= sequence) {
      worker->mCommittedEnds = std::max(worker->mCommittedEnds, sequence);
    }
  }
}

void
Cell::OnNotCommitted(const CellChanges& aChanges)
{
  for (const StoredJob& stored : aChanges.mNewJobs) {
    if (CellJob* job = FindJob(stored.mId)) {
      MarkDirty(*job);
    }
  }
  for (const auto& [id, progress] : aChanges.mProgress) {
    if (CellJob* job = FindJob(id)) {
      MarkDirty(*job);
    }
  }
  mWorkersDirty = mWorkersDirty || aChanges.mWorkers.has_value();
}

PoolSummary
Cell::Summary() const
{
  PoolSummary summary;
  summary.mPool = mPool;
  double lasting = 0;
  double used = 0;
  for (const auto& [id, worker] : mWorkers) {
    bool counts = worker.mListed && !worker.mReport.mDraining &&
                  !worker.mSealed && worker.mMissed < kMissesUntilSuspect;
    if (counts) {
      summary.mCapacityCores +=
        static_cast<double>(worker.mReport.mCapacity.mCpuMillis) / 1000;
    }
    used += static_cast<double>(worker.mUsed.mCpuMillis) / 1000;
    for (const auto& [task, run] : worker.mRuns) {
      if (run.mLongRunning) {
        lasting += static_cast<double>(run.mReserved.mCpuMillis) / 1000;
      }
    }
  }
  summary.mCapacityCores = std::max(summary.mCapacityCores - lasting, 0.0);
  summary.mBusyCores = std::max(used - lasting, 0.0);
  for (const std::string& id : mLive) {
    const CellJob& job = mJobs.find(id)->second;
    if (job.LongRunning() || job.mSpec.mOccurrences > 0) {
      continue;
    }
    auto run = job.mOccurrences.find(0);
    summary.mBacklogCoreSeconds += RemainingCoreSeconds(
      job.mSpec,
      run == job.mOccurrences.end() ? nullptr : &run->second,
      ModelOf(job.mQueue));
  }
  return summary;
}

std::vector<AdviceRequest>
Cell::TakeAdviceRequests()
{
  constexpr std::size_t kMostWorkers = 30;
  std::vector<AdviceRequest> requests;
  for (const std::string& id : mLive) {
    CellJob& job = mJobs.find(id)->second;
    const QueueConfig* queue = QueueOf(job);
    if (queue == nullptr || !queue->mAdvice || !job.mStored) {
      continue;
    }
    for (auto& [number, run] : job.mOccurrences) {
      for (std::uint32_t s = 0; s < run.mSteps.size(); ++s) {
        StepRecord& step = run.mSteps[s];
        bool wanted = !step.mAdviceAsked && step.mTickets.empty() &&
                      step.mDone < step.mTasks.size() &&
                      StepReady(job.mSpec, run, s);
        if (!wanted) {
          continue;
        }
        AdviceRequest request{ id, number, s, {} };
        for (const auto& [worker, state] : mWorkers) {
          if (state.mListed && !state.mReport.mDraining &&
              request.mWorkers.size() < kMostWorkers) {
            request.mWorkers.push_back(worker);
          }
        }
        step.mAdviceAsked = true;
        requests.push_back(std::move(request));
      }
    }
  }
  return requests;
}

void
Cell::OnAdvice(const AdviceRequest& aRequest,
               std::map<std::string, std::string, std::less<>> aTickets,
               Duration aValid,
               TimePoint aNow)
{
  CellJob* job = FindJob(aRequest.mJob);
  if (job == nullptr) {
    return;
  }
  auto run = job->mOccurrences.find(aRequest.mOccurrence);
  if (run == job->mOccurrences.end()) {
    return;
  }
  StepRecord& step = run->second.mSteps[aRequest.mStep];
  step.mAdviceAsked = false;
  step.mTickets = std::move(aTickets);
  step.mTicketsUntil = aNow + aValid;
}

} // namespace buckthornshunt
