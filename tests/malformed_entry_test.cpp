// Services follow the rest of a list that holds a malformed entry.

#include "fake_store.h"
#include "kernel/entry_log.h"
#include "kernel/kernel.h"
#include "platform/directory_codec.h"
#include "platform/store_codec.h"
#include "services/cell_runtime.h"
#include "services/directory_service.h"
#include "services/owner_service.h"
#include "wire/cell_codec.h"

#include <boost/asio/co_spawn.hpp>
#include <doctest/doctest.h>
#include <websocketpp/base64/base64.hpp>

#include <map>

using namespace buckthornshunt;
using namespace buckthornshunt::tests;
using namespace std::chrono_literals;

namespace {

std::string
WorkerText(std::string_view aPort)
{
  return R"({"service":"p","zone":"a","state":"ready","born":5,)"
         R"("capacity":{"cpu":1000},"address":"10.0.0.9:)" +
         std::string(aPort) + "\"}";
}

std::string
RowText(std::string_view aTable,
        std::string_view aPart,
        std::string_view aKey,
        std::string_view aValue,
        std::uint64_t aRevision)
{
  return Json{
    { "table", aTable },
    { "part", aPart },
    { "key", aKey },
    { "value", websocketpp::base64_encode(std::string(aValue)) },
    { "ver", aRevision }
  }.dump();
}

/// A store that answers with the platform's JSON, page by page.
class TextStore
{
public:
  explicit TextStore(Clock& aClock)
    : mClock(aClock)
  {
  }

  Store Port()
  {
    return InProcessStore{ [this](StoreCall aCall, TimePoint) {
      return Answer(std::move(aCall));
    } };
  }

  // One row a page; odd rows are kept as they are.
  std::vector<std::string> mPages;
  /// Rows of the feed that haven't been sent.
  std::string mChanges;
  std::uint64_t mRevision = 10;
  int mScans = 0;
  /// Last revision after which changes were requested.
  Revision mAfter{};

private:
  Task<Expected<StoreReply>> Answer(StoreCall aCall)
  {
    co_await mClock.Sleep(4ms);
    std::string body;
    if (const auto* scan = std::get_if<ScanRows>(&aCall)) {
      body = Scan(*scan);
    } else if (const auto* follow = std::get_if<ReadRowFeed>(&aCall)) {
      bool isWorkers = follow->mTable == platform::kWorkerTable;
      mAfter = isWorkers ? follow->mAfter : mAfter;
      body = "{\"rows\":[" +
             (isWorkers ? std::exchange(mChanges, "") : std::string()) +
             "],\"ver\":" + std::to_string(mRevision) + "}";
      co_await mClock.Sleep(50ms);
    }
    co_return ToExpected<StoreReply>(
      [&] { return platform::DecodeStoreReply(aCall, 200, body); });
  }

  std::string Scan(const ScanRows& aScan)
  {
    ++mScans;
    bool isWorkers = aScan.mTable == platform::kWorkerTable;
    std::size_t at = 0;
    while (isWorkers && at < mPages.size() && !aScan.mFirstKey.empty() &&
           mPages[at].find("\"key\":\"" + aScan.mFirstKey.substr(
                                            0, aScan.mFirstKey.size() - 1)) ==
             std::string::npos) {
      ++at;
    }
    at += aScan.mFirstKey.empty() ? 0 : 1;
    bool some = isWorkers && at < mPages.size();
    return "{\"rows\":[" + (some ? mPages[at] : std::string()) +
           "],\"ver\":" + std::to_string(mRevision) + ",\"truncated\":" +
           (some && at + 1 < mPages.size() ? "true" : "false") + "}";
  }

  Clock& mClock;
};

struct DirectoryFixture
{
  DirectoryFixture()
    : mManual(mContext)
    , mKernel(mContext, Clock(mContext, mManual), 1)
    , mText(mKernel.GetClock())
    , mStore(mText.Port())
    , mDirectory(mKernel, mStore)
    , mSubscription(mDirectory.SubscribeToWorkers())
  {
  }

  ~DirectoryFixture()
  {
    bool stopped = false;
    asio::co_spawn(mContext, mDirectory.Stop(), [&](const std::exception_ptr&) {
      stopped = true;
    });
    mManual.Advance(1s);
    CHECK(stopped);
  }

  std::vector<std::string> WorkerIds() const
  {
    std::vector<std::string> ids;
    for (const WorkerReport& report : mDirectory.Workers()) {
      ids.push_back(report.mId);
    }
    return ids;
  }

  std::int64_t Malformed()
  {
    return mKernel.GetMetrics().GetCounter(MalformedEntryLog::kCounter).Value();
  }

  asio::io_context mContext;
  ManualClock mManual;
  Kernel mKernel;
  TextStore mText;
  Store mStore;
  DirectoryService mDirectory;
  DirectoryService::WorkerSubscription mSubscription;
};

using Names = std::vector<std::string>;

} // namespace

TEST_CASE("an odd row in the feed stops the directory from following")
{
  DirectoryFixture fixture;
  fixture.mText.mPages = { RowText("servers", "", "a", WorkerText("1"), 4) };
  REQUIRE(fixture.mDirectory.Start());
  fixture.mManual.Advance(1s);
  REQUIRE(fixture.WorkerIds() == Names{ "a" });
  std::string deep = std::string(100'000, '[') + std::string(100'000, ']');
  for (const std::string& odd :
       { RowText("servers", "", "m", WorkerText("99999"), 11),
         RowText("servers", "", "m", deep, 11),
         RowText("servers", "", "m", "\xff", 11),
         std::string(R"({"table":"servers","part":"","key":"m","ver":1e999})"),
         std::string(R"({"table":"servers","key":["m"],"ver":11})"),
         deep }) {
    CAPTURE(odd.substr(0, 100));
    std::int64_t before = fixture.Malformed();
    std::uint64_t& revision = fixture.mText.mRevision;
    revision += 10;
    std::string next = "n" + std::to_string(revision);
    std::string row = odd;
    if (std::size_t at = row.find("\"ver\":11"); at != std::string::npos) {
      row.replace(at, 8, "\"ver\":" + std::to_string(revision - 1));
    }
    fixture.mText.mChanges =
      row + "," + RowText("servers", "", next, WorkerText("2"), revision);
    fixture.mManual.Advance(2s);
    CHECK(fixture.mDirectory.FindIncarnation(next));
    CHECK(fixture.mText.mAfter == Revision(revision));
    CHECK(fixture.Malformed() == before + 1);
  }
  // The tables weren't read again.
  CHECK(fixture.mText.mScans == 2);
}

TEST_CASE("an odd row ends a scan early or returns for ever")
{
  DirectoryFixture fixture;
  fixture.mText.mPages = {
    RowText("servers", "", "a", WorkerText("1"), 4),
    R"({"table":"servers","part":"","key":"m","value":17,"ver":-1})",
    RowText("servers", "", "z", WorkerText("2"), 5)
  };
  REQUIRE(fixture.mDirectory.Start());
  fixture.mManual.Advance(3s);
  CHECK(fixture.WorkerIds() == Names{ "a", "z" });
  CHECK(fixture.mText.mScans == 4);
  CHECK(fixture.Malformed() == 1);
}

TEST_CASE("a worker whose entry can't be read any more stays in use")
{
  DirectoryFixture fixture;
  fixture.mText.mPages = { RowText("servers", "", "a", WorkerText("1"), 4) };
  REQUIRE(fixture.mDirectory.Start());
  fixture.mManual.Advance(1s);
  REQUIRE(fixture.WorkerIds() == Names{ "a" });
  fixture.mText.mRevision = 11;
  fixture.mText.mChanges =
    R"({"table":"servers","part":"","key":"a","value":"?","ver":"x"})";
  fixture.mManual.Advance(1s);
  CHECK(fixture.WorkerIds().empty());
  fixture.mText.mRevision = 12;
  fixture.mText.mChanges = RowText("servers", "", "a", WorkerText("1"), 12);
  fixture.mManual.Advance(1s);
  CHECK(fixture.WorkerIds() == Names{ "a" });
}

TEST_CASE("an entry rewritten each second floods the log")
{
  Metrics metrics;
  MalformedEntryLog log(metrics, "test");
  for (int i = 0; i < 100; ++i) {
    log.Record("servers", "m", "invalid port");
  }
  CHECK(log.Logged() == 1);
  log.Record("servers", "m", "no zone");
  CHECK(log.Logged() == 2);
  log.Record("servers", "n\r\nforged line", "no zone");
  CHECK(log.Logged() == 3);
  log.Clear("servers", "m");
  log.Record("servers", "m", "no zone");
  CHECK(log.Logged() == 4);
  for (int i = 0; i < 5000; ++i) {
    log.Record("servers", "k" + std::to_string(i), "no zone");
  }
  CHECK(log.Logged() < 1100);
  CHECK(
    metrics.Render().find("buckthornshunt_malformed_entries_total 5103\n") !=
    std::string::npos);
}

namespace {

struct RowFixture
{
  RowFixture()
    : mManual(mContext)
    , mKernel(mContext, Clock(mContext, mManual), 1)
    , mFake(mKernel.GetClock())
    , mStore(mFake.Port())
  {
  }

  void Put(std::string_view aTable,
           std::string_view aPart,
           std::string_view aKey,
           std::string aValue,
           std::uint64_t aRevision = 1)
  {
    RowName name{ std::string(aTable), std::string(aPart), std::string(aKey) };
    mFake.mRows[name] = { name, std::move(aValue), Revision(aRevision), false };
  }

  template<class Value>
  std::optional<Value> Run(Task<Value> aTask, Duration aFor = 1s)
  {
    auto result = std::make_shared<std::optional<Value>>();
    asio::co_spawn(mContext,
                   std::move(aTask),
                   [result](const std::exception_ptr& aError, Value aValue) {
                     CHECK_FALSE(aError);
                     *result = std::move(aValue);
                   });
    mManual.Advance(aFor);
    return *result;
  }

  void Finish(Task<void> aTask)
  {
    bool done = false;
    asio::co_spawn(mContext, std::move(aTask), [&](const std::exception_ptr&) {
      done = true;
    });
    mManual.Advance(5s);
    CHECK(done);
  }

  asio::io_context mContext;
  ManualClock mManual;
  Kernel mKernel;
  FakeStore mFake;
  Store mStore;
};

OwnerRow
ValidOwner()
{
  OwnerRow row;
  row.mNode = "n";
  row.mPeerEndpoint = { "10.0.0.1", 7 };
  row.mTerm = 3;
  return row;
}

std::string
JobBytes()
{
  StoredJob job;
  job.mQueue = "q";
  job.mSpec.mSteps.push_back({});
  return EncodeStoredJob(job);
}

} // namespace

TEST_CASE("an odd owner row hides the owners of other cells")
{
  RowFixture fixture;
  OwnerService owners(
    fixture.mKernel, fixture.mStore, { "self", { "10.0.0.2", 1 }, {} });
  owners.Watch("a");
  owners.Watch("b");
  REQUIRE(owners.Start());
  fixture.mManual.Advance(1s);
  Json odd = { { "n", "x" }, { "h", "10.0.0.3" }, { "p", 70000U } };
  fixture.Put("cells", "a", "owner", ToCbor(odd), 4);
  fixture.Put("cells", "b", "owner", EncodeOwnerRow(ValidOwner()), 5);
  fixture.mManual.Advance(2s);
  CHECK(owners.LastSeen("a") == nullptr);
  REQUIRE(owners.LastSeen("b") != nullptr);
  CHECK(owners.LastSeen("b")->mRow.mPeerEndpoint == Endpoint{ "10.0.0.1", 7 });
  CHECK(fixture.mKernel.GetMetrics()
          .GetCounter(MalformedEntryLog::kCounter)
          .Value() >= 1);
  fixture.Finish(owners.Stop());
}

TEST_CASE("a job whose rows can't be read is denied or run again")
{
  RowFixture fixture;
  fixture.Put("jobs", "c", "good", JobBytes());
  fixture.Put("jobs", "c", "odd", "\x7f\x7f");
  fixture.Put("jobs", "c", "unsure", JobBytes());
  fixture.Put("progress", "c", "unsure", "\x9f");
  fixture.Put("cells", "c", "workers", "");
  DirectoryService directory(fixture.mKernel, fixture.mStore);
  LocalNode self{ "n", { "10.0.0.1", 1 }, Incarnation(1) };
  std::optional<OwnerObservation> seen;
  auto claim = fixture.Run(
    ClaimCell(fixture.mKernel, fixture.mStore, "c", self, std::nullopt, seen));
  REQUIRE(claim);
  REQUIRE(*claim);
  CellPorts ports;
  ports.mStore = &fixture.mStore;
  CellRuntime runtime(fixture.mKernel,
                      ports,
                      directory,
                      FleetLayout{},
                      MakeCellId(FleetLayout{}, "c", 0),
                      CellDurations{},
                      **claim);
  runtime.Start();
  fixture.mManual.Advance(500ms);
  REQUIRE(runtime.Loaded());
  auto answer = [&](CallerCall aCall) {
    TimePoint deadline = fixture.mManual.Now() + 500ms;
    auto reply = fixture.Run(runtime.Handle(std::move(aCall), deadline), 600ms);
    REQUIRE(reply);
    return *reply;
  };
  CHECK(std::holds_alternative<JobPhaseReply>(answer(ReadJob{ "q", "good" })));
  CHECK(std::holds_alternative<JobNotFound>(answer(ReadJob{ "q", "none" })));
  for (const char* id : { "odd", "unsure" }) {
    CHECK(
      std::holds_alternative<ServiceUnavailable>(answer(ReadJob{ "q", id })));
    CHECK(std::holds_alternative<ServiceUnavailable>(
      answer(SubmitJob{ "q", id, {} })));
    CHECK(
      std::holds_alternative<ServiceUnavailable>(answer(CancelJob{ "q", id })));
  }
  // Some worker of an earlier owner may still run something.
  CHECK(runtime.State().Workers().contains(""));
  fixture.Finish(runtime.Stop(TimePoint::max()));
  CHECK(fixture.mFake.mRows.contains({ "jobs", "c", "odd" }));
}
