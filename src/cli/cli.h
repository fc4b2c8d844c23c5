#ifndef BUCKTHORNSHUNT_CLI_CLI_H
#define BUCKTHORNSHUNT_CLI_CLI_H

#include "buckthornshunt/failure.h"
#include "net/http_message.h"
#include "wire/json_fields.h"

#include <popt.h>

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornshunt {

/// Exit statuses of the command line.
constexpr int kExitOk = 0;
/// Request refused or not completed, or `diff` found changes.
constexpr int kExitRefused = 1;
/// Invalid usage, configuration or request.
constexpr int kExitInvalid = 2;
/// No valid answer from the server before the timeout.
constexpr int kExitUnreachable = 3;
/// Conflict with another change or with the current state.
constexpr int kExitConflict = 4;
/// The request may or may not have run.
constexpr int kExitUnknown = 5;

/// Options common to all commands, and the positional arguments.
struct CommandLine
{
  Endpoint mServer;
  bool mJson = false;
  Duration mTimeout = std::chrono::seconds(10);
  std::vector<std::string> mArguments;
};

/// Command-specific option with a string value.
struct TextOption
{
  const char* mName;
  const char* mHelp;
  const char* mValueName;
  std::string mValue{};
};

/// Parses a command's arguments. On invalid input it prints the reason to
/// stderr and returns false.
bool
ParseCommandLine(std::string_view aCommand,
                 std::string_view aUsage,
                 std::span<const char*> aArguments,
                 std::span<TextOption> aOptions,
                 CommandLine& aCommandLine);

/// Sends one request to the server and blocks until the answer or timeout.
Expected<HttpReply>
CallServer(const CommandLine& aCommandLine, HttpRequest aRequest);

/// Sends a request that is answered with JSON. Unless the status is 2xx, prints
/// the error, sets the exit status and returns false.
bool
CallForJson(const CommandLine& aCommandLine,
            HttpRequest aRequest,
            Json& aAnswer,
            int& aExitStatus);

/// Prints a failure and returns the corresponding exit status.
int
ReportFailure(const CommandLine& aCommandLine, const Failure& aFailure);

// Commands. Each takes the arguments that follow its name.
int
RunCheck(std::span<const char*> aArguments);
int
RunApply(std::span<const char*> aArguments);
int
RunDiff(std::span<const char*> aArguments);
int
RunStatus(std::span<const char*> aArguments);
int
RunCost(std::span<const char*> aArguments);
int
RunMaintenance(std::span<const char*> aArguments);
int
RunMove(std::span<const char*> aArguments);
int
RunSubmit(std::span<const char*> aArguments);
int
RunTrace(std::span<const char*> aArguments);

} // namespace buckthornshunt

#endif
