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
