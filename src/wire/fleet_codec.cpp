#include "wire/fleet_codec.h"

namespace buckthornshunt {

namespace {

leaf::result<std::vector<std::string>>
ReadNames(const Json& aObject, const char* aName)
{
  BOOST_LEAF_AUTO(list, ReadArray(aObject, aName));
  std::vector<std::string> names;
  for (const Json& at : *list) {
    if (!at.is_string()) {
      return Fail(MessageFailure{ MessageFault::WrongType, aName });
    }
    names.push_back(at.get<std::string>());
  }
  return names;
}

leaf::result<double>
ReadReal(const Json& aObject, const char* aName)
{
  BOOST_LEAF_AUTO(at, Member(aObject, aName));
  if (!at->is_number()) {
    return Fail(MessageFailure{ MessageFault::WrongType, aName });
  }
  return at->get<double>();
}

// A worker is id, runs, lasting, sealed; one that isn't listed adds VM, born.
constexpr std::size_t kWorkerFields = 4;
constexpr std::size_t kUnlistedFields = 6;

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
  BOOST_LEAF_ASSIGN(wave.mDone, ReadNames(json, "d"));
  BOOST_LEAF_ASSIGN(wave.mCompleted, ReadBool(json, "c"));
  // Rows of the version before don't say it.
  auto seen = json.find("s");
  if (seen != json.end() && seen->is_number_integer()) {
    wave.mSeen.mMillis = seen->get<std::int64_t>();
  }
  return wave;
}

Json
FleetSyncToJson(const FleetSync& aSync)
{
  Json ended = Json::object();
  for (const auto& [id, born] : aSync.mEnded) {
    ended[id] = born;
  }
  return { { "pool", aSync.mPool },
           { "token", aSync.mToken },
           { "sealed", aSync.mSealed },
           { "ended", std::move(ended) },
           { "incoming", aSync.mIncomingCores } };
}

leaf::result<FleetSync>
FleetSyncFromJson(const Json& aJson)
{
  FleetSync sync;
  BOOST_LEAF_ASSIGN(sync.mPool, ReadString(aJson, "pool"));
  BOOST_LEAF_ASSIGN(sync.mToken, ReadUnsigned(aJson, "token"));
  BOOST_LEAF_ASSIGN(sync.mSealed, ReadNames(aJson, "sealed"));
  BOOST_LEAF_ASSIGN(sync.mIncomingCores, ReadReal(aJson, "incoming"));
  BOOST_LEAF_AUTO(ended, Member(aJson, "ended"));
  for (const auto& [id, born] : ended->items()) {
    if (!born.is_number_integer()) {
      return Fail(MessageFailure{ MessageFault::WrongType, "ended" });
    }
    sync.mEnded.emplace(id, born.get<std::int64_t>());
  }
  return sync;
}

Json
PoolUseToJson(const PoolUsage& aUse)
{
  Json workers = Json::array();
  for (const auto& [id, worker] : aUse.mWorkers) {
    Json row =
      Json::array({ id, worker.mRuns, worker.mHasLongRunning, worker.mSealed });
    if (worker.mUnlisted) {
      row.push_back(worker.mUnlisted->mVm);
      row.push_back(worker.mUnlisted->mIncarnationStart);
    }
    workers.push_back(std::move(row));
  }
  return { { "busy", aUse.mBusyCores },
           { "waiting", aUse.mWaitingCores },
           { "asked", aUse.mForecastDemandCores },
           { "mean", aUse.mMeanDemandCores },
           { "lasting", aUse.mLongRunningCores },
           { "vms", aUse.mMinVms },
           { "workers", std::move(workers) } };
}

leaf::result<PoolUsage>
PoolUseFromJson(const Json& aJson)
{
  PoolUsage use;
  BOOST_LEAF_ASSIGN(use.mBusyCores, ReadReal(aJson, "busy"));
  BOOST_LEAF_ASSIGN(use.mWaitingCores, ReadReal(aJson, "waiting"));
  BOOST_LEAF_ASSIGN(use.mForecastDemandCores, ReadReal(aJson, "asked"));
  BOOST_LEAF_ASSIGN(use.mMeanDemandCores, ReadReal(aJson, "mean"));
  BOOST_LEAF_ASSIGN(use.mLongRunningCores, ReadReal(aJson, "lasting"));
  BOOST_LEAF_AUTO(vms, ReadUnsigned(aJson, "vms"));
  use.mMinVms = static_cast<std::uint32_t>(vms);
  BOOST_LEAF_AUTO(workers, ReadArray(aJson, "workers"));
  for (const Json& at : *workers) {
    bool unlisted = at.is_array() && at.size() == kUnlistedFields &&
                    at[4].is_string() && at[5].is_number_integer();
    bool ok = at.is_array() && (at.size() == kWorkerFields || unlisted) &&
              at[0].is_string() && at[1].is_number_unsigned() &&
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
    use.mWorkers.emplace(at[0].get<std::string>(), std::move(worker));
  }
  return use;
}

} // namespace buckthornshunt
