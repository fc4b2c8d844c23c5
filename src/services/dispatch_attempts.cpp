// DispatchService: execution of attempts.

#include "kernel/log.h"
#include "services/dispatch_service.h"
#include "services/member_service.h"
#include "services/peer_service.h"
#include "services/table_service.h"

#include <algorithm>
#include <utility>

namespace buckthornshunt {

namespace {

/// Work that fails at this many servers is taken to be at fault itself.
constexpr std::size_t kMaxFailedServers = 2;
constexpr int kMaxAttempts = 5;
/// Age at which the status of a run is first polled, and the poll interval.
constexpr Duration kStatusPollDelay = std::chrono::seconds(2);
constexpr Duration kStatusPollInterval = std::chrono::seconds(2);
constexpr Duration kAnswerGracePeriod = std::chrono::milliseconds(200);
constexpr Duration kSealTimeout = std::chrono::seconds(1);
constexpr Duration kCancelTimeout = std::chrono::seconds(1);
constexpr Duration kNoCapacityRetryAfter = std::chrono::seconds(1);

} // namespace

// Runs one attempt in a slot. Only a rejection by the server or a failure to
// connect proves that nothing ran.
Task<DispatchService::AttemptResult>
DispatchService::RunAttempt(RequestContext& aContext,
                            Slot& aSlot,
                            AttemptId aAttempt)
{
  Clock& clock = mKernel.GetClock();
  PoolRuntime& pool = aContext.mPool;
  const Request& request = aContext.mRequest;
  ServerIndex server = aSlot.Server();
  Endpoint endpoint = pool.Server(server).mEndpoint;
  std::string vm = pool.Server(server).mVm;
  TimePoint from = clock.Now();
  RunTask task{ aAttempt,
                request.mPool,
                request.mOperation,
                request.mDeadline - from,
                request.mBody };
  BackendCall call = std::move(task);
  Watchdog longRunTimer(clock, from + pool.LongAfter(), [&] {
    aSlot.MarkLong(request.mOperation);
  });
  auto run = std::make_shared<PolledRun>();
  run->mServer = endpoint;
  run->mAttempt = aAttempt;
  Watchdog statusPoll(clock, from + kStatusPollDelay, [this, run] {
    mTasks.Spawn("patrol", PollRunStatus(run));
  });
  auto reply = co_await CallBackend(
    mBackends, endpoint, std::move(call), request.mDeadline, &run->mControl);
  run->mFinished = true;
  RecordSpan(request, "backend", from, vm);
  if (!Ok(reply) && run->mAnswer) {
    reply = BackendReply(TaskEnded{ aAttempt,
                                    run->mAnswer->mFailed,
                                    std::move(run->mAnswer->mAnswer),
                                    { run->mAnswer->mServerIncarnation, 0 } });
  }

  AttemptResult result{ Unknown{ aAttempt }, server, false };
  if (!Ok(reply)) {
    bool neverSent =
      std::holds_alternative<ConnectFailure>(std::get<Failure>(reply));
    if (neverSent) {
      pool.RecordEvidence(server, RunResult::Unreachable);
      result.mOutcome =
        NotRun{ NotRunReason::NoCapacity, kNoCapacityRetryAfter };
      result.mRetryOnOtherServer = true;
    }
    co_return result;
  }
  BackendReply& answer = std::get<BackendReply>(reply);
  if (const auto* refused = std::get_if<TaskRefused>(&answer)) {
    pool.RecordReport(server, refused->mReport);
    if (refused->mReason == RefusalReason::Draining) {
      pool.MarkDraining(server);
    }
    if (refused->mReason == RefusalReason::Full) {
      pool.MarkFull(server);
    }
    result.mOutcome = NotRun{ NotRunReason::NoCapacity, kNoCapacityRetryAfter };
    result.mRetryOnOtherServer = refused->mReason != RefusalReason::Sealed;
    co_return result;
  }
  TaskEnded& ended = std::get<TaskEnded>(answer);
  pool.RecordReport(server, ended.mReport);
  pool.RecordEvidence(
    server, ended.mFailed ? RunResult::WorkFailed : RunResult::Succeeded);
  pool.RecordRunTime(request.mOperation, clock.Now() - from);
  if (ended.mFailed) {
    result.mOutcome = Failed{ std::move(ended.mBody), aAttempt };
  } else {
    result.mOutcome = Completed{ std::move(ended.mBody), aAttempt };
  }
  co_return result;
}

// Polls a server for the status of a run. If the run has ended but its answer
// hasn't arrived, the connection has gone silent: the call is aborted and the
// polled answer is used. This doesn't count against the server.
Task<void>
DispatchService::PollRunStatus(std::shared_ptr<PolledRun> aRun)
{
  Clock& clock = mKernel.GetClock();
  while (!aRun->mFinished) {
    BackendCall call = SealTask{ aRun->mAttempt };
    TimePoint deadline = clock.Now() + kSealTimeout;
    auto reply =
      co_await CallBackend(mBackends, aRun->mServer, std::move(call), deadline);
    const auto* answer =
      Ok(reply) ? std::get_if<SealAnswer>(&std::get<BackendReply>(reply))
                : nullptr;
    bool running =
      answer == nullptr || answer->mState == SealAnswer::State::Running;
    if (!running && !aRun->mFinished) {
      // The answer may still be in transit.
      co_await clock.Sleep(kAnswerGracePeriod);
    }
    if (!running && !aRun->mFinished) {
      mKernel.GetMetrics().GetCounter("silent_connections_total").Add();
      if (answer->mState == SealAnswer::State::Finished) {
        aRun->mAnswer = *answer;
      }
      aRun->mControl.Abort();
      co_return;
    }
    co_await clock.Sleep(kStatusPollInterval);
  }
}

// Retries idempotent work at other servers, within the deadline and the pool's
// retry budget. Work that fails at kMaxFailedServers servers is reported as
// failed.
Task<Outcome>
DispatchService::ServeIdempotent(RequestContext& aContext)
{
  PoolRuntime& pool = aContext.mPool;
  const Request& request = aContext.mRequest;
  CallerState& caller = aContext.mCaller;
  Outcome last = NotRun{ NotRunReason::NoCapacity, kNoCapacityRetryAfter };
  std::size_t failures = 0;
  for (int i = 0; i < kMaxAttempts; ++i) {
    bool forward =
      aContext.mOrigin == RequestOrigin::Caller && !pool.HasServers();
    std::string node =
      forward ? mPeers->FindPeerWithCapacity({}, request.mPool) : std::string();
    if (!node.empty()) {
      last = co_await ForwardTo(std::move(node), request);
      co_return last;
    }
    TimePoint from = mKernel.GetClock().Now();
    SlotRequest wanted{ aContext.mLane,
                        request.mDeadline,
                        aContext.mTriedServers };
    auto granted = co_await pool.Acquire(wanted, caller);
    RecordSpan(request, "wait", from, {});
    if (auto* refused = std::get_if<NotRun>(&granted)) {
      bool ranBefore = !std::holds_alternative<NotRun>(last);
      co_return ranBefore ? last : Outcome(*refused);
    }
    Slot slot = std::get<Slot>(std::move(granted));
    AttemptId attempt = NewAttemptId();
    Endpoint endpoint = pool.Server(slot.Server()).mEndpoint;
    caller.SetDisconnectHandler([this, endpoint, attempt] {
      mTasks.Spawn("cancel", CancelAttempt(endpoint, attempt));
    });
    AttemptResult result = co_await RunAttempt(aContext, slot, attempt);
    caller.SetDisconnectHandler(nullptr);
    aContext.mTriedServers.push_back(result.mServer);
    bool done = std::holds_alternative<Completed>(result.mOutcome);
    failures += std::holds_alternative<Failed>(result.mOutcome) ? 1 : 0;
    last = std::move(result.mOutcome);
    bool giveUp = failures >= kMaxFailedServers || caller.IsDisconnected() ||
                  mKernel.GetClock().Now() >= request.mDeadline;
    if (done || giveUp || !pool.Retries().TryTake()) {
      co_return last;
    }
    mKernel.GetMetrics().GetCounter("retries_total").Add();
  }
  co_return last;
}

Task<void>
DispatchService::CancelAttempt(Endpoint aServer, AttemptId aAttempt)
{
  TimePoint deadline = mKernel.GetClock().Now() + kCancelTimeout;
  BackendCall call = CancelTask{ aAttempt };
  co_await CallBackend(
    mBackends, std::move(aServer), std::move(call), deadline);
}

} // namespace buckthornshunt
