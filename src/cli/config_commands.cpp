#include "cli/cli.h"

#include "wire/api_codec.h"
#include "wire/config_codec.h"
#include "wire/row_codec.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <chrono>
#include <iostream>
#include <sstream>

namespace buckthornshunt {

namespace {

// Reads and validates a directory. Prints every error found.
bool
ReadValidConfig(const CommandLine& aCommandLine,
                std::string_view aDirectory,
                ConfigSource& aSource)
{
  auto source =
    ToExpected<ConfigSource>([&] { return ReadConfigSource(aDirectory); });
  if (!Ok(source)) {
    ReportFailure(aCommandLine, std::get<Failure>(source));
    return false;
  }
  aSource = std::get<ConfigSource>(std::move(source));
  std::vector<ConfigFailure> faults;
  CheckConfig(aSource, faults);
  for (const ConfigFailure& fault : faults) {
    ReportFailure(aCommandLine, Failure(fault));
  }
  return faults.empty();
}

bool
ParseDirectoryArgument(std::string_view aCommand,
                       std::span<const char*> aArguments,
                       std::span<TextOption> aOptions,
                       CommandLine& aCommandLine)
{
  if (!ParseCommandLine(
        aCommand, "[options] DIRECTORY", aArguments, aOptions, aCommandLine)) {
    return false;
  }
  if (aCommandLine.mArguments.size() != 1) {
    std::cerr << "buckthornshunt " << aCommand
              << ": expected one configuration directory\n";
    return false;
  }
  return true;
}

HttpRequest
MakeGetRequest(std::string aTarget)
{
  HttpRequest request;
  request.mMethod = "GET";
  request.mTarget = std::move(aTarget);
  return request;
}

// Sections that were added (+), changed (~) or removed (-).
std::vector<std::pair<char, std::string>>
CompareSections(const NameMap<std::string>& aFrom,
                const NameMap<std::string>& aTo)
{
  std::vector<std::pair<char, std::string>> changes;
  for (const auto& [name, text] : aTo) {
    auto it = aFrom.find(name);
    if (it == aFrom.end()) {
      changes.emplace_back('+', name);
    } else if (it->second != text) {
      changes.emplace_back('~', name);
    }
  }
  for (const auto& [name, text] : aFrom) {
    if (!aTo.contains(name)) {
      changes.emplace_back('-', name);
    }
  }
  return changes;
}

// Fetches the sections in force at the server, and their version.
bool
FetchSections(const CommandLine& aCommandLine,
              NameMap<std::string>& aSections,
              std::uint64_t& aVersion,
              int& aExitStatus)
{
  Json json;
  if (!CallForJson(
        aCommandLine, MakeGetRequest("/v1/config"), json, aExitStatus)) {
    return false;
  }
  aVersion = json.value("version", std::uint64_t{});
  if (aVersion == 0) {
    return true;
  }
  auto source =
    ToExpected<ConfigSource>([&] { return ConfigSourceFromJson(json); });
  if (!Ok(source)) {
    aExitStatus = ReportFailure(aCommandLine, std::get<Failure>(source));
    return false;
  }
  aSections = SplitConfig(std::get<ConfigSource>(source));
  return true;
}

void
PrintChanges(const CommandLine& aCommandLine,
             std::span<const std::pair<char, std::string>> aChanges)
{
  if (aCommandLine.mJson) {
    Json json = Json::array();
    for (const auto& [kind, name] : aChanges) {
      json.push_back(
        { { "change", std::string(1, kind) }, { "section", name } });
    }
    std::cout << json.dump() << "\n";
    return;
  }
  for (const auto& [kind, name] : aChanges) {
    std::cout << kind << " " << name << "\n";
  }
}

// Polls the server until the version or a newer one is in force there.
bool
WaitForRollout(const CommandLine& aCommandLine,
               std::uint64_t aVersion,
               std::int64_t& aElapsedMillis)
{
  constexpr auto kPollInterval = std::chrono::milliseconds(20);
  boost::asio::io_context context;
  auto start = std::chrono::steady_clock::now();
  auto deadline = start + aCommandLine.mTimeout;
  while (std::chrono::steady_clock::now() < deadline) {
    Json status;
    int exitStatus = kExitOk;
    if (!CallForJson(
          aCommandLine, MakeGetRequest("/v1/status"), status, exitStatus)) {
      return false;
    }
    if (status.value("config_version", std::uint64_t{}) >= aVersion) {
      auto elapsed = std::chrono::steady_clock::now() - start;
      aElapsedMillis =
        std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count();
      return true;
    }
    boost::asio::steady_timer timer(context, kPollInterval);
    timer.wait();
  }
  return false;
}

} // namespace

int
RunCheck(std::span<const char*> aArguments)
{
  CommandLine commandLine;
  if (!ParseDirectoryArgument("check", aArguments, {}, commandLine)) {
    return kExitInvalid;
  }
  ConfigSource source;
  if (!ReadValidConfig(commandLine, commandLine.mArguments[0], source)) {
    return kExitInvalid;
  }
  std::size_t overlayCount = source.mOverlays.size();
  if (commandLine.mJson) {
    std::cout << Json{ { "valid", true }, { "overlays", overlayCount } }.dump()
              << "\n";
  } else {
    std::cout << commandLine.mArguments[0] << ": valid, " << overlayCount
              << " overlays\n";
  }
  return kExitOk;
}

int
RunDiff(std::span<const char*> aArguments)
{
  CommandLine commandLine;
  if (!ParseDirectoryArgument("diff", aArguments, {}, commandLine)) {
    return kExitInvalid;
  }
  ConfigSource source;
  if (!ReadValidConfig(commandLine, commandLine.mArguments[0], source)) {
    return kExitInvalid;
  }
  NameMap<std::string> current;
  std::uint64_t version = 0;
  int exitStatus = kExitOk;
  if (!FetchSections(commandLine, current, version, exitStatus)) {
    return exitStatus;
  }
  auto changes = CompareSections(current, SplitConfig(source));
  PrintChanges(commandLine, changes);
  return changes.empty() ? kExitOk : kExitRefused;
}

int
RunApply(std::span<const char*> aArguments)
{
  CommandLine commandLine;
  TextOption options[] = {
    { "parent",
      "version that the change is based on (default: the one in force)",
      "VERSION" },
    { "wait",
      "wait until the configuration is in force at these daemons",
      "HOST:PORT,…" },
  };
  if (!ParseDirectoryArgument("apply", aArguments, options, commandLine)) {
    return kExitInvalid;
  }
  ConfigSource source;
  if (!ReadValidConfig(commandLine, commandLine.mArguments[0], source)) {
    return kExitInvalid;
  }
  NameMap<std::string> current;
  std::uint64_t parent = 0;
  int exitStatus = kExitOk;
  if (!FetchSections(commandLine, current, parent, exitStatus)) {
    return exitStatus;
  }
  if (!options[0].mValue.empty()) {
    parent = std::strtoull(options[0].mValue.c_str(), nullptr, 10);
  }
  HttpRequest request;
  request.mMethod = "POST";
  request.mTarget = "/v1/config";
  Json body = ConfigSourceToJson(source);
  body["parent"] = parent;
  request.mBody = body.dump();
  Json answer;
  if (!CallForJson(commandLine, std::move(request), answer, exitStatus)) {
    return exitStatus;
  }
  std::uint64_t version = answer.value("version", std::uint64_t{});
  std::int64_t slowestMillis = 0;
  std::stringstream servers(options[1].mValue);
  for (std::string server; std::getline(servers, server, ',');) {
    CommandLine target = commandLine;
    std::int64_t elapsedMillis = 0;
    auto endpoint = ToExpected<Endpoint>([&] { return ParseEndpoint(server); });
    if (!Ok(endpoint)) {
      return ReportFailure(commandLine, std::get<Failure>(endpoint));
    }
    target.mServer = std::get<Endpoint>(endpoint);
    if (!WaitForRollout(target, version, elapsedMillis)) {
      return ReportFailure(commandLine, Failure(TimeoutFailure{}));
    }
    slowestMillis = std::max(slowestMillis, elapsedMillis);
  }
  if (commandLine.mJson) {
    std::cout << Json{
      { "version", version }, { "rollout_ms", slowestMillis }
    }.dump() << "\n";
  } else {
    std::cout << "version " << version << " accepted";
    std::cout << (options[1].mValue.empty()
                    ? ""
                    : ", in force after " + std::to_string(slowestMillis) +
                        " ms")
              << "\n";
  }
  return kExitOk;
}

} // namespace buckthornshunt
