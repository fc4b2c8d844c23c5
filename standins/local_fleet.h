#ifndef BUCKTHORNSHUNT_STANDINS_LOCAL_FLEET_H
#define BUCKTHORNSHUNT_STANDINS_LOCAL_FLEET_H

#include "daemon/assembly.h"
#include "services/config_service.h"
#include "services/control_service.h"
#include "services/dispatch_service.h"
#include "services/table_service.h"
#include "standins/backend_server.h"
#include "standins/platform_state.h"

#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornshunt::standins {

/// One request and what its caller was told.
struct SentRequest
{
  Request mRequest;
  CallerState mCaller;
  std::optional<Outcome> mOutcome;
  Duration mLatency{};
};

using SentRequestPtr = std::shared_ptr<SentRequest>;

/// Several nodes in one process, on a paused clock, with stand-ins of the
/// platform and the backend servers, and links that can be cut.
class LocalFleet
{
public:
  LocalFleet();
  ~LocalFleet();
  LocalFleet(const LocalFleet&) = delete;
  LocalFleet& operator=(const LocalFleet&) = delete;

  /// Adds a worker VM to the platform's list and starts its server.
  BackendServer& AddWorker(std::string_view aVm,
                           std::string_view aDataCentre,
                           std::string_view aRack);

  /// Starts a node; a name used before starts a new run of that node.
  void StartNode(std::string_view aNode, std::string_view aDataCentre);

  /// Ends a node at once, as a crash would.
  void KillNode(std::string_view aNode);

  /// Stops a node in order; call Advance until Stopped says so.
  void StopNode(std::string_view aNode);
  bool Stopped(std::string_view aNode) const;

  /// Cuts or mends the links between two nodes.
  void CutLink(std::string_view aOne, std::string_view aTwo, bool aCut);

  /// Cuts or mends a data centre's way to the platform.
  void CutPlatform(std::string_view aDataCentre, bool aCut);

  /// Writes a configuration through a node and waits until it is accepted.
  Expected<ConfigVersion> Apply(std::string_view aNode, std::string_view aBase);
  Expected<ConfigVersion> Apply(std::string_view aNode, ConfigSource aSource);

  /// Sends a request to a node; the result is there after some Advance.
  SentRequestPtr Send(std::string_view aNode,
                      Request aRequest,
                      Duration aAllowed);

  /// Moves the clock on and checks the invariants at every step.
  void Advance(Duration aBy);

  /// Runs until the VMs of every pool are usable at every node; false if they
  /// aren't after half a minute.
  bool Settle();

  /// Breaches of an invariant, in words.
  std::span<const std::string> Violations() const { return mViolations; }

  /// Starts a coroutine beside the nodes' own.
  void Spawn(Task<void> aTask);

  Kernel& KernelOf(std::string_view aNode);
  template<class Service>
  Service& Get(std::string_view aNode)
  {
    return *KernelOf(aNode).Find<Service>(Service::kName).value();
  }

  PlatformState& Platform() { return mPlatform; }
  TaskRunLog& Log() { return mRunLog; }
  BackendServer& Server(std::string_view aVm);
  Clock& GetClock() { return mClock; }

  /// Runs of a token at any server.
  int CountRuns(std::string_view aToken) const;

  /// Newest ownership row of a VM in the platform's table.
  VmOwnership RowOf(std::string_view aDataCentre, std::string_view aVm) const;

private:
  struct Node;

  Expected<PairLink> Connect(const std::string& aFrom, const Endpoint& aTo);
  void CheckInvariants();

  asio::io_context mContext;
  ManualClock mManualClock;
  Clock mClock;
  PlatformState mPlatform;
  TaskRunLog mRunLog;
  ServerMap mServers;
  std::map<std::string, Endpoint, std::less<>> mEndpoints;
  std::map<std::string, std::unique_ptr<Node>, std::less<>> mNodes;
  /// Ended nodes; their coroutines are cancelled but may not have run yet.
  std::vector<std::unique_ptr<Node>> mKilledNodes;
  std::vector<std::pair<std::set<std::string>, std::weak_ptr<PairInbox>>>
    mInboxes;
  std::set<std::set<std::string>> mCutLinks;
  std::size_t mCheckedRecords = 0;
  std::vector<std::string> mViolations;
  std::uint64_t mSeed = 1;
  TaskGroup mTasks;
};

} // namespace buckthornshunt::standins

#endif
