#include "cli/cli.h"

#include <algorithm>
#include <iostream>
#include <string_view>

namespace buckthornshunt {

namespace {

struct Command
{
  std::string_view mName;
  int (*mRun)(std::span<const char*>);
  std::string_view mHelp;
};

constexpr Command kCommands[] = {
  { "check", RunCheck, "validate a configuration directory" },
  { "diff", RunDiff, "show the changes that apply would make" },
  { "apply", RunApply, "apply a configuration directory" },
  { "status", RunStatus, "show the status of a daemon, its peers and pools" },
  { "cost", RunCost, "show VM time and cost by pool and use" },
  { "maintenance", RunMaintenance, "start, pause or show a maintenance wave" },
  { "move", RunMove, "move a VM to another pool" },
  { "submit", RunSubmit, "submit a request to a pool and print its outcome" },
  { "trace", RunTrace, "show the spans of a request or its log lines" },
};

void
PrintUsage(std::ostream& aOut)
{
  aOut << "usage: buckthornshunt COMMAND [options]\n\n";
  for (const Command& command : kCommands) {
    aOut << "  " << command.mName << std::string(13 - command.mName.size(), ' ')
         << command.mHelp << "\n";
  }
  aOut << "\nbuckthornshunt COMMAND --help lists the options of a command.\n"
       << "exit status: 0 done, 1 refused, 2 invalid, 3 unreachable, 4 "
          "conflict, 5 unknown\n";
}

} // namespace

} // namespace buckthornshunt

int
main(int argc, char** argv)
{
  using namespace buckthornshunt;
  std::string_view name = argc > 1 ? argv[1] : "";
  if (name == "--help" || name == "help") {
    PrintUsage(std::cout);
    return kExitOk;
  }
  const auto* it = std::find_if(
    std::begin(kCommands), std::end(kCommands), [&](const Command& aCommand) {
      return aCommand.mName == name;
    });
  if (it == std::end(kCommands)) {
    PrintUsage(std::cerr);
    return kExitInvalid;
  }
  auto** arguments = const_cast<const char**>(argv + 2);
  return it->mRun({ arguments, static_cast<std::size_t>(argc - 2) });
}
