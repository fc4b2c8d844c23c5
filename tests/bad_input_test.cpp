#include "wire/api_codec.h"
#include "wire/backend_codec.h"
#include "wire/config_codec.h"
#include "wire/peer_codec.h"
#include "wire/platform_codec.h"
#include "wire/row_codec.h"

#include <doctest/doctest.h>

#include <random>

using namespace buckthornshunt;

namespace {

std::optional<Failure>
FailureOf(const std::function<leaf::result<void>()>& aRead)
{
  auto result =
    ToExpected<std::monostate>([&]() -> leaf::result<std::monostate> {
      BOOST_LEAF_CHECK(aRead());
      return std::monostate{};
    });
  if (Ok(result)) {
    return std::nullopt;
  }
  return std::get<Failure>(result);
}

template<class Read>
bool
IsRejected(Read aRead)
{
  return FailureOf([&]() -> leaf::result<void> {
           BOOST_LEAF_CHECK(aRead());
           return {};
         })
    .has_value();
}

ConfigSource
KiirteeConfig()
{
  return ReadConfigSource("examples/kiirtee").value();
}

std::vector<ConfigFailure>
FaultsOf(const ConfigSource& aSource)
{
  std::vector<ConfigFailure> faults;
  CheckConfig(aSource, faults);
  return faults;
}

} // namespace

TEST_CASE("the example configurations are valid")
{
  for (const char* name : { "examples/kiirtee", "examples/akustika" }) {
    ConfigSource source = ReadConfigSource(name).value();
    for (const ConfigFailure& fault : FaultsOf(source)) {
      FAIL_CHECK(Describe(Failure(fault)));
    }
  }
}

TEST_CASE("each configuration fault names its file and JSON pointer")
{
  ConfigSource source = KiirteeConfig();
  Json& overlay = source.mOverlays[2].mJson;
  REQUIRE(overlay["site"] == "tallinn-b");
  Json& base = source.mBase.mJson;

  auto expect =
    [&](ConfigFault aFault, std::string_view aFile, std::string_view aPointer) {
      auto faults = FaultsOf(source);
      REQUIRE(faults.size() == 1);
      CHECK(faults[0].mFault == aFault);
      CHECK(faults[0].mFile.ends_with(aFile));
      CHECK(faults[0].mPointer == aPointer);
    };
  SUBCASE("an unknown key")
  {
    overlay["pools"]["survey"]["vmz"] = 3;
    expect(ConfigFault::Schema, "tallinn-b.json", "/pools/survey");
  }
  SUBCASE("a wrong type")
  {
    base["pools"]["survey"]["vms"] = "three";
    expect(ConfigFault::Schema, "base.json", "/pools/survey/vms");
  }
  SUBCASE("an overlay value that equals the base")
  {
    overlay["pools"]["survey"]["vms"] = base["pools"]["survey"]["vms"];
    expect(ConfigFault::NoDifference, "tallinn-b.json", "/pools/survey/vms");
  }
  SUBCASE("an overlay of an unknown pool")
  {
    overlay["pools"]["surveys"]["vms"] = 3;
    expect(ConfigFault::UnknownName, "tallinn-b.json", "/pools/surveys");
  }
  SUBCASE("an overlay of an unknown site")
  {
    overlay["site"] = "tartu";
    auto faults = FaultsOf(source);
    REQUIRE_FALSE(faults.empty());
    CHECK(faults[0].mFault == ConfigFault::UnknownName);
    CHECK(faults[0].mPointer == "/site");
  }
  SUBCASE("an availability budget that the spare VMs can't meet")
  {
    overlay["pools"]["survey"]["spare_vms"] = 0;
    expect(
      ConfigFault::Infeasible, "tallinn-b.json", "/pools/survey/spare_vms");
  }
  SUBCASE("more VMs than the site has")
  {
    overlay["pools"]["survey"]["vms"] = 14;
    overlay["pools"]["survey"]["spare_vms"] = 14;
    expect(ConfigFault::Infeasible, "tallinn-b.json", "/pools");
  }
  SUBCASE("an unknown spare pool")
  {
    base["spare_pool"] = "attic";
    auto faults = FaultsOf(source);
    REQUIRE_FALSE(faults.empty());
    CHECK(faults[0].mPointer == "/spare_pool");
  }
}

TEST_CASE("a duplicate key is reported with its JSON pointer")
{
  auto failure = FailureOf([]() -> leaf::result<void> {
    BOOST_LEAF_CHECK(
      ParseDocument("base.json", R"({"pools": {"a": {"vms": 1, "vms": 2}}})"));
    return {};
  });
  REQUIRE(failure);
  const auto& fault = std::get<ConfigFailure>(*failure);
  CHECK(fault.mFault == ConfigFault::DuplicateKey);
  CHECK(fault.mPointer == "/pools/a/vms");
}

TEST_CASE("a configuration split into rows and joined is unchanged")
{
  for (const char* name : { "examples/kiirtee", "examples/akustika" }) {
    ConfigSource source = ReadConfigSource(name).value();
    ConfigSource joined = JoinConfig(SplitConfig(source));
    CHECK(joined.mBase.mJson == source.mBase.mJson);
    CHECK(SplitConfig(joined) == SplitConfig(source));
    CHECK(FaultsOf(joined).empty());
  }
}

TEST_CASE("deeply nested input is rejected during parsing")
{
  std::string cbor(200000, '\x81');
  CHECK(IsRejected([&] { return ParseCbor(cbor); }));
  std::string json(200000, '[');
  CHECK(IsRejected([&] { return ParseJson(json); }));
  CHECK(IsRejected([&] { return ParseDocument("base.json", json); }));
}

TEST_CASE("caller requests with an invalid header or path are rejected")
{
  HttpRequest request;
  request.mMethod = "POST";
  request.mTarget = "/v1/pools/billing/operations/invoice";
  CHECK_FALSE(IsRejected([&] { return DecodeCallerRequest(request); }));
  SUBCASE("deadline")
  {
    for (const char* text : { "0", "-5", "soon", "1e9", "99999999999999" }) {
      request.mFields = { { "X-Deadline-Ms", text } };
      CHECK(IsRejected([&] { return DecodeDeadline(request); }));
    }
  }
  SUBCASE("idempotent")
  {
    request.mFields = { { "X-Idempotent", "maybe" } };
    CHECK(IsRejected([&] { return DecodeCallerRequest(request); }));
  }
  SUBCASE("idempotency key length")
  {
    request.mFields = { { "Idempotency-Key", std::string(1000, 'k') } };
    CHECK(IsRejected([&] { return DecodeCallerRequest(request); }));
  }
  SUBCASE("path")
  {
    request.mTarget = "/v1/pools/billing/operations";
    CHECK(IsRejected([&] { return DecodeCallerRequest(request); }));
  }
}

TEST_CASE("a truncated or mismatched backend reply is a protocol failure")
{
  AttemptId attempt{ Incarnation{ 7 }, 9 };
  RunTask task{ attempt, "work", "op", std::chrono::seconds(1), "body" };
  Endpoint server{ "127.0.0.1", 80 };
  TaskEnded ended{ attempt, false, "the whole answer", { 1, 4 } };
  HttpReply reply = EncodeBackendReply(ended);
  CHECK(Ok(DecodeBackendReply(task, server, reply)));
  SUBCASE("truncated")
  {
    reply.mBody.resize(5);
  }
  SUBCASE("of another attempt")
  {
    task.mAttempt.mSequence = 10;
  }
  SUBCASE("without a digest")
  {
    reply.mFields.clear();
  }
  auto decoded = DecodeBackendReply(task, server, reply);
  REQUIRE_FALSE(Ok(decoded));
  CHECK(std::holds_alternative<ProtocolFailure>(std::get<Failure>(decoded)));
}

TEST_CASE("peer messages round-trip through the codec")
{
  Request request;
  request.mPool = "work";
  request.mBody = std::string("\0\xff raw", 6);
  request.mDeclaredRunTime = std::chrono::seconds(3);
  RowBatch batch{ Revision{ 1 }, Revision{ 5 }, {} };
  batch.mRows.push_back(
    { "c/x", std::string("\x80\x00", 2), Revision{ 4 }, WallTime{ 9 }, false });
  std::vector<PeerMessage> messages = {
    Hello{ "n", "dc", Incarnation{ 4 }, { "127.0.0.1", 9 } },
    Ping{ Revision{ 4 } },
    FeedRows{ batch },
    PoolCapacity{ "work", true },
    ForwardRequest{ 3, request, std::chrono::seconds(2) },
    ForwardResponse{ 3, NotRun{ NotRunReason::QueueFull, Duration(5) } },
    ForwardResponse{ 3, Completed{ request.mBody, { Incarnation{ 1 }, 2 } } },
    ForwardResponse{ 3, Unknown{ { Incarnation{ 1 }, 2 } } },
    ForwardCancel{ 8 },
    TraceRequest{ 1, 2 },
    TraceResponse{ 1, { Span{} } },
    Goodbye{}
  };
  for (const PeerMessage& message : messages) {
    std::string bytes = EncodePeerMessage(message);
    PeerMessage decoded = DecodePeerMessage(bytes).value();
    CHECK(decoded.index() == message.index());
    CHECK(EncodePeerMessage(decoded) == bytes);
  }
}

// Fuzz test with a fixed seed: decoders of untrusted bytes must reject or
// accept corrupted input without a crash.
TEST_CASE("decoders handle corrupted bytes without a crash")
{
  constexpr int kIterations = 3000;
  std::mt19937 rng(20261204);
  Request request;
  request.mPool = "work";
  request.mBody = "body";
  StoredClaim claim{ "a", { ClaimState::Finished, {}, "vm", 1, false, "x" } };
  VmOwnership vm;
  vm.mVm = "vm";
  vm.mPool = "work";
  vm.mEpoch = Epoch{ 3 };
  vm.mEndpoint = { "127.0.0.1", 1 };
  std::vector<std::string> corpus = {
    EncodePeerMessage(ForwardRequest{ 3, request, std::chrono::seconds(2) }),
    EncodePeerMessage(Hello{ "n", "dc", {}, { "127.0.0.1", 9 } }),
    EncodeClaim(claim),
    EncodeVm(vm),
    SplitConfig(KiirteeConfig()).begin()->second
  };
  for (int i = 0; i < kIterations; ++i) {
    std::string bytes = corpus[rng() % corpus.size()];
    for (std::size_t n = rng() % 4 + 1; n > 0 && !bytes.empty(); --n) {
      std::size_t at = rng() % bytes.size();
      switch (rng() % 3) {
        case 0:
          bytes[at] = static_cast<char>(rng());
          break;
        case 1:
          bytes.resize(at);
          break;
        default:
          bytes.insert(at, 1, static_cast<char>(rng()));
          break;
      }
    }
    IsRejected([&] { return DecodePeerMessage(bytes); });
    IsRejected([&] { return DecodeClaim(bytes); });
    IsRejected([&] { return DecodeVm(bytes); });
    IsRejected([&] { return DecodeNode(bytes); });
    IsRejected([&] { return ParseDocument("base.json", bytes); });
    HttpRequest commit;
    commit.mTarget = "/commit";
    commit.mBody = bytes;
    IsRejected([&] { return DecodePlatformCall(commit); });
    HttpReply reply;
    reply.mBody = bytes;
    DecodePlatformReply(ReadRows{}, reply);
    DecodePlatformReply(ListVms{}, reply);
    DecodeBackendReply(SealTask{}, { "127.0.0.1", 1 }, reply);
    DecodeBackendReply(ProbeServer{}, { "127.0.0.1", 1 }, reply);
  }
}
