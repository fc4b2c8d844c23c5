#include "cluster.h"

#include "services/job_service.h"

#include <doctest/doctest.h>

using namespace buckthornshunt;
using namespace buckthornshunt::tests;
using namespace std::chrono_literals;

namespace {

void
StartSite(Cluster& aCluster)
{
  for (int i = 1; i <= 4; ++i) {
    aCluster.AddWorker("a" + std::to_string(i), "a", "r" + std::to_string(i));
  }
  aCluster.StartNode("n1", "a");
  aCluster.StartNode("n2", "a");
  REQUIRE(Ok(aCluster.Apply("n1", MakeBaseConfig(2, 0))));
  REQUIRE(aCluster.Settle());
}

// Waits for a call of the job service.
template<class Value>
Expected<Value>
Await(Cluster& aCluster, Task<Expected<Value>> aCall)
{
  auto result = std::make_shared<std::optional<Expected<Value>>>();
  auto run =
    [](Task<Expected<Value>> aInner,
       std::shared_ptr<std::optional<Expected<Value>>> aResult) -> Task<void> {
    *aResult = co_await std::move(aInner);
  };
  aCluster.Spawn(run(std::move(aCall), result));
  for (int i = 0; i < 2000 && !*result; ++i) {
    aCluster.Advance(10ms);
  }
  REQUIRE(*result);
  return **result;
}

std::string
Submit(Cluster& aCluster, std::string_view aNode, Request aRequest)
{
  JobService& jobs = aCluster.Get<JobService>(aNode);
  auto name = Await(
    aCluster, jobs.Submit(std::move(aRequest), aCluster.GetClock().Now() + 3s));
  REQUIRE(Ok(name));
  return std::get<std::string>(name);
}

JobView
FindJob(Cluster& aCluster, std::string_view aNode, std::string aName)
{
  JobService& jobs = aCluster.Get<JobService>(aNode);
  auto view = Await(
    aCluster, jobs.Find(std::move(aName), aCluster.GetClock().Now() + 3s));
  REQUIRE(Ok(view));
  return std::get<JobView>(view);
}

} // namespace

TEST_CASE("a durable job runs once and keeps its result")
{
  Cluster cluster;
  StartSite(cluster);
  std::string name = Submit(cluster, "n1", MakeRequest("long", "render", 5000));
  std::string again =
    Submit(cluster, "n2", MakeRequest("long", "render", 5000));
  CHECK(name == again);
  cluster.Advance(10s);
  JobView view = FindJob(cluster, "n2", name);
  CHECK(view.mJob.mState == JobState::Done);
  CHECK(view.mAnswer == "answer to render");
  CHECK(cluster.CountRuns("render") == 1);
}

TEST_CASE("a job survives the loss of the node that runs it")
{
  Cluster cluster;
  StartSite(cluster);
  std::string name =
    Submit(cluster, "n1", MakeRequest("invoice", "render", 8000));
  cluster.Advance(4s);
  REQUIRE(FindJob(cluster, "n1", name).mJob.mState == JobState::Running);
  SUBCASE("one node")
  {
    cluster.KillNode("n1");
  }
  SUBCASE("every node")
  {
    cluster.KillNode("n1");
    cluster.KillNode("n2");
    cluster.StartNode("n2", "a");
  }
  cluster.Advance(20s);
  JobView view = FindJob(cluster, "n2", name);
  CHECK(view.mJob.mState == JobState::Done);
  CHECK(view.mAnswer == "answer to render");
  CHECK(cluster.CountRuns("render") == 1);
}

TEST_CASE("a job whose server restarts runs again only if it is idempotent")
{
  Cluster cluster;
  StartSite(cluster);
  std::string_view operation;
  SUBCASE("idempotent")
  {
    operation = "long";
  }
  SUBCASE("not idempotent")
  {
    operation = "invoice";
  }
  std::string name =
    Submit(cluster, "n1", MakeRequest(operation, "render", 6000));
  cluster.Advance(3s);
  for (const char* vm : { "a1", "a2", "a3", "a4" }) {
    cluster.Server(vm).Restart();
  }
  cluster.Advance(30s);
  JobView view = FindJob(cluster, "n2", name);
  if (operation == "long") {
    CHECK(view.mJob.mState == JobState::Done);
    CHECK(cluster.CountRuns("render") == 2);
  } else {
    CHECK(view.mJob.mState == JobState::Unknown);
    CHECK(cluster.CountRuns("render") == 1);
  }
}

TEST_CASE("a job that fails at every attempt is set aside")
{
  Cluster cluster;
  StartSite(cluster);
  Request request = MakeRequest("long", "bad", 100);
  request.mBody = R"({"token":"bad","run_ms":100,"fail":true})";
  std::string name = Submit(cluster, "n1", std::move(request));
  cluster.Advance(30s);
  CHECK(FindJob(cluster, "n1", name).mJob.mState == JobState::SetAside);
  CHECK(cluster.CountRuns("bad") == 3);
}

TEST_CASE("a cancelled job stops and never returns a result")
{
  Cluster cluster;
  StartSite(cluster);
  std::string name =
    Submit(cluster, "n1", MakeRequest("long", "render", 60000));
  cluster.Advance(4s);
  JobService& jobs = cluster.Get<JobService>("n2");
  auto cancelled =
    Await(cluster, jobs.Cancel(name, cluster.GetClock().Now() + 3s));
  REQUIRE(Ok(cancelled));
  cluster.Advance(5s);
  CHECK(FindJob(cluster, "n1", name).mJob.mState == JobState::Cancelled);
  int running = 0;
  for (const char* vm : { "a1", "a2", "a3", "a4" }) {
    running += cluster.Server(vm).Running();
  }
  CHECK(running == 0);
  auto twice = Await(cluster, jobs.Cancel(name, cluster.GetClock().Now() + 3s));
  CHECK_FALSE(Ok(twice));
}

TEST_CASE("a job isn't accepted while it can't be recorded")
{
  Cluster cluster;
  StartSite(cluster);
  cluster.CutPlatform("a", true);
  JobService& jobs = cluster.Get<JobService>("n1");
  auto name = Await(cluster,
                    jobs.Submit(MakeRequest("long", "render", 100),
                                cluster.GetClock().Now() + 3s));
  REQUIRE_FALSE(Ok(name));
  CHECK(std::holds_alternative<StoreUnavailable>(std::get<Failure>(name)));
}

TEST_CASE("a job continues through an outage of the platform")
{
  Cluster cluster;
  StartSite(cluster);
  std::string name =
    Submit(cluster, "n1", MakeRequest("invoice", "render", 4000));
  cluster.Advance(2500ms);
  cluster.Platform().Faults().mDown = true;
  cluster.Advance(30s);
  cluster.Platform().Faults().mDown = false;
  cluster.Advance(20s);
  JobView view = FindJob(cluster, "n1", name);
  CHECK(view.mJob.mState == JobState::Done);
  CHECK(cluster.CountRuns("render") == 1);
}
