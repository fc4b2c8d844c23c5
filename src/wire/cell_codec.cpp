#include "wire/cell_codec.h"

#include "wire/endpoint_codec.h"

#include <algorithm>
#include <limits>
#include <map>
#include <set>
#include <span>
#include <tuple>
#include <utility>

namespace buckthornshunt {

namespace {

constexpr std::uint64_t kMaxUnsigned32 =
  std::numeric_limits<std::uint32_t>::max();
/// Version of the rows of progress; those of the first have none.
constexpr std::uint64_t kProgressVersion = 2;
constexpr std::uint32_t kBitsPerByte = 8;
/// Maximum of each resource of a task; sums over a job's tasks don't overflow.
constexpr std::int64_t kMaxResource = 1'000'000'000;

// Field names are short because there are many small rows.
Json
StepToJson(const StepSpec& aStep)
{
  Json json = { { "n", aStep.mTaskCount },
                { "c", aStep.mTaskResources.mCpuMillis },
                { "m", aStep.mTaskResources.mMemoryMb },
                { "e", ToMillis(aStep.mEstimatedRunTime) } };
  auto put = [&](const char* aName, const auto& aValue, bool aPresent) {
    if (aPresent) {
      json[aName] = aValue;
    }
  };
  std::uint32_t flags =
    (aStep.mCheckpointable ? 1U : 0U) | (aStep.mGang ? 2U : 0U) |
    (aStep.mSameRack ? 4U : 0U) | (aStep.mSpeculative ? 8U : 0U) |
    (aStep.mLongRunning ? 16U : 0U) | (aStep.mBestEffort ? 32U : 0U);
  put("g", aStep.mTaskResources.mGpus, aStep.mTaskResources.mGpus != 0);
  put("a", aStep.mDependencies, !aStep.mDependencies.empty());
  put("f", flags, flags != 0);
  put("l", aStep.mRequiredLabel, !aStep.mRequiredLabel.empty());
  put("r", aStep.mPreferredRack, !aStep.mPreferredRack.empty());
  put("i", aStep.mImage, !aStep.mImage.empty());
  put("w", aStep.mMaxPerWorker, aStep.mMaxPerWorker != 0);
  put("t",
      ToMillis(aStep.mTailLatencyTarget),
      aStep.mTailLatencyTarget != Duration::zero());
  put("x", aStep.mMaxUnavailable, aStep.mMaxUnavailable != 0);
  return json;
}

// Reads a member that is omitted if it is 0.
leaf::result<std::int64_t>
ReadOrZero(const Json& aJson, const char* aName, std::int64_t aMax)
{
  if (!aJson.contains(aName)) {
    return 0;
  }
  return ReadInRange(aJson, aName, 0, aMax);
}

std::string
ReadStringOrEmpty(const Json& aJson, const char* aName)
{
  auto it = aJson.find(aName);
  bool present = it != aJson.end() && it->is_string();
  return present ? it->get<std::string>() : std::string();
}

Json
ResourcesToJson(const Resources& aResources)
{
  return Json::array(
    { aResources.mCpuMillis, aResources.mMemoryMb, aResources.mGpus });
}

/// What the tasks of a job, or of an organisation, hold together.
constexpr std::int64_t kMaxResourceSum = 1'000'000'000'000'000;

leaf::result<Resources>
ResourcesFromJson(const Json& aJson)
{
  bool ok = aJson.is_array() && aJson.size() == 3;
  for (std::size_t i = 0; ok && i < 3; ++i) {
    ok = aJson[i].is_number_unsigned() &&
         aJson[i].get<std::uint64_t>() <=
           static_cast<std::uint64_t>(kMaxResourceSum);
  }
  if (!ok) {
    return Fail(MessageFailure{ MessageFault::WrongType, "resources" });
  }
  return Resources{ aJson[0].get<std::int64_t>(),
                    aJson[1].get<std::int64_t>(),
                    aJson[2].get<std::int64_t>() };
}

leaf::result<StepSpec>
StepFromJson(const Json& aJson, std::size_t aStepIndex)
{
  StepSpec step;
  BOOST_LEAF_ASSIGN(step.mTaskCount, ReadUnsigned32(aJson, "n"));
  BOOST_LEAF_ASSIGN(step.mTaskResources.mCpuMillis,
                    ReadInRange(aJson, "c", 0, kMaxResource));
  BOOST_LEAF_ASSIGN(step.mTaskResources.mMemoryMb,
                    ReadInRange(aJson, "m", 0, kMaxResource));
  BOOST_LEAF_ASSIGN(step.mEstimatedRunTime, ReadMillis(aJson, "e"));
  BOOST_LEAF_ASSIGN(step.mTaskResources.mGpus,
                    ReadOrZero(aJson, "g", kMaxResource));
  if (auto it = aJson.find("a"); it != aJson.end() && it->is_array()) {
    for (const Json& dependency : *it) {
      if (!dependency.is_number_unsigned() ||
          dependency.get<std::uint64_t>() >= aStepIndex) {
        return Fail(MessageFailure{ MessageFault::WrongType, "a" });
      }
      step.mDependencies.push_back(dependency.get<std::uint32_t>());
    }
  }
  BOOST_LEAF_AUTO(storedFlags, ReadOrZero(aJson, "f", kMaxUnsigned32));
  auto flags = static_cast<std::uint32_t>(storedFlags);
  step.mCheckpointable = (flags & 1U) != 0;
  step.mGang = (flags & 2U) != 0;
  step.mSameRack = (flags & 4U) != 0;
  step.mSpeculative = (flags & 8U) != 0;
  step.mLongRunning = (flags & 16U) != 0;
  step.mBestEffort = (flags & 32U) != 0;
  step.mRequiredLabel = ReadStringOrEmpty(aJson, "l");
  step.mPreferredRack = ReadStringOrEmpty(aJson, "r");
  step.mImage = ReadStringOrEmpty(aJson, "i");
  BOOST_LEAF_AUTO(maxPerWorker, ReadOrZero(aJson, "w", kMaxTasksPerJob));
  step.mMaxPerWorker = static_cast<std::uint32_t>(maxPerWorker);
  BOOST_LEAF_AUTO(targetMillis, ReadOrZero(aJson, "t", kMaxMillis));
  step.mTailLatencyTarget = std::chrono::milliseconds(targetMillis);
  BOOST_LEAF_AUTO(maxUnavailable, ReadOrZero(aJson, "x", kMaxTasksPerJob));
  step.mMaxUnavailable = static_cast<std::uint32_t>(maxUnavailable);
  return step;
}

// A task is an array: occurrence, step, index, done, failed runs, checkpoint.
constexpr std::size_t kTaskFieldCount = 6;

Json
TaskToJson(const StoredTask& aTask)
{
  return Json::array({ aTask.mOccurrence,
                       aTask.mStep,
                       aTask.mIndex,
                       aTask.mDone ? 1U : 0U,
                       aTask.mFailedRuns,
                       aTask.mCheckpoint });
}

leaf::result<StoredTask>
TaskFromJson(const Json& aJson)
{
  bool ok = aJson.is_array() && aJson.size() == kTaskFieldCount &&
            aJson[4].is_array() && aJson[5].is_string();
  for (std::size_t i = 0; ok && i < 4; ++i) {
    ok = aJson[i].is_number_unsigned() &&
         aJson[i].get<std::uint64_t>() <= kMaxUnsigned32;
  }
  if (!ok) {
    return Fail(MessageFailure{ MessageFault::WrongType, "t" });
  }
  StoredTask task;
  task.mOccurrence = aJson[0].get<std::uint32_t>();
  task.mStep = aJson[1].get<std::uint32_t>();
  task.mIndex = aJson[2].get<std::uint32_t>();
  task.mDone = aJson[3].get<std::uint32_t>() != 0;
  for (const Json& run : aJson[4]) {
    if (!run.is_number_unsigned()) {
      return Fail(MessageFailure{ MessageFault::WrongType, "t" });
    }
    task.mFailedRuns.push_back(run.get<std::uint64_t>());
  }
  task.mCheckpoint = aJson[5].get<std::string>();
  return task;
}

// Crashes of the listed tasks, in the same order.
leaf::result<void>
ReadCrashes(const Json& aJson, std::span<StoredTask> aTasks)
{
  BOOST_LEAF_AUTO(crashes, ReadArray(aJson, "c"));
  bool ok = crashes->size() == aTasks.size();
  for (std::size_t i = 0; ok && i < aTasks.size(); ++i) {
    const Json& n = (*crashes)[i];
    ok = n.is_number_unsigned() && n.get<std::uint64_t>() <= kMaxUnsigned32;
    aTasks[i].mCrashes = ok ? n.get<std::uint32_t>() : 0;
  }
  if (!ok) {
    return Fail(MessageFailure{ MessageFault::WrongType, "c" });
  }
  return {};
}

/// Bytes of a job's row beside its specification; the queue's name takes most.
constexpr std::size_t kMaxJobRowOverhead = 512;

// An upper bound of the specification's size that is cheap to compute.
std::size_t
MaxEncodedSize(const JobSpec& aSpec)
{
  constexpr std::size_t kMaxStepOverhead = 128;
  constexpr std::size_t kMaxNumberBytes = 5;
  std::size_t size = kMaxJobRowOverhead + aSpec.mPayload.size();
  for (const StepSpec& step : aSpec.mSteps) {
    size += kMaxStepOverhead + step.mRequiredLabel.size() +
            step.mPreferredRack.size() + step.mImage.size() +
            kMaxNumberBytes * step.mDependencies.size();
  }
  return size;
}

} // namespace

leaf::result<void>
CheckJobSpec(const JobSpec& aSpec)
{
  std::uint64_t tasks = 0;
  for (const StepSpec& step : aSpec.mSteps) {
    if (step.mTaskCount == 0 || step.mTaskCount > kMaxTasksPerStep) {
      return Fail(MessageFailure{ MessageFault::TooLarge, "count" });
    }
    tasks += step.mTaskCount;
  }
  std::uint64_t occurrences = std::max(aSpec.mOccurrences, 1U);
  if (aSpec.mSteps.empty() || aSpec.mSteps.size() > kMaxSteps ||
      tasks * occurrences > kMaxTasksPerJob) {
    return Fail(MessageFailure{ MessageFault::TooLarge, "steps" });
  }
  // Both factors are limited, so the product doesn't overflow.
  std::int64_t last =
    aSpec.mFirstStartTime.mMillis +
    static_cast<std::int64_t>(occurrences) * ToMillis(aSpec.mInterval);
  if (aSpec.mFirstStartTime.mMillis < 0 || last > kMaxTimeMillis) {
    return Fail(MessageFailure{ MessageFault::TooLarge, "interval" });
  }
  if (MaxEncodedSize(aSpec) > kMaxRowBytes &&
      ToCbor(JobSpecToJson(aSpec)).size() + kMaxJobRowOverhead > kMaxRowBytes) {
    return Fail(MessageFailure{ MessageFault::TooLarge, "steps" });
  }
  return {};
}

Json
JobSpecToJson(const JobSpec& aSpec)
{
  Json steps = Json::array();
  for (const StepSpec& step : aSpec.mSteps) {
    steps.push_back(StepToJson(step));
  }
  Json json = { { "w", aSpec.mPayload }, { "s", std::move(steps) } };
  if (aSpec.mOccurrences > 0) {
    json["o"] = aSpec.mOccurrences;
    json["d"] = aSpec.mFirstStartTime.mMillis;
    json["i"] = ToMillis(aSpec.mInterval);
  }
  return json;
}

leaf::result<JobSpec>
JobSpecFromJson(const Json& aJson)
{
  JobSpec spec;
  BOOST_LEAF_ASSIGN(spec.mPayload, ReadString(aJson, "w"));
  BOOST_LEAF_AUTO(steps, ReadArray(aJson, "s"));
  for (std::size_t i = 0; i < steps->size(); ++i) {
    BOOST_LEAF_AUTO(step, StepFromJson((*steps)[i], i));
    spec.mSteps.push_back(std::move(step));
  }
  BOOST_LEAF_AUTO(occurrences, ReadOrZero(aJson, "o", kMaxTasksPerJob));
  spec.mOccurrences = static_cast<std::uint32_t>(occurrences);
  if (spec.mOccurrences > 0) {
    BOOST_LEAF_ASSIGN(spec.mFirstStartTime.mMillis,
                      ReadInRange(aJson, "d", 0, kMaxTimeMillis));
    BOOST_LEAF_ASSIGN(spec.mInterval, ReadMillis(aJson, "i"));
  }
  BOOST_LEAF_CHECK(CheckJobSpec(spec));
  return spec;
}

std::string
EncodeStoredJob(const StoredJob& aJob)
{
  Json json = { { "q", aJob.mQueue },
                { "j", JobSpecToJson(aJob.mSpec) },
                { "t", aJob.mAcceptedTerm },
                { "a", aJob.mSubmitted.mMillis } };
  if (!aJob.mOrganisation.empty()) {
    json["b"] = aJob.mOrganisation;
  }
  return ToCbor(json);
}

leaf::result<StoredJob>
DecodeStoredJob(std::string_view aId, std::string_view aBytes)
{
  BOOST_LEAF_AUTO(json, ParseCbor(aBytes));
  StoredJob job;
  job.mId = aId;
  BOOST_LEAF_ASSIGN(job.mQueue, ReadString(json, "q"));
  job.mOrganisation = ReadStringOrEmpty(json, "b");
  BOOST_LEAF_AUTO(spec, Member(json, "j"));
  BOOST_LEAF_ASSIGN(job.mSpec, JobSpecFromJson(*spec));
  BOOST_LEAF_ASSIGN(job.mAcceptedTerm, ReadUnsigned32(json, "t"));
  BOOST_LEAF_ASSIGN(job.mSubmitted.mMillis,
                    ReadInRange(json, "a", 0, kMaxTimeMillis));
  return job;
}

namespace {

/// The done tasks of a step that nothing else is stored of: all of the first
/// ones, and a bit for each that follows.
struct DoneTasks
{
  std::uint32_t mFirst = 0;
  std::vector<std::uint8_t> mBits;

  // Tasks are added by rising index.
  void Add(std::uint32_t aIndex)
  {
    if (aIndex == mFirst && mBits.empty()) {
      ++mFirst;
    } else if (aIndex >= mFirst) {
      std::uint32_t bit = aIndex - mFirst;
      std::size_t byte = bit / kBitsPerByte;
      mBits.resize(std::max(mBits.size(), byte + 1));
      mBits[byte] |= static_cast<std::uint8_t>(1U << (bit % kBitsPerByte));
    }
  }
};

// Occurrences end about in order, so that there are few ranges.
Json
RangesToJson(std::vector<std::uint32_t> aNumbers)
{
  std::sort(aNumbers.begin(), aNumbers.end());
  Json ranges = Json::array();
  std::size_t first = 0;
  for (std::size_t i = 1; i <= aNumbers.size(); ++i) {
    bool ends =
      i == aNumbers.size() || aNumbers[i] != aNumbers[first] + (i - first);
    if (ends) {
      ranges.push_back(Json::array({ aNumbers[first], i - first }));
      first = i;
    }
  }
  return ranges;
}

leaf::result<std::uint32_t>
NumberFromJson(const Json& aNumber, std::uint64_t aMax, const char* aField)
{
  if (!aNumber.is_number_unsigned() || aNumber.get<std::uint64_t>() > aMax) {
    return Fail(MessageFailure{ MessageFault::WrongType, aField });
  }
  return aNumber.get<std::uint32_t>();
}

leaf::result<std::vector<std::uint32_t>>
RangesFromJson(const Json& aRanges, const char* aField)
{
  std::vector<std::uint32_t> all;
  for (const Json& range : aRanges) {
    if (!range.is_array() || range.size() != 2) {
      return Fail(MessageFailure{ MessageFault::WrongType, aField });
    }
    BOOST_LEAF_AUTO(first, NumberFromJson(range[0], kMaxTasksPerJob, aField));
    BOOST_LEAF_AUTO(
      count, NumberFromJson(range[1], kMaxTasksPerJob - all.size(), aField));
    bool ordered = all.empty() || first > all.back();
    if (!ordered || count == 0) {
      return Fail(MessageFailure{ MessageFault::WrongType, aField });
    }
    for (std::uint32_t i = 0; i < count; ++i) {
      all.push_back(first + i);
    }
  }
  return all;
}

// An array: occurrence, step, number of the first tasks, bits.
leaf::result<void>
ReadDoneTasks(const Json& aJson, std::vector<StoredTask>& aTasks)
{
  bool ok = aJson.is_array() && aJson.size() == 4 && aJson[3].is_binary() &&
            aJson[3].get_binary().size() <= kMaxTasksPerStep / kBitsPerByte + 1;
  if (!ok) {
    return Fail(MessageFailure{ MessageFault::WrongType, "s" });
  }
  BOOST_LEAF_AUTO(occurrence, NumberFromJson(aJson[0], kMaxTasksPerJob, "s"));
  BOOST_LEAF_AUTO(step, NumberFromJson(aJson[1], kMaxSteps, "s"));
  BOOST_LEAF_AUTO(first, NumberFromJson(aJson[2], kMaxTasksPerStep, "s"));
  auto add = [&](std::uint32_t aIndex) {
    aTasks.push_back({ occurrence, step, aIndex, true, {}, "", 0 });
  };
  for (std::uint32_t i = 0; i < first; ++i) {
    add(i);
  }
  const auto& bits = aJson[3].get_binary();
  for (std::uint32_t i = 0; i < bits.size() * kBitsPerByte; ++i) {
    if ((bits[i / kBitsPerByte] >> (i % kBitsPerByte) & 1U) != 0) {
      add(first + i);
    }
  }
  if (aTasks.size() > kMaxTasksPerJob) {
    return Fail(MessageFailure{ MessageFault::TooLarge, "s" });
  }
  return {};
}

// Rows of the first version list each task that is done.
leaf::result<void>
ReadProgressV1(const Json& aJson, StoredProgress& aProgress)
{
  BOOST_LEAF_AUTO(occurrences, ReadArray(aJson, "d"));
  for (const Json& at : *occurrences) {
    BOOST_LEAF_AUTO(number, NumberFromJson(at, kMaxUnsigned32, "d"));
    aProgress.mDoneOccurrences.push_back(number);
  }
  return {};
}

leaf::result<void>
ReadProgressV2(const Json& aJson, StoredProgress& aProgress)
{
  BOOST_LEAF_AUTO(version, ReadUnsigned(aJson, "v"));
  if (version != kProgressVersion) {
    return Fail(MessageFailure{ MessageFault::UnknownKind, "v" });
  }
  BOOST_LEAF_AUTO(occurrences, ReadArray(aJson, "o"));
  BOOST_LEAF_ASSIGN(aProgress.mDoneOccurrences,
                    RangesFromJson(*occurrences, "o"));
  BOOST_LEAF_AUTO(steps, ReadArray(aJson, "s"));
  for (const Json& step : *steps) {
    BOOST_LEAF_CHECK(ReadDoneTasks(step, aProgress.mTasks));
  }
  return {};
}

} // namespace

// Almost all tasks are done and nothing else, so these take a bit at most, and
// the row of a job with many tasks stays small.
std::string
EncodeProgress(const StoredProgress& aProgress)
{
  std::map<std::pair<std::uint32_t, std::uint32_t>, DoneTasks> done;
  Json tasks = Json::array();
  // One number a task; a list of its own, which earlier versions ignore.
  Json crashes = Json::array();
  bool crashed = false;
  for (const StoredTask& task : aProgress.mTasks) {
    bool onlyDone =
      task.mDone && task.mFailedRuns.empty() && task.mCheckpoint.empty();
    if (onlyDone) {
      done[{ task.mOccurrence, task.mStep }].Add(task.mIndex);
      continue;
    }
    tasks.push_back(TaskToJson(task));
    crashes.push_back(task.mCrashes);
    crashed = crashed || task.mCrashes > 0;
  }
  Json steps = Json::array();
  for (auto& [step, doneTasks] : done) {
    steps.push_back(Json::array({ step.first,
                                  step.second,
                                  doneTasks.mFirst,
                                  Json::binary(std::move(doneTasks.mBits)) }));
  }
  // A version that can't read the done tasks finds no list "d", so that it
  // doesn't run them again.
  Json progress = { { "v", kProgressVersion },
                    { "p", static_cast<std::uint32_t>(aProgress.mPhase) },
                    { "q", aProgress.mQueue },
                    { "o", RangesToJson(aProgress.mDoneOccurrences) },
                    { "s", std::move(steps) },
                    { "t", std::move(tasks) } };
  if (crashed) {
    progress["c"] = std::move(crashes);
  }
  if (!aProgress.mOrganisation.empty()) {
    progress["b"] = aProgress.mOrganisation;
  }
  if (aProgress.mHeld != Resources{}) {
    progress["h"] = ResourcesToJson(aProgress.mHeld);
  }
  return ToCbor(progress);
}

std::optional<std::string>
EncodeProgressRow(const StoredProgress& aProgress)
{
  std::string row = EncodeProgress(aProgress);
  if (row.size() <= kMaxRowBytes) {
    return row;
  }
  StoredProgress reduced = aProgress;
  for (StoredTask& task : reduced.mTasks) {
    task.mCheckpoint.clear();
    task.mCrashes = 0;
  }
  std::erase_if(reduced.mTasks, [](const StoredTask& aTask) {
    return !aTask.mDone && aTask.mFailedRuns.empty();
  });
  row = EncodeProgress(reduced);
  if (row.size() <= kMaxRowBytes) {
    return row;
  }
  return std::nullopt;
}

leaf::result<StoredProgress>
DecodeProgress(std::string_view aBytes)
{
  BOOST_LEAF_AUTO(json, ParseCbor(aBytes));
  StoredProgress progress;
  BOOST_LEAF_AUTO(phase, ReadUnsigned(json, "p"));
  if (phase > static_cast<std::uint64_t>(JobPhase::Cancelled)) {
    return Fail(MessageFailure{ MessageFault::UnknownKind, "p" });
  }
  progress.mPhase = static_cast<JobPhase>(phase);
  BOOST_LEAF_ASSIGN(progress.mQueue, ReadString(json, "q"));
  progress.mOrganisation = ReadStringOrEmpty(json, "b");
  if (json.contains("h")) {
    BOOST_LEAF_ASSIGN(progress.mHeld, ResourcesFromJson(json["h"]));
  }
  if (json.contains("v")) {
    BOOST_LEAF_CHECK(ReadProgressV2(json, progress));
  } else {
    BOOST_LEAF_CHECK(ReadProgressV1(json, progress));
  }
  BOOST_LEAF_AUTO(tasks, ReadArray(json, "t"));
  std::vector<StoredTask> listed;
  for (const Json& at : *tasks) {
    BOOST_LEAF_AUTO(task, TaskFromJson(at));
    listed.push_back(std::move(task));
  }
  if (json.contains("c")) {
    BOOST_LEAF_CHECK(ReadCrashes(json, listed));
  }
  for (StoredTask& task : listed) {
    progress.mTasks.push_back(std::move(task));
  }
  // A job's tasks are read whole or not at all: a task that is left out would
  // run again, one that is listed twice would count twice towards its step.
  std::set<std::tuple<std::uint32_t, std::uint32_t, std::uint32_t>> known;
  for (const StoredTask& task : progress.mTasks) {
    if (!known.emplace(task.mOccurrence, task.mStep, task.mIndex).second) {
      return Fail(MessageFailure{ MessageFault::WrongType, "t" });
    }
  }
  return progress;
}

std::string
EncodeOwnerRow(const OwnerRow& aRow)
{
  Json json = { { "n", aRow.mNode },
                { "h", aRow.mPeerEndpoint.mHost },
                { "p", aRow.mPeerEndpoint.mPort },
                { "i", ToNumber(aRow.mIncarnation) },
                { "t", aRow.mTerm },
                { "s", aRow.mSequence },
                { "r", aRow.mReleased },
                { "x", aRow.mDrainingWorkers },
                { "d", ToMillis(aRow.mClaimDelay) } };
  // The row is a part of every commit.
  if (!aRow.mQueues.empty()) {
    json["q"] = aRow.mQueues;
  }
  if (aRow.mLease != kOwnerLeaseDuration) {
    json["l"] = ToMillis(aRow.mLease);
  }
  return ToCbor(json);
}

namespace {

leaf::result<std::vector<std::string>>
ReadStrings(const Json& aJson, const char* aField)
{
  BOOST_LEAF_AUTO(array, ReadArray(aJson, aField));
  std::vector<std::string> strings;
  for (const Json& at : *array) {
    if (!at.is_string()) {
      return Fail(MessageFailure{ MessageFault::WrongType, aField });
    }
    strings.push_back(at.get<std::string>());
  }
  return strings;
}

} // namespace

leaf::result<OwnerRow>
DecodeOwnerRow(std::string_view aBytes)
{
  BOOST_LEAF_AUTO(json, ParseCbor(aBytes));
  OwnerRow row;
  BOOST_LEAF_ASSIGN(row.mNode, ReadString(json, "n"));
  BOOST_LEAF_AUTO(host, Member(json, "h"));
  BOOST_LEAF_AUTO(port, Member(json, "p"));
  BOOST_LEAF_ASSIGN(row.mPeerEndpoint, RemoteEndpointFromParts(*host, *port));
  BOOST_LEAF_AUTO(incarnation, ReadUnsigned(json, "i"));
  row.mIncarnation = Incarnation(incarnation);
  BOOST_LEAF_ASSIGN(row.mTerm, ReadUnsigned32(json, "t"));
  BOOST_LEAF_ASSIGN(row.mSequence, ReadUnsigned(json, "s"));
  BOOST_LEAF_ASSIGN(row.mReleased, ReadBool(json, "r"));
  BOOST_LEAF_ASSIGN(row.mDrainingWorkers, ReadStrings(json, "x"));
  if (json.contains("q")) {
    BOOST_LEAF_ASSIGN(row.mQueues, ReadStrings(json, "q"));
  }
  if (json.contains("l")) {
    BOOST_LEAF_ASSIGN(row.mLease, ReadMillis(json, "l"));
  }
  // Rows written by the previous version lack this field.
  BOOST_LEAF_AUTO(delayMillis, ReadOrZero(json, "d", kMaxMillis));
  row.mClaimDelay = std::chrono::milliseconds(delayMillis);
  return row;
}

std::string
EncodeQuotaRow(const QuotaRow& aRow)
{
  Json json = Json::object();
  for (const auto& [cell, grant] : aRow) {
    json[cell] = { { "g", ResourcesToJson(grant.mGranted) },
                   { "w", ResourcesToJson(grant.mWanted) },
                   { "t", grant.mTerm },
                   { "s", grant.mSequence } };
  }
  return ToCbor(json);
}

// A row is read whole or not at all: without a cell's grant the others would
// take it.
leaf::result<QuotaRow>
DecodeQuotaRow(std::string_view aBytes)
{
  BOOST_LEAF_AUTO(json, ParseCbor(aBytes));
  if (!json.is_object()) {
    return Fail(MessageFailure{ MessageFault::WrongType, {} });
  }
  QuotaRow row;
  for (const auto& [cell, entry] : json.items()) {
    QuotaGrant grant;
    BOOST_LEAF_AUTO(granted, Member(entry, "g"));
    BOOST_LEAF_ASSIGN(grant.mGranted, ResourcesFromJson(*granted));
    BOOST_LEAF_AUTO(wanted, Member(entry, "w"));
    BOOST_LEAF_ASSIGN(grant.mWanted, ResourcesFromJson(*wanted));
    BOOST_LEAF_ASSIGN(grant.mTerm, ReadUnsigned32(entry, "t"));
    BOOST_LEAF_ASSIGN(grant.mSequence, ReadUnsigned(entry, "s"));
    row.emplace(cell, grant);
  }
  return row;
}

std::string
EncodeLayout(const FleetLayout& aLayout)
{
  Json json = { { "shards", aLayout.mShards } };
  return ToCbor(json);
}

leaf::result<FleetLayout>
DecodeLayout(std::string_view aBytes)
{
  BOOST_LEAF_AUTO(json, ParseCbor(aBytes));
  BOOST_LEAF_AUTO(shards, ReadInRange(json, "shards", 1, kMaxShards));
  return FleetLayout{ static_cast<std::uint32_t>(shards) };
}

std::string
EncodeWorkerSet(std::span<const WorkerAddress> aWorkers)
{
  Json list = Json::array();
  for (const WorkerAddress& worker : aWorkers) {
    list.push_back(Json::array({ worker.mId,
                                 worker.mEndpoint.mHost,
                                 worker.mEndpoint.mPort,
                                 worker.mVm,
                                 worker.mIncarnation }));
  }
  return ToCbor(list);
}

namespace {

// An earlier owner's runs may still exist on a worker whose entry is malformed.
// The entry is kept without what can't be read, so that tasks wait until that
// worker's leases have expired.
WorkerAddress
WorkerFromJson(const Json& aJson)
{
  WorkerAddress worker;
  if (!aJson.is_array() || aJson.empty() || !aJson[0].is_string()) {
    return worker;
  }
  worker.mId = aJson[0].get<std::string>();
  // Rows written by previous versions lack the VM or the incarnation.
  if (aJson.size() >= 4 && aJson[3].is_string()) {
    worker.mVm = aJson[3].get<std::string>();
  }
  if (aJson.size() >= 5 && aJson[4].is_number_unsigned()) {
    worker.mIncarnation = aJson[4].get<std::int64_t>();
  }
  if (aJson.size() >= 3) {
    worker.mEndpoint = leaf::try_handle_all(
      [&] { return RemoteEndpointFromParts(aJson[1], aJson[2]); },
      [] { return Endpoint{}; });
  }
  return worker;
}

} // namespace

leaf::result<std::vector<WorkerAddress>>
DecodeWorkerSet(std::string_view aBytes)
{
  BOOST_LEAF_AUTO(json, ParseCbor(aBytes));
  std::vector<WorkerAddress> workers;
  if (!json.is_array()) {
    return Fail(MessageFailure{ MessageFault::WrongType, {} });
  }
  for (const Json& at : json) {
    workers.push_back(WorkerFromJson(at));
  }
  return workers;
}

} // namespace buckthornshunt
