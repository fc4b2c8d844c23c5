#include "wire/fleet_codec.h"

#include <limits>

namespace buckthornshunt {

namespace {

// Lists of names are read whole or not at all: a worker that is left out of
// those that are sealed would get new runs.
leaf::result<std::vector<std::string>>
ReadStrings(const Json& aObject, const char* aName)
{
  BOOST_LEAF_AUTO(list, ReadArray(aObject, aName));
  std::vector<std::string> strings;
  for (const Json& at : *list) {
    if (!at.is_string()) {
      return Fail(MessageFailure{ MessageFault::WrongType, aName });
    }
    strings.push_back(at.get<std::string>());
  }
  return strings;
}

constexpr double kMaxCores = 1e9;
constexpr std::uint64_t kMaxRuns = std::numeric_limits<std::uint32_t>::max();

bool
IsIntegerUpTo(const Json& aJson, std::uint64_t aMax)
{
  bool negative = !aJson.is_number_unsigned() && aJson.is_number_integer() &&
                  aJson.get<std::int64_t>() < 0;
  return aJson.is_number_integer() && !negative &&
         aJson.get<std::uint64_t>() <= aMax;
}

// Fails for infinities and for NaN, which the plan can't compare.
leaf::result<double>
ReadCores(const Json& aObject, const char* aName)
{
  BOOST_LEAF_AUTO(at, Member(aObject, aName));
  double cores = at->is_number() ? at->get<double>() : -1;
  bool ok = cores >= 0 && cores <= kMaxCores;
  if (!ok) {
    return Fail(MessageFailure{ MessageFault::WrongType, aName });
  }
  return cores;
}

// A worker is an array: id, runs, has long-running runs, sealed; an unlisted
// one adds its VM and the start of its incarnation.
constexpr std::size_t kWorkerFieldCount = 4;
constexpr std::size_t kUnlistedWorkerFieldCount = 6;

} // namespace

std::string
EncodeIntents(const IntentMap& aIntents)
{
  Json list = Json::array();
  for (const auto& [vm, intent] : aIntents) {
    list.push_back({
      { "v", vm },
      { "p", intent.mTargetPool },
      { "w", intent.mWave },
      { "i", intent.mWorker },
    });
  }
  return ToCbor({ { "orders", std::move(list) } });
}

leaf::result<IntentMap>
DecodeIntents(std::string_view aBytes)
{
  BOOST_LEAF_AUTO(json, ParseCbor(aBytes));
  BOOST_LEAF_AUTO(list, ReadArray(json, "orders"));
  IntentMap intents;
  for (const Json& at : *list) {
    FleetIntent intent;
    BOOST_LEAF_AUTO(vm, ReadString(at, "v"));
    BOOST_LEAF_ASSIGN(intent.mTargetPool, ReadString(at, "p"));
    BOOST_LEAF_ASSIGN(intent.mWave, ReadUnsigned(at, "w"));
    BOOST_LEAF_ASSIGN(intent.mWorker, ReadString(at, "i"));
    intents.emplace(std::move(vm), std::move(intent));
  }
  return intents;
}

std::string
EncodeStoredWave(const StoredWave& aWave)
{
  return ToCbor({ { "n", aWave.mNumber },
                  { "d", aWave.mDone },
                  { "c", aWave.mCompleted },
                  { "s", aWave.mSeen.mMillis } });
}

leaf::result<StoredWave>
DecodeStoredWave(std::string_view aBytes)
{
  BOOST_LEAF_AUTO(json, ParseCbor(aBytes));
  StoredWave wave;
  BOOST_LEAF_ASSIGN(wave.mNumber, ReadUnsigned(json, "n"));
  BOOST_LEAF_ASSIGN(wave.mDone, ReadStrings(json, "d"));
  BOOST_LEAF_ASSIGN(wave.mCompleted, ReadBool(json, "c"));
  // Rows written by the previous version lack this field.
  auto seen = json.find("s");
  if (seen != json.end()) {
    BOOST_LEAF_ASSIGN(wave.mSeen.mMillis,
                      ReadInRange(json, "s", 0, kMaxTimeMillis));
  }
  return wave;
}

namespace {

using Incarnations = std::map<std::string, std::int64_t>;

leaf::result<Incarnations>
ReadIncarnations(const Json& aObject, const char* aName)
{
  BOOST_LEAF_AUTO(list, Member(aObject, aName));
  if (!list->is_object()) {
    return Fail(MessageFailure{ MessageFault::WrongType, aName });
  }
  Incarnations incarnations;
  for (const auto& [id, unused] : list->items()) {
    BOOST_LEAF_AUTO(start, ReadInRange(*list, id.c_str(), 0, kMaxTimeMillis));
    incarnations.emplace(id, start);
  }
  return incarnations;
}

} // namespace

Json
FleetSyncToJson(const FleetSync& aSync)
{
  return {
    { "pool", aSync.mCell },         { "token", aSync.mToken },
    { "sealed", aSync.mSealed },     { "ended", Json(aSync.mEnded) },
    { "moved", Json(aSync.mMoved) }, { "incoming", aSync.mIncomingCores }
  };
}

leaf::result<FleetSync>
FleetSyncFromJson(const Json& aJson)
{
  FleetSync sync;
  BOOST_LEAF_ASSIGN(sync.mCell, ReadString(aJson, "pool"));
  BOOST_LEAF_ASSIGN(sync.mToken, ReadUnsigned(aJson, "token"));
  BOOST_LEAF_ASSIGN(sync.mSealed, ReadStrings(aJson, "sealed"));
  BOOST_LEAF_ASSIGN(sync.mIncomingCores, ReadCores(aJson, "incoming"));
  BOOST_LEAF_ASSIGN(sync.mEnded, ReadIncarnations(aJson, "ended"));
  // Nodes of the previous version don't send this field.
  if (aJson.contains("moved")) {
    BOOST_LEAF_ASSIGN(sync.mMoved, ReadIncarnations(aJson, "moved"));
  }
  return sync;
}

Json
PoolUsageToJson(const PoolUsage& aUsage)
{
  Json workers = Json::array();
  for (const auto& [id, worker] : aUsage.mWorkers) {
    Json row =
      Json::array({ id, worker.mRuns, worker.mHasLongRunning, worker.mSealed });
    if (worker.mUnlisted) {
      row.push_back(worker.mUnlisted->mVm);
      row.push_back(worker.mUnlisted->mIncarnationStart);
    }
    workers.push_back(std::move(row));
  }
  return { { "busy", aUsage.mBusyCores },
           { "waiting", aUsage.mWaitingCores },
           { "asked", aUsage.mForecastDemandCores },
           { "mean", aUsage.mMeanDemandCores },
           { "lasting", aUsage.mLongRunningCores },
           { "vms", aUsage.mMinVms },
           { "missing", aUsage.mMissingVms },
           { "workers", std::move(workers) } };
}

leaf::result<PoolUsage>
PoolUsageFromJson(const Json& aJson)
{
  PoolUsage usage;
  BOOST_LEAF_ASSIGN(usage.mBusyCores, ReadCores(aJson, "busy"));
  BOOST_LEAF_ASSIGN(usage.mWaitingCores, ReadCores(aJson, "waiting"));
  BOOST_LEAF_ASSIGN(usage.mForecastDemandCores, ReadCores(aJson, "asked"));
  BOOST_LEAF_ASSIGN(usage.mMeanDemandCores, ReadCores(aJson, "mean"));
  BOOST_LEAF_ASSIGN(usage.mLongRunningCores, ReadCores(aJson, "lasting"));
  BOOST_LEAF_ASSIGN(usage.mMinVms, ReadUnsigned32(aJson, "vms"));
  // Nodes of the previous version don't send this field.
  if (aJson.contains("missing")) {
    BOOST_LEAF_ASSIGN(usage.mMissingVms, ReadUnsigned32(aJson, "missing"));
  }
  BOOST_LEAF_AUTO(workers, ReadArray(aJson, "workers"));
  // One malformed worker rejects the report: a worker that is left out would
  // look empty, and its VM would be taken away.
  for (const Json& at : *workers) {
    bool unlisted = at.is_array() && at.size() == kUnlistedWorkerFieldCount &&
                    at[4].is_string() && IsIntegerUpTo(at[5], kMaxTimeMillis);
    bool ok = at.is_array() && (at.size() == kWorkerFieldCount || unlisted) &&
              at[0].is_string() && IsIntegerUpTo(at[1], kMaxRuns) &&
              at[2].is_boolean() && at[3].is_boolean();
    if (!ok) {
      return Fail(MessageFailure{ MessageFault::WrongType, "workers" });
    }
    WorkerUsage worker;
    worker.mRuns = at[1].get<std::uint32_t>();
    worker.mHasLongRunning = at[2].get<bool>();
    worker.mSealed = at[3].get<bool>();
    if (unlisted) {
      worker.mUnlisted =
        UnlistedWorker{ at[4].get<std::string>(), at[5].get<std::int64_t>() };
    }
    usage.mWorkers.emplace(at[0].get<std::string>(), std::move(worker));
  }
  return usage;
}

} // namespace buckthornshunt
