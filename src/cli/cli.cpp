#include "cli/cli.h"

#include "kernel/clock.h"
#include "net/http_client.h"
#include "wire/row_codec.h"

#include <boost/asio/co_spawn.hpp>

#include <cstdlib>
#include <iostream>
#include <memory>
#include <optional>

namespace buckthornshunt {

namespace {

constexpr const char* kServerEnvironmentVariable = "BUCKTHORNSHUNT_SERVER";
constexpr const char* kDefaultServer = "127.0.0.1:7001";

constexpr int kFirstOptionId = 100;

bool
ParseServer(std::string_view aText, Endpoint& aServer)
{
  auto endpoint = ToExpected<Endpoint>([&] { return ParseEndpoint(aText); });
  if (!Ok(endpoint)) {
    return false;
  }
  aServer = std::get<Endpoint>(std::move(endpoint));
  return true;
}

int
ExitStatusOf(const Failure& aFailure)
{
  if (std::holds_alternative<ConfigFailure>(aFailure) ||
      std::holds_alternative<MessageFailure>(aFailure)) {
    return kExitInvalid;
  }
  if (std::holds_alternative<CommitConflict>(aFailure)) {
    return kExitConflict;
  }
  bool refused = std::holds_alternative<StateConflict>(aFailure) ||
                 std::holds_alternative<NotFound>(aFailure);
  return refused ? kExitRefused : kExitUnreachable;
}

int
ExitStatusOf(int aHttpStatus)
{
  constexpr int kBadRequest = 400;
  constexpr int kConflict = 409;
  constexpr int kUnprocessable = 422;
  if (aHttpStatus == kBadRequest || aHttpStatus == kUnprocessable) {
    return kExitInvalid;
  }
  return aHttpStatus == kConflict ? kExitConflict : kExitRefused;
}

} // namespace

bool
ParseCommandLine(std::string_view aCommand,
                 std::string_view aUsage,
                 std::span<const char*> aArguments,
                 std::span<TextOption> aOptions,
                 CommandLine& aCommandLine)
{
  char* server = nullptr;
  int json = 0;
  int seconds = 0;
  std::vector<poptOption> table = {
    { "server",
      's',
      POPT_ARG_STRING,
      &server,
      0,
      "daemon to connect to (default: $BUCKTHORNSHUNT_SERVER)",
      "HOST:PORT" },
    { "json", 'j', POPT_ARG_NONE, &json, 0, "print output as JSON", nullptr },
    { "timeout",
      't',
      POPT_ARG_INT,
      &seconds,
      0,
      "maximum time to wait for an answer (default: 10)",
      "SECONDS" },
  };
  std::vector<char*> values(aOptions.size(), nullptr);
  for (std::size_t i = 0; i < aOptions.size(); ++i) {
    table.push_back({ aOptions[i].mName,
                      0,
                      POPT_ARG_STRING,
                      &values[i],
                      kFirstOptionId + static_cast<int>(i),
                      aOptions[i].mHelp,
                      aOptions[i].mValueName });
  }
  poptOption help[] = { POPT_AUTOHELP POPT_TABLEEND };
  table.push_back(help[0]);
  table.push_back(help[1]);

  std::string name = "buckthornshunt " + std::string(aCommand);
  std::vector<const char*> arguments{ name.c_str() };
  arguments.insert(arguments.end(), aArguments.begin(), aArguments.end());
  std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> popt(
    poptGetContext(nullptr,
                   static_cast<int>(arguments.size()),
                   arguments.data(),
                   table.data(),
                   0),
    poptFreeContext);
  std::string usage(aUsage);
  poptSetOtherOptionHelp(popt.get(), usage.c_str());
  int rc = 0;
  while ((rc = poptGetNextOpt(popt.get())) >= kFirstOptionId) {
    aOptions[static_cast<std::size_t>(rc - kFirstOptionId)].mValue =
      values[static_cast<std::size_t>(rc - kFirstOptionId)];
  }
  for (char* value : values) {
    std::free(value);
  }
  std::unique_ptr<char, void (*)(void*)> serverGuard(server, std::free);
  if (rc < -1) {
    std::cerr << name << ": " << poptBadOption(popt.get(), 0) << ": "
              << poptStrerror(rc) << "\n";
    return false;
  }
  const char* fromEnvironment = std::getenv(kServerEnvironmentVariable);
  std::string address =
    fromEnvironment != nullptr ? fromEnvironment : kDefaultServer;
  address = server != nullptr ? server : address;
  if (!ParseServer(address, aCommandLine.mServer)) {
    std::cerr << name << ": invalid server address '" << address
              << "', expected HOST:PORT\n";
    return false;
  }
  aCommandLine.mJson = json != 0;
  if (seconds > 0) {
    aCommandLine.mTimeout = std::chrono::seconds(seconds);
  }
  for (const char* argument = poptGetArg(popt.get()); argument != nullptr;
       argument = poptGetArg(popt.get())) {
    aCommandLine.mArguments.emplace_back(argument);
  }
  return true;
}

Expected<HttpReply>
CallServer(const CommandLine& aCommandLine, HttpRequest aRequest)
{
  asio::io_context context(1);
  SystemClock system(context);
  Clock clock(context, system);
  HttpClient client(context, clock);
  Expected<HttpReply> answer = Failure(TimeoutFailure{});
  TimePoint deadline = clock.Now() + aCommandLine.mTimeout;
  auto call =
    client.Exchange(aCommandLine.mServer, std::move(aRequest), deadline);
  asio::co_spawn(context,
                 std::move(call),
                 [&](const std::exception_ptr&, Expected<HttpReply> aAnswer) {
                   answer = std::move(aAnswer);
                   context.stop();
                 });
  context.run();
  return answer;
}

bool
CallForJson(const CommandLine& aCommandLine,
            HttpRequest aRequest,
            Json& aAnswer,
            int& aExitStatus)
{
  constexpr int kSuccessClass = 2;
  auto reply = CallServer(aCommandLine, std::move(aRequest));
  if (!Ok(reply)) {
    aExitStatus = ReportFailure(aCommandLine, std::get<Failure>(reply));
    return false;
  }
  const HttpReply& answer = std::get<HttpReply>(reply);
  auto json = ToExpected<Json>([&] { return ParseJson(answer.mBody); });
  if (!Ok(json)) {
    aExitStatus = ReportFailure(
      aCommandLine, Failure(ProtocolFailure{ aCommandLine.mServer }));
    return false;
  }
  aAnswer = std::get<Json>(std::move(json));
  if (answer.mStatus / 100 == kSuccessClass) {
    return true;
  }
  if (aCommandLine.mJson) {
    std::cout << aAnswer.dump() << "\n";
  } else {
    std::cerr << "error from server: "
              << aAnswer.value("detail", aAnswer.dump()) << "\n";
  }
  aExitStatus = ExitStatusOf(answer.mStatus);
  return false;
}

int
ReportFailure(const CommandLine& aCommandLine, const Failure& aFailure)
{
  if (aCommandLine.mJson) {
    Json json{ { "error", FailureName(aFailure) },
               { "detail", Describe(aFailure) } };
    if (const auto* config = std::get_if<ConfigFailure>(&aFailure)) {
      json["file"] = config->mFile;
      json["pointer"] = config->mPointer;
      json["fault"] = ToString(config->mFault);
    }
    std::cout << json.dump() << "\n";
  } else {
    std::cerr << Describe(aFailure) << "\n";
  }
  return ExitStatusOf(aFailure);
}

} // namespace buckthornshunt
