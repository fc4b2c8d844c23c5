// What a node reads of the workers' table, and what it tells its services.

#include "kernel/kernel.h"
#include "services/directory_service.h"
#include "slow_link_store.h"
#include "wire/json_fields.h"

#include <boost/asio/co_spawn.hpp>
#include <doctest/doctest.h>

using namespace buckthornshunt;
using namespace buckthornshunt::tests;
using namespace std::chrono_literals;

namespace {

std::string
WorkerText(std::uint64_t aSequence, std::string_view aState)
{
  return Json{
    { "service", "p" },
    { "zone", "a" },
    { "state", std::string(aState) },
    { "born", 1'776'688'442'755 },
    { "capacity", { { "cpu", 64000 }, { "mem_mb", 262144 }, { "gpu", 0 } } },
    { "labels", Json::array() },
    { "machine", "m" },
    { "address", "10.0.0.9:8343" },
    { "seq", aSequence }
  }.dump();
}

class Node
{
public:
  Node()
    : mManual(mContext)
    , mKernel(mContext, Clock(mContext, mManual), 1)
    , mSlow(mKernel.GetClock(), kBytesPerSecond)
    , mStore(mSlow.Port())
    , mDirectory(mKernel, mStore)
  {
    REQUIRE(mDirectory.Start());
    mWatching = true;
    asio::co_spawn(mContext, CountChanges(), [&](const std::exception_ptr&) {
      mWatching = false;
    });
  }

  ~Node()
  {
    bool stopped = false;
    asio::co_spawn(mContext, mDirectory.Stop(), [&](const std::exception_ptr&) {
      stopped = true;
    });
    mManual.Advance(2s);
    mStopWatching = true;
    mDirectory.Changed().NotifyAll();
    mManual.Advance(0s);
    CHECK(stopped);
    CHECK_FALSE(mWatching);
  }
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  void PutWorkers(int aCount, std::string_view aState = "ready")
  {
    for (int i = 0; i < aCount; ++i) {
      mSlow.Put(
        "servers", "", "i-" + std::to_string(i), WorkerText(++mBeats, aState));
    }
  }

  static constexpr std::uint64_t kBytesPerSecond = 2'500'000;

  asio::io_context mContext;
  ManualClock mManual;
  Kernel mKernel;
  SlowLinkStore mSlow;
  Store mStore;
  DirectoryService mDirectory;
  int mChanges = 0;

private:
  Task<void> CountChanges()
  {
    while (!mStopWatching) {
      co_await mDirectory.Changed().Wait();
      ++mChanges;
    }
  }

  std::uint64_t mBeats = 0;
  bool mWatching = false;
  bool mStopWatching = false;
};

} // namespace

TEST_CASE("a node that owns nothing reads nothing of the workers")
{
  std::uint64_t read[2] = {};
  for (int i = 0; i < 2; ++i) {
    Node node;
    for (int beat = 0; beat < 4; ++beat) {
      node.PutWorkers(i == 0 ? 0 : 1100);
      node.mManual.Advance(1500ms);
    }
    read[i] = node.mSlow.mTransferredBytes;
    CHECK(node.mDirectory.Workers().empty());
    CHECK_FALSE(node.mDirectory.WorkersKnown());
  }
  CHECK(read[0] == read[1]);
}

TEST_CASE("a subscriber knows the workers within a second of a full read")
{
  Node node;
  node.PutWorkers(1100);
  node.mManual.Advance(5s);
  auto subscription = node.mDirectory.SubscribeToWorkers();
  node.mManual.Advance(1s);
  CHECK(node.mDirectory.WorkersKnown());
  CHECK(node.mDirectory.Workers().size() == 1100);
}

TEST_CASE("a heartbeat that changes nothing else notifies nobody")
{
  Node node;
  auto subscription = node.mDirectory.SubscribeToWorkers();
  node.PutWorkers(3);
  node.mManual.Advance(2s);
  int before = node.mChanges;
  CHECK(before > 0);
  for (int i = 0; i < 5; ++i) {
    node.PutWorkers(3);
    node.mManual.Advance(1500ms);
  }
  CHECK(node.mChanges == before);
  node.PutWorkers(1, "draining");
  node.mManual.Advance(1500ms);
  CHECK(node.mChanges == before + 1);
}

TEST_CASE("workers are unknown without a subscription, then read anew")
{
  Node node;
  auto subscription = node.mDirectory.SubscribeToWorkers();
  node.PutWorkers(3);
  node.mManual.Advance(2s);
  REQUIRE(node.mDirectory.Workers().size() == 3);
  subscription.reset();
  node.mManual.Advance(3s);
  CHECK_FALSE(node.mDirectory.WorkersKnown());
  CHECK(node.mDirectory.Workers().empty());
  node.mSlow.Remove("servers", "", "i-1");
  node.PutWorkers(1, "draining");
  subscription = node.mDirectory.SubscribeToWorkers();
  CHECK(node.mDirectory.Workers().empty());
  node.mManual.Advance(1s);
  std::vector<WorkerReport> workers = node.mDirectory.Workers();
  REQUIRE(workers.size() == 2);
  CHECK(workers[0].mDraining);
  CHECK_FALSE(node.mDirectory.FindIncarnation("i-1"));
}
