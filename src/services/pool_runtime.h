#ifndef BUCKTHORNSHUNT_SERVICES_POOL_RUNTIME_H
#define BUCKTHORNSHUNT_SERVICES_POOL_RUNTIME_H

#include "buckthornshunt/config.h"
#include "buckthornshunt/outcome.h"
#include "decide/ejection.h"
#include "decide/fifo_wait_model.h"
#include "decide/placement.h"
#include "decide/pool_queue.h"
#include "decide/retry_budget.h"
#include "decide/run_times.h"
#include "kernel/caller_state.h"
#include "kernel/kernel.h"
#include "ports/backend_calls.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace buckthornshunt {

class PoolRuntime;

/// A backend server as this node knows it.
struct ServerEntry
{
  std::string mVm;
  Endpoint mEndpoint;
  /// The ownership rows allow this node to send it the pool's work.
  bool mAssigned = false;
  /// Number of the server's run; 0 until it answered a probe.
  std::uint64_t mIncarnation = 0;
  /// The server said that it takes no new work.
  bool mDraining = false;
  /// The server said that its slots are taken; holds until the next sweep.
  bool mFull = false;
  TimePoint mNextProbe;
};

/// A slot of a server, held for one attempt.
class Slot
{
public:
  Slot() = default;
  Slot(PoolRuntime& aPool, ServerIndex aServer, WorkClass aClass);
  ~Slot();
  Slot(Slot&& aOther) noexcept;
  Slot& operator=(Slot&& aOther) noexcept;

  ServerIndex Server() const { return mServer; }

  /// Counts the work, and its operation, as long from now on.
  void MarkLong(std::string_view aOperation);

private:
  void Release();

  PoolRuntime* mPool = nullptr;
  ServerIndex mServer = 0;
  WorkClass mClass = WorkClass::Short;
};

/// What a request asks of a pool.
struct SlotRequest
{
  Lane mLane = Lane::Short;
  TimePoint mDeadline;
  /// Servers to avoid, since the request failed there.
  std::span<const ServerIndex> mTriedServers;
};

/// Stats of a pool at this node.
struct PoolStats
{
  std::string mPool;
  std::size_t mServers = 0;
  std::size_t mUsable = 0;
  std::size_t mWaiting = 0;
  int mInFlight = 0;
  int mLongInFlight = 0;
  int mSlots = 0;
};

/// Servers, queue and what was learnt of one pool at this node.
class PoolRuntime
{
public:
  PoolRuntime(Kernel& aKernel,
              std::string_view aName,
              const PoolConfig& aConfig);

  void SetConfig(const PoolConfig& aConfig);
  const PoolConfig& Config() const { return mConfig; }

  /// Says which VMs the rows give to this pool; others get no new work.
  void SetServers(std::span<const VmOwnership> aRows);

  /// Shares the servers' slots among aNodeCount nodes, of which this is
  /// aNodeIndex.
  void SetNodeShare(int aNodeCount, int aNodeIndex);

  /// Waits for a slot. NotRun if none can be had in time.
  Task<std::variant<Slot, NotRun>> Acquire(SlotRequest aRequest,
                                           CallerState& aCaller);

  /// Takes account of how an attempt ended.
  void RecordEvidence(ServerIndex aServer, RunResult aEvidence);
  void RecordReport(ServerIndex aServer, const ServerReport& aReport);
  void RecordRunTime(std::string_view aOperation, Duration aRan);
  void MarkDraining(ServerIndex aServer);

  /// Gives the server nothing more for a moment: other nodes use slots that
  /// this one thought its own.
  void MarkFull(ServerIndex aServer);

  /// Servers to be probed now, with what they are.
  std::vector<ServerIndex> DueProbes();
  void RecordProbe(ServerIndex aServer,
                   const std::optional<ServerHealth>& aHealth);

  /// Ends ejections and borrowed slots whose time is over.
  void ClearExpired();

  const ServerEntry& Server(ServerIndex aServer) const
  {
    return mEntries[aServer];
  }
  std::optional<ServerIndex> FindServer(std::string_view aVm) const;

  /// Attempts that this node has at a VM for this pool.
  int InFlightOn(std::string_view aVm) const;

  WorkClass Classify(std::string_view aOperation, Duration aDeclared) const
  {
    return mRunTimes.Classify(aOperation, aDeclared);
  }
  Duration LongAfter() const { return mRunTimes.LongThreshold(); }
  RetryBudget& Retries() { return mRetries; }

  /// Expected time until a request that arrives now in a lane gets a slot.
  Duration ExpectedWait(Lane aLane) const;

  bool HasServers() const;

  /// True if the pool could take work from another data centre.
  bool HasSpareCapacity() const;

  PoolStats Stats() const;

  /// Wakes when an attempt ended.
  Event& AttemptFinished() { return mAttemptFinished; }

private:
  friend class Slot;

  struct Waiter
  {
    explicit Waiter(asio::io_context& aContext)
      : mGranted(aContext)
    {
    }

    std::vector<ServerIndex> mTriedServers;
    std::optional<Slot> mSlot;
    Event mGranted;
  };

  ServerIndex AddServer(const VmOwnership& aRow);
  void UpdateUsable(ServerIndex aServer);
  void UpdateShare(ServerIndex aServer);
  void GrantSlots();
  std::optional<Lane> NextLane();
  bool GrantSlot(Lane aLane);
  NotRun Reject(NotRunReason aReason, Lane aLane);
  void ReleaseSlot(ServerIndex aServer, WorkClass aClass);

  Kernel& mKernel;
  std::string mName;
  PoolConfig mConfig;
  int mNodeCount = 1;
  int mNodeIndex = 0;
  bool mGranting = false;
  std::vector<ServerEntry> mEntries;
  std::map<std::string, ServerIndex, std::less<>> mServerByVm;
  std::vector<ServerIndex> mBorrowingServers;
  std::vector<ServerIndex> mFullServers;
  PoolServers mServers;
  PoolQueue mQueue;
  ShortDemand mShortDemand;
  FifoWaitModel mArrivalOrder;
  RunTimes mRunTimes;
  OutlierEjection mEjection;
  RetryBudget mRetries;
  Rng mRng;
  WaitId mNextWait = 1;
  std::map<WaitId, Waiter*> mWaiters;
  Event mAttemptFinished;
  LatencyHistogram& mWaitHistogram;
};

} // namespace buckthornshunt

#endif
