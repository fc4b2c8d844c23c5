// Tests of single decision components without a cluster.

#include "decide/availability.h"
#include "decide/ejection.h"
#include "decide/fifo_wait_model.h"
#include "decide/pool_plan.h"
#include "decide/pool_queue.h"
#include "decide/queue_moves.h"
#include "decide/run_times.h"
#include "decide/table_replica.h"
#include "kernel/kernel.h"

#include <boost/leaf/handle_errors.hpp>
#include <doctest/doctest.h>

#include <random>

using namespace buckthornshunt;
using namespace std::chrono_literals;

namespace {

Row
MakeRow(std::string_view aKey, std::uint64_t aRevision)
{
  Row row;
  row.mKey = aKey;
  row.mValue = std::to_string(aRevision);
  row.mRevision = Revision(aRevision);
  return row;
}

struct StubService
{
  explicit StubService(Kernel&) {}
  leaf::result<void> Start() { return {}; }
  Task<void> Stop() { co_return; }
};

struct OtherStubService : StubService
{
  using StubService::StubService;
};

} // namespace

TEST_CASE("work is classified by observed run times, not declared ones")
{
  RunTimes times(1s);
  CHECK(times.Classify("render", 10s) == WorkClass::Long);
  CHECK(times.Classify("render", 100ms) == WorkClass::Short);
  times.RecordOverThreshold("render");
  CHECK(times.Classify("render", 100ms) == WorkClass::Long);
  for (int i = 0; i < 50; ++i) {
    times.Record("quote", 50ms);
  }
  times.RecordOverThreshold("quote");
  CHECK(times.Classify("quote", 10s) == WorkClass::Short);
}

TEST_CASE("the pools that a queue has used are remembered for a while")
{
  auto config = [](std::string_view aPool) {
    WorkloadConfig made;
    for (const char* name : { "moves", "stays" }) {
      QueueConfig queue;
      queue.mName = name;
      queue.mPool = queue.mName == "stays" ? "a" : aPool;
      made.mQueues.push_back(queue);
    }
    return made;
  };
  QueueMoves moves;
  TimePoint now{ 100s };
  moves.Record(config("a"), config("b"), now);
  CHECK(moves.EarlierPools("moves") == std::set<std::string>{ "a" });
  CHECK(moves.EarlierPools("stays").empty());
  moves.Record(config("b"), config("c"), now + 1min);
  CHECK(moves.EarlierPools("moves") == std::set<std::string>{ "a", "b" });
  moves.Record(config("c"), config("c"), now + 1h);
  CHECK(moves.EarlierPools("moves").empty());
}

TEST_CASE("shares of a server's slots add up to its slots")
{
  std::mt19937 rng(1);
  for (int i = 0; i < 500; ++i) {
    int slots = static_cast<int>(rng() % 65);
    int nodes = static_cast<int>(rng() % 9) + 1;
    std::uint64_t hash = rng();
    int sum = 0;
    for (int node = 0; node < nodes; ++node) {
      sum += SlotShare(slots, nodes, node, hash);
    }
    CHECK(sum == slots);
  }
}

TEST_CASE("the minimum spare VMs cover every allowed loss")
{
  std::mt19937 rng(2);
  for (int i = 0; i < 300; ++i) {
    int racks = static_cast<int>(rng() % 8) + 2;
    int vms = static_cast<int>(rng() % 20) + 1;
    AvailabilityBudget budget{ static_cast<int>(rng() % 3),
                               static_cast<int>(rng() % 2) };
    int buffer = MinSpareVms(vms, budget, racks);
    std::vector<int> spread(static_cast<std::size_t>(racks), 0);
    for (int n = 0; n < vms + buffer; ++n) {
      ++spread[static_cast<std::size_t>(n % racks)];
    }
    CHECK(vms + buffer - WorstCaseLoss(spread, budget) >= vms);
    if (buffer > 0) {
      --spread[static_cast<std::size_t>((vms + buffer - 1) % racks)];
      CHECK(vms + buffer - 1 - WorstCaseLoss(spread, budget) < vms);
    }
  }
}

TEST_CASE("replicas converge whatever the order of batches")
{
  std::mt19937 rng(3);
  for (int round = 0; round < 200; ++round) {
    std::vector<RowBatch> batches;
    TableReplica reference;
    for (std::uint64_t i = 1; i <= 20; ++i) {
      RowBatch batch{ Revision(i - 1), Revision(i), {} };
      batch.mRows.push_back(MakeRow("c/" + std::to_string(rng() % 5), i));
      batch.mRows.back().mDeleted = rng() % 6 == 0;
      reference.Merge(batch);
      batches.push_back(reference.Since(Revision(rng() % i)));
      batches.push_back(std::move(batch));
    }
    std::shuffle(batches.begin(), batches.end(), rng);
    TableReplica replica;
    Revision last{};
    while (replica.Position() != reference.Position()) {
      for (const RowBatch& batch : batches) {
        replica.Merge(batch);
        CHECK(replica.Position() >= last);
        last = replica.Position();
      }
    }
    std::vector<Row> one = replica.Since(Revision{}).mRows;
    std::vector<Row> two = reference.Since(Revision{}).mRows;
    CHECK(one == two);
  }
}

TEST_CASE("the order of arrival gives the waits of a FIFO")
{
  FifoWaitModel order;
  order.SetSlots(2, TimePoint{});
  CHECK(order.AddRequest(TimePoint{}, 4s) == 0s);
  CHECK(order.AddRequest(TimePoint{}, 1s) == 0s);
  CHECK(order.AddRequest(TimePoint{}, 5s) == 1s);
  CHECK(order.AddRequest(TimePoint{ 2s }, 1s) == 2s);
  CHECK(order.AddRequest(TimePoint{ 20s }, 1s) == 0s);
}

TEST_CASE("placement respects shares, skips tried servers and loses no run")
{
  std::mt19937 seeds(4);
  PoolServers servers;
  Rng rng(1);
  for (int i = 0; i < 5; ++i) {
    ServerIndex server = servers.Add();
    servers.SetShare(server, { 3, 2 });
    servers.SetUsable(server, true);
  }
  std::vector<std::pair<ServerIndex, WorkClass>> running;
  for (int i = 0; i < 5000; ++i) {
    WorkClass wanted = seeds() % 2 == 0 ? WorkClass::Short : WorkClass::Long;
    auto server = servers.Pick(wanted, {}, rng);
    CHECK(server.has_value() == servers.HasRoom(wanted));
    if (server && seeds() % 3 != 0) {
      servers.Begin(*server, wanted);
      running.emplace_back(*server, wanted);
      CHECK(servers.InFlight(*server) <= 3);
    } else if (!running.empty()) {
      std::size_t at = seeds() % running.size();
      servers.End(running[at].first, running[at].second);
      running.erase(running.begin() + static_cast<std::ptrdiff_t>(at));
    }
    CHECK(servers.TotalInFlight() == static_cast<int>(running.size()));
  }
  std::vector<ServerIndex> tried = { 0, 1, 2, 3 };
  for (auto& [server, workClass] : running) {
    servers.End(server, workClass);
  }
  for (int i = 0; i < 100; ++i) {
    auto server = servers.Pick(WorkClass::Short, tried, rng);
    CHECK((!server || *server == 4));
  }
}

TEST_CASE("ejections are limited in number and expire")
{
  OutlierEjection ejection;
  for (int i = 0; i < 9; ++i) {
    ejection.Add();
  }
  TimePoint now{};
  int ejected = 0;
  for (ServerIndex server = 0; server < 9; ++server) {
    for (int i = 0; i < 4; ++i) {
      ejected += ejection.Record(server, RunResult::Unreachable, now) ? 1 : 0;
    }
  }
  CHECK(ejected == 3);
  CHECK(ejection.TakeExpired(now + 1s).empty());
  CHECK(ejection.TakeExpired(now + 3s).size() == 3);
}

TEST_CASE("a pool's VMs are spread over the racks")
{
  SiteConfig site;
  site.mSparePool = "spare";
  site.mPools["spare"];
  for (const char* name : { "one", "two", "three" }) {
    PoolConfig& pool = site.mPools[name];
    pool.mVms = 3;
    pool.mMaxSpareVms = 1;
    pool.mAvailability.mRackLosses = 1;
  }
  std::vector<FleetVm> fleet;
  for (int i = 0; i < 16; ++i) {
    FleetVm vm;
    vm.mListing.mVm = "v" + std::to_string(i);
    vm.mListing.mRack = "r" + std::to_string(i / 4);
    fleet.push_back(vm);
  }
  std::map<std::string, std::map<std::string, int>> racks;
  for (const PoolAction& action : PlanPools(site, fleet)) {
    const auto& adopt = std::get<AdoptVm>(action);
    for (const FleetVm& vm : fleet) {
      if (vm.mListing.mVm == adopt.mVm) {
        ++racks[adopt.mPool][vm.mListing.mRack];
      }
    }
  }
  for (const char* name : { "one", "two", "three" }) {
    CHECK(racks[name].size() == 4);
  }
}

TEST_CASE("a missing or mistyped service is a typed error")
{
  asio::io_context context;
  ManualClock manual(context);
  Kernel kernel(context, Clock(context, manual), 1);
  kernel.Add<StubService>("quiet");
  auto find = [&](auto aFind) {
    return leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_CHECK(aFind());
        return std::string("found");
      },
      [](const Failure& aFailure) {
        return std::string(FailureName(aFailure));
      },
      [] { return std::string("untyped"); });
  };
  CHECK(find([&] { return kernel.Find<StubService>("quiet"); }) == "found");
  CHECK(find([&] { return kernel.Find<StubService>("quite"); }) ==
        "service_missing");
  CHECK(find([&] { return kernel.Find<OtherStubService>("quiet"); }) ==
        "service_mistyped");
}
