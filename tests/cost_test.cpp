#include "cluster.h"

#include "decide/cost.h"
#include "wire/row_codec.h"

#include <doctest/doctest.h>

#include <map>

using namespace buckthornshunt;
using namespace buckthornshunt::tests;
using namespace std::chrono_literals;

namespace {

LedgerEntry
Entry(std::string_view aVm,
      std::string_view aPool,
      std::uint64_t aEpoch,
      VmState aState,
      std::int64_t aFrom)
{
  LedgerEntry entry;
  entry.mRow.mVm = aVm;
  entry.mRow.mPool = aPool;
  entry.mRow.mEpoch = Epoch(aEpoch);
  entry.mRow.mState = aState;
  entry.mFrom = WallTime{ aFrom };
  return entry;
}

SiteConfig
Site()
{
  SiteConfig site;
  site.mSparePool = "spare";
  site.mPools["work"].mVms = 1;
  site.mPools["work"].mCentsPerVmHour = 36;
  site.mPools["spare"].mVms = 0;
  return site;
}

double
Seconds(std::span<const CostLine> aLines, std::string_view aPool, CostUse aUse)
{
  double seconds = 0;
  for (const CostLine& line : aLines) {
    seconds += line.mPool == aPool && line.mUse == aUse ? line.mVmSeconds : 0;
  }
  return seconds;
}

double
Total(std::span<const CostLine> aLines)
{
  double seconds = 0;
  for (const CostLine& line : aLines) {
    seconds += line.mVmSeconds;
  }
  return seconds;
}

} // namespace

TEST_CASE("cost is charged by pool, use and time until retirement")
{
  std::vector<LedgerEntry> ledger = {
    Entry("v1", "work", 1, VmState::Serving, 0),
    Entry("v2", "work", 1, VmState::Serving, 0),
    Entry("v2", "work", 2, VmState::Leaving, 40000),
    Entry("v2", "spare", 3, VmState::Serving, 50000),
    Entry("v1", "work", 2, VmState::Lost, 60000),
    Entry("v1", "work", 3, VmState::Retired, 80000),
  };
  auto lines =
    ComputeCost(ledger, Site(), WallTime{ 10000 }, WallTime{ 100000 });
  CHECK(Seconds(lines, "work", CostUse::Serving) == 50);
  CHECK(Seconds(lines, "work", CostUse::HeldForBudget) == 30);
  CHECK(Seconds(lines, "work", CostUse::Leaving) == 10);
  CHECK(Seconds(lines, "work", CostUse::Lost) == 20);
  CHECK(Seconds(lines, "spare", CostUse::HeldAsSpare) == 50);
  // v2 counts for the whole time, v1 until it was retired.
  CHECK(Total(lines) == 90 + 70);
  for (const CostLine& line : lines) {
    if (line.mPool == "work" && line.mUse == CostUse::Serving) {
      CHECK(line.mCents == doctest::Approx(0.5));
    }
  }
}

// The expected sum comes from the table's log, VM by VM, not from the code
// under test.
TEST_CASE("costs add up to the whole fleet across moves and losses")
{
  Cluster cluster;
  for (int i = 1; i <= 5; ++i) {
    cluster.AddWorker("a" + std::to_string(i), "a", "r" + std::to_string(i));
  }
  cluster.StartNode("n1", "a");
  cluster.StartNode("n2", "a");
  REQUIRE(Ok(cluster.Apply("n1", MakeBaseConfig(2, 0))));
  REQUIRE(cluster.Settle());
  cluster.Advance(5s);
  auto& workers = cluster.Platform().Vms().mWorkers;
  std::erase_if(workers, [](const VmListing& aVm) { return aVm.mVm == "a1"; });
  cluster.Server("a1").Faults().mRefuseConnections = true;
  cluster.KillNode("n1");
  cluster.Advance(30s);
  cluster.KillNode("n2");
  cluster.StartNode("n2", "a");
  cluster.Advance(15min);

  std::vector<LedgerEntry> ledger;
  std::map<std::string, std::int64_t> firstOwned;
  std::map<std::string, std::int64_t> ended;
  for (const Row& row : cluster.Platform().Log()) {
    if (!row.mKey.starts_with(LedgerPrefix("a"))) {
      continue;
    }
    VmOwnership vm = DecodeVm(row.mValue).value();
    ledger.push_back({ vm, row.mCommitted });
    firstOwned.try_emplace(vm.mVm, row.mCommitted.mMillis);
    if (vm.mState == VmState::Retired) {
      ended[vm.mVm] = row.mCommitted.mMillis;
    }
  }
  WallTime to = cluster.GetClock().WallNow();
  double fleet = 0;
  for (const auto& [vm, from] : firstOwned) {
    std::int64_t end = ended.contains(vm) ? ended[vm] : to.mMillis;
    fleet += static_cast<double>(end - from) / 1000;
  }
  CHECK(firstOwned.size() == 5);
  CHECK(ended.contains("a1"));
  SiteConfig site = *cluster.Get<ConfigService>("n2").Current();
  auto lines = ComputeCost(ledger, site, WallTime{ 0 }, to);
  CHECK(Total(lines) == doctest::Approx(fleet));
  CHECK(Seconds(lines, "work", CostUse::Lost) > 0);
}
