#include "decide/cell.h"

#include <algorithm>
#include <utility>

namespace buckthornshunt {

namespace {

Resources
Times(const Resources& aResources, std::size_t aCount)
{
  auto count = static_cast<std::int64_t>(aCount);
  return { aResources.mCpuMillis * count,
           aResources.mMemoryMb * count,
           aResources.mGpus * count };
}

Resources
AtMost(const Resources& aResources, const Resources& aLimit)
{
  return { std::min(aResources.mCpuMillis, aLimit.mCpuMillis),
           std::min(aResources.mMemoryMb, aLimit.mMemoryMb),
           std::min(aResources.mGpus, aLimit.mGpus) };
}

Resources
PositivePart(const Resources& aResources)
{
  return { std::max<std::int64_t>(aResources.mCpuMillis, 0),
           std::max<std::int64_t>(aResources.mMemoryMb, 0),
           std::max<std::int64_t>(aResources.mGpus, 0) };
}

// Of all tasks that are neither done nor known to run.
Resources
UnstartedResources(const CellJob& aJob)
{
  Resources resources;
  std::size_t occurrences =
    aJob.OccurrenceCount() - aJob.mDoneOccurrences.size();
  for (std::uint32_t s = 0; s < aJob.mSpec.mSteps.size(); ++s) {
    std::size_t settled = 0;
    for (const auto& [number, occurrence] : aJob.mOccurrences) {
      const StepRecord& step = occurrence.mSteps[s];
      settled += step.mDoneTasks + step.mActiveTasks;
    }
    const StepSpec& spec = aJob.mSpec.mSteps[s];
    std::size_t tasks = std::size_t{ spec.mTaskCount } * occurrences;
    resources += Times(spec.mTaskResources, tasks - std::min(settled, tasks));
  }
  return resources;
}

} // namespace

Resources
Cell::HeldByJob(std::string_view aJob) const
{
  Resources held;
  for (const auto& [id, worker] : mWorkers) {
    auto it = worker.mRuns.lower_bound(TaskId{ std::string(aJob), 0, 0, 0 });
    for (; it != worker.mRuns.end() && it->first.mJob == aJob; ++it) {
      held += it->second.mHeld;
    }
  }
  return held;
}

// Until the runs of an earlier owner are known, each task of its jobs that
// isn't done may run. Steps that aren't ready by the rows count as well, since
// it started them when it saw the ends. The rows of ended jobs tell no
// specification, so that their runs count by what the row says, for as long as
// any of them may be there.
void
Cell::UpdateInheritedHolds(TimePoint aNow)
{
  if (mInheritedHoldsOver || !mQuotas.IsLimited()) {
    return;
  }
  mInheritedHolds.clear();
  bool runsKnown = InheritedRunsKnown(aNow);
  bool anyLeft = false;
  for (auto& [id, job] : mJobs) {
    if (!job.mInherited || job.mOrganisation.empty()) {
      continue;
    }
    if (!job.IsLive()) {
      bool held = job.mInheritedHold != Resources{};
      if (held && runsKnown && !HasRuns(id)) {
        job.mInheritedHold = {};
        held = false;
      }
      if (held) {
        anyLeft = true;
        mInheritedHolds[job.mOrganisation] += job.mInheritedHold;
      }
    } else if (!runsKnown) {
      mInheritedHolds[job.mOrganisation] += UnstartedResources(job);
    }
  }
  mInheritedHoldsOver = runsKnown && !anyLeft;
}

bool
Cell::HasRuns(std::string_view aJob) const
{
  TaskId first{ std::string(aJob), 0, 0, 0 };
  return std::any_of(mWorkers.begin(), mWorkers.end(), [&](const auto& aEntry) {
    auto it = aEntry.second.mRuns.lower_bound(first);
    return it != aEntry.second.mRuns.end() && it->first.mJob == aJob;
  });
}

// An earlier owner held no more than the grant that it left.
Resources
Cell::HeldBy(std::string_view aOrganisation) const
{
  auto it = mHeld.find(aOrganisation);
  Resources held = it == mHeld.end() ? Resources{} : it->second;
  auto hidden = mInheritedHolds.find(aOrganisation);
  if (hidden == mInheritedHolds.end()) {
    return held;
  }
  std::optional<Resources> grant = mQuotas.InheritedGrant(aOrganisation);
  if (!grant) {
    held += hidden->second;
    return held;
  }
  *grant -= held;
  held += AtMost(hidden->second, PositivePart(*grant));
  return held;
}

// The grant of a job that is being stored is asked for meanwhile.
void
Cell::AddQuotaNeed(const CellJob& aJob)
{
  if (mQuotas.MaximumOf(aJob.mOrganisation) == nullptr) {
    return;
  }
  QuotaUse& use = mQuotaUse[aJob.mOrganisation];
  for (const StepSpec& step : aJob.mSpec.mSteps) {
    if (step.mDependencies.empty()) {
      use.mNeeded += Times(step.mTaskResources, step.mTaskCount);
    }
  }
}

// What the workers have no room for needs no grant.
std::vector<QuotaWrite>
Cell::NextQuotaWrite(std::size_t aMax, TimePoint aNow)
{
  if (!mQuotas.IsLimited()) {
    return {};
  }
  UpdateInheritedHolds(aNow);
  Resources room;
  for (const auto& [id, worker] : mWorkers) {
    if (Usable(worker, aNow)) {
      Resources free = worker.mReport.mCapacity;
      free -= worker.mReserved;
      room += PositivePart(free);
    }
  }
  std::map<std::string, QuotaUse, std::less<>> uses = mQuotaUse;
  for (const auto& [organisation, held] : mHeld) {
    uses.try_emplace(organisation);
  }
  for (const auto& [organisation, held] : mInheritedHolds) {
    uses.try_emplace(organisation);
  }
  for (auto& [organisation, use] : uses) {
    use.mHeld = HeldBy(organisation);
    Resources needed = AtMost(use.mNeeded, room);
    needed += use.mHeld;
    use.mNeeded = needed;
  }
  return mQuotas.NextWrite(uses, aMax, aNow);
}

} // namespace buckthornshunt
