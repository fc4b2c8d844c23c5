// Malformed entries of every list that is read: none ends the process.

#include "decide/cell.h"
#include "net/http_message.h"
#include "platform/caller_codec.h"
#include "platform/directory_codec.h"
#include "platform/store_codec.h"
#include "platform/worker_codec.h"
#include "wire/api_codec.h"
#include "wire/cell_codec.h"
#include "wire/fleet_codec.h"
#include "wire/relay_codec.h"

#include <doctest/doctest.h>

#include <limits>
#include <random>

using namespace buckthornshunt;
using namespace buckthornshunt::platform;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kDeepNesting = 100'000;

constexpr std::uint64_t kMaxUnsigned =
  std::numeric_limits<std::uint64_t>::max();

template<class Read>
auto
Decode(Read aRead)
{
  return ToExpected<std::decay_t<decltype(aRead().value())>>(aRead);
}

Json
StepJson()
{
  return { { "n", 2U }, { "c", 500 }, { "m", 64 }, { "e", 900 } };
}

Json
JobJson()
{
  return { { "q", "q" },
           { "j",
             { { "w", "payload" }, { "s", Json::array({ StepJson() }) } } },
           { "t", 3U },
           { "a", 1700000000000 } };
}

Json
OwnerJson()
{
  return { { "n", "node" }, { "h", "10.0.0.1" },
           { "p", 7U },     { "i", 5U },
           { "t", 2U },     { "s", 9U },
           { "r", false },  { "x", Json::array({ "w" }) },
           { "d", 110 } };
}

Json
WorkerJson()
{
  return { { "service", "p" },
           { "address", "10.0.0.9:8080" },
           { "zone", "a" },
           { "version", "v1" },
           { "slots", 8 },
           { "state", "ready" },
           { "capacity", { { "cpu", 16000 }, { "mem_mb", 32768 } } },
           { "labels", Json::array({ "k", "r1" }) },
           { "machine", "m1" },
           { "born", 1700000000000 },
           { "remaining_ms", 1500 },
           { "seq", 4 } };
}

} // namespace

TEST_CASE("nested CBOR strings overflow the stack of the reader")
{
  for (char head : { '\x7f', '\x5f', '\x81', '\xa1' }) {
    std::string bytes(kDeepNesting, head);
    CHECK_FALSE(Ok(Decode([&] { return ParseCbor(bytes); })));
  }
  // The same bytes as the content of a string are no nesting.
  Json text = std::string(200, '\x7f');
  CHECK(Ok(Decode([&] { return ParseCbor(ToCbor(text)); })));
}

TEST_CASE("a CBOR container that declares a huge size is rejected")
{
  for (char head : { '\x9b', '\xbb', '\x5b', '\x7b' }) {
    std::string bytes(1, head);
    bytes += std::string(7, '\xff') + '\xfe';
    CHECK_FALSE(Ok(Decode([&] { return ParseCbor(bytes); })));
  }
}

TEST_CASE("text that isn't UTF-8 ends the process when it is sent as JSON")
{
  StartRun start;
  start.mTask = { "j", 0, 0, 0 };
  start.mPayload = "\xff\xfe";
  CHECK_THROWS_AS(EncodeWorkerCall({ "w", {} }, start), Json::type_error);
  Json job = JobJson();
  job["j"]["w"] = start.mPayload;
  CHECK_FALSE(Ok(Decode([&] { return DecodeStoredJob("j", ToCbor(job)); })));
  Json key = { { "\xc0\x80", 1 } };
  CHECK_FALSE(Ok(Decode([&] { return ParseCbor(ToCbor(key)); })));
  HttpRequest request;
  request.mMethod = "POST";
  request.mTarget = "/v1/pools/billing/operations/invoice";
  request.mFields = { { std::string(kIdempotencyKeyField), "\xff" } };
  CHECK_FALSE(
    Ok(Decode([&] { return buckthornshunt::DecodeCallerRequest(request); })));
}

TEST_CASE("a port out of range is cut to 16 bits")
{
  for (const Json& port :
       { Json(65536U + 80U), Json(kMaxUnsigned), Json(-1), Json(0U) }) {
    Json owner = OwnerJson();
    owner["p"] = port;
    CHECK_FALSE(Ok(Decode([&] { return DecodeOwnerRow(ToCbor(owner)); })));
    Json workers = Json::array({ Json::array({ "w", "10.0.0.1", port, "vm" }),
                                 Json::array({ "x", "10.0.0.2", 7, "vm" }) });
    auto read = Decode([&] { return DecodeWorkerSet(ToCbor(workers)); });
    REQUIRE(Ok(read));
    // A worker that can't be reached may still run something.
    REQUIRE(std::get<0>(read).size() == 2);
    CHECK(std::get<0>(read)[0].mId == "w");
    CHECK(std::get<0>(read)[0].mEndpoint == Endpoint{});
    CHECK(std::get<0>(read)[1].mEndpoint == Endpoint{ "10.0.0.2", 7 });
  }
  for (const char* address : { "10.0.0.9:65536",
                               "10.0.0.9:-1",
                               "10.0.0.9:0",
                               "10.0.0.9:99999999999999999999",
                               "10.0.0.9:80x",
                               "10.0.0.9:",
                               "10.0.0.9",
                               ":80",
                               "" }) {
    Json worker = WorkerJson();
    worker["address"] = address;
    CHECK_FALSE(
      Ok(Decode([&] { return DecodeWorkerReport("w", worker.dump()); })));
  }
}
