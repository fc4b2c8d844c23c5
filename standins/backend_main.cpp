// Simulates the backend servers of a data centre in one process, each on its
// own port. The admin port kills and drains servers and returns the run log.

#include "kernel/kernel.h"
#include "net/http_server.h"
#include "standins/backend_server.h"
#include "wire/api_codec.h"
#include "wire/backend_codec.h"
#include "wire/config_codec.h"
#include "wire/row_codec.h"

#include <boost/asio/signal_set.hpp>
#include <popt.h>

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace buckthornshunt::standins {

namespace {

constexpr int kExitUsage = 2;

struct HostedServer
{
  std::unique_ptr<BackendServer> mServer;
  std::unique_ptr<HttpServer> mHttp;
};

struct Host
{
  asio::io_context& mContext;
  Clock mClock;
  TaskRunLog mRunLog;
  std::map<std::string, HostedServer, std::less<>> mServers;
  std::unique_ptr<HttpServer> mAdmin;
};

Task<HttpReply>
HandleBackendRequest(BackendServer& aServer, const HttpRequest& aRequest)
{
  auto call =
    ToExpected<BackendCall>([&] { return DecodeBackendCall(aRequest); });
  if (!Ok(call)) {
    co_return EncodeError(std::get<Failure>(call));
  }
  BackendReply reply =
    co_await aServer.Handle(std::get<BackendCall>(std::move(call)));
  co_return EncodeBackendReply(reply);
}

Json
RunLogToJson(std::span<const TaskRunRecord> aLog)
{
  Json log = Json::array();
  for (const TaskRunRecord& record : aLog) {
    log.push_back({ { "token", record.mToken },
                    { "vm", record.mVm },
                    { "pool", record.mPool },
                    { "answer", record.mAnswer },
                    { "finished", record.mFinished } });
  }
  return log;
}

// GET returns the run log. POST {"kill": VM} closes the server's port and
// connections permanently; {"drain": VM} makes it refuse new tasks.
HttpReply
HandleAdminRequest(Host& aHost, const HttpRequest& aRequest)
{
  if (aRequest.mMethod == "GET") {
    return MakeReply(200, kJsonType, RunLogToJson(aHost.mRunLog).dump());
  }
  auto parsed = ToExpected<Json>([&] { return ParseJson(aRequest.mBody); });
  if (!Ok(parsed)) {
    return EncodeError(std::get<Failure>(parsed));
  }
  const Json& json = std::get<Json>(parsed);
  auto kill = aHost.mServers.find(json.value("kill", ""));
  if (kill != aHost.mServers.end()) {
    kill->second.mServer->Restart();
    kill->second.mHttp->Abort();
  }
  auto drain = aHost.mServers.find(json.value("drain", ""));
  if (drain != aHost.mServers.end()) {
    drain->second.mServer->Drain();
  }
  return MakeReply(200, kJsonType, "{}");
}

leaf::result<void>
AddServer(Host& aHost, const Json& aEntry, int aSlots)
{
  BOOST_LEAF_AUTO(vm, ReadString(aEntry, "vm"));
  BOOST_LEAF_AUTO(text, ReadString(aEntry, "endpoint"));
  BOOST_LEAF_AUTO(endpoint, ParseEndpoint(text));
  HostedServer& hosted = aHost.mServers[vm];
  hosted.mServer = std::make_unique<BackendServer>(
    aHost.mContext, aHost.mClock, vm, aSlots, aHost.mRunLog);
  BackendServer& server = *hosted.mServer;
  hosted.mHttp = std::make_unique<HttpServer>(
    aHost.mContext,
    aHost.mClock,
    "backend",
    HttpLimits{},
    [&server](const HttpRequest& aRequest, CallerState&) {
      return HandleBackendRequest(server, aRequest);
    });
  return hosted.mHttp->Listen(endpoint);
}

leaf::result<void>
StartServers(Host& aHost,
             const Json& aJson,
             std::string_view aDataCentre,
             std::string_view aAdmin)
{
  BOOST_LEAF_AUTO(workers, ReadArray(aJson, "workers"));
  int slots = aJson.value("slots", 8);
  for (const Json& entry : *workers) {
    if (entry.value("data_centre", "") == aDataCentre) {
      BOOST_LEAF_CHECK(AddServer(aHost, entry, slots));
    }
  }
  BOOST_LEAF_AUTO(endpoint, ParseEndpoint(aAdmin));
  aHost.mAdmin = std::make_unique<HttpServer>(
    aHost.mContext,
    aHost.mClock,
    "backend",
    HttpLimits{},
    [&aHost](const HttpRequest& aRequest, CallerState&) -> Task<HttpReply> {
      co_return HandleAdminRequest(aHost, aRequest);
    });
  return aHost.mAdmin->Listen(endpoint);
}

int
Run(const char* aFile, const char* aDataCentre, const char* aAdmin)
{
  asio::io_context context(1);
  SystemClock systemClock(context);
  Host host{ context, Clock(context, systemClock), {}, {}, {} };
  auto started =
    ToExpected<std::monostate>([&]() -> leaf::result<std::monostate> {
      BOOST_LEAF_AUTO(json, ReadDocument(aFile));
      BOOST_LEAF_CHECK(StartServers(host, json, aDataCentre, aAdmin));
      return std::monostate{};
    });
  if (!Ok(started)) {
    std::cerr << "standin-backend: " << Describe(std::get<Failure>(started))
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
  char* file = nullptr;
  char* dataCentre = nullptr;
  char* admin = nullptr;
  const poptOption options[] = {
    { "vms", 'v', POPT_ARG_STRING, &file, 0, "file with the VM list", "FILE" },
    { "data-centre",
      'd',
      POPT_ARG_STRING,
      &dataCentre,
      0,
      "data centre whose servers to simulate",
      "NAME" },
    { "admin",
      'a',
      POPT_ARG_STRING,
      &admin,
      0,
      "address of the admin interface",
      "HOST:PORT" },
    POPT_AUTOHELP POPT_TABLEEND
  };
  poptContext popt = poptGetContext(
    "standin-backend", argc, const_cast<const char**>(argv), options, 0);
  int parsed = poptGetNextOpt(popt);
  poptFreeContext(popt);
  if (parsed < -1 || file == nullptr || dataCentre == nullptr ||
      admin == nullptr) {
    std::cerr << "usage: standin-backend --vms FILE --data-centre NAME --admin "
                 "HOST:PORT\n";
    return 2;
  }
  int status = buckthornshunt::standins::Run(file, dataCentre, admin);
  std::free(file);
  std::free(dataCentre);
  std::free(admin);
  return status;
}
