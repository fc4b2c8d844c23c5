// DispatchService: at-most-once execution through claims, and resolution of
// attempts whose outcome is unknown.

#include "kernel/log.h"
#include "services/dispatch_service.h"
#include "services/member_service.h"
#include "services/peer_service.h"
#include "services/table_service.h"

#include <algorithm>
#include <utility>

namespace buckthornshunt {

namespace {

constexpr std::string_view kPart = "dispatch";
/// Claim transitions that one request may follow.
constexpr int kMaxClaimSteps = 30;
/// Time for a claim's holder to send its attempt before another node queries
/// the server, which would seal the attempt and so forbid it to start.
constexpr Duration kHolderGracePeriod = std::chrono::milliseconds(250);
/// A server that hasn't answered for this long is given up.
constexpr Duration kServerSilenceTimeout = std::chrono::seconds(60);
constexpr Duration kSealTimeout = std::chrono::seconds(1);
constexpr Duration kMinSealRetryInterval = std::chrono::milliseconds(50);
constexpr Duration kMaxSealRetryInterval = std::chrono::seconds(1);
constexpr Duration kClaimTimeout = std::chrono::seconds(2);
constexpr Duration kFinishTimeout = std::chrono::seconds(10);
constexpr Duration kStoreRetryAfter = std::chrono::seconds(1);

} // namespace

// Non-idempotent work needs a claim on its key before it is sent.
Task<Outcome>
DispatchService::ServeAtMostOnce(RequestContext& aContext)
{
  std::optional<Ticket> ticket = ParseTicket(aContext.mRequest.mKey);
  if (ticket) {
    Outcome outcome = co_await ServeTicket(aContext, std::move(*ticket));
    co_return outcome;
  }
  bool fromCaller = aContext.mOrigin == RequestOrigin::Caller;
  if (fromCaller && !aContext.mPool.HasServers()) {
    std::string node =
      mPeers->FindPeerWithCapacity({}, aContext.mRequest.mPool);
    if (!node.empty()) {
      Outcome outcome = co_await ForwardTo(std::move(node), aContext.mRequest);
      co_return outcome;
    }
  }
  Outcome outcome = co_await RunWithClaim(aContext, mTableClaims.get());
  co_return outcome;
}

// Only the node incarnation that issued a ticket knows whether it was used.
// Once that has ended, the outcome stays unknown.
Task<Outcome>
DispatchService::ServeTicket(RequestContext& aContext, Ticket aTicket)
{
  const NodeIdentity& self = mMembers->Self();
  if (aTicket.mNode == self.mNode &&
      aTicket.mIncarnation == self.mIncarnation) {
    Outcome outcome = co_await RunWithClaim(aContext, mTicketClaims.get());
    co_return outcome;
  }
  bool mayForward =
    aContext.mOrigin == RequestOrigin::Caller && mPeers->IsLive(aTicket.mNode);
  if (!mayForward) {
    co_return Unknown{};
  }
  Outcome outcome = co_await ForwardTo(aTicket.mNode, aContext.mRequest);
  co_return outcome;
}

// Follows the claim of a key through its states until there is an outcome.
Task<Outcome>
DispatchService::RunWithClaim(RequestContext& aContext, ClaimStore aStore)
{
  Clock& clock = mKernel.GetClock();
  const Request& request = aContext.mRequest;
  Incarnation self = mMembers->Self().mIncarnation;
  AttemptId last{};
  bool released = false;
  for (int i = 0; i < kMaxClaimSteps && clock.Now() < request.mDeadline; ++i) {
    TimePoint from = clock.Now();
    TimePoint deadline = std::min(request.mDeadline, from + kClaimTimeout);
    auto loaded = co_await LoadClaim(aStore, request.mKey, deadline);
    RecordSpan(request, "claim", from, request.mKey);
    if (!Ok(loaded)) {
      // Without the claim it isn't known whether the key has run before, so
      // NotRun might be wrong.
      co_return Unknown{ last };
    }
    VersionedClaim current = std::get<VersionedClaim>(std::move(loaded));
    std::optional<Claim> claim;
    if (current.mClaim) {
      claim = current.mClaim->mClaim;
      last = claim->mAttempt;
    }
    released = !claim || claim->mState == ClaimState::Released;
    ClaimStep step = NextStep(claim, self);
    if (auto* replay = std::get_if<ReplayOutcome>(&step)) {
      co_return std::move(replay->mOutcome);
    }
    std::optional<Outcome> outcome;
    auto* join = std::get_if<JoinAttempt>(&step);
    if (std::holds_alternative<StartAttempt>(step)) {
      outcome = co_await ClaimAndRun(aContext, aStore, current);
    } else if (join != nullptr && mRunningAttempts.contains(join->mAttempt)) {
      outcome = co_await AwaitAttempt(join->mAttempt, request.mDeadline);
    } else {
      outcome = co_await ResolveOtherAttempt(aContext, aStore, current);
    }
    if (outcome) {
      co_return std::move(*outcome);
    }
  }
  if (released) {
    co_return NotRun{ NotRunReason::DeadlineExceeded, kStoreRetryAfter };
  }
  co_return Unknown{ last };
}

// Claims the key for a new attempt and runs it. No value means that another
// node changed the claim first or a server rejected the attempt: the claim is
// read again.
Task<std::optional<Outcome>>
DispatchService::ClaimAndRun(RequestContext& aContext,
                             ClaimStore aStore,
                             VersionedClaim& aCurrent)
{
  Clock& clock = mKernel.GetClock();
  const Request& request = aContext.mRequest;
  SlotRequest wanted{ aContext.mLane,
                      request.mDeadline,
                      aContext.mTriedServers };
  auto granted = co_await aContext.mPool.Acquire(wanted, aContext.mCaller);
  if (auto* refused = std::get_if<NotRun>(&granted)) {
    co_return Outcome(*refused);
  }
  Slot slot = std::get<Slot>(std::move(granted));
  const ServerEntry& entry = aContext.mPool.Server(slot.Server());
  AttemptId attempt = NewAttemptId();
  StoredClaim stored{
    mMembers->Self().mDataCentre,
    { ClaimState::Started, attempt, entry.mVm, entry.mIncarnation, false, {} }
  };
  Endpoint endpoint = entry.mEndpoint;
  TimePoint deadline = std::min(request.mDeadline, clock.Now() + kClaimTimeout);
  TimePoint from = clock.Now();
  auto saved = co_await SaveClaim(
    aStore, request.mKey, stored, aCurrent.mRevision, deadline);
  RecordSpan(request, "claim", from, request.mKey);
  if (!Ok(saved)) {
    // The attempt was not sent and its id is never reused, so even if the claim
    // was stored, its attempt can only be sealed.
    if (std::holds_alternative<CommitConflict>(std::get<Failure>(saved))) {
      co_return std::nullopt;
    }
    co_return Outcome(
      NotRun{ NotRunReason::PlatformUnavailable, kStoreRetryAfter });
  }
  Revision revision = std::get<Revision>(saved);
  auto running = std::make_shared<RunningAttempt>(mKernel.Context());
  mRunningAttempts[attempt] = running;
  // Only a job is stopped through its caller: a lost connection doesn't mean
  // that non-idempotent work, such as an invoice, is unwanted.
  if (aContext.mOrigin == RequestOrigin::Job) {
    aContext.mCaller.SetDisconnectHandler([this, endpoint, attempt] {
      mTasks.Spawn("cancel", CancelAttempt(endpoint, attempt));
    });
  }
  AttemptResult result = co_await RunAttempt(aContext, slot, attempt);
  Claim claim = ApplyOutcome(stored.mClaim, result.mOutcome);
  if (claim.mState == ClaimState::Started) {
    claim =
      co_await ResolveAttempt(std::move(claim), endpoint, request.mDeadline);
  }
  slot = Slot();
  stored.mClaim = claim;
  if (claim.mState == ClaimState::Finished) {
    running->mOutcome = OutcomeOf(claim);
  } else if (claim.mState == ClaimState::Released) {
    running->mOutcome = NotRun{ NotRunReason::NoCapacity, kStoreRetryAfter };
  } else {
    running->mOutcome = Unknown{ attempt };
  }
  Outcome outcome = *running->mOutcome;
  running->mDone.NotifyAll();
  mRunningAttempts.erase(attempt);
  if (claim.mState == ClaimState::Started) {
    co_return outcome;
  }
  if (claim.mState == ClaimState::Released) {
    // The next attempt replaces this one in the claim. Another node may have
    // replaced it already, so without the store the outcome is unknown.
    aContext.mTriedServers.push_back(result.mServer);
    TimePoint saveBy = clock.Now() + kClaimTimeout;
    auto saved =
      co_await SaveClaim(aStore, request.mKey, stored, revision, saveBy);
    bool known = Ok(saved) || std::holds_alternative<CommitConflict>(
                                std::get<Failure>(saved));
    if (known) {
      co_return std::nullopt;
    }
    co_return Outcome(Unknown{ attempt });
  }
  mTasks.Spawn("claim finish",
               FinishClaim(aStore, request.mKey, std::move(stored), revision));
  co_return outcome;
}

// The caller gets its answer before the claim is saved as finished. Until then,
// a repeat of the key gets the answer from the server.
Task<void>
DispatchService::FinishClaim(ClaimStore aStore,
                             std::string aKey,
                             StoredClaim aClaim,
                             Revision aAt)
{
  TimePoint deadline = mKernel.GetClock().Now() + kFinishTimeout;
  auto saved =
    co_await SaveClaim(aStore, aKey, std::move(aClaim), aAt, deadline);
  if (!Ok(saved)) {
    LogWarn(kPart,
            "could not save the finished claim {}: {}",
            aKey,
            Describe(std::get<Failure>(saved)));
  }
}

Task<Outcome>
DispatchService::AwaitAttempt(AttemptId aAttempt, TimePoint aDeadline)
{
  Clock& clock = mKernel.GetClock();
  std::shared_ptr<RunningAttempt> running = mRunningAttempts.at(aAttempt);
  Watchdog deadlineTimer(
    clock, aDeadline, [running] { running->mDone.NotifyAll(); });
  while (!running->mOutcome && !deadlineTimer.Fired()) {
    co_await running->mDone.Wait();
  }
  co_return running->mOutcome ? *running->mOutcome
                              : Outcome(Unknown{ aAttempt });
}

// Resolves a claim whose attempt another process started. Servers of another
// data centre are reached only through that data centre's nodes.
Task<std::optional<Outcome>>
DispatchService::ResolveOtherAttempt(RequestContext& aContext,
                                     ClaimStore aStore,
                                     VersionedClaim& aCurrent)
{
  const Request& request = aContext.mRequest;
  StoredClaim stored = *aCurrent.mClaim;
  AttemptId attempt = stored.mClaim.mAttempt;
  if (stored.mDataCentre != mMembers->Self().mDataCentre) {
    std::string node = mPeers->FindPeerIn(stored.mDataCentre);
    if (node.empty() || aContext.mOrigin == RequestOrigin::Peer) {
      co_return Outcome(Unknown{ attempt });
    }
    Outcome outcome = co_await ForwardTo(std::move(node), request);
    co_return outcome;
  }
  // A live holder has sent its attempt by the end of this period. If the claim
  // has changed meanwhile, it is read again.
  Clock& clock = mKernel.GetClock();
  co_await clock.Sleep(kHolderGracePeriod);
  auto loaded =
    co_await LoadClaim(aStore, request.mKey, clock.Now() + kClaimTimeout);
  if (!Ok(loaded)) {
    co_return Outcome(Unknown{ attempt });
  }
  if (std::get<VersionedClaim>(loaded).mRevision != aCurrent.mRevision) {
    co_return std::nullopt;
  }
  Endpoint endpoint = EndpointOf(stored.mClaim.mVm);
  Claim claim =
    co_await ResolveAttempt(stored.mClaim, endpoint, request.mDeadline);
  if (claim.mState == ClaimState::Started) {
    co_return Outcome(Unknown{ attempt });
  }
  stored.mClaim = claim;
  if (claim.mState == ClaimState::Finished) {
    Outcome outcome = OutcomeOf(claim);
    mTasks.Spawn(
      "claim finish",
      FinishClaim(aStore, request.mKey, std::move(stored), aCurrent.mRevision));
    co_return outcome;
  }
  // Released: the next iteration starts a new attempt.
  TimePoint deadline =
    std::min(request.mDeadline, mKernel.GetClock().Now() + kClaimTimeout);
  co_await SaveClaim(
    aStore, request.mKey, std::move(stored), aCurrent.mRevision, deadline);
  co_return std::nullopt;
}

bool
DispatchService::IsVmGone(std::string_view aVm) const
{
  const Row* row =
    mTable->View().Find(VmKey(mMembers->Self().mDataCentre, aVm));
  if (row == nullptr) {
    return true;
  }
  auto vm = ToExpected<VmOwnership>([&] { return DecodeVm(row->mValue); });
  return Ok(vm) && (std::get<VmOwnership>(vm).mState == VmState::Lost ||
                    std::get<VmOwnership>(vm).mState == VmState::Retired);
}

// Queries the server until the attempt's outcome is known or the deadline has
// passed. The query seals an attempt that hasn't started: the server rejects it
// from then on.
Task<Claim>
DispatchService::ResolveAttempt(Claim aClaim,
                                Endpoint aServer,
                                TimePoint aDeadline)
{
  Clock& clock = mKernel.GetClock();
  mKernel.GetMetrics().GetCounter("attempts_settled_total").Add();
  Duration retryInterval = kMinSealRetryInterval;
  TimePoint lastAnswer = clock.Now();
  while (clock.Now() < aDeadline && !aServer.mHost.empty()) {
    TimePoint callDeadline = std::min(aDeadline, clock.Now() + kSealTimeout);
    BackendCall call = SealTask{ aClaim.mAttempt };
    auto reply =
      co_await CallBackend(mBackends, aServer, std::move(call), callDeadline);
    if (Ok(reply)) {
      lastAnswer = clock.Now();
      const auto& answer = std::get<SealAnswer>(std::get<BackendReply>(reply));
      aClaim = ApplySeal(aClaim, answer);
      // Sealed is final: the attempt is released, or the server has restarted
      // and can never tell.
      if (answer.mState == SealAnswer::State::Sealed) {
        break;
      }
    }
    bool silent = clock.Now() - lastAnswer >= kServerSilenceTimeout;
    if (aClaim.mState != ClaimState::Started || silent ||
        IsVmGone(aClaim.mVm)) {
      break;
    }
    co_await clock.Sleep(std::min(
      retryInterval, std::max(aDeadline - clock.Now(), Duration::zero())));
    retryInterval = std::min(retryInterval * 2, kMaxSealRetryInterval);
  }
  co_return aClaim;
}

} // namespace buckthornshunt
