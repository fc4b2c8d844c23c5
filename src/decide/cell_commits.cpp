#include "decide/cell.h"

#include <algorithm>
#include <utility>

namespace buckthornshunt {

namespace {

/// Jobs that always fit one commit.
constexpr std::size_t kMaxJobsPerCommit = 30;
/// The store accepts 100 entries in a commit. Two are the owner row and its
/// condition, one is the worker set.
constexpr std::size_t kMaxJobRowsPerCommit = 97;
/// Rows that new and ended jobs leave to the progress of the others, so that it
/// is stored during a burst too.
constexpr std::size_t kMinProgressRows = 16;
/// Limit on the specifications in a commit, at most 4,000 bytes each; over a
/// link of 10 Mbit/s they take 0.1 s.
constexpr std::size_t kMaxPayloadBytesPerCommit = kMaxJobsPerCommit * 4000;
/// Interval between two searches for expired jobs.
constexpr Duration kExpirySearchInterval = std::chrono::seconds(1);

/// What a commit records of a job.
enum class ChangeKind : std::uint8_t
{
  /// The job; its caller waits for the reply.
  New,
  /// Its end; its caller asks until it shows.
  Ended,
  Progress
};

ChangeKind
ChangeKindOf(const CellJob& aJob)
{
  if (!aJob.mStored) {
    return ChangeKind::New;
  }
  return aJob.IsLive() ? ChangeKind::Progress : ChangeKind::Ended;
}

WorkerAddress
AddressOf(std::string_view aId, const CellWorker& aWorker)
{
  return { std::string(aId),
           aWorker.mReport.mEndpoint,
           aWorker.mReport.mVm,
           aWorker.mAcceptedIncarnation };
}

std::size_t
RowsOf(const CellJob& aJob)
{
  return aJob.IsLive() ? 1 : 2;
}

std::size_t
PayloadOf(const CellJob& aJob)
{
  return aJob.IsLive() && !aJob.mStored ? aJob.mSpec.mPayload.size() : 0;
}

/// Selects the jobs of one commit within its limits.
class CommitBudget
{
public:
  bool Take(const CellJob& aJob, ChangeKind aKind)
  {
    std::size_t rows = RowsOf(aJob);
    std::size_t limit = aKind == ChangeKind::Progress
                          ? kMaxJobRowsPerCommit
                          : kMaxJobRowsPerCommit - kMinProgressRows;
    std::size_t payload = PayloadOf(aJob);
    bool fits =
      mRows + rows <= limit &&
      (mPayload == 0 || mPayload + payload <= kMaxPayloadBytesPerCommit);
    if (fits) {
      mRows += rows;
      mPayload += payload;
    }
    return fits;
  }

private:
  std::size_t mRows = 0;
  std::size_t mPayload = 0;
};

} // namespace

// During a burst more jobs change than a commit holds. New jobs go first, since
// a caller that gets no reply in time must assume that its job may run, then
// ended ones; within a kind the longest waiting goes first.
std::vector<CellJob*>
Cell::TakeDirtyJobs()
{
  std::vector<CellJob*> waiting;
  for (const std::string& id : mDirtyJobs) {
    if (CellJob* job = FindJob(id)) {
      waiting.push_back(job);
    }
  }
  std::vector<CellJob*> taken;
  CommitBudget budget;
  for (ChangeKind kind :
       { ChangeKind::New, ChangeKind::Ended, ChangeKind::Progress }) {
    for (CellJob* job : waiting) {
      if (job->mDirty && ChangeKindOf(*job) == kind &&
          budget.Take(*job, kind)) {
        job->mDirty = false;
        job->mCommitting = true;
        taken.push_back(job);
      }
    }
  }
  mDirtyJobs.clear();
  for (const CellJob* job : waiting) {
    if (job->mDirty) {
      mDirtyJobs.push_back(job->mId);
    }
  }
  return taken;
}

// All changes up to this one are committed or taken for the commit.
std::uint64_t
Cell::LastCoveredChange() const
{
  std::uint64_t covered = mLastChange;
  for (const std::string& id : mDirtyJobs) {
    std::uint64_t since = mJobs.find(id)->second.mDirtySince;
    covered = std::min(covered, since == 0 ? 0 : since - 1);
  }
  return covered;
}

// A first row without its progress is that of a new job, so that it must not
// outlive the end: the end of a job removes it, also of one that isn't known to
// be stored, since a commit in doubt may have stored it.
CellChanges
Cell::TakeChanges(TimePoint aNow)
{
  CellChanges changes;
  for (const CellJob* job : TakeDirtyJobs()) {
    bool live = job->IsLive();
    if (live && !job->mStored) {
      changes.mNewJobs.push_back({ job->mId,
                                   job->mQueue,
                                   job->mSpec,
                                   job->mAcceptedTerm,
                                   job->mSubmitted,
                                   job->mOrganisation });
      continue;
    }
    changes.mProgress.emplace_back(job->mId, ProgressOf(*job));
    if (!live && !job->mOrganisation.empty()) {
      StoredProgress& progress = changes.mProgress.back().second;
      progress.mHeld = job->mInheritedHold;
      progress.mHeld += HeldByJob(job->mId);
    }
    if (!live) {
      changes.mEndedJobs.push_back(job->mId);
    }
  }
  std::size_t rows = changes.mNewJobs.size() + changes.mProgress.size() +
                     changes.mEndedJobs.size();
  std::size_t maxExpired =
    std::min(kMaxJobsPerCommit, kMaxJobRowsPerCommit - rows);
  if (aNow >= mNextExpirySearch) {
    auto it = mJobs.begin();
    for (; it != mJobs.end() && changes.mExpiredJobs.size() < maxExpired;
         ++it) {
      const CellJob& job = it->second;
      bool committed = job.mCommittedPhase != JobPhase::Pending &&
                       !job.mDirty && !job.mCommitting;
      if (committed && aNow > job.mEndedAt + 2 * mTimes.mStatusRetention) {
        changes.mExpiredJobs.push_back(job.mId);
      }
    }
    if (it == mJobs.end()) {
      mNextExpirySearch = aNow + kExpirySearchInterval;
    }
  }
  if (mWorkersDirty) {
    mWorkersDirty = false;
    changes.mWorkers.emplace();
    for (const auto& [id, worker] : mWorkers) {
      if (!worker.mEnded) {
        changes.mWorkers->push_back(AddressOf(id, worker));
      }
    }
  }
  std::uint64_t covered = LastCoveredChange();
  for (const auto& [id, worker] : mWorkers) {
    for (const ProcessedEnds& ends : worker.mUncommittedEnds) {
      if (ends.mLastChange > covered) {
        break;
      }
      changes.mLastEnds[id] = { worker.mIncarnation, ends.mSequence };
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
    bool unknown =
      worker.mInheritedRunsUnknown && aNow <= worker.InheritedRunExpiry();
    bool mayStartLate = !worker.mEnded && worker.MayStartLate(aNow);
    if (!worker.mRuns.empty() || unknown || mayStartLate) {
      changes.mWorkers->push_back(AddressOf(id, worker));
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
      job->mStored = true;
      job->mCommittedPhase = progress.mPhase;
      job->mEndedAt = aNow;
      job->mOccurrences.clear();
    }
  }
  for (const std::string& id : aChanges.mExpiredJobs) {
    auto job = mJobs.find(id);
    if (job == mJobs.end()) {
      continue;
    }
    auto queue = mJobsByQueue.find(job->second.mQueue);
    if (--queue->second == 0) {
      mJobsByQueue.erase(queue);
    }
    mJobs.erase(job);
  }
  if (aChanges.mWorkers) {
    for (const WorkerAddress& address : *aChanges.mWorkers) {
      CellWorker* worker = FindWorker(address.mId);
      if (worker != nullptr && !worker->mEnded) {
        worker->mPersisted = true;
      }
    }
  }
  // The worker may have restarted during the commit, and numbers its ends anew.
  for (const auto& [id, ends] : aChanges.mLastEnds) {
    CellWorker* worker = FindWorker(id);
    if (worker != nullptr && worker->mIncarnation == ends.mIncarnation &&
        worker->mLastSeenEnd >= ends.mSequence) {
      worker->mLastCommittedEnd =
        std::max(worker->mLastCommittedEnd, ends.mSequence);
      worker->mAcknowledgementDue = true;
      std::erase_if(worker->mUncommittedEnds, [&](const ProcessedEnds& aEnds) {
        return aEnds.mSequence <= worker->mLastCommittedEnd;
      });
    }
  }
}

void
Cell::OnNotCommitted(const CellChanges& aChanges)
{
  for (const StoredJob& stored : aChanges.mNewJobs) {
    if (CellJob* job = FindJob(stored.mId)) {
      MarkDirty(*job);
      job->mDirtySince = 0;
    }
  }
  for (const auto& [id, progress] : aChanges.mProgress) {
    if (CellJob* job = FindJob(id)) {
      MarkDirty(*job);
      job->mDirtySince = 0;
    }
  }
  mWorkersDirty = mWorkersDirty || aChanges.mWorkers.has_value();
}

PoolSummary
Cell::Summary() const
{
  PoolSummary summary;
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
  return summary;
}

std::vector<AdviceRequest>
Cell::TakeAdviceRequests()
{
  constexpr std::size_t kMaxWorkersPerRequest = 30;
  std::vector<AdviceRequest> requests;
  bool advised =
    std::any_of(mConfig.mQueues.begin(),
                mConfig.mQueues.end(),
                [](const auto& aQueue) { return aQueue.mAdvice.has_value(); });
  if (!advised) {
    return requests;
  }
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
            request.mWorkers.emplace(worker, state.LatestIncarnation());
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
               const std::map<std::string, std::string, std::less<>>& aTickets,
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
  step.mTickets.clear();
  for (const auto& [id, ticket] : aTickets) {
    auto asked = aRequest.mWorkers.find(id);
    if (asked != aRequest.mWorkers.end()) {
      step.mTickets.emplace(id, StepTicket{ ticket, asked->second });
    }
  }
  step.mTicketExpiry = aNow + aValid;
}

} // namespace buckthornshunt
