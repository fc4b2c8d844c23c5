// Cost of control at three sizes of the fleet: state, processor time, bytes
// and calls to the platform of one node, with changes at the design's rate.

#include "bench/report.h"
#include "kernel/log.h"
#include "standins/local_fleet.h"
#include "wire/config_codec.h"

#include <algorithm>
#include <cstdlib>
#include <ctime>
#include <malloc.h>
#include <span>
#include <string>
#include <vector>

namespace buckthornshunt::bench {

namespace {

constexpr int kSites = 6;
constexpr int kNodesPerSite = 3;
constexpr int kVmsPerRack = 4;
constexpr Duration kWatched = std::chrono::seconds(72);
/// 2,400 changes a day.
constexpr Duration kBetweenChanges = std::chrono::seconds(36);
constexpr Duration kPlatformDelay = std::chrono::milliseconds(20);
/// Bytes that HTTP adds to a call and its answer, headers and all.
constexpr double kHttpOverhead = 420;

struct FleetSize
{
  int mWorkers;
  int mPools;
  int mTeams;
};

std::string
SiteName(int aSite)
{
  return "site-" + std::to_string(aSite);
}

// Each pool has one VM at some of the sites, as the number of VMs allows.
ConfigSource
MakeConfig(const FleetSize& aSize, int aQueueLimit)
{
  int perSite = aSize.mWorkers / kSites;
  ConfigSource source;
  Json pools = Json::object();
  Json teams = Json::object();
  Json sites = Json::object();
  for (int i = 0; i < aSize.mPools; ++i) {
    Json operations{ { "op", { { "idempotent", true } } } };
    pools["pool-" + std::to_string(i)] = { { "vms", 0 },
                                           { "queue_limit", aQueueLimit },
                                           { "operations", operations } };
  }
  pools["spare"] = { { "vms", 0 } };
  for (int i = 0; i < aSize.mTeams; ++i) {
    teams["team-" + std::to_string(i)] = { { "slots", 10 } };
  }
  for (int s = 0; s < kSites; ++s) {
    sites[SiteName(s)] = { { "vms", perSite } };
    Json overlay = Json::object();
    for (int i = 0; i < perSite - 2; ++i) {
      int pool = (s * perSite + i) % aSize.mPools;
      overlay["pool-" + std::to_string(pool)] = { { "vms", 1 } };
    }
    source.mOverlays.push_back(
      { SiteName(s) + ".json",
        { { "format", 1 }, { "site", SiteName(s) }, { "pools", overlay } } });
  }
  source.mBase = { "base.json",
                   { { "format", 1 },
                     { "spare_pool", "spare" },
                     { "sites", sites },
                     { "pools", pools },
                     { "teams", teams } } };
  return source;
}

double
HeapBytes()
{
  return static_cast<double>(mallinfo2().uordblks);
}

double
ProcessorSeconds()
{
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  constexpr double kNanosecond = 1e-9;
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) * kNanosecond;
}

double
ReadCounter(standins::LocalFleet& aFleet,
            std::string_view aNode,
            std::string_view aCounter)
{
  Metrics& metrics = aFleet.KernelOf(aNode).GetMetrics();
  return static_cast<double>(metrics.GetCounter(aCounter).Value());
}

/// Counters of one node that its cost is worked out from.
struct Counts
{
  double mPeerBytes = 0;
  double mPlatformCalls = 0;
  double mPlatformBytes = 0;
  double mCommits = 0;
};

Counts
Count(standins::LocalFleet& aFleet, std::string_view aNode)
{
  return { ReadCounter(aFleet, aNode, "peer_bytes_sent_total"),
           ReadCounter(aFleet, aNode, "platform_calls_total"),
           ReadCounter(aFleet, aNode, "platform_bytes_total"),
           ReadCounter(aFleet, aNode, "platform_commits_total") };
}

/// Cost of control, a second.
struct Cost
{
  /// Mean of the nodes.
  double mCoreShare = 0;
  double mHeapMegabytes = 0;
  /// The node that spends most: a data centre's controller.
  double mBytes = 0;
  /// All nodes together.
  double mReads = 0;
  double mWrites = 0;
  /// Longest time from the acceptance of a change to its being in force
  /// everywhere.
  double mRollout = 0;
};

bool
InForce(standins::LocalFleet& aFleet,
        std::span<const std::string> aNodes,
        ConfigVersion aVersion)
{
  return std::all_of(aNodes.begin(), aNodes.end(), [&](const auto& aNode) {
    const auto& config = aFleet.Get<ConfigService>(aNode).Current();
    return config && config->mVersion >= aVersion;
  });
}

// Applies a change and waits for it to be in force everywhere.
double
Change(standins::LocalFleet& aFleet,
       std::span<const std::string> aNodes,
       ConfigSource aSource)
{
  constexpr Duration kStep = std::chrono::milliseconds(10);
  constexpr int kMostSteps = 3000;
  TimePoint from = aFleet.GetClock().Now();
  auto version = aFleet.Apply(aNodes.front(), std::move(aSource));
  if (!Ok(version)) {
    std::abort();
  }
  for (int i = 0; i < kMostSteps; ++i) {
    if (InForce(aFleet, aNodes, std::get<ConfigVersion>(version))) {
      break;
    }
    aFleet.Advance(kStep);
  }
  return ToSeconds(aFleet.GetClock().Now() - from);
}

Cost
MeasureSize(const FleetSize& aSize)
{
  standins::LocalFleet fleet;
  fleet.Platform().Faults().mDelay = kPlatformDelay;
  int perSite = aSize.mWorkers / kSites;
  for (int s = 0; s < kSites; ++s) {
    for (int i = 0; i < perSite; ++i) {
      std::string name = SiteName(s) + "-w" + std::to_string(i);
      fleet.AddWorker(name, SiteName(s), "r" + std::to_string(i / kVmsPerRack));
    }
  }
  double heapWithoutNodes = HeapBytes();
  std::vector<std::string> nodes;
  for (int s = 0; s < kSites; ++s) {
    for (int n = 0; n < kNodesPerSite; ++n) {
      nodes.push_back(SiteName(s) + "-n" + std::to_string(n));
      fleet.StartNode(nodes.back(), SiteName(s));
    }
  }
  int limit = 400;
  Change(fleet, nodes, MakeConfig(aSize, limit));
  if (!fleet.Settle()) {
    std::abort();
  }
  fleet.Advance(std::chrono::seconds(5));

  Cost cost;
  std::vector<Counts> before;
  for (const std::string& node : nodes) {
    before.push_back(Count(fleet, node));
  }
  double processor = ProcessorSeconds();
  TimePoint begin = fleet.GetClock().Now();
  while (fleet.GetClock().Now() - begin < kWatched) {
    ConfigSource next = MakeConfig(aSize, 400);
    next.mBase.mJson["pools"]["pool-0"]["queue_limit"] = ++limit;
    cost.mRollout =
      std::max(cost.mRollout, Change(fleet, nodes, std::move(next)));
    fleet.Advance(kBetweenChanges);
  }
  double seconds = ToSeconds(fleet.GetClock().Now() - begin);
  processor = ProcessorSeconds() - processor;
  cost.mCoreShare = processor / seconds / static_cast<double>(nodes.size());
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    Counts now = Count(fleet, nodes[i]);
    double calls = now.mPlatformCalls - before[i].mPlatformCalls;
    double commits = now.mCommits - before[i].mCommits;
    // Peers' bytes are counted where they are sent; as many arrive.
    double bytes = 2 * (now.mPeerBytes - before[i].mPeerBytes) +
                   now.mPlatformBytes - before[i].mPlatformBytes +
                   calls * kHttpOverhead;
    cost.mBytes = std::max(cost.mBytes, bytes / seconds);
    cost.mWrites += commits / seconds;
    cost.mReads += (calls - commits) / seconds;
  }
  // The stand-in's own table is heap of this process, but not of a node.
  double tableBytes = 0;
  for (const Row& row : fleet.Platform().Log()) {
    tableBytes += 2.0 * static_cast<double>(sizeof(Row) + row.mKey.size() +
                                            row.mValue.size());
  }
  double heap = HeapBytes() - heapWithoutNodes - tableBytes;
  constexpr double kMegabyte = 1e6;
  cost.mHeapMegabytes = heap / static_cast<double>(nodes.size()) / kMegabyte;
  return cost;
}

} // namespace

void
MeasureControl(Report& aReport)
{
  constexpr FleetSize kSizes[] = { { 204, 61, 55 },
                                   { 408, 122, 110 },
                                   { 810, 244, 220 } };
  constexpr double kMostCore = 0.011;
  constexpr double kMostMegabytes = 32;
  constexpr double kMostBytes = 11000;
  constexpr double kMostRollout = 2;
  SetUpLogs(LogFormat::Text, LogLevel::Error);
  for (const FleetSize& size : kSizes) {
    Cost cost = MeasureSize(size);
    std::string at = "_" + std::to_string(size.mWorkers);
    auto add = [&](const char* aName,
                   double aValue,
                   const char* aUnit,
                   std::optional<double> aTarget) {
      Want want = aTarget ? Want::AtMost : Want::Nothing;
      aReport.Add({ aName + at, aValue, aUnit, {}, aTarget, want, 1 });
    };
    add("control_core_share", cost.mCoreShare, "core", kMostCore);
    add("control_heap_mb", cost.mHeapMegabytes, "MB", kMostMegabytes);
    add("control_bytes_per_s", cost.mBytes, "B/s", kMostBytes);
    add("control_rollout_s", cost.mRollout, "s", kMostRollout);
    add("store_reads_per_s", cost.mReads, "1/s", {});
    add("store_writes_per_s", cost.mWrites, "1/s", {});
  }
}

} // namespace buckthornshunt::bench
