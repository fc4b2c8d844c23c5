#include "daemon/settings.h"

#include "wire/config_codec.h"
#include "wire/config_schema.h"
#include "wire/row_codec.h"

namespace buckthornshunt {

namespace {

leaf::result<Endpoint>
ReadEndpoint(std::string_view aFile,
             std::string_view aText,
             std::string aJsonPointer)
{
  auto endpoint = ToExpected<Endpoint>([&] { return ParseEndpoint(aText); });
  if (!Ok(endpoint)) {
    return Fail(ConfigFailure{ ConfigFault::Schema,
                               std::string(aFile),
                               std::move(aJsonPointer),
                               "expected ADDRESS:PORT" });
  }
  return std::get<Endpoint>(endpoint);
}

LogLevel
ParseLogLevel(std::string_view aText)
{
  if (aText == "debug") {
    return LogLevel::Debug;
  }
  if (aText == "warn") {
    return LogLevel::Warn;
  }
  return aText == "error" ? LogLevel::Error : LogLevel::Info;
}

Duration
ReadMilliseconds(const Json& aSection, const char* aName, Duration aDefault)
{
  auto it = aSection.find(aName);
  if (it == aSection.end()) {
    return aDefault;
  }
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double, std::milli>(it->get<double>()));
}

Duration
ReadSeconds(const Json& aSection, const char* aName, Duration aDefault)
{
  auto it = aSection.find(aName);
  if (it == aSection.end()) {
    return aDefault;
  }
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(it->get<double>()));
}

leaf::result<WorkloadSettings>
ReadWorkload(std::string_view aFile, const Json& aSection)
{
  WorkloadSettings workload;
  auto endpoint = [&](const char* aName) {
    return ReadEndpoint(aFile,
                        aSection.at(aName).get<std::string>(),
                        std::string("/workload/") + aName);
  };
  BOOST_LEAF_ASSIGN(workload.mReadiness, endpoint("ready"));
  BOOST_LEAF_ASSIGN(workload.mMetrics, endpoint("metrics"));
  if (aSection.contains("machines")) {
    BOOST_LEAF_ASSIGN(workload.mMachines, endpoint("machines"));
  }
  if (aSection.contains("advice")) {
    BOOST_LEAF_ASSIGN(workload.mAdvice, endpoint("advice"));
  }
  workload.mShutdownGracePeriod =
    ReadSeconds(aSection, "grace_s", workload.mShutdownGracePeriod);
  workload.mStatusRetention =
    ReadSeconds(aSection, "status_kept_s", workload.mStatusRetention);
  workload.mMaxRunLeaseDuration = ReadMilliseconds(
    aSection, "longest_run_lease_ms", workload.mMaxRunLeaseDuration);
  workload.mDutyLease =
    ReadMilliseconds(aSection, "duty_lease_ms", workload.mDutyLease);
  if (aSection.contains("key_revocation_ms")) {
    workload.mKeyRevocationDelay =
      ReadMilliseconds(aSection, "key_revocation_ms", Duration::zero());
  }
  workload.mSeparateInterference =
    aSection.value("separate_interference", workload.mSeparateInterference);
  workload.mLinks.mMaxLinks =
    aSection.value("max_links", workload.mLinks.mMaxLinks);
  workload.mLinks.mMaxHeldBytes =
    aSection.value("max_link_bytes", workload.mLinks.mMaxHeldBytes);
  workload.mNodeCapacity.mCores = aSection.value("processor_share", 1.0) *
                                  aSection.value("processor_speed", 1.0);
  workload.mNodeCapacity.mLinkMbps =
    aSection.value("link_mbps", workload.mNodeCapacity.mLinkMbps);
  return workload;
}

} // namespace

leaf::result<Settings>
SettingsFromJson(std::string_view aFile, const Json& aJson)
{
  BOOST_LEAF_CHECK(CheckSchema({ std::string(aFile), aJson }, kSettingsSchema));
  Settings settings;
  settings.mNode = aJson.at("node").get<std::string>();
  settings.mDataCentre = aJson.at("data_centre").get<std::string>();
  BOOST_LEAF_ASSIGN(
    settings.mCallers,
    ReadEndpoint(aFile, aJson.at("callers").get<std::string>(), "/callers"));
  BOOST_LEAF_ASSIGN(
    settings.mPeers,
    ReadEndpoint(aFile, aJson.at("peers").get<std::string>(), "/peers"));
  BOOST_LEAF_ASSIGN(
    settings.mPlatform,
    ReadEndpoint(aFile, aJson.at("platform").get<std::string>(), "/platform"));
  Json seeds = aJson.value("peer_seeds", Json::array());
  for (std::size_t i = 0; i < seeds.size(); ++i) {
    std::string pointer = "/peer_seeds/" + std::to_string(i);
    BOOST_LEAF_AUTO(
      seed,
      ReadEndpoint(aFile, seeds[i].get<std::string>(), std::move(pointer)));
    settings.mPeerSeeds.push_back(std::move(seed));
  }
  Json log = aJson.value("log", Json::object());
  settings.mLogFormat =
    log.value("format", "text") == "json" ? LogFormat::Json : LogFormat::Text;
  settings.mLogLevel = ParseLogLevel(log.value("level", "info"));
  if (aJson.contains("workload")) {
    BOOST_LEAF_ASSIGN(settings.mWorkload,
                      ReadWorkload(aFile, aJson.at("workload")));
  }
  return settings;
}

leaf::result<Settings>
ReadSettings(const std::filesystem::path& aFile)
{
  BOOST_LEAF_AUTO(json, ReadDocument(aFile));
  return SettingsFromJson(aFile.string(), json);
}

} // namespace buckthornshunt
