#include "cluster.h"

#include <doctest/doctest.h>

using namespace buckthornshunt;
using namespace buckthornshunt::tests;
using namespace std::chrono_literals;

namespace {

void
StartOneSite(Cluster& aCluster)
{
  for (int i = 1; i <= 4; ++i) {
    aCluster.AddWorker("a" + std::to_string(i), "a", "r" + std::to_string(i));
  }
  aCluster.StartNode("n1", "a");
  aCluster.StartNode("n2", "a");
  REQUIRE(Ok(aCluster.Apply("n1", MakeBaseConfig(2, 2))));
  REQUIRE(aCluster.Settle());
}

// Returns a VM of the pool according to the newest rows.
std::string
VmOf(Cluster& aCluster, std::string_view aPool)
{
  for (const char* vm : { "a1", "a2", "a3", "a4" }) {
    if (aCluster.RowOf("a", vm).mPool == aPool) {
      return vm;
    }
  }
  return {};
}

// Asks a node to move a VM and waits for the answer.
Expected<VmOwnership>
Move(Cluster& aCluster,
     std::string_view aNode,
     std::string_view aVm,
     std::string_view aPool)
{
  std::optional<Expected<VmOwnership>> result;
  auto move = [](ControlService& aControl,
                 std::string aVm,
                 std::string aPool,
                 TimePoint aDeadline,
                 std::optional<Expected<VmOwnership>>& aResult) -> Task<void> {
    aResult = co_await aControl.Move(aVm, aPool, aDeadline);
  };
  aCluster.Spawn(move(aCluster.Get<ControlService>(aNode),
                      std::string(aVm),
                      std::string(aPool),
                      aCluster.GetClock().Now() + 2s,
                      result));
  for (int i = 0; i < 300 && !result; ++i) {
    aCluster.Advance(10ms);
  }
  return *result;
}

} // namespace

TEST_CASE("a move waits for work in flight, then changes the pool once")
{
  Cluster cluster;
  StartOneSite(cluster);
  std::vector<SentRequestPtr> calls;
  for (int i = 0; i < 16; ++i) {
    calls.push_back(cluster.Send(
      "n1", MakeRequest("long", "t" + std::to_string(i), 3000), 10s));
  }
  cluster.Advance(100ms);
  std::string vm = VmOf(cluster, "work");
  REQUIRE(Ok(Move(cluster, "n2", vm, "spare")));
  cluster.Advance(2s);
  CHECK(cluster.RowOf("a", vm).mState == VmState::Leaving);
  CHECK(cluster.RowOf("a", vm).mPool == "work");
  cluster.Advance(5s);
  VmOwnership row = cluster.RowOf("a", vm);
  CHECK(row.mPool == "spare");
  CHECK(row.mState == VmState::Serving);
  for (const SentRequestPtr& call : calls) {
    REQUIRE(call->mOutcome);
    CHECK(OutcomeName(*call->mOutcome) == "completed");
  }
}

TEST_CASE("a move waits for the acknowledgement of an unreachable node")
{
  Cluster cluster;
  StartOneSite(cluster);
  std::string vm = VmOf(cluster, "spare");
  // The acknowledgements of the two other nodes must not suffice.
  cluster.StartNode("n3", "a");
  REQUIRE(cluster.Settle());
  cluster.KillNode("n3");
  REQUIRE(Ok(Move(cluster, "n1", vm, "work")));
  cluster.Advance(10s);
  CHECK(cluster.RowOf("a", vm).mState == VmState::Leaving);
  SUBCASE("until the platform reports that the node's VM has ended")
  {
    auto& entry = cluster.Platform().Vms().mEntryVms;
    entry.erase(std::find(entry.begin(), entry.end(), "n3"));
    cluster.Advance(40s);
    CHECK(cluster.RowOf("a", vm).mState == VmState::Serving);
    CHECK(cluster.RowOf("a", vm).mPool == "work");
  }
  SUBCASE("until the next incarnation of the node has acknowledged")
  {
    cluster.StartNode("n3", "a");
    cluster.Advance(10s);
    CHECK(cluster.RowOf("a", vm).mPool == "work");
  }
}

TEST_CASE("of two concurrent moves of a VM exactly one succeeds")
{
  Cluster cluster;
  StartOneSite(cluster);
  std::string vm = VmOf(cluster, "work");
  auto move = [](ControlService& aControl,
                 std::string aVm,
                 TimePoint aDeadline,
                 int& aWon) -> Task<void> {
    auto moved = co_await aControl.Move(aVm, "spare", aDeadline);
    aWon += Ok(moved) ? 1 : 0;
  };
  int won = 0;
  cluster.Platform().Faults().mDelay = 50ms;
  TimePoint deadline = cluster.GetClock().Now() + 3s;
  cluster.Spawn(move(cluster.Get<ControlService>("n1"), vm, deadline, won));
  cluster.Spawn(move(cluster.Get<ControlService>("n2"), vm, deadline, won));
  cluster.Advance(5s);
  CHECK(won == 1);
}

TEST_CASE("a move completes after its controller has failed")
{
  Cluster cluster;
  StartOneSite(cluster);
  bool firstLeads = cluster.Get<ControlService>("n1").IsLeader();
  std::string leader = firstLeads ? "n1" : "n2";
  std::string other = firstLeads ? "n2" : "n1";
  std::string vm = VmOf(cluster, "spare");
  REQUIRE(Ok(Move(cluster, leader, vm, "work")));
  cluster.KillNode(leader);
  cluster.StartNode(leader, "a");
  cluster.Advance(40s);
  CHECK(cluster.RowOf("a", vm).mPool == "work");
  CHECK(cluster.RowOf("a", vm).mState == VmState::Serving);
}

TEST_CASE("a lost VM is replaced from the spare pool")
{
  Cluster cluster;
  StartOneSite(cluster);
  std::string vm = VmOf(cluster, "work");
  cluster.Server(vm).Faults().mRefuseConnections = true;
  auto& workers = cluster.Platform().Vms().mWorkers;
  std::erase_if(workers, [&](const VmListing& aVm) { return aVm.mVm == vm; });
  REQUIRE(Ok(cluster.Apply("n1", MakeBaseConfig(2, 0))));
  cluster.Advance(30s);
  CHECK(cluster.RowOf("a", vm).mState == VmState::Lost);
  int serving = 0;
  for (const char* name : { "a1", "a2", "a3", "a4" }) {
    VmOwnership row = cluster.RowOf("a", name);
    serving += MayDispatch(row, "work") ? 1 : 0;
  }
  CHECK(serving == 2);
}

TEST_CASE("a VM that the platform removes gets no new work after 3 s")
{
  Cluster cluster;
  StartOneSite(cluster);
  cluster.StartNode("n3", "a");
  REQUIRE(cluster.Settle());
  std::string vm = VmOf(cluster, "work");
  for (VmListing& listed : cluster.Platform().Vms().mWorkers) {
    listed.mLeaving = listed.mVm == vm || listed.mLeaving;
  }
  cluster.Advance(3s);
  std::size_t before = cluster.Log().size();
  for (int i = 0; i < 60; ++i) {
    std::string node = "n" + std::to_string(1 + i % 3);
    cluster.Send(node, MakeRequest("short", "late", 20), 2s);
    cluster.Advance(10ms);
  }
  cluster.Advance(1s);
  for (std::size_t i = before; i < cluster.Log().size(); ++i) {
    CHECK(cluster.Log()[i].mVm != vm);
  }
}

TEST_CASE("a move tolerates lost store responses at every step")
{
  for (int step = 0; step < 6; ++step) {
    Cluster cluster;
    StartOneSite(cluster);
    std::string vm = VmOf(cluster, "spare");
    if (step == 0) {
      cluster.Platform().Faults().mLoseAnswers = 1;
    }
    REQUIRE(Ok(Move(cluster, "n1", vm, "work")));
    cluster.Advance(std::chrono::milliseconds(150 * step));
    cluster.Platform().Faults().mLoseAnswers = 3;
    cluster.Advance(15s);
    VmOwnership row = cluster.RowOf("a", vm);
    CHECK(row.mPool == "work");
    CHECK(row.mState == VmState::Serving);
    CHECK(ToNumber(row.mEpoch) == 3);
  }
}
