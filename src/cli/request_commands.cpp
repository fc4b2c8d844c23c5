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

struct ExitOf
{
  int operator()(const Completed&) const { return kExitOk; }
  int operator()(const NotRun&) const { return kExitRefused; }
  int operator()(const Failed&) const { return kExitRefused; }
  int operator()(const Unknown&) const { return kExitUnknown; }
};

// Body from the argument: text, or the contents of a file named after "@".
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
PrintOutcome(const CommandLine& aLine,
             const HttpReply& aReply,
             const Outcome& aOutcome)
{
  if (!aLine.mJson) {
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
  CommandLine line;
  TextOption options[] = {
    { "key", "idempotency key; the same key runs at most once", "KEY" },
    { "deadline", "time allowed, in milliseconds", "MS" },
    { "team", "team that the request counts to", "TEAM" },
    { "idempotent", "true (default) or false", "BOOL" },
  };
  if (!ParseCommandLine("submit",
                        "[options] POOL OPERATION [BODY|@FILE]",
                        aArguments,
                        options,
                        line)) {
    return kExitInvalid;
  }
  std::size_t count = line.mArguments.size();
  HttpRequest request;
  if (count < 2 || count > 3 ||
      (count == 3 && !ReadBody(line.mArguments[2], request.mBody))) {
    std::cerr << "buckthornshunt submit: name a pool, an operation and at most "
                 "one body\n";
    return kExitInvalid;
  }
  request.mMethod = "POST";
  request.mTarget = "/v1/pools/" + EncodeUrl(line.mArguments[0]) +
                    "/operations/" + EncodeUrl(line.mArguments[1]);
  constexpr std::string_view kFields[] = {
    kIdempotencyKeyField, kDeadlineField, kTeamField, kIdempotentField
  };
  for (std::size_t i = 0; i < std::size(kFields); ++i) {
    if (!options[i].mValue.empty()) {
      request.mFields.emplace_back(kFields[i], options[i].mValue);
    }
  }
  auto reply = CallServer(line, std::move(request));
  if (!Ok(reply)) {
    return Report(line, std::get<Failure>(reply));
  }
  const HttpReply& answer = std::get<HttpReply>(reply);
  auto outcome = ToExpected<Outcome>([&] { return DecodeOutcome(answer); });
  if (!Ok(outcome)) {
    std::cerr << "refused: " << answer.mBody << "\n";
    return kExitInvalid;
  }
  PrintOutcome(line, answer, std::get<Outcome>(outcome));
  return std::visit(ExitOf{}, std::get<Outcome>(outcome));
}

namespace {

/// Length of the time at the start of a log line, to the millisecond.
constexpr std::size_t kTimeLength = 23;

/// A line of a log and the file that it is from.
struct LoggedLine
{
  std::string mText;
  std::string_view mFile;
};

// Prints the lines of all files that name the id, in the order of their times.
int
TraceLogs(const CommandLine& aLine,
          std::string_view aId,
          std::span<const std::string> aFiles)
{
  std::vector<LoggedLine> lines;
  for (const std::string& file : aFiles) {
    std::ifstream in(file);
    if (!in) {
      return Report(
        aLine, ConfigFailure{ ConfigFault::FileUnreadable, file, {}, "log" });
    }
    std::string text;
    while (std::getline(in, text)) {
      if (text.find(aId) != std::string::npos) {
        lines.push_back({ text, file });
      }
    }
  }
  std::stable_sort(
    lines.begin(), lines.end(), [](const auto& aA, const auto& aB) {
      return std::string_view(aA.mText).substr(0, kTimeLength) <
             std::string_view(aB.mText).substr(0, kTimeLength);
    });
  Json list = Json::array();
  for (const LoggedLine& line : lines) {
    if (aLine.mJson) {
      list.push_back({ { "file", line.mFile }, { "line", line.mText } });
    } else {
      std::cout << line.mFile << ": " << line.mText << "\n";
    }
  }
  if (aLine.mJson) {
    std::cout << list.dump(-1, ' ', false, Json::error_handler_t::replace)
              << "\n";
  }
  return lines.empty() ? kExitRefused : kExitOk;
}

} // namespace

int
RunTrace(std::span<const char*> aArguments)
{
  CommandLine line;
  TextOption options[] = {
    { "logs", "look in this log, and in those after ID, instead", "FILE" },
  };
  if (!ParseCommandLine(
        "trace", "[options] ID [FILE...]", aArguments, options, line)) {
    return kExitInvalid;
  }
  if (!options[0].mValue.empty() && !line.mArguments.empty()) {
    std::vector<std::string> files(line.mArguments.begin() + 1,
                                   line.mArguments.end());
    files.push_back(options[0].mValue);
    return TraceLogs(line, line.mArguments[0], files);
  }
  if (line.mArguments.size() != 1) {
    std::cerr << "buckthornshunt trace: name one trace\n";
    return kExitInvalid;
  }
  HttpRequest request;
  request.mMethod = "GET";
  request.mTarget = "/v1/traces/" + EncodeUrl(line.mArguments[0]);
  Json answer;
  int exit = kExitOk;
  if (!CallForJson(line, std::move(request), answer, exit)) {
    return exit;
  }
  if (line.mJson) {
    std::cout << answer.dump() << "\n";
    return kExitOk;
  }
  auto spans = ToExpected<std::vector<Span>>(
    [&] { return SpansFromJson(answer["spans"]); });
  if (!Ok(spans)) {
    return Report(line, std::get<Failure>(spans));
  }
  std::int64_t first = 0;
  for (const Span& span : std::get<std::vector<Span>>(spans)) {
    first = first == 0 ? span.mStart.mMillis : first;
    std::cout << std::right << std::setw(8) << span.mStart.mMillis - first
              << " ms  " << std::left << std::setw(16) << span.mNode
              << std::setw(10) << span.mName << std::right << std::setw(10)
              << span.mDuration.count() / 1000 << " us  " << span.mNote << "\n";
  }
  return kExitOk;
}

} // namespace buckthornshunt
