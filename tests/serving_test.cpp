#include "cluster.h"

#include <doctest/doctest.h>

using namespace buckthornshunt;
using namespace buckthornshunt::tests;
using namespace std::chrono_literals;

namespace {

// Two data centres; "a" has two nodes and four VMs, "b" one node and two VMs.
void
StartTwoSites(Cluster& aCluster)
{
  for (int i = 1; i <= 4; ++i) {
    aCluster.AddWorker("a" + std::to_string(i), "a", "r" + std::to_string(i));
  }
  aCluster.AddWorker("b1", "b", "r1");
  aCluster.AddWorker("b2", "b", "r2");
  aCluster.StartNode("n1", "a");
  aCluster.StartNode("n2", "a");
  aCluster.StartNode("n3", "b");
  REQUIRE(Ok(aCluster.Apply("n1", MakeBaseConfig(2, 0))));
  REQUIRE(aCluster.Settle());
}

std::string_view
OutcomeText(const SentRequestPtr& aCall)
{
  return aCall->mOutcome ? OutcomeName(*aCall->mOutcome) : "pending";
}

} // namespace

TEST_CASE("a request returns the result of its own run")
{
  Cluster cluster;
  StartTwoSites(cluster);
  SentRequestPtr call = cluster.Send("n1", MakeRequest("short", "t1", 30), 2s);
  cluster.Advance(1s);
  REQUIRE(OutcomeText(call) == "completed");
  CHECK(std::get<Completed>(*call->mOutcome).mBody == "answer to t1");
  CHECK(cluster.CountRuns("t1") == 1);
}

TEST_CASE("a repeated non-idempotent key does not run again at another node")
{
  Cluster cluster;
  StartTwoSites(cluster);
  SentRequestPtr first =
    cluster.Send("n1", MakeRequest("invoice", "t1", 30), 2s);
  cluster.Advance(1s);
  REQUIRE(OutcomeText(first) == "completed");
  SUBCASE("in the same data centre")
  {
    SentRequestPtr again =
      cluster.Send("n2", MakeRequest("invoice", "t1", 30), 2s);
    cluster.Advance(1s);
    REQUIRE(OutcomeText(again) == "completed");
    CHECK(std::get<Completed>(*again->mOutcome).mBody == "answer to t1");
  }
  SUBCASE("in another data centre")
  {
    SentRequestPtr again =
      cluster.Send("n3", MakeRequest("invoice", "t1", 30), 2s);
    cluster.Advance(1s);
    REQUIRE(OutcomeText(again) == "completed");
  }
  SUBCASE("in parallel with the first")
  {
    SentRequestPtr one =
      cluster.Send("n1", MakeRequest("invoice", "t2", 300), 2s);
    SentRequestPtr two =
      cluster.Send("n2", MakeRequest("invoice", "t2", 300), 2s);
    cluster.Advance(3s);
    CHECK(OutcomeText(one) == "completed");
    CHECK(OutcomeText(two) == "completed");
    CHECK(cluster.CountRuns("t2") == 1);
  }
  CHECK(cluster.CountRuns("t1") == 1);
}

TEST_CASE("a repeated non-idempotent key completes after its first node fails")
{
  Cluster cluster;
  StartTwoSites(cluster);
  SentRequestPtr first =
    cluster.Send("n1", MakeRequest("invoice", "t1", 500), 5s);
  cluster.Advance(200ms);
  cluster.KillNode("n1");
  SentRequestPtr again =
    cluster.Send("n2", MakeRequest("invoice", "t1", 500), 5s);
  cluster.Advance(3s);
  REQUIRE(OutcomeText(again) == "completed");
  CHECK(std::get<Completed>(*again->mOutcome).mBody == "answer to t1");
  CHECK(cluster.CountRuns("t1") == 1);
}

TEST_CASE("a lost answer to a non-idempotent request is fetched, not run again")
{
  Cluster cluster;
  StartTwoSites(cluster);
  for (const char* vm : { "a1", "a2", "a3", "a4" }) {
    cluster.Server(vm).Faults().mLoseAnswers = 1;
  }
  SentRequestPtr call =
    cluster.Send("n1", MakeRequest("invoice", "t1", 30), 3s);
  cluster.Advance(2s);
  REQUIRE(OutcomeText(call) == "completed");
  CHECK(cluster.CountRuns("t1") == 1);
}

TEST_CASE("a server restart during a run leaves the outcome unknown")
{
  Cluster cluster;
  StartTwoSites(cluster);
  SentRequestPtr call =
    cluster.Send("n1", MakeRequest("invoice", "t1", 500), 3s);
  cluster.Advance(200ms);
  for (const char* vm : { "a1", "a2", "a3", "a4" }) {
    cluster.Server(vm).Restart();
  }
  cluster.Advance(5s);
  CHECK(OutcomeText(call) == "unknown");
  CHECK(cluster.CountRuns("t1") == 1);
}

TEST_CASE("a lost store answer to a claim does not run the work twice")
{
  Cluster cluster;
  StartTwoSites(cluster);
  cluster.Platform().Faults().mLoseAnswers = 1;
  SentRequestPtr call =
    cluster.Send("n1", MakeRequest("invoice", "t1", 30), 3s);
  cluster.Advance(4s);
  CHECK(OutcomeText(call) == "completed");
  CHECK(cluster.CountRuns("t1") == 1);
}

TEST_CASE("without the platform a key is not claimed and a ticket still works")
{
  Cluster cluster;
  StartTwoSites(cluster);
  cluster.CutPlatform("a", true);
  cluster.Advance(2s);
  SentRequestPtr plain =
    cluster.Send("n1", MakeRequest("invoice", "t1", 30), 2s);
  cluster.Advance(3s);
  CHECK(OutcomeText(plain) == "unknown");
  CHECK(cluster.CountRuns("t1") == 0);

  auto ticket = cluster.Get<DispatchService>("n1").IssueTicket();
  REQUIRE(ticket);
  Request request = MakeRequest("invoice", "t2", 30);
  request.mKey = ToString(*ticket);
  SentRequestPtr first = cluster.Send("n2", request, 2s);
  cluster.Advance(1s);
  CHECK(OutcomeText(first) == "completed");
  SentRequestPtr again = cluster.Send("n1", request, 2s);
  cluster.Advance(1s);
  CHECK(OutcomeText(again) == "completed");
  CHECK(cluster.CountRuns("t2") == 1);

  SUBCASE("a ticket of a node that is gone is unknown")
  {
    cluster.KillNode("n1");
    SentRequestPtr lost = cluster.Send("n2", request, 2s);
    cluster.Advance(3s);
    CHECK(OutcomeText(lost) == "unknown");
    CHECK(cluster.CountRuns("t2") == 1);
  }
  SUBCASE("idempotent work is served as before")
  {
    SentRequestPtr call =
      cluster.Send("n1", MakeRequest("short", "t3", 30), 2s);
    cluster.Advance(1s);
    CHECK(OutcomeText(call) == "completed");
  }
}

TEST_CASE("idempotent work completes while one server is unreachable")
{
  Cluster cluster;
  StartTwoSites(cluster);
  cluster.Server("a1").Faults().mRefuseConnections = true;
  std::vector<SentRequestPtr> calls;
  for (int i = 0; i < 40; ++i) {
    calls.push_back(
      cluster.Send(i % 2 == 0 ? "n1" : "n2",
                   MakeRequest("short", "t" + std::to_string(i), 10),
                   2s));
    cluster.Advance(20ms);
  }
  cluster.Advance(2s);
  for (const SentRequestPtr& call : calls) {
    CHECK(OutcomeText(call) == "completed");
  }
}

TEST_CASE("a server that fails every task does not fail requests")
{
  Cluster cluster;
  StartTwoSites(cluster);
  cluster.Server("a2").Faults().mFailAll = true;
  int failed = 0;
  for (int i = 0; i < 100; ++i) {
    SentRequestPtr call =
      cluster.Send("n1", MakeRequest("short", "t" + std::to_string(i), 5), 2s);
    cluster.Advance(30ms);
    failed += OutcomeText(call) != "completed" ? 1 : 0;
  }
  CHECK(failed == 0);
}

TEST_CASE("work that fails at every server is reported failed and ejects none")
{
  Cluster cluster;
  StartTwoSites(cluster);
  for (int i = 0; i < 20; ++i) {
    Request request = MakeRequest("short", "bad", 5);
    request.mBody = R"({"token":"bad","run_ms":5,"fail":true})";
    SentRequestPtr call = cluster.Send("n1", std::move(request), 2s);
    cluster.Advance(50ms);
    CHECK(OutcomeText(call) == "failed");
    SentRequestPtr good =
      cluster.Send("n1", MakeRequest("short", "good", 5), 2s);
    cluster.Advance(50ms);
    CHECK(OutcomeText(good) == "completed");
  }
}

TEST_CASE("requests that a full queue rejects never run")
{
  Cluster cluster;
  StartTwoSites(cluster);
  std::vector<SentRequestPtr> calls;
  for (int i = 0; i < 600; ++i) {
    calls.push_back(cluster.Send(
      "n1", MakeRequest("short", "t" + std::to_string(i), 200), 2s));
  }
  cluster.Advance(5s);
  int completed = 0;
  for (const SentRequestPtr& call : calls) {
    REQUIRE(call->mOutcome);
    if (const auto* refused = std::get_if<NotRun>(&*call->mOutcome)) {
      const std::string& body = call->mRequest.mBody;
      CHECK(cluster.CountRuns(standins::ParseSimulatedTask(body).mToken) == 0);
      CHECK(refused->mRetryAfter > Duration::zero());
    } else {
      ++completed;
    }
  }
  CHECK(completed > 100);
}

TEST_CASE("a pool without local servers is served by another data centre")
{
  Cluster cluster;
  StartTwoSites(cluster);
  for (const char* vm : { "a1", "a2", "a3", "a4" }) {
    cluster.Server(vm).Drain();
  }
  // The nodes learn from rejections that the servers are draining.
  for (int i = 0; i < 20; ++i) {
    cluster.Send("n1", MakeRequest("short", "warm", 5), 1s);
    cluster.Advance(100ms);
  }
  SentRequestPtr call = cluster.Send("n1", MakeRequest("short", "t1", 30), 2s);
  SentRequestPtr invoice =
    cluster.Send("n1", MakeRequest("invoice", "t2", 30), 2s);
  cluster.Advance(2s);
  CHECK(OutcomeText(call) == "completed");
  CHECK(OutcomeText(invoice) == "completed");
  CHECK(cluster.CountRuns("t2") == 1);
}

TEST_CASE("a graceful stop completes the requests in flight")
{
  Cluster cluster;
  StartTwoSites(cluster);
  std::vector<SentRequestPtr> calls;
  for (int i = 0; i < 40; ++i) {
    std::string_view operation = i % 2 == 0 ? "short" : "invoice";
    calls.push_back(cluster.Send(
      "n1", MakeRequest(operation, "t" + std::to_string(i), 400), 5s));
  }
  cluster.Advance(100ms);
  cluster.StopNode("n1");
  cluster.Advance(4s);
  CHECK(cluster.Stopped("n1"));
  for (const SentRequestPtr& call : calls) {
    CHECK(OutcomeText(call) == "completed");
  }
  SentRequestPtr late = cluster.Send("n1", MakeRequest("short", "late", 5), 1s);
  cluster.Advance(1s);
  CHECK(OutcomeText(late) == "not_run");
}

TEST_CASE("a new node without the platform forwards requests to its peers")
{
  Cluster cluster;
  StartTwoSites(cluster);
  cluster.CutPlatform("a", true);
  cluster.StartNode("n9", "a");
  cluster.Advance(3s);
  CHECK_FALSE(cluster.Get<DispatchService>("n9").Ready());
  REQUIRE(cluster.Get<ConfigService>("n9").Current());
  SentRequestPtr call = cluster.Send("n9", MakeRequest("short", "t1", 30), 2s);
  cluster.Advance(1s);
  CHECK(OutcomeText(call) == "completed");
}

TEST_CASE("a silent connection is detected within seconds")
{
  Cluster cluster;
  StartTwoSites(cluster);
  for (const char* vm : { "a1", "a2", "a3", "a4" }) {
    cluster.Server(vm).Faults().mUnansweredRuns = 1;
  }
  SentRequestPtr invoice =
    cluster.Send("n1", MakeRequest("invoice", "t1", 100), 60s);
  SentRequestPtr idempotent =
    cluster.Send("n2", MakeRequest("short", "t2", 100), 60s);
  cluster.Advance(5s);
  CHECK(OutcomeText(invoice) == "completed");
  CHECK(OutcomeText(idempotent) == "completed");
  CHECK(cluster.CountRuns("t1") == 1);
}

TEST_CASE("most idempotent requests complete while one server is silent")
{
  Cluster cluster;
  StartTwoSites(cluster);
  cluster.Server("a1").Faults().mSilent = true;
  std::vector<SentRequestPtr> calls;
  for (int i = 0; i < 20; ++i) {
    calls.push_back(cluster.Send(
      "n1", MakeRequest("short", "t" + std::to_string(i), 10), 2s));
  }
  cluster.Advance(3s);
  int known = 0;
  for (const SentRequestPtr& call : calls) {
    known += OutcomeText(call) == "completed" ? 1 : 0;
    CHECK(OutcomeText(call) != "not_run");
  }
  CHECK(known >= 12);
}

TEST_CASE("mass cancellation frees the queue and the servers")
{
  Cluster cluster;
  StartTwoSites(cluster);
  std::vector<SentRequestPtr> calls;
  for (int i = 0; i < 200; ++i) {
    calls.push_back(cluster.Send(
      "n1", MakeRequest("short", "t" + std::to_string(i), 5000), 60s));
  }
  cluster.Advance(100ms);
  for (const SentRequestPtr& call : calls) {
    call->mCaller.MarkDisconnected();
  }
  cluster.Advance(500ms);
  for (const SentRequestPtr& call : calls) {
    CHECK(call->mOutcome.has_value());
  }
  std::size_t ran = cluster.Log().size();
  SentRequestPtr next =
    cluster.Send("n1", MakeRequest("short", "next", 10), 1s);
  cluster.Advance(500ms);
  CHECK(OutcomeText(next) == "completed");
  CHECK(cluster.Log().size() == ran + 1);
}

TEST_CASE("a caller that disconnects doesn't stop its non-idempotent request")
{
  Cluster cluster;
  StartTwoSites(cluster);
  SentRequestPtr call =
    cluster.Send("n1", MakeRequest("invoice", "t1", 1000), 5s);
  cluster.Advance(300ms);
  call->mCaller.MarkDisconnected();
  cluster.Advance(2s);
  SentRequestPtr again =
    cluster.Send("n2", MakeRequest("invoice", "t1", 1000), 5s);
  cluster.Advance(1s);
  REQUIRE(OutcomeText(again) == "completed");
  CHECK(std::get<Completed>(*again->mOutcome).mBody == "answer to t1");
  CHECK(cluster.CountRuns("t1") == 1);
}

TEST_CASE("a team can't exceed its slot quota")
{
  Cluster cluster;
  StartTwoSites(cluster);
  Json base = Json::parse(MakeBaseConfig(2, 0));
  base["teams"] = { { "small", { { "slots", 4 } } } };
  REQUIRE(Ok(cluster.Apply("n1", base.dump())));
  cluster.Advance(2s);
  std::vector<SentRequestPtr> calls;
  for (int i = 0; i < 10; ++i) {
    Request request = MakeRequest("short", "t" + std::to_string(i), 500);
    request.mTeam = "small";
    calls.push_back(
      cluster.Send(i % 2 == 0 ? "n1" : "n2", std::move(request), 2s));
  }
  SentRequestPtr other =
    cluster.Send("n1", MakeRequest("short", "other", 10), 2s);
  cluster.Advance(2s);
  int refused = 0;
  for (const SentRequestPtr& call : calls) {
    const auto* outcome = std::get_if<NotRun>(&*call->mOutcome);
    bool quota =
      outcome != nullptr && outcome->mReason == NotRunReason::QuotaExceeded;
    refused += quota ? 1 : 0;
  }
  CHECK(refused == 6);
  CHECK(OutcomeText(other) == "completed");
}

TEST_CASE("urgent work starts at once behind a full queue")
{
  Cluster cluster;
  StartTwoSites(cluster);
  for (int i = 0; i < 250; ++i) {
    cluster.Send("n1", MakeRequest("short", "t", 300), 30s);
    cluster.Send("n2", MakeRequest("short", "t", 300), 30s);
  }
  cluster.Advance(50ms);
  SentRequestPtr urgent =
    cluster.Send("n1", MakeRequest("urgent", "u", 10), 5s);
  cluster.Advance(1700ms);
  CHECK(OutcomeText(urgent) == "completed");
}

TEST_CASE("the loss of a data centre's nodes leaves the others serving")
{
  Cluster cluster;
  StartTwoSites(cluster);
  cluster.KillNode("n1");
  cluster.KillNode("n2");
  cluster.Advance(3s);
  SentRequestPtr call =
    cluster.Send("n3", MakeRequest("invoice", "t1", 30), 2s);
  cluster.Advance(1s);
  CHECK(OutcomeText(call) == "completed");
}

TEST_CASE("two partitioned nodes run no work twice")
{
  Cluster cluster;
  StartTwoSites(cluster);
  cluster.CutLink("n1", "n2", true);
  cluster.Advance(3s);
  std::vector<SentRequestPtr> calls;
  for (int i = 0; i < 30; ++i) {
    std::string token = "t" + std::to_string(i);
    calls.push_back(cluster.Send("n1", MakeRequest("invoice", token, 200), 5s));
    calls.push_back(cluster.Send("n2", MakeRequest("invoice", token, 200), 5s));
  }
  cluster.Advance(8s);
  for (const SentRequestPtr& call : calls) {
    CHECK(OutcomeText(call) == "completed");
  }
  for (int i = 0; i < 30; ++i) {
    CHECK(cluster.CountRuns("t" + std::to_string(i)) == 1);
  }
}
