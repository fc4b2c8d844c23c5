#include "fake_platform.h"

#include "kernel/wait.h"

#include <doctest/doctest.h>
#include <websocketpp/base64/base64.hpp>

namespace buckthornshunt::tests {

using namespace std::chrono_literals;

namespace {

constexpr Duration kStoreDelay = 4ms;
constexpr Duration kReportInterval = 53ms;
constexpr std::int64_t kWorkerBorn = 5;

HttpReply
JsonReply(int aStatus, const Json& aBody)
{
  return MakeReply(aStatus, kJsonType, aBody.dump());
}

Json
WorkerCapacity()
{
  return { { "cpu", 16000 }, { "mem_mb", 32768 } };
}

} // namespace

FakePlatform::FakePlatform(asio::io_context& aContext, Clock& aClock)
  : mClock(aClock)
  , mServer(aContext,
            aClock,
            "platform",
            HttpLimits{},
            [this](const HttpRequest& aRequest, CallerState&) {
              return Serve(aRequest);
            })
  , mChanged(aContext)
{
  REQUIRE(mServer.Listen({ "127.0.0.1", 0 }));
}

void
FakePlatform::Put(std::string_view aTable,
                  std::string_view aKey,
                  std::string_view aValue)
{
  RowKey key{ aTable, "", aKey };
  mRows[key] = { std::string(aValue), ++mRevision };
  mChanged.NotifyAll();
}

Task<void>
FakePlatform::ReportWorkers(int aWorkers)
{
  mWorkers = aWorkers;
  for (int sequence = 1;; ++sequence) {
    for (int i = 0; i < aWorkers; ++i) {
      Json entry{ { "service", "p" },
                  { "address", ToString(ServerEndpoint()) },
                  { "zone", "a" },
                  { "state", "ready" },
                  { "capacity", WorkerCapacity() },
                  { "labels", { "k", "r1" } },
                  { "machine", "m" + std::to_string(i) },
                  { "born", kWorkerBorn },
                  { "seq", sequence } };
      Put("servers", "w" + std::to_string(i), entry.dump());
      co_await mClock.Sleep(kReportInterval);
    }
  }
}

Task<void>
FakePlatform::Stop()
{
  mServer.Abort();
  co_await mServer.Drained();
}

Json
FakePlatform::RowToJson(const RowKey& aKey, const Row& aRow)
{
  const auto& [table, partition, key] = aKey;
  return { { "table", table },
           { "part", partition },
           { "key", key },
           { "ver", aRow.mRevision },
           { "value", websocketpp::base64_encode(aRow.mValue) } };
}

Task<HttpReply>
FakePlatform::Serve(const HttpRequest& aRequest)
{
  std::string_view path = TargetPath(aRequest.mTarget);
  Json body = Json::parse(aRequest.mBody, nullptr, false);
  if (path == "/rows-feed") {
    HttpReply reply = co_await FollowRows(aRequest.mTarget);
    co_return reply;
  }
  if (path == "/hold") {
    HttpReply reply = co_await RenewLease(std::move(body));
    co_return reply;
  }
  co_await mClock.Sleep(kStoreDelay);
  if (path == "/rows-tx") {
    co_return Commit(body);
  }
  if (path == "/rows-get") {
    co_return ScanRows(aRequest.mTarget);
  }
  REQUIRE(path == "/machines");
  co_return ListVms();
}

HttpReply
FakePlatform::Commit(const Json& aBody)
{
  auto keyOf = [](const Json& aRow) {
    return RowKey{ aRow["table"].get<std::string>(),
                   aRow["part"].get<std::string>(),
                   aRow["key"].get<std::string>() };
  };
  bool holds = true;
  Json current = Json::array();
  for (const Json& condition : aBody["expected_revision"]) {
    auto it = mRows.find(keyOf(condition));
    std::uint64_t revision = it == mRows.end() ? 0 : it->second.mRevision;
    holds = holds && revision == condition["ver"].get<std::uint64_t>();
    if (it != mRows.end()) {
      current.push_back(RowToJson(it->first, it->second));
    }
  }
  if (!holds) {
    return JsonReply(412, { { "rows", current }, { "ver", mRevision } });
  }
  ++mRevision;
  for (const Json& put : aBody["set_keys"]) {
    std::string value =
      websocketpp::base64_decode(put["value"].get<std::string>());
    mRows[keyOf(put)] = { std::move(value), mRevision };
  }
  for (const Json& removed : aBody["remove"]) {
    mRows.erase(keyOf(removed));
  }
  mChanged.NotifyAll();
  return JsonReply(200, { { "ver", mRevision } });
}

HttpReply
FakePlatform::ScanRows(std::string_view aTarget) const
{
  RowKey first{ QueryValue(aTarget, "table"),
                QueryValue(aTarget, "part"),
                QueryValue(aTarget, "from") };
  Json rows = Json::array();
  for (auto it = mRows.lower_bound(first); it != mRows.end(); ++it) {
    const auto& [table, partition, key] = it->first;
    if (table != std::get<0>(first) || partition != std::get<1>(first)) {
      break;
    }
    rows.push_back(RowToJson(it->first, it->second));
  }
  return JsonReply(
    200, { { "rows", rows }, { "truncated", false }, { "ver", mRevision } });
}

Task<HttpReply>
FakePlatform::FollowRows(std::string aTarget)
{
  std::string table = QueryValue(aTarget, "table");
  std::uint64_t after = std::stoull(QueryValue(aTarget, "after"));
  std::int64_t maxWait = std::stoll(QueryValue(aTarget, "wait_ms"));
  TimePoint deadline = mClock.Now() + std::chrono::milliseconds(maxWait);
  while (true) {
    Json rows = Json::array();
    for (const auto& [key, row] : mRows) {
      if (std::get<0>(key) == table && row.mRevision > after) {
        rows.push_back(RowToJson(key, row));
      }
    }
    if (!rows.empty() || mClock.Now() >= deadline) {
      co_return JsonReply(200, { { "rows", rows }, { "ver", mRevision } });
    }
    co_await WaitUntil(mChanged, mClock, deadline);
  }
}

Task<HttpReply>
FakePlatform::RenewLease(Json aBody)
{
  auto maxWait = std::chrono::milliseconds(aBody.value("wait_ms", 0));
  co_await mClock.Sleep(maxWait);
  std::int64_t now = ToMillis(mClock.Now().time_since_epoch());
  co_return JsonReply(200,
                      { { "clock_ms", now },
                        { "born", kWorkerBorn },
                        { "running", Json::array() },
                        { "ended", Json::array() } });
}

HttpReply
FakePlatform::ListVms() const
{
  Json vms = Json::array();
  for (int i = 0; i < mWorkers; ++i) {
    vms.push_back({ { "machine", "m" + std::to_string(i) },
                    { "pool", "p" },
                    { "state", "up" },
                    { "zone", "a" },
                    { "labels", { "k", "r1" } },
                    { "capacity", WorkerCapacity() },
                    { "id", "w" + std::to_string(i) } });
  }
  return JsonReply(200, { { "machines", vms }, { "next_token", "" } });
}

} // namespace buckthornshunt::tests
