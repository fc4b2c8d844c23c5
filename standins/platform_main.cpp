// Simulates the platform: table, object store and VM list over HTTP. POST
// /admin injects faults.

#include "kernel/kernel.h"
#include "kernel/log.h"
#include "net/http_server.h"
#include "standins/platform_state.h"
#include "wire/api_codec.h"
#include "wire/config_codec.h"
#include "wire/platform_codec.h"
#include "wire/row_codec.h"

#include <boost/asio/signal_set.hpp>
#include <popt.h>

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace buckthornshunt::standins {

namespace {

constexpr int kExitUsage = 2;
constexpr int kStatusUnavailable = 503;

leaf::result<VmList>
VmsFromJson(const Json& aJson)
{
  VmList list;
  BOOST_LEAF_AUTO(workers, ReadArray(aJson, "workers"));
  for (const Json& entry : *workers) {
    VmListing vm;
    BOOST_LEAF_ASSIGN(vm.mVm, ReadString(entry, "vm"));
    BOOST_LEAF_ASSIGN(vm.mDataCentre, ReadString(entry, "data_centre"));
    BOOST_LEAF_ASSIGN(vm.mRack, ReadString(entry, "rack"));
    BOOST_LEAF_AUTO(endpoint, ReadString(entry, "endpoint"));
    BOOST_LEAF_ASSIGN(vm.mEndpoint, ParseEndpoint(endpoint));
    list.mWorkers.push_back(std::move(vm));
  }
  BOOST_LEAF_AUTO(names, ReadArray(aJson, "entry"));
  for (const Json& name : *names) {
    list.mEntryVms.push_back(name.get<std::string>());
  }
  return list;
}

void
DropVm(PlatformState& aState, std::string_view aVm)
{
  std::erase_if(aState.Vms().mWorkers,
                [&](const VmListing& aListed) { return aListed.mVm == aVm; });
  std::erase(aState.Vms().mEntryVms, aVm);
}

HttpReply
HandleAdminRequest(PlatformState& aState, std::string_view aBody)
{
  auto parsed = ToExpected<Json>([&] { return ParseJson(aBody); });
  if (!Ok(parsed)) {
    return EncodeError(std::get<Failure>(parsed));
  }
  const Json& json = std::get<Json>(parsed);
  PlatformFaults& faults = aState.Faults();
  faults.mDown = json.value("down", faults.mDown);
  faults.mDelay =
    std::chrono::milliseconds(json.value("delay_ms", ToMillis(faults.mDelay)));
  faults.mLoseAnswers = json.value("lose_answers", faults.mLoseAnswers);
  if (json.contains("drop_vm")) {
    DropVm(aState, json.value("drop_vm", ""));
  }
  return MakeReply(200, kJsonType, "{}");
}

Task<HttpReply>
HandleRequest(PlatformState& aState, Clock& aClock, const HttpRequest& aRequest)
{
  if (aRequest.mTarget == "/admin") {
    co_return HandleAdminRequest(aState, aRequest.mBody);
  }
  PlatformFaults& faults = aState.Faults();
  if (faults.mDelay > Duration::zero()) {
    co_await aClock.Sleep(faults.mDelay);
  }
  if (faults.mDown) {
    co_return MakeReply(kStatusUnavailable, kBytesType, {});
  }
  auto call =
    ToExpected<PlatformCall>([&] { return DecodePlatformCall(aRequest); });
  if (!Ok(call)) {
    co_return EncodePlatformReply(std::get<Failure>(call));
  }
  PlatformCall& decoded = std::get<PlatformCall>(call);
  auto reply = aState.Handle(decoded, aClock.WallNow());
  if (std::holds_alternative<CommitRows>(decoded) && faults.mLoseAnswers > 0) {
    --faults.mLoseAnswers;
    co_return MakeReply(kStatusUnavailable, kBytesType, {});
  }
  co_return EncodePlatformReply(reply);
}

int
Run(const char* aListen, const char* aVms)
{
  auto endpoint = ToExpected<Endpoint>([&] { return ParseEndpoint(aListen); });
  auto vms = ToExpected<VmList>([&]() -> leaf::result<VmList> {
    BOOST_LEAF_AUTO(json, ReadDocument(aVms));
    return VmsFromJson(json);
  });
  if (!Ok(endpoint) || !Ok(vms)) {
    std::cerr << "standin-platform: invalid listen address or VM list file\n";
    return kExitUsage;
  }
  asio::io_context context(1);
  SystemClock systemClock(context);
  Clock clock(context, systemClock);
  PlatformState state;
  state.Vms() = std::get<VmList>(std::move(vms));
  HttpServer server(context,
                    clock,
                    "platform",
                    HttpLimits{},
                    [&](const HttpRequest& aRequest, CallerState&) {
                      return HandleRequest(state, clock, aRequest);
                    });
  auto listening =
    ToExpected<std::monostate>([&]() -> leaf::result<std::monostate> {
      BOOST_LEAF_CHECK(server.Listen(std::get<Endpoint>(endpoint)));
      return std::monostate{};
    });
  if (!Ok(listening)) {
    std::cerr << "standin-platform: " << Describe(std::get<Failure>(listening))
              << "\n";
    return kExitUsage;
  }
  asio::signal_set signals(context, SIGINT, SIGTERM);
  signals.async_wait([&](boost::system::error_code, int) { context.stop(); });
  context.run();
  return 0;
}

} // namespace

} // namespace buckthornshunt::standins

int
main(int argc, char** argv)
{
  char* listen = nullptr;
  char* vms = nullptr;
  const poptOption options[] = {
    { "listen",
      'l',
      POPT_ARG_STRING,
      &listen,
      0,
      "address to listen on",
      "HOST:PORT" },
    { "vms", 'v', POPT_ARG_STRING, &vms, 0, "file with the VM list", "FILE" },
    POPT_AUTOHELP POPT_TABLEEND
  };
  poptContext popt = poptGetContext(
    "standin-platform", argc, const_cast<const char**>(argv), options, 0);
  int parsed = poptGetNextOpt(popt);
  poptFreeContext(popt);
  if (parsed < -1 || listen == nullptr || vms == nullptr) {
    std::cerr << "usage: standin-platform --listen HOST:PORT --vms FILE\n";
    return 2;
  }
  int status = buckthornshunt::standins::Run(listen, vms);
  std::free(listen);
  std::free(vms);
  return status;
}
