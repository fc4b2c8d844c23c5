#include "cli/cli.h"

#include <iomanip>
#include <iostream>

namespace buckthornshunt {

namespace {

void
PrintPools(const Json& aStatus)
{
  std::cout << std::left << std::setw(20) << "pool" << std::right
            << std::setw(8) << "needed" << std::setw(9) << "serving"
            << std::setw(8) << "margin" << std::setw(8) << "usable"
            << std::setw(9) << "waiting" << std::setw(11) << "in flight"
            << "\n";
  Json budgets = aStatus.value("budgets", Json::object());
  Json pools = aStatus.value("pools", Json::object());
  for (const auto& [name, pool] : pools.items()) {
    Json budget = budgets.value(name, Json::object());
    std::cout << std::left << std::setw(20) << name << std::right
              << std::setw(8) << budget.value("needed", 0) << std::setw(9)
              << budget.value("serving", 0) << std::setw(8)
              << budget.value("margin", 0) << std::setw(8)
              << pool.value("usable", 0) << std::setw(9)
              << pool.value("waiting", 0) << std::setw(11)
              << pool.value("in_flight", 0) << "\n";
  }
}

void
PrintStatus(const Json& aStatus)
{
  std::cout << "node " << aStatus.value("node", "") << " in "
            << aStatus.value("data_centre", "")
            << (aStatus.value("ready", false) ? ", ready" : ", not ready")
            << (aStatus.value("leads", false) ? ", controller" : "") << "\n"
            << "platform "
            << (aStatus.value("platform_reachable", false) ? "reachable"
                                                           : "away")
            << ", configuration " << aStatus.value("config_version", 0) << "\n";
  for (const Json& peer : aStatus.value("peers", Json::array())) {
    std::cout << "peer " << peer.value("node", "") << " in "
              << peer.value("data_centre", "") << ", heard "
              << peer.value("silent_ms", 0) << " ms ago\n";
  }
  std::cout << "\n";
  PrintPools(aStatus);
}

} // namespace

int
RunStatus(std::span<const char*> aArguments)
{
  CommandLine line;
  if (!ParseCommandLine("status", "[options]", aArguments, {}, line)) {
    return kExitInvalid;
  }
  HttpRequest request;
  request.mMethod = "GET";
  request.mTarget = "/v1/status";
  Json status;
  int exit = kExitOk;
  if (!CallForJson(line, std::move(request), status, exit)) {
    return exit;
  }
  if (line.mJson) {
    std::cout << status.dump() << "\n";
  } else {
    PrintStatus(status);
  }
  return kExitOk;
}

int
RunMove(std::span<const char*> aArguments)
{
  CommandLine line;
  if (!ParseCommandLine("move", "[options] VM POOL", aArguments, {}, line)) {
    return kExitInvalid;
  }
  if (line.mArguments.size() != 2) {
    std::cerr
      << "buckthornshunt move: name a VM and the pool that it goes to\n";
    return kExitInvalid;
  }
  HttpRequest request;
  request.mMethod = "POST";
  request.mTarget = "/v1/vms/" + EncodeUrl(line.mArguments[0]) +
                    "/move?pool=" + EncodeUrl(line.mArguments[1]);
  Json answer;
  int exit = kExitOk;
  if (!CallForJson(line, std::move(request), answer, exit)) {
    return exit;
  }
  if (line.mJson) {
    std::cout << answer.dump() << "\n";
  } else {
    std::cout << line.mArguments[0] << " leaves " << answer.value("pool", "")
              << " for " << answer.value("next_pool", "") << "\n";
  }
  return kExitOk;
}

} // namespace buckthornshunt
