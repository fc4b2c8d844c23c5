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
/// The request was refused or did not complete.
constexpr int kExitRefused = 1;
/// Wrong usage, or a file that was refused.
constexpr int kExitInvalid = 2;
/// The server could not be reached.
constexpr int kExitUnreachable = 3;
/// Another change came first.
constexpr int kExitConflict = 4;
/// The outcome isn't known.
constexpr int kExitUnknown = 5;

/// Options that every command takes, and what is left of its arguments.
struct CommandLine
{
  Endpoint mServer;
  bool mJson = false;
  Duration mTimeout = std::chrono::seconds(10);
  std::vector<std::string> mArguments;
};

/// Text option of one command.
struct TextOption
{
  const char* mName;
  const char* mHelp;
  const char* mValueName;
  std::string mValue{};
};

/// Parses a command's arguments; false after it told the user why not.
bool
ParseCommandLine(std::string_view aCommand,
                 std::string_view aUsage,
                 std::span<const char*> aArguments,
                 std::span<TextOption> aOptions,
                 CommandLine& aCommandLine);

/// Makes one call to the server and waits for the answer.
Expected<HttpReply>
CallServer(const CommandLine& aCommandLine, HttpRequest aRequest);

/// Makes a call whose answer is JSON with status 2xx. Otherwise tells the
/// user what went wrong and sets the exit status.
bool
CallForJson(const CommandLine& aCommandLine,
            HttpRequest aRequest,
            Json& aAnswer,
            int& aExitStatus);

/// Prints a failure and returns the exit status that fits it.
int
ReportFailure(const CommandLine& aCommandLine, const Failure& aFailure);

// The commands. Each takes the arguments after its own name.
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
