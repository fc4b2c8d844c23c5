// A node has the newest configuration soon after each change, whatever it
// missed before.

#include "kernel/kernel.h"
#include "platform/directory_codec.h"
#include "services/directory_service.h"
#include "services/owner_service.h"
#include "slow_link_store.h"
#include "wire/cell_codec.h"
#include "wire/json_fields.h"

#include <boost/asio/co_spawn.hpp>
#include <doctest/doctest.h>

using namespace buckthornshunt;
using namespace buckthornshunt::tests;
using namespace std::chrono_literals;

namespace {

/// Bandwidth of the smallest entry VMs: 10 Mbit/s.
constexpr std::uint64_t kBytesPerSecond = 1'250'000;
/// Deadline of a configuration on the users' grown sites, after the network of
/// the node is back.
constexpr Duration kApplyDeadline = 3s;

std::string
ConfigText(std::uint64_t aVersion, std::size_t aRoutes)
{
  Json routes = Json::array();
  for (std::size_t i = 0; i < aRoutes; ++i) {
    std::string n = std::to_string(i);
    routes.push_back({ { "name", "r-" + n },
                       { "host", "h" + n + ".example" },
                       { "path_prefix", "/p" + n + "/" },
                       { "kind", "unsafe" },
                       { "timeout_ms", 3000 },
                       { "target_latency_ms", 600 },
                       { "priority", 0 },
                       { "service", "p" },
                       { "max_attempts", 3 },
                       { "stretch", 1.5 } });
  }
  return Json{
    { "version", aVersion },
    { "routes", std::move(routes) },
    { "services",
      Json::array({ { { "name", "p" },
                      { "enforces_capacity", true },
                      { "spare", false } } }) }
  }.dump();
}

std::string
WorkerText(std::uint64_t aSequence)
{
  return Json{
    { "service", "p" },
    { "zone", "a" },
    { "state", "ready" },
    { "born", 1'776'688'442'755 },
    { "capacity", { { "cpu", 64000 }, { "mem_mb", 262144 }, { "gpu", 0 } } },
    { "labels", Json::array({ "c1", "r1-4" }) },
    { "machine", "m-7fa9c" },
    { "version", "v1" },
    { "slots", 8 },
    { "cold_left_ms", 0 },
    { "address", "10.0.0.9:8343" },
    { "seq", aSequence }
  }.dump();
}

struct SlowLinkFixture
{
  SlowLinkFixture()
    : mManual(mContext)
    , mKernel(mContext, Clock(mContext, mManual), 1)
    , mSlow(mKernel.GetClock(), kBytesPerSecond)
    , mStore(mSlow.Port())
    , mDirectory(mKernel, mStore)
    , mSubscription(mDirectory.SubscribeToWorkers())
  {
    PutConfig();
    for (int i = 0; i < kWorkers; ++i) {
      PutWorker(i);
    }
  }

  ~SlowLinkFixture()
  {
    mSlow.mCut = false;
    bool stopped = false;
    asio::co_spawn(mContext, mDirectory.Stop(), [&](const std::exception_ptr&) {
      stopped = true;
    });
    mManual.Advance(1s);
    CHECK(stopped);
  }

  void PutConfig()
  {
    ++mVersion;
    mSlow.Put("op", "", platform::kConfigKey, ConfigText(mVersion, mRoutes));
  }

  void PutWorker(int aIndex)
  {
    mSlow.Put(
      "servers", "", "i-" + std::to_string(aIndex), WorkerText(++mBeats));
  }

  /// Lets time pass with a new configuration each aGap and every worker's
  /// entry written every 1.5 s.
  void RunChanges(Duration aFor, Duration aGap)
  {
    constexpr Duration kBeatStep = 1500ms / kWorkers;
    Duration changeDue{};
    for (Duration past{}; past < aFor; past += kBeatStep) {
      if (past >= changeDue) {
        PutConfig();
        changeDue += aGap;
      }
      PutWorker(mNextWorker);
      mNextWorker = (mNextWorker + 1) % kWorkers;
      mManual.Advance(kBeatStep);
    }
  }

  std::uint64_t VersionInForce() const
  {
    auto config = mDirectory.Config();
    return config ? ToNumber(config->mVersion) : 0;
  }

  static constexpr int kWorkers = 350;

  asio::io_context mContext;
  ManualClock mManual;
  Kernel mKernel;
  SlowLinkStore mSlow;
  Store mStore;
  DirectoryService mDirectory;
  DirectoryService::WorkerSubscription mSubscription;
  std::size_t mRoutes = 260;
  std::uint64_t mVersion = 0;
  std::uint64_t mBeats = 0;
  int mNextWorker = 0;
};

} // namespace

TEST_CASE("a node back from a cut serves the configuration from before it")
{
  SlowLinkFixture fixture;
  REQUIRE(fixture.mDirectory.Start());
  fixture.RunChanges(4s, 800ms);
  REQUIRE(fixture.VersionInForce() + 1 >= fixture.mVersion);
  fixture.mSlow.mCut = true;
  fixture.RunChanges(11s, 200ms);
  fixture.mSlow.mCut = false;
  std::uint64_t missed = fixture.mVersion;
  fixture.RunChanges(kApplyDeadline, 800ms);
  CHECK(fixture.VersionInForce() >= missed);
  CHECK(fixture.mDirectory.Workers().size() == SlowLinkFixture::kWorkers);
}

TEST_CASE("a large configuration that changes quickly is in force late")
{
  SlowLinkFixture fixture;
  fixture.mRoutes = 1600;
  fixture.PutConfig();
  REQUIRE(fixture.mDirectory.Start());
  fixture.RunChanges(4s, 4s);
  fixture.RunChanges(2s, 80ms);
  std::uint64_t changed = fixture.mVersion;
  fixture.RunChanges(kApplyDeadline, 10s);
  CHECK(fixture.VersionInForce() >= changed);
}

TEST_CASE("a node back from a cut takes former owners for the current ones")
{
  constexpr int kCells = 6;
  constexpr Duration kCommitGap = 8ms;
  asio::io_context context;
  ManualClock manual(context);
  Kernel kernel(context, Clock(context, manual), 1);
  SlowLinkStore slow(kernel.GetClock(), kBytesPerSecond);
  Store store = slow.Port();
  OwnerService owners(kernel, store, { "self", { "10.0.0.2", 1 }, {} });
  OwnerRow row;
  row.mNode = "n";
  row.mPeerEndpoint = { "10.0.0.1", 7 };
  row.mTerm = 3;
  for (int i = 0; i < 60; ++i) {
    row.mDrainingWorkers.push_back("i-0a1b2c3d" + std::to_string(i));
  }
  // Each commit of an owner writes its row.
  auto commit = [&](Duration aFor) {
    for (Duration past{}; past < aFor; past += kCommitGap) {
      ++row.mSequence;
      std::string cell = "c" + std::to_string(row.mSequence % kCells);
      slow.Put(kCellTable, cell, kOwnerKey, EncodeOwnerRow(row));
      manual.Advance(kCommitGap);
    }
  };
  for (int i = 0; i < kCells; ++i) {
    owners.Watch("c" + std::to_string(i));
  }
  REQUIRE(owners.Start());
  commit(2s);
  REQUIRE(owners.LastSeen("c0") != nullptr);
  slow.mCut = true;
  row.mTerm = 4;
  commit(11s);
  slow.mCut = false;
  commit(2s);
  for (int i = 0; i < kCells; ++i) {
    const OwnerObservation* seen = owners.LastSeen("c" + std::to_string(i));
    REQUIRE(seen != nullptr);
    CHECK(seen->mRow.mTerm == 4);
    CHECK(row.mSequence - seen->mRow.mSequence < 1s / kCommitGap);
  }
  bool stopped = false;
  asio::co_spawn(
    context, owners.Stop(), [&](const std::exception_ptr&) { stopped = true; });
  manual.Advance(1s);
  CHECK(stopped);
}
