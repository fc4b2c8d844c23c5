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

/// A request sent to a node, and its outcome once it has one.
struct SentRequest
{
  Request mRequest;
  CallerState mCaller;
  std::optional<Outcome> mOutcome;
  Duration mLatency{};
};

using SentRequestPtr = std::shared_ptr<SentRequest>;

/// Several nodes in one process, on a manual clock, with stand-ins for the
/// platform and the backend servers. Tests can kill nodes and cut links.
class LocalFleet
{
public:
  LocalFleet();
  ~LocalFleet();
  LocalFleet(const LocalFleet&) = delete;
  LocalFleet& operator=(const LocalFleet&) = delete;

  /// Adds a worker VM to the platform's VM list and starts its backend server.
  BackendServer& AddWorker(std::string_view aVm,
                           std::string_view aDataCentre,
                           std::string_view aRack);

  /// Starts a node. A name used before starts a new incarnation of that node.
  void StartNode(std::string_view aNode, std::string_view aDataCentre);

  /// Ends a node at once, as a crash does.
  void KillNode(std::string_view aNode);

  /// Begins a graceful stop of a node; call Advance until Stopped is true.
  void StopNode(std::string_view aNode);
  bool Stopped(std::string_view aNode) const;

  /// Cuts or restores the links between two nodes.
  void CutLink(std::string_view aOne, std::string_view aTwo, bool aCut);

  /// Cuts or restores a data centre's connection to the platform.
  void CutPlatform(std::string_view aDataCentre, bool aCut);

  /// Submits a configuration through a node and advances the clock until it is
  /// accepted or rejected. The deadline is 5 s.
  Expected<ConfigVersion> Apply(std::string_view aNode, std::string_view aBase);
  Expected<ConfigVersion> Apply(std::string_view aNode, ConfigSource aSource);

  /// Sends a request to a node, with a deadline aAllowed from now. Call Advance
  /// until it has an outcome.
  SentRequestPtr Send(std::string_view aNode,
                      Request aRequest,
                      Duration aAllowed);

  /// Advances the clock in steps of at most 10 ms and checks the invariants
  /// after each.
  void Advance(Duration aBy);

  /// Advances the clock until every node is ready and can use all VMs of its
  /// data centre; false if this takes longer than 30 s.
  bool Settle();

  /// Descriptions of the invariant violations seen so far.
  std::span<const std::string> Violations() const { return mViolations; }

  /// Starts a coroutine that belongs to no node.
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

  /// Number of runs of a token, over all servers.
  int CountRuns(std::string_view aToken) const;

  /// Newest ownership row of a VM in the platform's table; default-constructed
  /// if there is none.
  VmOwnership RowOf(std::string_view aDataCentre, std::string_view aVm) const;

private:
  struct Node;

  Expected<InProcessLink> Connect(const std::string& aFrom,
                                  const Endpoint& aTo);
  void CheckInvariants();

  asio::io_context mContext;
  ManualClock mManualClock;
  Clock mClock;
  PlatformState mPlatform;
  TaskRunLog mRunLog;
  ServerMap mServers;
  std::map<std::string, Endpoint, std::less<>> mEndpoints;
  std::map<std::string, std::unique_ptr<Node>, std::less<>> mNodes;
  /// Kept alive because their cancelled coroutines may not have ended yet.
  std::vector<std::unique_ptr<Node>> mKilledNodes;
  std::vector<std::pair<std::set<std::string>, std::weak_ptr<InProcessInbox>>>
    mInboxes;
  std::set<std::set<std::string>> mCutLinks;
  std::size_t mCheckedRecords = 0;
  std::vector<std::string> mViolations;
  std::uint64_t mSeed = 1;
  TaskGroup mTasks;
};

} // namespace buckthornshunt::standins

#endif
