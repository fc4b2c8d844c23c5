#include "cli/cli.h"

#include <algorithm>
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
              << peer.value("data_centre", "") << ", last message "
              << peer.value("silent_ms", 0) << " ms ago\n";
  }
  std::cout << "\n";
  PrintPools(aStatus);
}

} // namespace

int
RunStatus(std::span<const char*> aArguments)
{
  CommandLine commandLine;
  if (!ParseCommandLine("status", "[options]", aArguments, {}, commandLine)) {
    return kExitInvalid;
  }
  HttpRequest request;
  request.mMethod = "GET";
  request.mTarget = "/v1/status";
  Json status;
  int exitStatus = kExitOk;
  if (!CallForJson(commandLine, std::move(request), status, exitStatus)) {
    return exitStatus;
  }
  if (commandLine.mJson) {
    std::cout << status.dump() << "\n";
  } else {
    PrintStatus(status);
  }
  return kExitOk;
}

namespace {

constexpr int kBarWidth = 30;

// Prints a table with a bar per line that is proportional to the VM time.
void
PrintCost(const Json& aCost)
{
  double maxSeconds = 1;
  double total = 0;
  for (const Json& line : aCost["lines"]) {
    maxSeconds = std::max(maxSeconds, line.value("vm_seconds", 0.0));
    total += line.value("vm_seconds", 0.0);
  }
  std::cout << "site " << aCost.value("site", "") << "\n";
  for (const Json& line : aCost["lines"]) {
    double seconds = line.value("vm_seconds", 0.0);
    auto width = static_cast<std::size_t>(kBarWidth * seconds / maxSeconds);
    std::cout << std::left << std::setw(20) << line.value("pool", "")
              << std::setw(17) << line.value("use", "") << std::right
              << std::fixed << std::setprecision(0) << std::setw(12) << seconds
              << " VM-s" << std::setprecision(2) << std::setw(12)
              << line.value("cents", 0.0) / 100 << "  "
              << std::string(width, '#') << "\n";
  }
  std::cout << std::setprecision(0) << "total " << total << " VM-s\n";
}

void
PrintCostCsv(const Json& aCost)
{
  std::cout << "site,pool,use,vm_seconds,cents\n";
  for (const Json& line : aCost["lines"]) {
    std::cout << aCost.value("site", "") << "," << line.value("pool", "") << ","
              << line.value("use", "") << "," << line.value("vm_seconds", 0.0)
              << "," << line.value("cents", 0.0) << "\n";
  }
}

} // namespace

int
RunCost(std::span<const char*> aArguments)
{
  CommandLine commandLine;
  TextOption options[] = {
    { "from",
      "start in ms since the Unix epoch (default: one day before --to)",
      "MS" },
    { "to", "end in ms since the Unix epoch (default: now)", "MS" },
    { "format", "output format: table or csv (default: table)", "FORMAT" },
  };
  if (!ParseCommandLine(
        "cost", "[options]", aArguments, options, commandLine)) {
    return kExitInvalid;
  }
  HttpRequest request;
  request.mMethod = "GET";
  request.mTarget = "/v1/cost?from=" + EncodeUrl(options[0].mValue) +
                    "&to=" + EncodeUrl(options[1].mValue);
  Json cost;
  int exitStatus = kExitOk;
  if (!CallForJson(commandLine, std::move(request), cost, exitStatus)) {
    return exitStatus;
  }
  if (commandLine.mJson) {
    std::cout << cost.dump() << "\n";
  } else if (options[2].mValue == "csv") {
    PrintCostCsv(cost);
  } else {
    PrintCost(cost);
  }
  return kExitOk;
}

int
RunMaintenance(std::span<const char*> aArguments)
{
  CommandLine commandLine;
  if (!ParseCommandLine("maintenance",
                        "[options] status|start|pause",
                        aArguments,
                        {},
                        commandLine)) {
    return kExitInvalid;
  }
  std::string action =
    commandLine.mArguments.size() == 1 ? commandLine.mArguments[0] : "";
  if (action != "status" && action != "start" && action != "pause") {
    std::cerr
      << "buckthornshunt maintenance: expected status, start or pause\n";
    return kExitInvalid;
  }
  HttpRequest request;
  request.mMethod = action == "status" ? "GET" : "POST";
  request.mTarget =
    "/v1/maintenance" + (action == "status" ? "" : "/" + action);
  Json answer;
  int exitStatus = kExitOk;
  if (!CallForJson(commandLine, std::move(request), answer, exitStatus)) {
    return exitStatus;
  }
  if (commandLine.mJson) {
    std::cout << answer.dump() << "\n";
    return kExitOk;
  }
  std::cout << "wave " << answer.value("wave", 0) << " is "
            << answer.value("state", "");
  std::string reason = answer.value("reason", "");
  std::cout << (reason.empty() ? "" : ": " + reason) << "\n";
  if (action == "status") {
    std::cout << answer.value("done", 0) << " VMs done, "
              << answer.value("under_way", 0) << " under way, "
              << answer.value("to_do", 0) << " to do; first VM overdue in "
              << answer.value("days_until_overdue", 0.0) << " days\n";
  }
  return kExitOk;
}

int
RunMove(std::span<const char*> aArguments)
{
  CommandLine commandLine;
  if (!ParseCommandLine(
        "move", "[options] VM POOL", aArguments, {}, commandLine)) {
    return kExitInvalid;
  }
  if (commandLine.mArguments.size() != 2) {
    std::cerr << "buckthornshunt move: expected a VM and its new pool\n";
    return kExitInvalid;
  }
  HttpRequest request;
  request.mMethod = "POST";
  request.mTarget = "/v1/vms/" + EncodeUrl(commandLine.mArguments[0]) +
                    "/move?pool=" + EncodeUrl(commandLine.mArguments[1]);
  Json answer;
  int exitStatus = kExitOk;
  if (!CallForJson(commandLine, std::move(request), answer, exitStatus)) {
    return exitStatus;
  }
  if (commandLine.mJson) {
    std::cout << answer.dump() << "\n";
  } else {
    std::cout << commandLine.mArguments[0] << " is moving from "
              << answer.value("pool", "") << " to "
              << answer.value("next_pool", "") << "\n";
  }
  return kExitOk;
}

} // namespace buckthornshunt
