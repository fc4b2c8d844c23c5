#include "buckthornshunt/workload.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace buckthornshunt {

namespace {

constexpr std::array<std::string_view, 5> kJobPhaseNames = { "pending",
                                                             "running",
                                                             "completed",
                                                             "failed",
                                                             "cancelled" };
constexpr std::array<std::string_view, 6> kRunEndNames = { "done",    "failed",
                                                           "stopped", "lapsed",
                                                           "broken",  "alone" };
constexpr std::array<std::string_view, 6> kRefusalNames = {
  "fenced", "old_run", "lease_over", "no_room", "bad_ticket", "rejected"
};

// Removes the number after the last dot from aText; false if there is none.
bool
RemoveLastNumber(std::string_view& aText, std::uint32_t& aNumber)
{
  std::size_t dot = aText.rfind('.');
  if (dot == std::string_view::npos) {
    return false;
  }
  std::string_view digits = aText.substr(dot + 1);
  aText.remove_suffix(digits.size() + 1);
  const char* end = digits.data() + digits.size();
  auto [at, ec] = std::from_chars(digits.data(), end, aNumber);
  return ec == std::errc() && at == end && !digits.empty();
}

} // namespace

Resources&
Resources::operator+=(const Resources& aOther)
{
  mCpuMillis += aOther.mCpuMillis;
  mMemoryMb += aOther.mMemoryMb;
  mGpus += aOther.mGpus;
  return *this;
}

Resources&
Resources::operator-=(const Resources& aOther)
{
  mCpuMillis -= aOther.mCpuMillis;
  mMemoryMb -= aOther.mMemoryMb;
  mGpus -= aOther.mGpus;
  return *this;
}

bool
Fits(const Resources& aCapacity, const Resources& aUsed, const Resources& aNeed)
{
  return aUsed.mCpuMillis + aNeed.mCpuMillis <= aCapacity.mCpuMillis &&
         aUsed.mMemoryMb + aNeed.mMemoryMb <= aCapacity.mMemoryMb &&
         aUsed.mGpus + aNeed.mGpus <= aCapacity.mGpus;
}

std::string
ToString(const TaskId& aTask)
{
  std::string text = aTask.mJob;
  for (std::uint32_t n : { aTask.mOccurrence, aTask.mStep, aTask.mIndex }) {
    text += '.';
    text += std::to_string(n);
  }
  return text;
}

std::optional<TaskId>
ParseTaskId(std::string_view aText)
{
  TaskId task;
  if (!RemoveLastNumber(aText, task.mIndex) ||
      !RemoveLastNumber(aText, task.mStep) ||
      !RemoveLastNumber(aText, task.mOccurrence) || aText.empty()) {
    return std::nullopt;
  }
  task.mJob = aText;
  return task;
}

std::string_view
ToString(JobPhase aPhase)
{
  return kJobPhaseNames[static_cast<std::size_t>(aPhase)];
}

std::string_view
ToString(RunEnd aEnd)
{
  return kRunEndNames[static_cast<std::size_t>(aEnd)];
}

std::string_view
ToString(PoolVmState aState)
{
  switch (aState) {
    case PoolVmState::Up:
      return "up";
    case PoolVmState::Moving:
      return "moving";
    case PoolVmState::Maintenance:
      return "maintenance";
    case PoolVmState::Down:
      return "down";
    case PoolVmState::Unknown:
      return "unknown";
  }
  return "";
}

std::string_view
ToString(StartRefusal aRefusal)
{
  return kRefusalNames[static_cast<std::size_t>(aRefusal)];
}

const QueueConfig*
WorkloadConfig::FindQueue(std::string_view aHost, std::string_view aPath) const
{
  const QueueConfig* best = nullptr;
  for (const QueueConfig& queue : mQueues) {
    bool matches = queue.mHost == aHost && aPath.starts_with(queue.mPathPrefix);
    if (matches && (best == nullptr ||
                    queue.mPathPrefix.size() > best->mPathPrefix.size())) {
      best = &queue;
    }
  }
  return best;
}

const QueueConfig*
WorkloadConfig::FindQueueByName(std::string_view aName) const
{
  auto it = std::find_if(
    mQueues.begin(), mQueues.end(), [&](const QueueConfig& aQueue) {
      return aQueue.mName == aName;
    });
  return it == mQueues.end() ? nullptr : &*it;
}

const WorkerPoolConfig*
WorkloadConfig::FindPool(std::string_view aName) const
{
  auto it = std::find_if(
    mPools.begin(), mPools.end(), [&](const WorkerPoolConfig& aPool) {
      return aPool.mName == aName;
    });
  return it == mPools.end() ? nullptr : &*it;
}

namespace {

template<class Predicate>
const OrganisationConfig*
FindOrganisationIf(
  const std::optional<std::vector<OrganisationConfig>>& aOrganisations,
  Predicate aMatches)
{
  if (!aOrganisations) {
    return nullptr;
  }
  auto it =
    std::find_if(aOrganisations->begin(), aOrganisations->end(), aMatches);
  return it == aOrganisations->end() ? nullptr : &*it;
}

} // namespace

const OrganisationConfig*
WorkloadConfig::FindOrganisation(std::string_view aName) const
{
  return FindOrganisationIf(mOrganisations, [&](const auto& aOrganisation) {
    return aOrganisation.mName == aName;
  });
}

const OrganisationConfig*
WorkloadConfig::FindOrganisationByKey(std::string_view aKey) const
{
  return FindOrganisationIf(mOrganisations, [&](const auto& aOrganisation) {
    return std::find(aOrganisation.mKeys.begin(),
                     aOrganisation.mKeys.end(),
                     aKey) != aOrganisation.mKeys.end();
  });
}

} // namespace buckthornshunt
