// A fleet in shards: who owns its cells, where its jobs are, and which VMs its
// cells use.

#include "busy_owner.h"
#include "daemon/assembly.h"
#include "decide/fleet_plan.h"
#include "kernel/log.h"
#include "services/directory_service.h"
#include "services/fleet_service.h"
#include "services/owner_service.h"
#include "services/relay_service.h"
#include "wire/cell_codec.h"

#include <boost/asio/co_spawn.hpp>
#include <doctest/doctest.h>

#include <algorithm>
#include <memory>

using namespace buckthornshunt;
using namespace buckthornshunt::tests;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view kPool = "p0";
constexpr std::uint32_t kShards = 4;
constexpr int kWorkers = 240;
/// An equal part for each of four owners, and a third more.
constexpr std::size_t kMaxWorkersPerOwner = kWorkers / kShards * 4 / 3;

std::string
VmName(int aNumber)
{
  return "m" + std::to_string(aNumber);
}

/// Nodes that share a store, and the workers of one pool.
class DividedFleet
{
public:
  /// A fleet with the layout in the store unless aShards is 0.
  DividedFleet(int aNodes,
               int aVms,
               bool aWithMachines,
               std::uint32_t aShards = 0)
    : mManual(mContext)
    , mClock(mContext, mManual)
    , mFake(mClock)
    , mStore(mFake.Port())
    , mPorts(mContext)
    , mBusyWorkers(mContext, mManual, mClock, 0ms)
    , mWorkers(mBusyWorkers.Port())
    , mMachines(InProcessMachines{
        [this](MachineCall aCall, TimePoint) -> Task<Expected<MachineReply>> {
          co_await mClock.Sleep(4ms);
          if (const auto* maintain = std::get_if<MaintainVm>(&aCall)) {
            mMaintained[maintain->mVm] = IsSealed(maintain->mVm);
            co_return MachineReply(MachineOperationStarted{});
          }
          co_return MachineReply(PoolVmPage{ mVms, {}, {} });
        } })
  {
    SetUpLogs(LogFormat::Text, LogLevel::Error);
    for (int i = 0; i < aVms; ++i) {
      mVms.push_back({ VmName(i),
                       std::string(kPool),
                       PoolVmState::Up,
                       "w" + std::to_string(i),
                       "rack",
                       { 32000, 131072, 0 } });
    }
    Configure(1, Json::array({ RouteTo(kPool) }), { kPool });
    for (int i = 0; i < kWorkers; ++i) {
      Json report = { { "service", kPool },
                      { "address", "127.0.0.1:9" },
                      { "zone", "z" },
                      { "state", "ready" },
                      { "machine", VmName(i) },
                      { "born", 1 },
                      { "capacity",
                        { { "cpu", 32000 }, { "mem_mb", 131072 } } } };
      Put("servers", "", "w" + std::to_string(i), report.dump());
    }
    if (aShards != 0) {
      Put("cells", "fleet", "layout", ToCbor(Json{ { "shards", aShards } }));
    }
    for (int i = 0; i < aNodes; ++i) {
      AddNode(aWithMachines);
    }
  }

  ~DividedFleet()
  {
    while (!mNodes.empty()) {
      StopNode();
    }
  }

  static Json RouteTo(std::string_view aPool)
  {
    return { { "name", "q0" },         { "host", "h" },
             { "path_prefix", "/q0" }, { "service", aPool },
             { "max_attempts", 3 },    { "target_latency_ms", 100000 } };
  }

  void Configure(int aVersion,
                 Json aRoutes,
                 std::initializer_list<std::string_view> aPools)
  {
    Json services = Json::array();
    for (std::string_view pool : aPools) {
      services.push_back({ { "name", pool } });
    }
    Json config = { { "version", aVersion },
                    { "routes", std::move(aRoutes) },
                    { "services", std::move(services) } };
    Put("op", "", "config", config.dump());
  }

  /// Whether the owner row of the pool's cell says that the VM's worker gets no
  /// new runs.
  bool IsSealed(std::string_view aVm) const
  {
    auto it = mFake.mRows.find({ "cells", std::string(kPool), "owner" });
    REQUIRE(it != mFake.mRows.end());
    auto row =
      ToExpected<OwnerRow>([&] { return DecodeOwnerRow(it->second.mValue); });
    REQUIRE(Ok(row));
    std::string worker = "w" + std::string(aVm.substr(1));
    const auto& sealed = std::get<OwnerRow>(row).mDrainingWorkers;
    return std::find(sealed.begin(), sealed.end(), worker) != sealed.end();
  }

  void Put(std::string_view aTable,
           std::string_view aPart,
           std::string_view aKey,
           std::string aValue)
  {
    RowName name{ std::string(aTable), std::string(aPart), std::string(aKey) };
    ConditionalCommit commit;
    commit.mPuts.push_back({ name, std::move(aValue) });
    asio::co_spawn(mContext,
                   CallStore(mStore, commit, mManual.Now() + 1s),
                   [](const std::exception_ptr&, const auto&) {});
    mManual.Advance(5ms);
  }

  /// Layout in the store; 0 if there is none.
  std::uint32_t StoredShards() const
  {
    auto it = mFake.mRows.find({ "cells", "fleet", "layout" });
    if (it == mFake.mRows.end()) {
      return 0;
    }
    auto layout =
      ToExpected<FleetLayout>([&] { return DecodeLayout(it->second.mValue); });
    REQUIRE(Ok(layout));
    return std::get<FleetLayout>(layout).mShards;
  }

  void AddNode(bool aWithMachines)
  {
    ++mLastNode;
    mNodes.push_back(std::make_unique<Kernel>(mContext, mClock, mLastNode));
    Kernel& kernel = *mNodes.back();
    LocalNode self{ "n" + std::to_string(mLastNode),
                    mPorts.Reserve(),
                    Incarnation(mLastNode) };
    CellPorts ports;
    ports.mStore = &mStore;
    ports.mWorkers = &mWorkers;
    std::optional<FleetLayout> layout = FleetLayout{};
    if (aWithMachines) {
      layout.reset();
    }
    kernel.Add<DirectoryService>(DirectoryService::kName, mStore);
    kernel.Add<OwnerService>(OwnerService::kName, mStore, self, layout);
    kernel.Add<RelayService>(RelayService::kName, self.mPeerEndpoint);
    kernel.Add<CellService>(CellService::kName, ports, CellDurations{});
    if (aWithMachines) {
      kernel.Add<FleetService>(FleetService::kName,
                               FleetPorts{ &mStore, &mMachines });
    }
    REQUIRE(kernel.Start());
  }

  /// Stops the node that was added first.
  void StopNode()
  {
    bool stopped = false;
    asio::co_spawn(mContext,
                   mNodes.front()->Stop(2s),
                   [&](const std::exception_ptr&) { stopped = true; });
    for (int i = 0; i < 20 && !stopped; ++i) {
      mManual.Advance(500ms);
    }
    CHECK(stopped);
    mNodes.erase(mNodes.begin());
  }

  CellService& CellsOf(std::size_t aNode)
  {
    auto* cells = mNodes[aNode]->Find<CellService>(CellService::kName).value();
    return *cells;
  }

  /// Workers in the cells of a node, with their cells.
  std::map<std::string, std::string> WorkersOf(std::size_t aNode)
  {
    std::map<std::string, std::string> workers;
    for (const auto& [name, runtime] : CellsOf(aNode).Owned()) {
      REQUIRE(runtime->Loaded());
      for (const auto& [id, worker] : runtime->State().Workers()) {
        CHECK(workers.emplace(id, name).second);
      }
    }
    return workers;
  }

  /// Reply of the owner of a cell to a call.
  std::optional<CallerReply> Call(std::string_view aCell,
                                  const CallerCall& aCall)
  {
    std::optional<CallerReply> reply;
    for (std::size_t i = 0; i < mNodes.size() && !reply; ++i) {
      if (CellsOf(i).Find(aCell)) {
        RelayedCall call{ std::string(aCell), aCall, 1200ms };
        asio::co_spawn(
          mContext,
          CellsOf(i).Handle(std::move(call)),
          [&reply](const std::exception_ptr&, const OwnerReply& aReply) {
            if (const auto* answered = std::get_if<CallerReply>(&aReply)) {
              reply = *answered;
            }
          });
        mManual.Advance(200ms);
      }
    }
    return reply;
  }

  /// Cell that accepted the job; empty if none did.
  std::string Submit(const std::string& aId)
  {
    SubmitJob call{ "q0", aId, {} };
    StepSpec step;
    step.mTaskCount = 4;
    step.mTaskResources = { 16000, 1000, 0 };
    step.mEstimatedRunTime = 540ms;
    call.mSpec.mSteps.push_back(step);
    std::string cell = FleetLayout{ kShards }.CellName(
      kPool, FleetLayout{ kShards }.ShardOf(aId));
    auto reply = Call(cell, std::move(call));
    bool accepted = reply && std::holds_alternative<JobAccepted>(*reply);
    return accepted ? cell : std::string();
  }

  asio::io_context mContext;
  ManualClock mManual;
  Clock mClock;
  FakeStore mFake;
  Store mStore;
  LoopbackPorts mPorts;
  BusyWorkers mBusyWorkers;
  Workers mWorkers;
  std::vector<PoolVm> mVms;
  /// VMs that were maintained, and whether they were sealed by then.
  std::map<std::string, bool> mMaintained;
  Machines mMachines;
  std::vector<std::unique_ptr<Kernel>> mNodes;
  std::uint16_t mLastNode = 0;
};

} // namespace

TEST_CASE("one node owns all workers of a large pool")
{
  DividedFleet fleet(4, 0, false, kShards);
  fleet.mManual.Advance(8s);
  std::map<std::string, std::string> workers;
  for (std::size_t i = 0; i < fleet.mNodes.size(); ++i) {
    std::map<std::string, std::string> own = fleet.WorkersOf(i);
    CHECK(own.size() <= kMaxWorkersPerOwner);
    for (const auto& [id, cell] : own) {
      CAPTURE(id);
      CHECK(workers.emplace(id, cell).second);
    }
  }
  CHECK(workers.size() == kWorkers);
}

TEST_CASE("a job is lost or runs twice as the owners of its shard change")
{
  DividedFleet fleet(2, 0, false, kShards);
  fleet.mManual.Advance(8s);
  std::map<std::string, std::string> cells;
  for (int i = 0; i < 24; ++i) {
    std::string id = "job" + std::to_string(i);
    cells[id] = fleet.Submit(id);
    CHECK_FALSE(cells[id].empty());
  }
  fleet.StopNode();
  fleet.mManual.Advance(8s);
  for (const auto& [id, cell] : cells) {
    CAPTURE(id);
    auto reply = fleet.Call(cell, ReadJob{ "q0", id });
    const auto* phase = reply ? std::get_if<JobPhaseReply>(&*reply) : nullptr;
    CHECK((phase && phase->mPhase == JobPhase::Completed));
  }
  CHECK(fleet.mBusyWorkers.mSecondRuns == 0);
  std::set<std::string> used;
  for (const auto& [id, cell] : cells) {
    used.insert(cell);
  }
  CHECK(used.size() == kShards);
}

TEST_CASE("a VM moves to a cell of another shard")
{
  FleetView view;
  view.mNow = TimePoint(100s);
  view.mLayout = { kShards };
  view.mPoolConfigs = { { "a", true, false }, { "b", true, false } };
  for (int i = 0; i < 200; ++i) {
    std::string name = VmName(i);
    std::string pool = i % 2 == 0 ? "a" : "b";
    std::string worker = "w-" + name;
    std::string cell = view.mLayout.CellName(pool, view.mLayout.ShardOf(name));
    view.mVms.push_back(
      { name, pool, PoolVmState::Up, worker, "rack", { 32000, 100000, 0 } });
    view.mCells.insert(cell);
    PoolUsage& usage = view.mUsages[cell];
    usage.mReportedAt = view.mNow;
    usage.mWorkers[worker] = {};
  }
  // More than the shard's own VMs can serve.
  view.mUsages[view.mLayout.CellName("a", 1)].mForecastDemandCores = 100000;
  FleetPlan plan = PlanFleet(view);
  CHECK_FALSE(plan.mNewIntents.empty());
  for (const auto& [vm, intent] : plan.mNewIntents) {
    CAPTURE(vm);
    CHECK(intent.mTargetPool == "a");
    CHECK(view.mLayout.ShardOf(vm) == 1);
  }

  // A shard without VMs to give doesn't keep another one from growing.
  view.mUsages[view.mLayout.CellName("b", 2)].mForecastDemandCores = 1100;
  plan = PlanFleet(view);
  auto grows = [&](const auto& aEntry) {
    return aEntry.second.mTargetPool == "b" &&
           view.mLayout.ShardOf(aEntry.first) == 2;
  };
  CHECK(std::any_of(plan.mNewIntents.begin(), plan.mNewIntents.end(), grows));
}

TEST_CASE("a worker is sealed by a cell of another shard")
{
  FleetView view;
  view.mLayout = { kShards };
  FleetIntent intent;
  intent.mWorker = "w";
  view.mIntents["m7"] = intent;
  for (std::uint32_t shard = 0; shard < kShards; ++shard) {
    bool own = view.mLayout.ShardOf("m7") == shard;
    CHECK(WorkersToSeal(view, shard, TimePoint(1s)).size() == (own ? 1 : 0));
  }
}

TEST_CASE("two cells have one name")
{
  FleetLayout layout{ 3 };
  std::set<std::string> names;
  for (const char* pool : { "a", "a#1", "a#1#1", "#", "1" }) {
    for (std::uint32_t shard = 0; shard < layout.mShards; ++shard) {
      CHECK(names.insert(layout.CellName(pool, shard)).second);
    }
  }
  CHECK(layout.CellName("a", 0) == "a");
  CHECK(FleetLayout{}.CellName("a#1", 0) == "a#1");
}

// Stored names depend on the hash.
TEST_CASE("a job's shard changes with the version of the program")
{
  FleetLayout layout{ 4 };
  CHECK(layout.ShardOf("5c0e7a21d94b36f8") == 3);
  CHECK(layout.ShardOf("m1") == 1);
  CHECK(layout.ShardOf("") == 2);
}

TEST_CASE("a later owner of the fleet changes its layout")
{
  DividedFleet fleet(1, 1100, true);
  fleet.mManual.Advance(4s);
  CHECK(fleet.StoredShards() == 4);
  fleet.mVms.resize(100);
  fleet.AddNode(true);
  fleet.StopNode();
  fleet.mManual.Advance(4s);
  CHECK(fleet.StoredShards() == 4);
  CHECK(fleet.WorkersOf(0).size() == kWorkers);
}

TEST_CASE("a fleet that ran before it had a layout is divided")
{
  DividedFleet fleet(1, 0, false);
  fleet.mManual.Advance(6s);
  CHECK(fleet.WorkersOf(0).size() == kWorkers);
  CHECK(fleet.StoredShards() == 0);
  fleet.StopNode();
  for (int i = 0; i < 1100; ++i) {
    fleet.mVms.push_back({ VmName(i),
                           std::string(kPool),
                           PoolVmState::Up,
                           "w" + std::to_string(i),
                           "rack",
                           { 32000, 131072, 0 } });
  }
  fleet.AddNode(true);
  fleet.mManual.Advance(8s);
  CHECK(fleet.StoredShards() == 1);
  CHECK(fleet.WorkersOf(0).size() == kWorkers);
}

TEST_CASE("a fleet whose VMs can't be listed gets no layout")
{
  DividedFleet fleet(1, 0, true);
  fleet.mManual.Advance(5s);
  CHECK(fleet.StoredShards() == 0);
  CHECK(fleet.WorkersOf(0).empty());
  fleet.mManual.Advance(10s);
  CHECK(fleet.StoredShards() == 1);
  CHECK(fleet.WorkersOf(0).size() == kWorkers);
}

// Guards against a new owner of the fleet that knows no queue of a pool taking
// the pool's VMs for empty: their cell has jobs of queues that moved or were
// removed.
TEST_CASE("a wave takes VMs unsealed as their pool has no queue any more")
{
  Json moved = Json::array({ DividedFleet::RouteTo("p1") });
  for (const Json& routes : { moved, Json::array() }) {
    CAPTURE(routes.dump());
    DividedFleet fleet(1, 8, true, 1);
    fleet.mManual.Advance(8s);
    fleet.Configure(2, routes, { kPool, "p1" });
    fleet.mManual.Advance(2s);
    fleet.AddNode(true);
    fleet.StopNode();
    fleet.mManual.Advance(2s);
    Json wave = { { "wave", 1 },
                  { "machines", { "m0", "m1", "m2" } },
                  { "deadline_s", 30 },
                  { "maximum", 3 } };
    fleet.Put("op", "", "wave/1", wave.dump());
    fleet.mManual.Advance(30s);
    CHECK(fleet.mMaintained.size() == 3);
    for (const auto& [vm, sealed] : fleet.mMaintained) {
      CAPTURE(vm);
      CHECK(sealed);
    }
  }
}

TEST_CASE("a layout that can't be read is replaced by the default")
{
  DividedFleet fleet(0, 0, false);
  fleet.Put("cells", "fleet", "layout", "?");
  fleet.AddNode(false);
  fleet.mManual.Advance(8s);
  CHECK(fleet.WorkersOf(0).empty());
}
