#include "cluster.h"

#include "services/wave_service.h"

#include <doctest/doctest.h>

using namespace buckthornshunt;
using namespace buckthornshunt::tests;
using namespace std::chrono_literals;

namespace {

constexpr int kVms = 8;
constexpr int kVmsPerRack = 2;

std::string
VmName(int aIndex)
{
  return "a" + std::to_string(aIndex);
}

// Eight VMs in four racks, all in the pool "work", which needs five VMs.
void
StartSite(Cluster& aCluster)
{
  for (int i = 0; i < kVms; ++i) {
    aCluster.AddWorker(VmName(i), "a", "r" + std::to_string(i / kVmsPerRack));
  }
  aCluster.StartNode("n1", "a");
  aCluster.StartNode("n2", "a");
  Json base = Json::parse(MakeBaseConfig(5, 0));
  base["pools"]["work"]["spare_vms"] = 3;
  base["pools"]["work"]["availability"] = { { "racks", 1 }, { "vms", 1 } };
  base["sites"]["a"]["vms_per_rack"] = kVmsPerRack;
  REQUIRE(Ok(aCluster.Apply("n1", base.dump())));
  REQUIRE(aCluster.Settle());
}

std::string
Leader(Cluster& aCluster)
{
  bool first = aCluster.Get<ControlService>("n1").IsLeader();
  return first ? "n1" : "n2";
}

// Starts or pauses a wave at a node and waits for the answer.
bool
StartOrPause(Cluster& aCluster, std::string_view aNode, bool aStart)
{
  std::optional<bool> result;
  auto startOrPause = [](WaveService& aWaves,
                         bool aStart,
                         TimePoint aDeadline,
                         std::optional<bool>& aResult) -> Task<void> {
    if (aStart) {
      auto wave = co_await aWaves.Begin(aDeadline);
      aResult = Ok(wave);
    } else {
      auto wave = co_await aWaves.Pause(aDeadline);
      aResult = Ok(wave);
    }
  };
  TimePoint deadline = aCluster.GetClock().Now() + 3s;
  aCluster.Spawn(
    startOrPause(aCluster.Get<WaveService>(aNode), aStart, deadline, result));
  for (int i = 0; i < 500 && !result; ++i) {
    aCluster.Advance(10ms);
  }
  REQUIRE(result);
  return *result;
}

int
Serving(Cluster& aCluster)
{
  int serving = 0;
  for (int i = 0; i < kVms; ++i) {
    serving +=
      aCluster.RowOf("a", VmName(i)).mState == VmState::Serving ? 1 : 0;
  }
  return serving;
}

int
CountRestarted(Cluster& aCluster)
{
  int n = 0;
  for (int i = 0; i < kVms; ++i) {
    n += aCluster.Server(VmName(i)).GetIncarnation() > 1 ? 1 : 0;
  }
  return n;
}

// Runs until the wave is in that state and returns the minimum number of VMs
// that served meanwhile.
int
RunUntil(Cluster& aCluster, std::string_view aNode, WaveState aState)
{
  int minServing = kVms;
  for (int i = 0; i < 400; ++i) {
    if (aCluster.Get<WaveService>(aNode).View().mWave.mState == aState) {
      break;
    }
    aCluster.Advance(500ms);
    minServing = std::min(minServing, Serving(aCluster));
  }
  return minServing;
}

} // namespace

TEST_CASE("a wave maintains every VM and leaves the pool the VMs it needs")
{
  Cluster cluster;
  StartSite(cluster);
  CHECK_FALSE(StartOrPause(cluster, "n1", false));
  REQUIRE(StartOrPause(cluster, "n2", true));
  CHECK_FALSE(StartOrPause(cluster, "n1", true));
  std::vector<SentRequestPtr> calls;
  for (int i = 0; i < 40; ++i) {
    calls.push_back(cluster.Send(
      "n1", MakeRequest("invoice", "t" + std::to_string(i), 300), 20s));
    cluster.Advance(100ms);
  }
  int minServing = RunUntil(cluster, "n1", WaveState::Done);
  CHECK(cluster.Get<WaveService>("n1").View().mWave.mState == WaveState::Done);
  CHECK(minServing >= 5);
  CHECK(CountRestarted(cluster) == kVms);
  CHECK(Serving(cluster) == kVms);
  CHECK(cluster.Get<WaveService>("n1").View().mDaysUntilOverdue > 41);
  for (const SentRequestPtr& call : calls) {
    REQUIRE(call->mOutcome);
    CHECK(OutcomeName(*call->mOutcome) == "completed");
  }
}

TEST_CASE("a wave waits while lost VMs leave no margin")
{
  Cluster cluster;
  StartSite(cluster);
  auto& workers = cluster.Platform().Vms().mWorkers;
  std::vector<VmListing> all = workers;
  for (const char* vm : { "a0", "a7" }) {
    cluster.Server(vm).Faults().mRefuseConnections = true;
    std::erase_if(workers, [&](const VmListing& aVm) { return aVm.mVm == vm; });
  }
  cluster.Advance(20s);
  REQUIRE(Serving(cluster) == 6);
  REQUIRE(StartOrPause(cluster, "n1", true));
  cluster.Advance(60s);
  // Maintaining a rack of two VMs would leave four; a rack with a lost VM
  // leaves five.
  CHECK(CountRestarted(cluster) == 2);
  CHECK(Serving(cluster) == 6);
  workers = all;
  cluster.Server("a0").Faults().mRefuseConnections = false;
  cluster.Server("a7").Faults().mRefuseConnections = false;
  CHECK(RunUntil(cluster, "n1", WaveState::Done) >= 5);
  CHECK(Serving(cluster) == kVms);
}

TEST_CASE("a VM lost in maintenance pauses the wave before the next rack")
{
  Cluster cluster;
  StartSite(cluster);
  REQUIRE(StartOrPause(cluster, "n1", true));
  std::string lost;
  for (int i = 0; i < 200 && lost.empty(); ++i) {
    cluster.Advance(100ms);
    for (int v = 0; v < kVms; ++v) {
      if (cluster.RowOf("a", VmName(v)).mState == VmState::Maintenance) {
        lost = VmName(v);
      }
    }
  }
  REQUIRE_FALSE(lost.empty());
  cluster.Server(lost).Faults().mRefuseConnections = true;
  auto& workers = cluster.Platform().Vms().mWorkers;
  std::vector<VmListing> all = workers;
  std::erase_if(workers, [&](const VmListing& aVm) { return aVm.mVm == lost; });
  RunUntil(cluster, "n1", WaveState::Paused);
  WaveView view = cluster.Get<WaveService>("n1").View();
  CHECK(view.mWave.mState == WaveState::Paused);
  CHECK(view.mWave.mReason.find(lost) != std::string::npos);
  int restarted = CountRestarted(cluster);
  cluster.Advance(60s);
  CHECK(CountRestarted(cluster) == restarted);
  CHECK(restarted <= kVmsPerRack);
  SUBCASE("and continues when an operator resumes it")
  {
    workers = all;
    cluster.Server(lost).Faults().mRefuseConnections = false;
    REQUIRE(StartOrPause(cluster, "n2", true));
    CHECK(RunUntil(cluster, "n1", WaveState::Done) >= 5);
    CHECK(Serving(cluster) == kVms);
  }
}

TEST_CASE("a wave outlives its controller and takes no VM while partitioned")
{
  Cluster cluster;
  StartSite(cluster);
  REQUIRE(StartOrPause(cluster, "n1", true));
  cluster.Advance(2s);
  std::string leader = Leader(cluster);
  std::string other = leader == "n1" ? "n2" : "n1";
  cluster.KillNode(leader);
  cluster.StartNode(leader, "a");
  cluster.Advance(25s);
  cluster.CutPlatform("a", true);
  cluster.Advance(5s);
  int restarted = CountRestarted(cluster);
  cluster.Advance(30s);
  CHECK(CountRestarted(cluster) == restarted);
  cluster.CutPlatform("a", false);
  CHECK(RunUntil(cluster, other, WaveState::Done) >= 5);
  CHECK(CountRestarted(cluster) == kVms);
  CHECK(Serving(cluster) == kVms);
}
