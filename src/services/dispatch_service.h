#ifndef BUCKTHORNSHUNT_SERVICES_DISPATCH_SERVICE_H
#define BUCKTHORNSHUNT_SERVICES_DISPATCH_SERVICE_H

#include "buckthornshunt/outcome.h"
#include "kernel/caller_state.h"
#include "kernel/kernel.h"
#include "ports/backend.h"
#include "services/claim_store.h"
#include "services/pool_runtime.h"

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornshunt {

class ConfigService;
class MemberService;
class PeerService;
class TableService;

/// Where a request came from. A peer's request stays in this data centre.
enum class RequestOrigin : std::uint8_t
{
  Caller,
  Peer,
  /// A durable job of this data centre; its key names its row.
  Job
};

/// Places requests on backend servers and settles what became of them.
class DispatchService
{
public:
  static constexpr std::string_view kName = "dispatch";

  DispatchService(Kernel& aKernel, Backends aBackends);

  leaf::result<void> Start();

  /// Waits for what is in flight, refuses what waits, then ends.
  Task<void> Stop();

  /// Serves a request to its end. The request must outlive the call.
  Task<Outcome> Serve(const Request& aRequest,
                      CallerState& aCaller,
                      RequestOrigin aOrigin);

  /// A ticket for a request without the platform; none while too many are
  /// open or this node stops.
  std::optional<Ticket> IssueTicket();

  /// Drops a ticket whose request ended with nothing left to ask about.
  void ForgetTicket(std::string_view aKey);

  /// True if a request must not run twice, by its caller or its configuration.
  bool RequiresAtMostOnce(const Request& aRequest) const;

  /// True if this node may take requests.
  bool Ready() const;

  /// Attempts that this node has in flight at a VM, for any pool.
  int InFlightOn(std::string_view aVm) const;

  /// Wakes when an attempt ended at a VM that this node no longer uses.
  Event& OwnershipChanged() { return mOwnershipChanged; }

  std::vector<PoolStats> Stats() const;

  std::size_t ActiveRequests() const { return mActiveRequests; }

private:
  /// An attempt of a non-idempotent request that runs here.
  struct RunningAttempt
  {
    explicit RunningAttempt(asio::io_context& aContext)
      : mDone(aContext)
    {
    }

    std::optional<Outcome> mOutcome;
    Event mDone;
  };

  /// How one attempt ended, before any retry.
  struct AttemptResult
  {
    Outcome mOutcome;
    ServerIndex mServer = 0;
    /// The server refused it or could not be reached, so that another server
    /// may be tried at once.
    bool mRetryOnOtherServer = false;
  };

  /// A run that has lasted long enough to be asked about over another
  /// connection, in case its own has fallen silent.
  struct PolledRun
  {
    Endpoint mServer;
    AttemptId mAttempt;
    CallControl mControl;
    /// The run's call has returned.
    bool mFinished = false;
    /// What the server said, if the call was ended by the patrol.
    std::optional<SealAnswer> mAnswer;
  };

  /// A request on its way, as the steps of Serve see it.
  struct RequestContext
  {
    const Request& mRequest;
    CallerState& mCaller;
    RequestOrigin mOrigin;
    PoolRuntime& mPool;
    Lane mLane;
    std::vector<ServerIndex> mTriedServers;
  };

  Task<Outcome> RouteRequest(const Request& aRequest,
                             CallerState& aCaller,
                             RequestOrigin aOrigin);
  Task<Outcome> ServeIdempotent(RequestContext& aContext);
  Task<Outcome> ServeAtMostOnce(RequestContext& aContext);
  Task<Outcome> ServeTicket(RequestContext& aContext, Ticket aTicket);
  Task<Outcome> RunWithClaim(RequestContext& aContext, ClaimStore aStore);
  Task<std::optional<Outcome>> ClaimAndRun(RequestContext& aContext,
                                           ClaimStore aStore,
                                           VersionedClaim& aCurrent);
  Task<std::optional<Outcome>> ResolveOtherAttempt(RequestContext& aContext,
                                                   ClaimStore aStore,
                                                   VersionedClaim& aCurrent);
  Task<Outcome> AwaitAttempt(AttemptId aAttempt, TimePoint aDeadline);
  Task<AttemptResult> RunAttempt(RequestContext& aContext,
                                 Slot& aSlot,
                                 AttemptId aAttempt);
  Task<Claim> ResolveAttempt(Claim aClaim,
                             Endpoint aServer,
                             TimePoint aDeadline);
  Task<void> PollRunStatus(std::shared_ptr<PolledRun> aRun);
  bool IsVmGone(std::string_view aVm) const;
  Task<Outcome> ForwardTo(std::string aNode, const Request& aRequest);
  Task<void> FinishClaim(ClaimStore aStore,
                         std::string aKey,
                         StoredClaim aClaim,
                         Revision aAt);
  Task<void> CancelAttempt(Endpoint aServer, AttemptId aAttempt);

  Task<void> WatchConfig();
  Task<void> WatchOwnership();
  Task<void> WatchMembers();
  Task<void> RunHousekeeping();
  Task<void> Probe(std::string aPool, ServerIndex aServer);
  void LoadOwnership();
  void ShareSlots();
  Lane LaneOf(const PoolRuntime& aPool, const Request& aRequest) const;
  Idempotency IdempotencyOf(const PoolRuntime& aPool,
                            const Request& aRequest) const;
  bool OverQuota(std::string_view aTeam) const;
  Endpoint EndpointOf(std::string_view aVm) const;
  AttemptId NewAttemptId();
  void RecordSpan(const Request& aRequest,
                  std::string_view aName,
                  TimePoint aFrom,
                  std::string_view aNote);

  Kernel& mKernel;
  Backends mBackends;
  TableService* mTable = nullptr;
  ConfigService* mConfig = nullptr;
  MemberService* mMembers = nullptr;
  PeerService* mPeers = nullptr;
  std::unique_ptr<TableClaims> mTableClaims;
  std::unique_ptr<TicketClaims> mTicketClaims;
  std::unique_ptr<JobClaims> mJobClaims;
  std::map<std::string, std::unique_ptr<PoolRuntime>, std::less<>> mPools;
  std::map<AttemptId, std::shared_ptr<RunningAttempt>> mRunningAttempts;
  std::map<std::string, int, std::less<>> mActiveByTeam;
  std::uint64_t mNextAttempt = 1;
  std::size_t mActiveRequests = 0;
  int mLiveNodeCount = 1;
  bool mStopping = false;
  /// Counters of outcomes, in the order of Outcome.
  std::array<Counter*, std::variant_size_v<Outcome>> mOutcomeCounters{};
  Event mOwnershipChanged;
  Event mRequestFinished;
  TaskGroup mTasks;
};

} // namespace buckthornshunt

#endif
