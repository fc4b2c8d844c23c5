#include "cluster.h"

#include <doctest/doctest.h>

using namespace buckthornshunt;
using namespace buckthornshunt::tests;
using namespace std::chrono_literals;

namespace {

std::uint64_t
VersionAt(Cluster& aCluster, std::string_view aNode)
{
  const auto& config = aCluster.Get<ConfigService>(aNode).Current();
  return config ? ToNumber(config->mVersion) : 0;
}

void
StartTwoSites(Cluster& aCluster)
{
  aCluster.AddWorker("a1", "a", "r1");
  aCluster.AddWorker("b1", "b", "r1");
  aCluster.StartNode("n1", "a");
  aCluster.StartNode("n2", "a");
  aCluster.StartNode("n3", "b");
  REQUIRE(Ok(aCluster.Apply("n1", MakeBaseConfig(1, 0))));
  REQUIRE(aCluster.Settle());
}

} // namespace

TEST_CASE("an accepted configuration is in force at every node within 2 s")
{
  Cluster cluster;
  StartTwoSites(cluster);
  REQUIRE(Ok(cluster.Apply("n2", MakeBaseConfig(1, 1))));
  cluster.Advance(2s);
  for (const char* node : { "n1", "n2", "n3" }) {
    CHECK(VersionAt(cluster, node) == 2);
  }
}

TEST_CASE("peers send a configuration to nodes without the platform")
{
  Cluster cluster;
  StartTwoSites(cluster);
  cluster.CutPlatform("b", true);
  cluster.Advance(1s);
  REQUIRE(Ok(cluster.Apply("n1", MakeBaseConfig(1, 1))));
  cluster.Advance(2s);
  CHECK(VersionAt(cluster, "n3") == 2);
}

TEST_CASE("a stale read does not roll a configuration back")
{
  Cluster cluster;
  StartTwoSites(cluster);
  REQUIRE(Ok(cluster.Apply("n1", MakeBaseConfig(1, 1))));
  cluster.Advance(2s);
  cluster.Platform().Faults().mStaleCommits = 3;
  cluster.KillNode("n2");
  cluster.StartNode("n2", "a");
  cluster.Advance(10s);
  for (const char* node : { "n1", "n2", "n3" }) {
    CHECK(VersionAt(cluster, node) == 2);
  }
}

TEST_CASE("of two concurrent configuration changes one fails with a conflict")
{
  Cluster cluster;
  StartTwoSites(cluster);
  auto apply =
    [](ConfigService& aConfig,
       std::string aBase,
       TimePoint aDeadline,
       std::vector<Expected<ConfigVersion>>& aResults) -> Task<void> {
    ConfigSource source;
    source.mBase = { "base.json", Json::parse(aBase) };
    auto result =
      co_await aConfig.Accept(std::move(source), ConfigVersion{ 1 }, aDeadline);
    aResults.push_back(std::move(result));
  };
  std::vector<Expected<ConfigVersion>> results;
  cluster.Platform().Faults().mDelay = 50ms;
  TimePoint deadline = cluster.GetClock().Now() + 3s;
  cluster.Spawn(apply(
    cluster.Get<ConfigService>("n1"), MakeBaseConfig(1, 1), deadline, results));
  cluster.Spawn(apply(
    cluster.Get<ConfigService>("n3"), MakeBaseConfig(2, 1), deadline, results));
  cluster.Advance(4s);
  REQUIRE(results.size() == 2);
  CHECK(Ok(results[0]) != Ok(results[1]));
  const auto& lost = Ok(results[0]) ? results[1] : results[0];
  CHECK(std::holds_alternative<CommitConflict>(std::get<Failure>(lost)));
  for (const char* node : { "n1", "n2", "n3" }) {
    CHECK(VersionAt(cluster, node) == 2);
  }
}

TEST_CASE("a configuration whose answer was lost is accepted once")
{
  Cluster cluster;
  StartTwoSites(cluster);
  cluster.Platform().Faults().mLoseAnswers = 1;
  auto version = cluster.Apply("n1", MakeBaseConfig(1, 1));
  REQUIRE(Ok(version));
  CHECK(ToNumber(std::get<ConfigVersion>(version)) == 2);
  cluster.Advance(2s);
  CHECK(VersionAt(cluster, "n3") == 2);
}
