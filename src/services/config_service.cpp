#include "services/config_service.h"

#include "kernel/log.h"
#include "services/table_service.h"
#include "wire/row_codec.h"

namespace buckthornshunt {

namespace {

constexpr std::string_view kPart = "config";

std::string
SectionKey(std::string_view aSection)
{
  return std::string(kConfigPrefix) + std::string(aSection);
}

} // namespace

ConfigService::ConfigService(Kernel& aKernel, std::string_view aSite)
  : mKernel(aKernel)
  , mSite(aSite)
  , mChanged(aKernel.Context())
  , mTasks(aKernel.Context(), &aKernel.Groups())
{
}

leaf::result<void>
ConfigService::Start()
{
  BOOST_LEAF_ASSIGN(mTable, mKernel.Find<TableService>(TableService::kName));
  mTasks.Spawn("config follow", WatchConfig());
  return {};
}

Task<void>
ConfigService::Stop()
{
  mTasks.CancelAll();
  co_await mTasks.Join();
}

Task<void>
ConfigService::WatchConfig()
{
  auto watch = mTable->Watch(kConfigPrefix);
  while (true) {
    co_await watch->Next();
    Load();
  }
}

NameMap<std::string>
ConfigService::Sections() const
{
  NameMap<std::string> sections;
  mTable->View().ForEach(kConfigPrefix, [&](const Row& aRow) {
    if (aRow.mKey != kConfigHeadKey) {
      sections.emplace(aRow.mKey.substr(kConfigPrefix.size()), aRow.mValue);
    }
  });
  return sections;
}

ConfigVersion
ConfigService::HeadVersion() const
{
  const Row* head = mTable->View().Find(kConfigHeadKey);
  if (head == nullptr) {
    return ConfigVersion{};
  }
  auto version =
    ToExpected<ConfigVersion>([&] { return DecodeConfigHead(head->mValue); });
  return Ok(version) ? std::get<ConfigVersion>(version) : ConfigVersion{};
}

ConfigSource
ConfigService::Source() const
{
  return JoinConfig(Sections());
}

// The head row's version increases with each accepted change, and rows never
// return to an older revision, so a version in force is only replaced by a
// higher one.
void
ConfigService::Load()
{
  ConfigVersion version = HeadVersion();
  if (version == ConfigVersion{} ||
      (mCurrent && mCurrent->mVersion >= version)) {
    return;
  }
  std::vector<ConfigFailure> faults;
  FleetConfig fleet = CheckConfig(Source(), faults);
  auto it = fleet.mSites.find(mSite);
  if (!faults.empty() || it == fleet.mSites.end()) {
    std::string why = faults.empty() ? "the configuration lacks this site"
                                     : Describe(Failure(faults.front()));
    LogError(kPart,
             "version {} is unusable at this node and ignored: {}",
             ToNumber(version),
             why);
    return;
  }
  mCurrent = std::move(it->second);
  mCurrent->mVersion = version;
  mInForceSince = mKernel.GetClock().WallNow();
  mKernel.GetMetrics()
    .GetCounter("config_version")
    .Set(static_cast<std::int64_t>(ToNumber(version)));
  LogInfo(kPart, "version {} is in force", ToNumber(version));
  mChanged.NotifyAll();
}

// Writes the head and the sections that differ. Every change writes the head,
// so its expected revision guards all sections.
CommitRows
ConfigService::PlanCommit(const ConfigSource& aSource,
                          ConfigVersion aVersion) const
{
  NameMap<std::string> wanted = SplitConfig(aSource);
  NameMap<std::string> present = Sections();
  const TableReplica& view = mTable->View();
  CommitRows commit;
  const Row* head = view.Find(kConfigHeadKey);
  Revision expected = head != nullptr ? head->mRevision : Revision{};
  commit.mWrites.push_back({ std::string(kConfigHeadKey),
                             EncodeConfigHead(aVersion),
                             expected,
                             false });
  for (const auto& [name, text] : wanted) {
    auto it = present.find(name);
    if (it != present.end() && it->second == text) {
      continue;
    }
    const Row* row = view.Find(SectionKey(name));
    Revision revision = row != nullptr ? row->mRevision : Revision{};
    commit.mWrites.push_back({ SectionKey(name), text, revision, false });
  }
  for (const auto& [name, text] : present) {
    if (!wanted.contains(name)) {
      const Row* row = view.Find(SectionKey(name));
      commit.mWrites.push_back({ SectionKey(name), {}, row->mRevision, true });
    }
  }
  return commit;
}

Task<Expected<ConfigVersion>>
ConfigService::Accept(ConfigSource aSource,
                      ConfigVersion aParent,
                      TimePoint aDeadline)
{
  std::vector<ConfigFailure> faults;
  CheckConfig(aSource, faults);
  if (!faults.empty()) {
    co_return Failure(std::move(faults.front()));
  }
  // This node's copy may be stale, so the newest rows are read first.
  auto batch = co_await mTable->ReadPrefix(
    std::string(kControlPrefix), mTable->View().Position(), aDeadline);
  if (!Ok(batch)) {
    co_return Failure(StoreUnavailable{});
  }
  mTable->Merge(std::get<RowBatch>(batch));
  Load();
  ConfigVersion newest = HeadVersion();
  if (aParent != newest) {
    co_return Failure(CommitConflict{ std::string(kConfigHeadKey),
                                      Revision(ToNumber(newest)) });
  }
  ConfigVersion version = Next(newest);
  CommitRows commit = PlanCommit(aSource, version);
  if (commit.mWrites.size() == 1) {
    co_return Failure(StateConflict{ "the configuration equals version " +
                                     std::to_string(ToNumber(newest)) });
  }
  auto written = co_await mTable->Commit(std::move(commit), aDeadline);
  if (!Ok(written)) {
    co_return std::get<Failure>(std::move(written));
  }
  LogInfo(kPart, "version {} was accepted", ToNumber(version));
  co_return version;
}

} // namespace buckthornshunt
