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

/// Origin of a request. A request from a peer is not forwarded again.
enum class RequestOrigin : std::uint8_t
{
  Caller,
  Peer,
  /// A durable job of this data centre; the request's key is its row key.
  Job
};

/// Dispatches requests to backend servers and determines their outcomes.
class DispatchService
{
public:
  static constexpr std::string_view kName = "dispatch";

  DispatchService(Kernel& aKernel, Backends aBackends);

  leaf::result<void> Start();

  /// Rejects new requests and waits until the active ones have finished.
  Task<void> Stop();

  /// Serves a request until it has an outcome. aRequest must outlive the call.
  Task<Outcome> Serve(const Request& aRequest,
                      CallerState& aCaller,
                      RequestOrigin aOrigin);

  /// Issues a ticket, whose request needs no claim in the platform's table; no
  /// value while too many are open or this node is stopping.
  std::optional<Ticket> IssueTicket();

  /// Drops a ticket whose request has a known outcome.
  void ForgetTicket(std::string_view aKey);

  /// True unless both the caller and the configuration declare the request
  /// idempotent.
  bool RequiresAtMostOnce(const Request& aRequest) const;

  /// True if this node can dispatch requests: it is configured, registered and
  /// not stopping.
  bool Ready() const;

  /// Attempts that this node has in flight at a VM, over all pools.
  int InFlightOn(std::string_view aVm) const;

  /// Notified when the ownership rows have been reloaded.
  Event& OwnershipChanged() { return mOwnershipChanged; }

  std::vector<PoolStats> Stats() const;

  std::size_t ActiveRequests() const { return mActiveRequests; }

private:
  /// A claimed attempt that this node has dispatched.
  struct RunningAttempt
  {
    explicit RunningAttempt(asio::io_context& aContext)
      : mDone(aContext)
    {
    }

    std::optional<Outcome> mOutcome;
    Event mDone;
  };

  /// Result of one attempt, before any retry.
  struct AttemptResult
  {
    Outcome mOutcome;
    ServerIndex mServer = 0;
    /// The server rejected the attempt or was unreachable; another server can
    /// be tried at once.
    bool mRetryOnOtherServer = false;
  };

  /// A run whose status is polled over another connection, in case its own has
  /// gone silent.
  struct PolledRun
  {
    Endpoint mServer;
    AttemptId mAttempt;
    CallControl mControl;
    /// The run's call has returned.
    bool mFinished = false;
    /// The server's answer, if the status poll aborted the call.
    std::optional<SealAnswer> mAnswer;
  };

  /// State of one request, shared by the steps of Serve.
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
  /// Outcome counters, in the order of Outcome's alternatives.
  std::array<Counter*, std::variant_size_v<Outcome>> mOutcomeCounters{};
  Event mOwnershipChanged;
  Event mRequestFinished;
  TaskGroup mTasks;
};

} // namespace buckthornshunt

#endif
