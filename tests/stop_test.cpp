// Stops of the workload services at every moment of their calls, against a
// platform on loopback.

#include "daemon/assembly.h"
#include "fake_platform.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <doctest/doctest.h>

#include <functional>
#include <random>

using namespace buckthornshunt;
using namespace buckthornshunt::tests;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view kConfigText = R"({"version":7,"routes":[
  {"name":"r1","host":"a.example","path_prefix":"/x/","service":"p",
   "max_attempts":4,"stretch":1.6,"target_latency_ms":600,"priority":1}],
  "services":[{"name":"p","enforces_capacity":true}]})";

constexpr int kWorkers = 5;
constexpr Duration kGracePeriod = 6s;
/// Within this time, a node finds the platform's tables and takes its cells
/// over.
constexpr Duration kWarmUp = 1500ms;
constexpr std::uint64_t kMaxExtraMicros = 1'200'000;
constexpr std::uint64_t kMaxRounds = 16;

/// A platform and one node.
class NodeWithPlatform
{
public:
  explicit NodeWithPlatform(std::uint64_t aSeed)
    : mManual(mContext)
    , mClock(mContext, mManual)
    , mPlatform(mContext, mClock)
    , mPlatformTasks(mContext)
    , mKernel(mContext, mClock, aSeed)
    , mClient(mContext, mKernel.GetClock())
    , mStore(platform::StoreClient(mClient, mPlatform.ServerEndpoint()))
    , mWorkers(platform::WorkerClient(mClient))
    , mMachines(platform::MachineClient(mClient, mPlatform.ServerEndpoint()))
  {
    mPlatform.Put("op", "config", kConfigText);
    mPlatformTasks.Spawn("workers", mPlatform.ReportWorkers(kWorkers));
    Endpoint freePort{ "127.0.0.1", 0 };
    WorkloadOptions options;
    options.mSelf = { "node-1", freePort, Incarnation(1) };
    options.mEndpoints = { freePort, freePort, freePort };
    options.mCells = { &mStore, &mWorkers, {} };
    options.mFleet = { &mStore, &mMachines };
    AddWorkloadServices(mKernel, std::move(options));
    REQUIRE(mKernel.Start());
  }

  ~NodeWithPlatform()
  {
    mPlatformTasks.CancelAll();
    bool stopped = false;
    asio::co_spawn(mContext, mPlatform.Stop(), [&](const std::exception_ptr&) {
      stopped = true;
    });
    mManual.Advance(1s);
    CHECK(stopped);
  }

  /// Begins to stop the node at a given time, after the handlers of aRounds
  /// further passes of the executor.
  void StopAt(TimePoint aTime, std::uint64_t aRounds)
  {
    mClock.CallAt(aTime, [this, aRounds] { StopAfter(aRounds); });
  }

  void Advance(Duration aDuration) { mManual.Advance(aDuration); }
  TimePoint Now() const { return mManual.Now(); }
  bool Stopped() const { return mStopped; }
  bool OwnsCell()
  {
    CellService* cells = nullptr;
    auto find = [&]() -> leaf::result<void> {
      BOOST_LEAF_ASSIGN(cells, mKernel.Find<CellService>(CellService::kName));
      return {};
    };
    REQUIRE(find());
    return cells->Find("p") != nullptr;
  }

private:
  void StopAfter(std::uint64_t aRounds)
  {
    if (aRounds > 0) {
      asio::post(mContext, [this, aRounds] { StopAfter(aRounds - 1); });
      return;
    }
    asio::co_spawn(mContext,
                   mKernel.Stop(DrainPeriod(kGracePeriod)),
                   [this](const std::exception_ptr& aError) {
                     CHECK_FALSE(aError);
                     mStopped = true;
                   });
  }

  asio::io_context mContext{ 1 };
  ManualClock mManual;
  Clock mClock;
  FakePlatform mPlatform;
  TaskGroup mPlatformTasks;
  Kernel mKernel;
  HttpClient mClient;
  Store mStore;
  Workers mWorkers;
  Machines mMachines;
  bool mStopped = false;
};

} // namespace

TEST_CASE("services stop within the grace period at any moment of their calls")
{
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    NodeWithPlatform node(seed);
    node.Advance(kWarmUp);
    CHECK(node.OwnsCell());
    auto extra = std::chrono::microseconds(random() % kMaxExtraMicros);
    node.StopAt(node.Now() + extra, random() % kMaxRounds);
    node.Advance(extra + kGracePeriod);
    CHECK(node.Stopped());
  }
}
