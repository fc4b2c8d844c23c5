#include "standins/local_fleet.h"

#include "wire/config_codec.h"
#include "wire/row_codec.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>

namespace buckthornshunt::standins {

namespace {

constexpr int kSlotsPerServer = 8;
constexpr Duration kClockStep = std::chrono::milliseconds(10);
constexpr std::uint16_t kPeerPort = 9;
constexpr std::uint16_t kServerPort = 80;

} // namespace

namespace {

using AliveFlag = std::shared_ptr<bool>;

Task<Expected<PlatformReply>>
CallIfAlive(InProcessPlatform aPort,
            AliveFlag aAlive,
            PlatformCall aCall,
            TimePoint aDeadline)
{
  if (!*aAlive) {
    co_return Failure(StoreUnavailable{});
  }
  auto reply = co_await aPort.mCall(std::move(aCall), aDeadline);
  co_return reply;
}

Task<Expected<BackendReply>>
CallIfAlive(InProcessBackends aPort,
            AliveFlag aAlive,
            Endpoint aServer,
            BackendCall aCall,
            TimePoint aDeadline,
            CallControl* aControl)
{
  if (!*aAlive) {
    co_return Failure(ConnectFailure{ aServer });
  }
  auto reply =
    co_await aPort.mCall(aServer, std::move(aCall), aDeadline, aControl);
  co_return reply;
}

// The coroutines of a killed node end by cancellation. Calls that they make
// while unwinding must fail, as a crashed node can't send any.
InProcessPlatform
GuardPort(const InProcessPlatform& aPort, const AliveFlag& aAlive)
{
  return { [aPort, aAlive](PlatformCall aCall, TimePoint aDeadline) {
    return CallIfAlive(aPort, aAlive, std::move(aCall), aDeadline);
  } };
}

InProcessBackends
GuardPort(const InProcessBackends& aPort, const AliveFlag& aAlive)
{
  return { [aPort, aAlive](Endpoint aServer,
                           BackendCall aCall,
                           TimePoint aDeadline,
                           CallControl* aControl) {
    return CallIfAlive(
      aPort, aAlive, std::move(aServer), std::move(aCall), aDeadline, aControl);
  } };
}

} // namespace

struct LocalFleet::Node
{
  Node(asio::io_context& aContext, const Clock& aClock, std::uint64_t aSeed)
    : mKernel(aContext, aClock, aSeed)
  {
  }

  Kernel mKernel;
  std::string mDataCentre;
  bool mStopped = false;
  AliveFlag mAlive = std::make_shared<bool>(true);
  std::vector<std::weak_ptr<InProcessInbox>> mLinks;
};

LocalFleet::LocalFleet()
  : mManualClock(mContext)
  , mClock(mContext, mManualClock)
  , mTasks(mContext)
{
  mPlatform.SetRebootHandler(
    [this](std::string_view aVm) { Server(aVm).Restart(); });
}

// Pending coroutines are cancelled and run to their end here, before the
// members that they refer to are destroyed.
LocalFleet::~LocalFleet()
{
  mTasks.CancelAll();
  while (!mNodes.empty()) {
    KillNode(std::string(mNodes.begin()->first));
  }
  mContext.restart();
  mContext.poll();
}

BackendServer&
LocalFleet::AddWorker(std::string_view aVm,
                      std::string_view aDataCentre,
                      std::string_view aRack)
{
  Endpoint endpoint{ std::string(aVm), kServerPort };
  mPlatform.Vms().mWorkers.push_back({ std::string(aVm),
                                       std::string(aDataCentre),
                                       std::string(aRack),
                                       endpoint,
                                       false });
  auto server = std::make_shared<BackendServer>(
    mContext, mClock, aVm, kSlotsPerServer, mRunLog);
  mServers[endpoint] = server;
  return *server;
}

BackendServer&
LocalFleet::Server(std::string_view aVm)
{
  return *mServers.at({ std::string(aVm), kServerPort });
}

void
LocalFleet::StartNode(std::string_view aNode, std::string_view aDataCentre)
{
  std::string name(aNode);
  auto node = std::make_unique<Node>(mContext, mClock, mSeed++);
  node->mDataCentre = aDataCentre;
  Endpoint endpoint{ name, kPeerPort };
  DaemonOptions parts;
  parts.mSelf = {
    name, node->mDataCentre, Incarnation(node->mKernel.Random()), endpoint
  };
  parts.mPeers.mListen = endpoint;
  for (const auto& [other, known] : mEndpoints) {
    parts.mPeers.mSeeds.push_back(known);
  }
  parts.mPeers.mConnector =
    InProcessConnector{ [this, name](const Endpoint& aTo) {
      return Connect(name, aTo);
    } };
  parts.mPlatform = GuardPort(std::get<InProcessPlatform>(MakePlatformPort(
                                mPlatform, mClock, aDataCentre)),
                              node->mAlive);
  parts.mBackends = GuardPort(std::get<InProcessBackends>(MakeBackendPort(
                                mServers, mTasks, mClock, aDataCentre)),
                              node->mAlive);
  parts.mServeHttp = false;
  AddServices(node->mKernel, std::move(parts));
  mEndpoints[name] = endpoint;
  auto& entry = mPlatform.Vms().mEntryVms;
  if (std::find(entry.begin(), entry.end(), name) == entry.end()) {
    entry.push_back(name);
  }
  Kernel& kernel = node->mKernel;
  mNodes[name] = std::move(node);
  kernel.Start().value();
}

Expected<InProcessLink>
LocalFleet::Connect(const std::string& aFrom, const Endpoint& aTo)
{
  auto it = mNodes.find(aTo.mHost);
  std::set<std::string> pair{ aFrom, aTo.mHost };
  if (it == mNodes.end() || mCutLinks.contains(pair)) {
    return Failure(ConnectFailure{ aTo });
  }
  auto remoteInbox = std::make_shared<InProcessInbox>(mContext);
  auto localInbox = std::make_shared<InProcessInbox>(mContext);
  mInboxes.emplace_back(pair, remoteInbox);
  mInboxes.emplace_back(pair, localInbox);
  Node& from = *mNodes.at(aFrom);
  for (Node* node : { &from, it->second.get() }) {
    node->mLinks.push_back(remoteInbox);
    node->mLinks.push_back(localInbox);
  }
  PeerService& peers = Get<PeerService>(aTo.mHost);
  peers.AcceptLink(
    std::make_unique<PeerLink>(InProcessLink(remoteInbox, localInbox)));
  return InProcessLink(localInbox, remoteInbox);
}

void
LocalFleet::KillNode(std::string_view aNode)
{
  auto it = mNodes.find(aNode);
  Node& node = *it->second;
  *node.mAlive = false;
  for (const auto& link : node.mLinks) {
    if (auto inbox = link.lock()) {
      inbox->mClosed = true;
      inbox->mChanged.NotifyAll();
    }
  }
  node.mKernel.CancelTasks();
  mKilledNodes.push_back(std::move(it->second));
  mNodes.erase(it);
  mContext.restart();
  mContext.poll();
}

void
LocalFleet::StopNode(std::string_view aNode)
{
  Node& node = *mNodes.find(aNode)->second;
  mTasks.Spawn("stop", [](Node& aStoppedNode) -> Task<void> {
    co_await aStoppedNode.mKernel.Stop();
    aStoppedNode.mStopped = true;
  }(node));
}

bool
LocalFleet::Stopped(std::string_view aNode) const
{
  return mNodes.find(aNode)->second->mStopped;
}

void
LocalFleet::CutLink(std::string_view aOne, std::string_view aTwo, bool aCut)
{
  std::set<std::string> pair{ std::string(aOne), std::string(aTwo) };
  if (aCut) {
    mCutLinks.insert(pair);
  } else {
    mCutLinks.erase(pair);
  }
  for (const auto& [linkNodes, weakInbox] : mInboxes) {
    auto inbox = weakInbox.lock();
    if (inbox && linkNodes == pair) {
      inbox->mDropMessages = aCut;
    }
  }
}

void
LocalFleet::CutPlatform(std::string_view aDataCentre, bool aCut)
{
  auto& unreachableFrom = mPlatform.Faults().mUnreachableFrom;
  if (aCut) {
    unreachableFrom.insert(std::string(aDataCentre));
  } else {
    unreachableFrom.erase(std::string(aDataCentre));
  }
}

Kernel&
LocalFleet::KernelOf(std::string_view aNode)
{
  return mNodes.find(aNode)->second->mKernel;
}

void
LocalFleet::Spawn(Task<void> aTask)
{
  mTasks.Spawn("test", std::move(aTask));
}

Expected<ConfigVersion>
LocalFleet::Apply(std::string_view aNode, std::string_view aBase)
{
  ConfigSource source;
  source.mBase = { "base.json", Json::parse(aBase) };
  return Apply(aNode, std::move(source));
}

Expected<ConfigVersion>
LocalFleet::Apply(std::string_view aNode, ConfigSource aSource)
{
  ConfigService& config = Get<ConfigService>(aNode);
  ConfigVersion parent =
    config.Current() ? config.Current()->mVersion : ConfigVersion{};
  std::optional<Expected<ConfigVersion>> result;
  auto accept =
    [](ConfigService& aConfig,
       ConfigSource aSource,
       ConfigVersion aParent,
       TimePoint aDeadline,
       std::optional<Expected<ConfigVersion>>& aResult) -> Task<void> {
    aResult = co_await aConfig.Accept(std::move(aSource), aParent, aDeadline);
  };
  TimePoint deadline = mClock.Now() + std::chrono::seconds(5);
  Spawn(accept(config, std::move(aSource), parent, deadline, result));
  while (!result) {
    Advance(kClockStep);
  }
  return *result;
}

SentRequestPtr
LocalFleet::Send(std::string_view aNode, Request aRequest, Duration aAllowed)
{
  auto call = std::make_shared<SentRequest>();
  call->mRequest = std::move(aRequest);
  call->mRequest.mDeadline = mClock.Now() + aAllowed;
  auto serve = [](DispatchService& aDispatch,
                  Clock& aClock,
                  SentRequestPtr aCall) -> Task<void> {
    TimePoint from = aClock.Now();
    aCall->mOutcome = co_await aDispatch.Serve(
      aCall->mRequest, aCall->mCaller, RequestOrigin::Caller);
    aCall->mLatency = aClock.Now() - from;
  };
  Spawn(serve(Get<DispatchService>(aNode), mClock, call));
  return call;
}

// Checks each new entry of the run log against the ownership table.
void
LocalFleet::CheckInvariants()
{
  for (; mCheckedRecords < mRunLog.size(); ++mCheckedRecords) {
    const TaskRunRecord& record = mRunLog[mCheckedRecords];
    // A VM runs tasks only of the pool that owns it.
    for (const auto& vm : mPlatform.Vms().mWorkers) {
      if (vm.mVm == record.mVm) {
        VmOwnership row = RowOf(vm.mDataCentre, vm.mVm);
        if (row.mPool != record.mPool) {
          mViolations.push_back(
            "VM " + row.mVm +
            " ran a task for a pool that does not own it: " + record.mPool);
        }
      }
    }
  }
}

void
LocalFleet::Advance(Duration aBy)
{
  TimePoint end = mClock.Now() + aBy;
  while (mClock.Now() < end) {
    mManualClock.Advance(std::min(kClockStep, end - mClock.Now()));
    CheckInvariants();
  }
}

bool
LocalFleet::Settle()
{
  constexpr int kMaxSteps = 3000;
  auto usable = [this] {
    for (auto& [name, node] : mNodes) {
      std::size_t vms = 0;
      for (const auto& vm : mPlatform.Vms().mWorkers) {
        vms += vm.mDataCentre == node->mDataCentre ? 1 : 0;
      }
      std::size_t found = 0;
      for (const PoolStats& pool : Get<DispatchService>(name).Stats()) {
        found += pool.mUsable;
      }
      if (found != vms || !Get<DispatchService>(name).Ready()) {
        return false;
      }
    }
    return true;
  };
  for (int i = 0; i < kMaxSteps && !usable(); ++i) {
    Advance(kClockStep);
  }
  return usable();
}

int
LocalFleet::CountRuns(std::string_view aToken) const
{
  int n = 0;
  for (const TaskRunRecord& record : mRunLog) {
    n += record.mToken == aToken ? 1 : 0;
  }
  return n;
}

VmOwnership
LocalFleet::RowOf(std::string_view aDataCentre, std::string_view aVm) const
{
  VmOwnership found;
  std::string key = VmKey(aDataCentre, aVm);
  for (const Row& row : mPlatform.Log()) {
    if (row.mKey == key) {
      auto decoded =
        ToExpected<VmOwnership>([&] { return DecodeVm(row.mValue); });
      found = std::get<VmOwnership>(decoded);
    }
  }
  return found;
}

} // namespace buckthornshunt::standins
