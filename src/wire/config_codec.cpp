#include "wire/config_codec.h"

#include "decide/config_merge.h"
#include "wire/config_schema.h"
#include "wire/json_sax.h"

#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>

namespace buckthornshunt {

namespace {

constexpr std::uintmax_t kMaxFileBytes = 8ULL * 1024 * 1024;

/// Finds the JSON pointer of the first duplicate key in an object.
class DuplicateKeyFinder : public DefaultSaxHandler
{
public:
  bool start_object(std::size_t) { return Enter(); }
  bool start_array(std::size_t) { return Enter(); }
  bool end_object() { return Leave(); }
  bool end_array() { return Leave(); }
  bool parse_error(std::size_t aOffset,
                   const std::string&,
                   const Json::exception& aError)
  {
    mError = aError.what();
    mErrorOffset = aOffset;
    return false;
  }
  bool key(string_t& aKey)
  {
    Level& level = mLevels.back();
    level.mKey = aKey;
    if (level.mSeenKeys.insert(aKey).second) {
      return true;
    }
    mDuplicatePointer = Pointer();
    return false;
  }

  const std::string& DuplicatePointer() const { return mDuplicatePointer; }
  const std::string& Error() const { return mError; }
  bool TooDeep() const { return mTooDeep; }

private:
  struct Level
  {
    std::string mKey;
    std::set<std::string> mSeenKeys;
  };

  bool Enter()
  {
    mLevels.emplace_back();
    mTooDeep = mLevels.size() > kMaxJsonDepth;
    return !mTooDeep;
  }
  bool Leave()
  {
    mLevels.pop_back();
    return true;
  }
  std::string Pointer() const
  {
    std::string pointer;
    for (const Level& level : mLevels) {
      pointer += "/" + level.mKey;
    }
    return pointer;
  }

  std::vector<Level> mLevels;
  std::string mDuplicatePointer;
  std::string mError;
  std::size_t mErrorOffset = 0;
  bool mTooDeep = false;
};

// The validator writes a path as <root>[pools][quoting]; failures report JSON
// pointers, which operators know.
std::string
ToJsonPointer(const std::vector<std::string>& aContext)
{
  std::string pointer;
  for (const std::string& part : aContext) {
    if (part.size() > 2 && part.front() == '[') {
      std::string name = part.substr(1, part.size() - 2);
      name.erase(std::remove(name.begin(), name.end(), '"'), name.end());
      pointer += "/" + name;
    }
  }
  return pointer;
}

leaf::error_id
FailConfig(ConfigFault aFault,
           std::string_view aFile,
           std::string aPointer,
           std::string aDetail)
{
  return Fail(ConfigFailure{
    aFault, std::string(aFile), std::move(aPointer), std::move(aDetail) });
}

} // namespace

leaf::result<Json>
ParseDocument(std::string_view aFile, std::string_view aText)
{
  DuplicateKeyFinder finder;
  if (!Json::sax_parse(aText, &finder)) {
    if (!finder.DuplicatePointer().empty()) {
      return FailConfig(ConfigFault::DuplicateKey,
                        aFile,
                        finder.DuplicatePointer(),
                        "duplicate key");
    }
    std::string detail =
      finder.TooDeep() ? "nested too deeply" : finder.Error();
    return FailConfig(ConfigFault::Syntax, aFile, {}, std::move(detail));
  }
  return Json::parse(aText);
}

leaf::result<Json>
ReadDocument(const std::filesystem::path& aFile)
{
  std::error_code ec;
  std::uintmax_t size = std::filesystem::file_size(aFile, ec);
  if (ec) {
    return FailConfig(
      ConfigFault::FileUnreadable, aFile.string(), {}, ec.message());
  }
  if (size > kMaxFileBytes) {
    return FailConfig(ConfigFault::FileTooLarge,
                      aFile.string(),
                      {},
                      "file is larger than 8 MiB");
  }
  std::ifstream in(aFile, std::ios::binary);
  std::ostringstream text;
  text << in.rdbuf();
  if (!in) {
    return FailConfig(ConfigFault::FileUnreadable,
                      aFile.string(),
                      {},
                      "reading the file failed");
  }
  return ParseDocument(aFile.string(), text.view());
}

leaf::result<ConfigSource>
ReadConfigSource(const std::filesystem::path& aDirectory)
{
  ConfigSource source;
  std::filesystem::path base = aDirectory / "base.json";
  source.mBase.mFile = base.string();
  BOOST_LEAF_ASSIGN(source.mBase.mJson, ReadDocument(base));

  std::error_code ec;
  std::vector<std::filesystem::path> files;
  for (const auto& entry :
       std::filesystem::directory_iterator(aDirectory / "overlays", ec)) {
    if (entry.path().extension() == ".json") {
      files.push_back(entry.path());
    }
  }
  std::sort(files.begin(), files.end());
  for (const std::filesystem::path& file : files) {
    BOOST_LEAF_AUTO(json, ReadDocument(file));
    source.mOverlays.push_back({ file.string(), std::move(json) });
  }
  return source;
}

leaf::result<void>
CheckSchema(const Document& aDocument, std::string_view aSchema)
{
  Json schemaJson = Json::parse(aSchema);
  valijson::Schema schema;
  valijson::SchemaParser parser;
  valijson::adapters::NlohmannJsonAdapter schemaAdapter(schemaJson);
  parser.populateSchema(schemaAdapter, schema);

  valijson::Validator validator;
  valijson::ValidationResults results;
  valijson::adapters::NlohmannJsonAdapter target(aDocument.mJson);
  if (validator.validate(schema, target, &results)) {
    return {};
  }
  // The deepest error is at the invalid value; its ancestors repeat it.
  valijson::ValidationResults::Error error;
  valijson::ValidationResults::Error deepest;
  while (results.popError(error)) {
    if (error.context.size() >= deepest.context.size()) {
      deepest = error;
    }
  }
  return FailConfig(ConfigFault::Schema,
                    aDocument.mFile,
                    ToJsonPointer(deepest.context),
                    deepest.description);
}

namespace {

OperationConfig
OperationFromJson(const Json& aJson)
{
  OperationConfig operation;
  bool idempotent = aJson.value("idempotent", false);
  operation.mIdempotency =
    idempotent ? Idempotency::Idempotent : Idempotency::NonIdempotent;
  std::int64_t deadline =
    aJson.value("deadline_ms", ToMillis(operation.mDefaultTimeout));
  operation.mDefaultTimeout = std::chrono::milliseconds(deadline);
  operation.mUrgent = aJson.value("urgent", operation.mUrgent);
  return operation;
}

PoolConfig
PoolFromJson(const Json& aJson)
{
  PoolConfig pool;
  pool.mVms = aJson.value("vms", pool.mVms);
  pool.mMaxSpareVms = aJson.value("spare_vms", pool.mMaxSpareVms);
  pool.mSlotsPerVm = aJson.value("slots_per_vm", pool.mSlotsPerVm);
  pool.mConnectionsPerVm =
    aJson.value("connections_per_vm", pool.mConnectionsPerVm);
  pool.mQueueLimit = aJson.value("queue_limit", pool.mQueueLimit);
  pool.mLongTaskThreshold = std::chrono::milliseconds(
    aJson.value("long_after_ms", ToMillis(pool.mLongTaskThreshold)));
  pool.mCentsPerVmHour = aJson.value("cents_per_vm_hour", pool.mCentsPerVmHour);
  Json availability = aJson.value("availability", Json::object());
  pool.mAvailability.mVmLosses = availability.value("vms", 0);
  pool.mAvailability.mRackLosses = availability.value("racks", 0);
  Json operations = aJson.value("operations", Json::object());
  for (const auto& [name, operation] : operations.items()) {
    pool.mOperations.emplace(name, OperationFromJson(operation));
  }
  return pool;
}

BaseConfig
BaseFromJson(const Json& aJson)
{
  BaseConfig base;
  base.mSparePool = aJson.at("spare_pool").get<std::string>();
  Json maintenance = aJson.value("maintenance", Json::object());
  MaintenanceConfig& plan = base.mMaintenance;
  plan.mPeriodDays = maintenance.value("period_days", plan.mPeriodDays);
  plan.mMaxConcurrentRacks =
    maintenance.value("racks_at_once", plan.mMaxConcurrentRacks);
  for (const auto& [name, site] : aJson.at("sites").items()) {
    InventoryConfig inventory;
    inventory.mVms = site.value("vms", 0);
    inventory.mVmsPerRack = site.value("vms_per_rack", inventory.mVmsPerRack);
    base.mSites.emplace(name, inventory);
  }
  for (const auto& [name, pool] : aJson.at("pools").items()) {
    base.mPools.emplace(name, PoolFromJson(pool));
  }
  Json teams = aJson.value("teams", Json::object());
  for (const auto& [name, team] : teams.items()) {
    base.mTeams.emplace(name, TeamConfig{ team.at("slots").get<int>() });
  }
  return base;
}

template<class Value>
void
ReadOptional(const Json& aJson, const char* aName, std::optional<Value>& aValue)
{
  auto it = aJson.find(aName);
  if (it != aJson.end()) {
    aValue = it->get<Value>();
  }
}

SiteOverlay
OverlayFromJson(const Json& aJson)
{
  SiteOverlay overlay;
  overlay.mSite = aJson.at("site").get<std::string>();
  Json pools = aJson.value("pools", Json::object());
  for (const auto& [name, json] : pools.items()) {
    PoolOverlay pool;
    ReadOptional(json, "vms", pool.mVms);
    ReadOptional(json, "spare_vms", pool.mMaxSpareVms);
    ReadOptional(json, "queue_limit", pool.mQueueLimit);
    ReadOptional(json, "cents_per_vm_hour", pool.mCentsPerVmHour);
    Json availability = json.value("availability", Json::object());
    ReadOptional(availability, "vms", pool.mAvailabilityVms);
    ReadOptional(availability, "racks", pool.mAvailabilityRacks);
    overlay.mPools.emplace(name, pool);
  }
  Json teams = aJson.value("teams", Json::object());
  for (const auto& [name, team] : teams.items()) {
    overlay.mTeamSlots.emplace(name, team.at("slots").get<int>());
  }
  Json maintenance = aJson.value("maintenance", Json::object());
  ReadOptional(maintenance, "racks_at_once", overlay.mMaxConcurrentRacks);
  return overlay;
}

// Sets the file name of all faults from index aFirst on.
void
SetFaultFile(std::vector<ConfigFailure>& aFaults,
             std::size_t aFirst,
             std::string_view aFile)
{
  for (std::size_t i = aFirst; i < aFaults.size(); ++i) {
    aFaults[i].mFile = aFile;
  }
}

bool
MatchesSchema(const Document& aDocument,
              std::string_view aSchema,
              std::vector<ConfigFailure>& aFaults)
{
  auto result =
    ToExpected<std::monostate>([&]() -> leaf::result<std::monostate> {
      BOOST_LEAF_CHECK(CheckSchema(aDocument, aSchema));
      return std::monostate{};
    });
  if (Ok(result)) {
    return true;
  }
  if (const auto* fault =
        std::get_if<ConfigFailure>(&std::get<Failure>(result))) {
    aFaults.push_back(*fault);
  }
  return false;
}

} // namespace

FleetConfig
CheckConfig(const ConfigSource& aSource, std::vector<ConfigFailure>& aFaults)
{
  FleetConfig fleet;
  if (!MatchesSchema(aSource.mBase, kBaseSchema, aFaults)) {
    return fleet;
  }
  fleet.mBase = BaseFromJson(aSource.mBase.mJson);
  std::size_t firstFault = aFaults.size();
  CheckBase(fleet.mBase, aFaults);
  SetFaultFile(aFaults, firstFault, aSource.mBase.mFile);

  NameMap<std::string> fileOfSite;
  for (const Document& document : aSource.mOverlays) {
    firstFault = aFaults.size();
    if (!MatchesSchema(document, kOverlaySchema, aFaults)) {
      continue;
    }
    SiteOverlay overlay = OverlayFromJson(document.mJson);
    SiteConfig site = MergeSite(fleet.mBase, overlay, aFaults);
    if (!fileOfSite.emplace(overlay.mSite, document.mFile).second) {
      aFaults.push_back({ ConfigFault::DuplicateKey,
                          {},
                          "/site",
                          "another overlay already configures this site" });
    }
    SetFaultFile(aFaults, firstFault, document.mFile);
    fleet.mSites[overlay.mSite] = std::move(site);
  }
  for (const auto& [name, inventory] : fleet.mBase.mSites) {
    firstFault = aFaults.size();
    auto [it, inserted] = fleet.mSites.try_emplace(name);
    if (inserted) {
      it->second = MergeSite(fleet.mBase, name);
    }
    CheckFeasible(it->second, aFaults);
    auto file = fileOfSite.find(name);
    SetFaultFile(aFaults,
                 firstFault,
                 file == fileOfSite.end() ? aSource.mBase.mFile : file->second);
  }
  return fleet;
}

namespace {

// Objects that are split into one row per member.
const std::set<std::string> kSplitMembers = { "pools", "teams" };

void
SplitDocument(const Json& aJson,
              std::string_view aPrefix,
              NameMap<std::string>& aSections)
{
  Json rest = Json::object();
  for (const auto& [name, value] : aJson.items()) {
    if (!kSplitMembers.contains(name)) {
      rest[name] = value;
      continue;
    }
    std::string prefix = std::string(aPrefix) + name + "/";
    for (const auto& [member, section] : value.items()) {
      aSections[prefix + member] = section.dump();
    }
  }
  aSections[std::string(aPrefix) + "fleet"] = rest.dump();
}

constexpr std::string_view kBasePrefix = "base/";
constexpr std::string_view kSitePrefix = "site/";

void
MergeSection(Json& aJson, std::string_view aKey, const Json& aSection)
{
  if (aKey == "fleet") {
    aJson.update(aSection);
    return;
  }
  std::size_t slash = aKey.find('/');
  aJson[std::string(aKey.substr(0, slash))]
       [std::string(aKey.substr(slash + 1))] = aSection;
}

} // namespace

NameMap<std::string>
SplitConfig(const ConfigSource& aSource)
{
  NameMap<std::string> sections;
  SplitDocument(aSource.mBase.mJson, kBasePrefix, sections);
  for (const Document& overlay : aSource.mOverlays) {
    std::string site = overlay.mJson.at("site").get<std::string>();
    SplitDocument(
      overlay.mJson, std::string(kSitePrefix) + site + "/", sections);
  }
  return sections;
}

ConfigSource
JoinConfig(const NameMap<std::string>& aSections)
{
  ConfigSource source;
  source.mBase.mFile = "base.json";
  NameMap<Json> sites;
  for (const auto& [key, text] : aSections) {
    std::string_view rest = key;
    Json section = Json::parse(text);
    if (rest.starts_with(kBasePrefix)) {
      MergeSection(
        source.mBase.mJson, rest.substr(kBasePrefix.size()), section);
      continue;
    }
    if (rest.starts_with(kSitePrefix)) {
      rest.remove_prefix(kSitePrefix.size());
      std::size_t slash = rest.find('/');
      MergeSection(sites[std::string(rest.substr(0, slash))],
                   rest.substr(slash + 1),
                   section);
    }
  }
  for (auto& [name, json] : sites) {
    source.mOverlays.push_back(
      { "overlays/" + name + ".json", std::move(json) });
  }
  return source;
}

std::string
EncodeConfigHead(ConfigVersion aVersion)
{
  return Json{ { "version", ToNumber(aVersion) } }.dump();
}

leaf::result<ConfigVersion>
DecodeConfigHead(std::string_view aText)
{
  BOOST_LEAF_AUTO(json, ParseJson(aText));
  BOOST_LEAF_AUTO(version, ReadUnsigned(json, "version"));
  return ConfigVersion(version);
}

} // namespace buckthornshunt
