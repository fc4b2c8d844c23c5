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

/// This node's view of a backend server.
struct ServerEntry
{
  std::string mVm;
  Endpoint mEndpoint;
  /// The ownership rows assign the server's VM to this pool.
  bool mAssigned = false;
  /// Identifies the server's process lifetime (its boot number); 0 until it has
  /// answered a probe.
  std::uint64_t mIncarnation = 0;
  /// The server reported that it takes no new work.
  bool mDraining = false;
  /// The server reported that its slots are taken; reset by ClearExpired.
  bool mFull = false;
  TimePoint mNextProbe;
};

/// A slot of a server, reserved for one attempt.
class Slot
{
public:
  Slot() = default;
  Slot(PoolRuntime& aPool, ServerIndex aServer, WorkClass aClass);
  ~Slot();
  Slot(Slot&& aOther) noexcept;
  Slot& operator=(Slot&& aOther) noexcept;

  ServerIndex Server() const { return mServer; }

  /// Reclassifies the work as long, and records that its operation ran long.
  void MarkLong(std::string_view aOperation);

private:
  void Release();

  PoolRuntime* mPool = nullptr;
  ServerIndex mServer = 0;
  WorkClass mClass = WorkClass::Short;
};

/// A request's requirements for a slot.
struct SlotRequest
{
  Lane mLane = Lane::Short;
  TimePoint mDeadline;
  /// Servers to avoid, since the request failed there.
  std::span<const ServerIndex> mTriedServers;
};

/// Statistics of a pool at this node.
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

/// Servers, queue and measurements of one pool at this node.
class PoolRuntime
{
public:
  PoolRuntime(Kernel& aKernel,
              std::string_view aName,
              const PoolConfig& aConfig);

  void SetConfig(const PoolConfig& aConfig);
  const PoolConfig& Config() const { return mConfig; }

  /// Sets the VMs that the rows assign to this pool; others get no new work.
  void SetServers(std::span<const VmOwnership> aRows);

  /// Sets this node's share of the servers' slots, as node aNodeIndex of
  /// aNodeCount.
  void SetNodeShare(int aNodeCount, int aNodeIndex);

  /// Waits for a slot. NotRun if the expected wait exceeds the deadline, the
  /// queue is full, the deadline passes or the caller goes.
  Task<std::variant<Slot, NotRun>> Acquire(SlotRequest aRequest,
                                           CallerState& aCaller);

  /// Records how an attempt ended.
  void RecordEvidence(ServerIndex aServer, RunResult aEvidence);
  void RecordReport(ServerIndex aServer, const ServerReport& aReport);
  void RecordRunTime(std::string_view aOperation, Duration aRan);
  void MarkDraining(ServerIndex aServer);

  /// Sends the server nothing until ClearExpired: other nodes use slots of this
  /// node's share.
  void MarkFull(ServerIndex aServer);

  /// Returns the servers that are due for a probe and schedules the next one.
  std::vector<ServerIndex> DueProbes();
  void RecordProbe(ServerIndex aServer,
                   const std::optional<ServerHealth>& aHealth);

  /// Ends expired ejections, and all borrowed slots and full marks.
  void ClearExpired();

  const ServerEntry& Server(ServerIndex aServer) const
  {
    return mEntries[aServer];
  }
  std::optional<ServerIndex> FindServer(std::string_view aVm) const;

  /// Attempts that this node has in flight at a VM for this pool.
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

  /// True if the pool has capacity for work from another data centre.
  bool HasSpareCapacity() const;

  PoolStats Stats() const;

  /// Notified when an attempt has ended.
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
