#include "decide/cell.h"

#include <algorithm>
#include <utility>

namespace buckthornshunt {

namespace {

constexpr std::size_t kMaxJobsPerCommit = 30;
/// The store accepts 100 entries in a commit. Two are the owner row and its
/// condition, one is the worker set.
constexpr std::size_t kMaxJobRowsPerCommit = 97;

} // namespace

CellChanges
Cell::TakeChanges(TimePoint aNow)
{
  CellChanges changes;
  while (!mDirtyJobs.empty() && changes.mProgress.size() < kMaxJobsPerCommit &&
         changes.mNewJobs.size() < kMaxJobsPerCommit) {
    std::string id = *mDirtyJobs.begin();
    mDirtyJobs.erase(mDirtyJobs.begin());
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
      if (job->IsLive()) {
        continue;
      }
    }
    changes.mProgress.emplace_back(job->mId, ProgressOf(*job));
    if (!job->IsLive() && job->mStored) {
      changes.mEndedJobs.push_back(job->mId);
    }
  }
  std::size_t rows = changes.mNewJobs.size() + changes.mProgress.size() +
                     changes.mEndedJobs.size();
  std::size_t maxExpired =
    std::min(kMaxJobsPerCommit, kMaxJobRowsPerCommit - rows);
  for (auto it = mJobs.begin();
       it != mJobs.end() && changes.mExpiredJobs.size() < maxExpired;
       ++it) {
    const CellJob& job = it->second;
    if (job.mCommittedPhase != JobPhase::Pending &&
        aNow > job.mEndedAt + 2 * mTimes.mStatusRetention) {
      changes.mExpiredJobs.push_back(job.mId);
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
  if (mDirtyJobs.empty()) {
    for (const auto& [id, worker] : mWorkers) {
      changes.mLastEnds[id] = worker.mLastSeenEnd;
    }
  }
  return changes;
}

bool
Cell::FitsOneCommit() const
{
  return mDirtyJobs.size() <= kMaxJobsPerCommit;
}

CellChanges
Cell::TakeReleaseChanges(TimePoint aNow)
{
  CellChanges changes = TakeChanges(aNow);
  changes.mWorkers.emplace();
  for (const auto& [id, worker] : mWorkers) {
    bool unknown = worker.mInheritedRunsUnknown && aNow <= worker.mLeaseExpiry;
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
      job->mCommittedPhase = progress.mPhase;
      job->mEndedAt = aNow;
      job->mOccurrences.clear();
    }
  }
  for (const std::string& id : aChanges.mExpiredJobs) {
    mJobs.erase(id);
  }
  if (aChanges.mWorkers) {
    for (const WorkerAddress& address : *aChanges.mWorkers) {
      if (CellWorker* worker = FindWorker(address.mId)) {
        worker->mPersisted = true;
      }
    }
  }
  for (const auto& [id, sequence] : aChanges.mLastEnds) {
    CellWorker* worker = FindWorker(id);
    if (worker != nullptr && worker->mLastSeenEnd >= sequence) {
      worker->mLastCommittedEnd = std::max(worker->mLastCommittedEnd, sequence);
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
  double longRunningCores = 0;
  double used = 0;
  for (const auto& [id, worker] : mWorkers) {
    bool counts = worker.mListed && !worker.mReport.mDraining &&
                  !worker.mDraining &&
                  worker.mMissedAnswers < kMissedAnswersUntilSuspected;
    if (counts) {
      summary.mCapacityCores +=
        static_cast<double>(worker.mReport.mCapacity.mCpuMillis) / 1000;
    }
    used += static_cast<double>(worker.mReserved.mCpuMillis) / 1000;
    for (const auto& [task, run] : worker.mRuns) {
      if (run.mLongRunning) {
        longRunningCores +=
          static_cast<double>(run.mReserved.mCpuMillis) / 1000;
      }
    }
  }
  summary.mCapacityCores =
    std::max(summary.mCapacityCores - longRunningCores, 0.0);
  summary.mBusyCores = std::max(used - longRunningCores, 0.0);
  for (const std::string& id : mLiveJobs) {
    const CellJob& job = mJobs.find(id)->second;
    if (job.IsLongRunning() || job.mSpec.mOccurrences > 0) {
      continue;
    }
    auto occurrence = job.mOccurrences.find(0);
    summary.mBacklogCoreSeconds += RemainingCoreSeconds(
      job.mSpec,
      occurrence == job.mOccurrences.end() ? nullptr : &occurrence->second,
      ModelOf(job.mQueue));
  }
  return summary;
}

std::vector<AdviceRequest>
Cell::TakeAdviceRequests()
{
  constexpr std::size_t kMaxWorkersPerRequest = 30;
  std::vector<AdviceRequest> requests;
  for (const std::string& id : mLiveJobs) {
    CellJob& job = mJobs.find(id)->second;
    const QueueConfig* queue = QueueOf(job);
    if (queue == nullptr || !queue->mAdvice || !job.mStored) {
      continue;
    }
    for (auto& [number, occurrence] : job.mOccurrences) {
      for (std::uint32_t s = 0; s < occurrence.mSteps.size(); ++s) {
        StepRecord& step = occurrence.mSteps[s];
        bool wanted = !step.mAdviceRequested && step.mTickets.empty() &&
                      step.mDoneTasks < step.mTasks.size() &&
                      IsStepReady(job.mSpec, occurrence, s);
        if (!wanted) {
          continue;
        }
        AdviceRequest request{ id, number, s, {} };
        for (const auto& [worker, state] : mWorkers) {
          if (state.mListed && !state.mReport.mDraining &&
              request.mWorkers.size() < kMaxWorkersPerRequest) {
            request.mWorkers.push_back(worker);
          }
        }
        step.mAdviceRequested = true;
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
  auto occurrence = job->mOccurrences.find(aRequest.mOccurrence);
  if (occurrence == job->mOccurrences.end()) {
    return;
  }
  StepRecord& step = occurrence->second.mSteps[aRequest.mStep];
  step.mAdviceRequested = false;
  step.mTickets = std::move(aTickets);
  step.mTicketExpiry = aNow + aValid;
}

} // namespace buckthornshunt
