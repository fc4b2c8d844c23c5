#include "cli/cli.h"

#include "wire/api_codec.h"
#include "wire/peer_codec.h"

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornshunt {

namespace {

struct ExitStatusVisitor
{
  int operator()(const Completed&) const { return kExitOk; }
  int operator()(const NotRun&) const { return kExitRefused; }
  int operator()(const Failed&) const { return kExitRefused; }
  int operator()(const Unknown&) const { return kExitUnknown; }
};

// Reads a body given as text, or as "@FILE" for the contents of a file.
bool
ReadBody(std::string_view aArgument, std::string& aBody)
{
  if (!aArgument.starts_with('@')) {
    aBody = aArgument;
    return true;
  }
  std::ifstream in(std::string(aArgument.substr(1)), std::ios::binary);
  std::ostringstream text;
  text << in.rdbuf();
  aBody = std::move(text).str();
  return static_cast<bool>(in);
}

void
PrintOutcome(const CommandLine& aCommandLine,
             const HttpReply& aReply,
             const Outcome& aOutcome)
{
  if (!aCommandLine.mJson) {
    std::cout << OutcomeName(aOutcome) << "\n" << aReply.mBody << "\n";
    return;
  }
  Json json{ { "outcome", OutcomeName(aOutcome) },
             { "body", aReply.mBody },
             { "key", FindField(aReply.mFields, kIdempotencyKeyField) },
             { "trace", FindField(aReply.mFields, kTraceField) } };
  std::cout << json.dump(-1, ' ', false, Json::error_handler_t::replace)
            << "\n";
}

} // namespace

int
RunSubmit(std::span<const char*> aArguments)
{
  CommandLine commandLine;
  TextOption options[] = {
    { "key",
      "idempotency key; requests with the same key run at most once",
      "KEY" },
    { "deadline", "deadline in milliseconds from now", "MS" },
    { "team", "team whose quota the request counts against", "TEAM" },
    { "idempotent",
      "operation is idempotent: true or false (default: true)",
      "BOOL" },
  };
  if (!ParseCommandLine("submit",
                        "[options] POOL OPERATION [BODY|@FILE]",
                        aArguments,
                        options,
                        commandLine)) {
    return kExitInvalid;
  }
  std::size_t count = commandLine.mArguments.size();
  HttpRequest request;
  if (count < 2 || count > 3 ||
      (count == 3 && !ReadBody(commandLine.mArguments[2], request.mBody))) {
    std::cerr << "buckthornshunt submit: expected a pool, an operation and at "
                 "most one readable body\n";
    return kExitInvalid;
  }
  request.mMethod = "POST";
  request.mTarget = "/v1/pools/" + EncodeUrl(commandLine.mArguments[0]) +
                    "/operations/" + EncodeUrl(commandLine.mArguments[1]);
  constexpr std::string_view kOptionFields[] = {
    kIdempotencyKeyField, kDeadlineField, kTeamField, kIdempotentField
  };
  for (std::size_t i = 0; i < std::size(kOptionFields); ++i) {
    if (!options[i].mValue.empty()) {
      request.mFields.emplace_back(kOptionFields[i], options[i].mValue);
    }
  }
  auto reply = CallServer(commandLine, std::move(request));
  if (!Ok(reply)) {
    return ReportFailure(commandLine, std::get<Failure>(reply));
  }
  const HttpReply& answer = std::get<HttpReply>(reply);
  auto outcome = ToExpected<Outcome>([&] { return DecodeOutcome(answer); });
  if (!Ok(outcome)) {
    std::cerr << "error from server: " << answer.mBody << "\n";
    return kExitInvalid;
  }
  PrintOutcome(commandLine, answer, std::get<Outcome>(outcome));
  return std::visit(ExitStatusVisitor{}, std::get<Outcome>(outcome));
}

namespace {

/// Characters of the timestamp at the start of a log line (to milliseconds).
constexpr std::size_t kTimestampLength = 23;

/// Line of a log and the name of its file.
struct LogLine
{
  std::string mText;
  std::string_view mFile;
};

// Prints the lines of all files that contain the ID, ordered by timestamp.
int
TraceLogs(const CommandLine& aCommandLine,
          std::string_view aId,
          std::span<const std::string> aFiles)
{
  std::vector<LogLine> lines;
  for (const std::string& file : aFiles) {
    std::ifstream in(file);
    if (!in) {
      return ReportFailure(
        aCommandLine,
        ConfigFailure{ ConfigFault::FileUnreadable, file, {}, "log" });
    }
    std::string text;
    while (std::getline(in, text)) {
      if (text.find(aId) != std::string::npos) {
        lines.push_back({ text, file });
      }
    }
  }
  std::stable_sort(
    lines.begin(), lines.end(), [](const auto& aLeft, const auto& aRight) {
      return std::string_view(aLeft.mText).substr(0, kTimestampLength) <
             std::string_view(aRight.mText).substr(0, kTimestampLength);
    });
  Json json = Json::array();
  for (const LogLine& line : lines) {
    if (aCommandLine.mJson) {
      json.push_back({ { "file", line.mFile }, { "line", line.mText } });
    } else {
      std::cout << line.mFile << ": " << line.mText << "\n";
    }
  }
  if (aCommandLine.mJson) {
    std::cout << json.dump(-1, ' ', false, Json::error_handler_t::replace)
              << "\n";
  }
  return lines.empty() ? kExitRefused : kExitOk;
}

} // namespace

int
RunTrace(std::span<const char*> aArguments)
{
  CommandLine commandLine;
  TextOption options[] = {
    { "logs",
      "search this log file, and those after ID, instead of a daemon",
      "FILE" },
  };
  if (!ParseCommandLine(
        "trace", "[options] ID [FILE...]", aArguments, options, commandLine)) {
    return kExitInvalid;
  }
  if (!options[0].mValue.empty() && !commandLine.mArguments.empty()) {
    std::vector<std::string> files(commandLine.mArguments.begin() + 1,
                                   commandLine.mArguments.end());
    files.push_back(options[0].mValue);
    return TraceLogs(commandLine, commandLine.mArguments[0], files);
  }
  if (commandLine.mArguments.size() != 1) {
    std::cerr << "buckthornshunt trace: expected one trace ID\n";
    return kExitInvalid;
  }
  HttpRequest request;
  request.mMethod = "GET";
  request.mTarget = "/v1/traces/" + EncodeUrl(commandLine.mArguments[0]);
  Json answer;
  int exitStatus = kExitOk;
  if (!CallForJson(commandLine, std::move(request), answer, exitStatus)) {
    return exitStatus;
  }
  if (commandLine.mJson) {
    std::cout << answer.dump() << "\n";
    return kExitOk;
  }
  auto spans = ToExpected<std::vector<Span>>(
    [&] { return SpansFromJson(answer["spans"]); });
  if (!Ok(spans)) {
    return ReportFailure(commandLine, std::get<Failure>(spans));
  }
  std::int64_t startMillis = 0;
  for (const Span& span : std::get<std::vector<Span>>(spans)) {
    startMillis = startMillis == 0 ? span.mStart.mMillis : startMillis;
    std::cout << std::right << std::setw(8) << span.mStart.mMillis - startMillis
              << " ms  " << std::left << std::setw(16) << span.mNode
              << std::setw(10) << span.mName << std::right << std::setw(10)
              << span.mDuration.count() / 1000 << " us  " << span.mNote << "\n";
  }
  return kExitOk;
}

} // namespace buckthornshunt
