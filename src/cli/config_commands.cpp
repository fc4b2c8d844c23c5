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

// Reads and checks a directory. Prints every fault found.
bool
ReadChecked(const CommandLine& aLine,
            std::string_view aDirectory,
            ConfigSource& aSource)
{
  auto source =
    ToExpected<ConfigSource>([&] { return ReadConfigSource(aDirectory); });
  if (!Ok(source)) {
    Report(aLine, std::get<Failure>(source));
    return false;
  }
  aSource = std::get<ConfigSource>(std::move(source));
  std::vector<ConfigFailure> faults;
  CheckConfig(aSource, faults);
  for (const ConfigFailure& fault : faults) {
    Report(aLine, Failure(fault));
  }
  return faults.empty();
}

bool
ParseDirectory(std::string_view aCommand,
               std::span<const char*> aArguments,
               std::span<TextOption> aOptions,
               CommandLine& aLine)
{
  if (!ParseCommandLine(
        aCommand, "[options] DIRECTORY", aArguments, aOptions, aLine)) {
    return false;
  }
  if (aLine.mArguments.size() != 1) {
    std::cerr << "buckthornshunt " << aCommand
              << ": name one configuration directory\n";
    return false;
  }
  return true;
}

HttpRequest
Get(std::string aTarget)
{
  HttpRequest request;
  request.mMethod = "GET";
  request.mTarget = std::move(aTarget);
  return request;
}

// Sections that stand in one configuration and not, or differently, in the
// other.
std::vector<std::pair<char, std::string>>
Compare(const NameMap<std::string>& aFrom, const NameMap<std::string>& aTo)
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

// Sections in force at the server, and their version.
bool
FetchSections(const CommandLine& aLine,
              NameMap<std::string>& aSections,
              std::uint64_t& aVersion,
              int& aExit)
{
  Json json;
  if (!CallForJson(aLine, Get("/v1/config"), json, aExit)) {
    return false;
  }
  aVersion = json.value("version", std::uint64_t{});
  if (aVersion == 0) {
    return true;
  }
  auto source =
    ToExpected<ConfigSource>([&] { return ConfigSourceFromJson(json); });
  if (!Ok(source)) {
    aExit = Report(aLine, std::get<Failure>(source));
    return false;
  }
  aSections = SplitConfig(std::get<ConfigSource>(source));
  return true;
}

void
PrintChanges(const CommandLine& aLine,
             std::span<const std::pair<char, std::string>> aChanges)
{
  if (aLine.mJson) {
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

// Waits until the server has the version in force.
bool
WaitInForce(const CommandLine& aLine,
            std::uint64_t aVersion,
            std::int64_t& aTookMillis)
{
  constexpr auto kPoll = std::chrono::milliseconds(20);
  boost::asio::io_context context;
  auto from = std::chrono::steady_clock::now();
  auto end = from + aLine.mTimeout;
  while (std::chrono::steady_clock::now() < end) {
    Json status;
    int exit = kExitOk;
    if (!CallForJson(aLine, Get("/v1/status"), status, exit)) {
      return false;
    }
    if (status.value("config_version", std::uint64_t{}) >= aVersion) {
      auto took = std::chrono::steady_clock::now() - from;
      aTookMillis =
        std::chrono::duration_cast<std::chrono::milliseconds>(took).count();
      return true;
    }
    boost::asio::steady_timer pause(context, kPoll);
    pause.wait();
  }
  return false;
}

} // namespace

int
RunCheck(std::span<const char*> aArguments)
{
  CommandLine line;
  if (!ParseDirectory("check", aArguments, {}, line)) {
    return kExitInvalid;
  }
  ConfigSource source;
  if (!ReadChecked(line, line.mArguments[0], source)) {
    return kExitInvalid;
  }
  std::size_t sites = source.mOverlays.size();
  if (line.mJson) {
    std::cout << Json{ { "valid", true }, { "overlays", sites } }.dump()
              << "\n";
  } else {
    std::cout << line.mArguments[0] << ": valid, " << sites << " overlays\n";
  }
  return kExitOk;
}

int
RunDiff(std::span<const char*> aArguments)
{
  CommandLine line;
  if (!ParseDirectory("diff", aArguments, {}, line)) {
    return kExitInvalid;
  }
  ConfigSource source;
  if (!ReadChecked(line, line.mArguments[0], source)) {
    return kExitInvalid;
  }
  NameMap<std::string> present;
  std::uint64_t version = 0;
  int exit = kExitOk;
  if (!FetchSections(line, present, version, exit)) {
    return exit;
  }
  auto changes = Compare(present, SplitConfig(source));
  PrintChanges(line, changes);
  return changes.empty() ? kExitOk : kExitRefused;
}

int
RunApply(std::span<const char*> aArguments)
{
  CommandLine line;
  TextOption options[] = {
    { "parent",
      "version that this change was made from; default: the newest",
      "VERSION" },
    { "wait",
      "address of a daemon that must have it in force; may be a list",
      "HOST:PORT,…" },
  };
  if (!ParseDirectory("apply", aArguments, options, line)) {
    return kExitInvalid;
  }
  ConfigSource source;
  if (!ReadChecked(line, line.mArguments[0], source)) {
    return kExitInvalid;
  }
  NameMap<std::string> present;
  std::uint64_t parent = 0;
  int exit = kExitOk;
  if (!FetchSections(line, present, parent, exit)) {
    return exit;
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
  if (!CallForJson(line, std::move(request), answer, exit)) {
    return exit;
  }
  std::uint64_t version = answer.value("version", std::uint64_t{});
  std::int64_t slowest = 0;
  std::stringstream servers(options[1].mValue);
  for (std::string server; std::getline(servers, server, ',');) {
    CommandLine at = line;
    std::int64_t took = 0;
    auto endpoint = ToExpected<Endpoint>([&] { return ParseEndpoint(server); });
    if (!Ok(endpoint)) {
      return Report(line, std::get<Failure>(endpoint));
    }
    at.mServer = std::get<Endpoint>(endpoint);
    if (!WaitInForce(at, version, took)) {
      return Report(line, Failure(TimeoutFailure{}));
    }
    slowest = std::max(slowest, took);
  }
  if (line.mJson) {
    std::cout << Json{
      { "version", version }, { "rollout_ms", slowest }
    }.dump() << "\n";
  } else {
    std::cout << "version " << version << " accepted";
    std::cout << (options[1].mValue.empty()
                    ? ""
                    : ", in force after " + std::to_string(slowest) + " ms")
              << "\n";
  }
  return kExitOk;
}

} // namespace buckthornshunt
