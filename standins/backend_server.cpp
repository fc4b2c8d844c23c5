#include "standins/backend_server.h"

#include "wire/json_fields.h"

#include <algorithm>
#include <utility>

namespace buckthornshunt::standins {

namespace {

leaf::result<SimulatedTask>
ReadSimulatedTask(std::string_view aBody)
{
  SimulatedTask simulated;
  BOOST_LEAF_AUTO(json, ParseJson(aBody));
  BOOST_LEAF_ASSIGN(simulated.mToken, ReadString(json, "token"));
  BOOST_LEAF_AUTO(runMs, ReadUnsigned(json, "run_ms"));
  simulated.mRun = std::chrono::milliseconds(runMs);
  simulated.mFail = json.value("fail", false);
  return simulated;
}

} // namespace

SimulatedTask
ParseSimulatedTask(std::string_view aBody)
{
  auto simulated =
    ToExpected<SimulatedTask>([&] { return ReadSimulatedTask(aBody); });
  if (Ok(simulated)) {
    return std::get<SimulatedTask>(std::move(simulated));
  }
  return { std::string(aBody), Duration::zero(), false };
}

std::string
AnswerFor(std::string_view aToken)
{
  return "answer to " + std::string(aToken);
}

BackendServer::BackendServer(asio::io_context& aContext,
                             Clock& aClock,
                             std::string_view aVm,
                             int aSlots,
                             TaskRunLog& aLog)
  : mContext(aContext)
  , mClock(aClock)
  , mVm(aVm)
  , mSlots(aSlots)
  , mRunLog(aLog)
{
}

ServerReport
BackendServer::Report() const
{
  return { mIncarnation, mSlots - mRunning };
}

void
BackendServer::Restart()
{
  ++mIncarnation;
  mRunning = 0;
  auto attempts = std::exchange(mAttempts, {});
  for (auto& [id, attempt] : attempts) {
    if (attempt.mWake) {
      attempt.mWake->NotifyAll();
    }
  }
}

// Waits until the run time has passed, the attempt is cancelled or the server
// restarts.
Task<void>
BackendServer::AwaitRunEnd(AttemptId aAttempt, Duration aFor)
{
  auto wake = std::make_shared<Event>(mContext);
  mAttempts[aAttempt].mWake = wake;
  Watchdog runTimer(mClock, mClock.Now() + aFor, [wake] { wake->NotifyAll(); });
  auto active = [&] {
    auto it = mAttempts.find(aAttempt);
    return it != mAttempts.end() && !it->second.mCancelled;
  };
  while (!runTimer.Fired() && active()) {
    co_await wake->Wait();
  }
}

// Runs a task unless its attempt is sealed or has been started before. A
// restart during the run discards the attempt, so its state must not be read
// or written afterwards; the change of incarnation shows this.
Task<BackendReply>
BackendServer::Run(RunTask aTask)
{
  auto [it, fresh] = mAttempts.try_emplace(aTask.mAttempt);
  if (!fresh) {
    co_return TaskRefused{ RefusalReason::Sealed, Report() };
  }
  if (mDraining || mRunning >= mSlots) {
    mAttempts.erase(it);
    RefusalReason reason =
      mDraining ? RefusalReason::Draining : RefusalReason::Full;
    co_return TaskRefused{ reason, Report() };
  }
  SimulatedTask simulated = ParseSimulatedTask(aTask.mBody);
  std::size_t record = mRunLog.size();
  mRunLog.push_back(
    { simulated.mToken, mVm, aTask.mPool, {}, mClock.Now(), false });
  ++mRunning;
  std::uint64_t incarnation = mIncarnation;
  if (simulated.mRun > Duration::zero()) {
    co_await AwaitRunEnd(aTask.mAttempt,
                         std::min(simulated.mRun, aTask.mLeaseDuration));
  }
  if (incarnation != mIncarnation) {
    co_return TaskRefused{ RefusalReason::Sealed, Report() };
  }
  --mRunning;
  Attempt& attempt = mAttempts[aTask.mAttempt];
  attempt.mFinished = true;
  attempt.mFailed = simulated.mFail || mFaults.mFailAll || attempt.mCancelled ||
                    simulated.mRun > aTask.mLeaseDuration;
  attempt.mAnswer = attempt.mFailed ? "failed" : AnswerFor(simulated.mToken);
  mRunLog[record].mFinished = !attempt.mFailed;
  mRunLog[record].mAnswer = attempt.mAnswer;
  co_return TaskEnded{
    aTask.mAttempt, attempt.mFailed, attempt.mAnswer, Report()
  };
}

struct BackendServer::Handler
{
  BackendServer& mServer;

  Task<BackendReply> operator()(RunTask& aCall) const
  {
    auto reply = co_await mServer.Run(std::move(aCall));
    co_return reply;
  }
  Task<BackendReply> operator()(SealTask& aCall) const
  {
    auto [it, fresh] = mServer.mAttempts.try_emplace(aCall.mAttempt);
    Attempt& attempt = it->second;
    attempt.mSealed = attempt.mSealed || fresh;
    SealAnswer answer;
    answer.mServerIncarnation = mServer.mIncarnation;
    answer.mFailed = attempt.mFailed;
    answer.mAnswer = attempt.mAnswer;
    if (!attempt.mSealed) {
      answer.mState = attempt.mFinished ? SealAnswer::State::Finished
                                        : SealAnswer::State::Running;
    }
    co_return answer;
  }
  Task<BackendReply> operator()(CancelTask& aCall) const
  {
    auto it = mServer.mAttempts.find(aCall.mAttempt);
    if (it != mServer.mAttempts.end() && it->second.mWake) {
      it->second.mCancelled = true;
      it->second.mWake->NotifyAll();
    }
    co_return TaskCancelled{};
  }
  Task<BackendReply> operator()(ProbeServer&) const
  {
    co_return ServerHealth{ mServer.Report(), mServer.mDraining };
  }
};

Task<BackendReply>
BackendServer::Handle(BackendCall aCall)
{
  auto reply = co_await std::visit(Handler{ *this }, aCall);
  co_return reply;
}

namespace {

/// A call in progress at a server, and its reply when it has ended.
struct PendingCall
{
  explicit PendingCall(asio::io_context& aContext)
    : mDone(aContext)
  {
  }

  std::optional<BackendReply> mReply;
  Event mDone;
};

Task<void>
ServeCall(std::shared_ptr<BackendServer> aServer,
          BackendCall aCall,
          std::shared_ptr<PendingCall> aPending)
{
  BackendReply reply = co_await aServer->Handle(std::move(aCall));
  aPending->mReply = std::move(reply);
  aPending->mDone.NotifyAll();
}

/// Calls the servers of this process on behalf of a node.
struct InProcessCaller
{
  ServerMap& mServers;
  TaskGroup& mTasks;
  Clock& mClock;
  std::string mDataCentre;
};

bool
IsReachable(const InProcessCaller& aCaller, const Endpoint& aServer)
{
  auto it = aCaller.mServers.find(aServer);
  return it != aCaller.mServers.end() &&
         !it->second->Faults().mRefuseConnections &&
         !it->second->Faults().mUnreachableFrom.contains(aCaller.mDataCentre);
}

Task<Expected<BackendReply>>
CallInProcess(InProcessCaller aCaller,
              Endpoint aServer,
              BackendCall aCall,
              TimePoint aDeadline,
              CallControl* aControl)
{
  if (!IsReachable(aCaller, aServer)) {
    co_return Failure(ConnectFailure{ aServer });
  }
  std::shared_ptr<BackendServer> server = aCaller.mServers.at(aServer);
  ServerFaults& faults = server->Faults();
  if (faults.mSilent) {
    co_await aCaller.mClock.SleepUntil(aDeadline);
    co_return Failure(TimeoutFailure{});
  }
  std::uint64_t incarnation = server->GetIncarnation();
  bool run = std::holds_alternative<RunTask>(aCall);
  bool unanswered = run && faults.mUnansweredRuns > 0;
  faults.mUnansweredRuns -= unanswered ? 1 : 0;
  auto pending = std::make_shared<PendingCall>(aCaller.mTasks.Context());
  aCaller.mTasks.Spawn("server", ServeCall(server, std::move(aCall), pending));
  Watchdog deadlineTimer(
    aCaller.mClock, aDeadline, [pending] { pending->mDone.NotifyAll(); });
  bool aborted = false;
  if (aControl != nullptr) {
    aControl->SetAbortHandler([pending, &aborted] {
      aborted = true;
      pending->mDone.NotifyAll();
    });
  }
  while ((!pending->mReply || unanswered) && !deadlineTimer.Fired() &&
         !aborted) {
    co_await pending->mDone.Wait();
  }
  if (aControl != nullptr) {
    aControl->SetAbortHandler(nullptr);
  }
  if (aborted) {
    co_return Failure(ConnectionLost{ aServer });
  }
  if (!pending->mReply || unanswered) {
    co_return Failure(TimeoutFailure{});
  }
  if (!IsReachable(aCaller, aServer) ||
      incarnation != server->GetIncarnation()) {
    co_return Failure(ConnectionLost{ aServer });
  }
  if (run && faults.mLoseAnswers > 0) {
    --faults.mLoseAnswers;
    co_return Failure(ConnectionLost{ aServer });
  }
  co_return std::move(*pending->mReply);
}

} // namespace

Backends
MakeBackendPort(ServerMap& aServers,
                TaskGroup& aTasks,
                Clock& aClock,
                std::string_view aDataCentre)
{
  InProcessCaller caller{ aServers, aTasks, aClock, std::string(aDataCentre) };
  return InProcessBackends{ [caller](Endpoint aServer,
                                     BackendCall aCall,
                                     TimePoint aDeadline,
                                     CallControl* aControl) {
    return CallInProcess(
      caller, std::move(aServer), std::move(aCall), aDeadline, aControl);
  } };
}

} // namespace buckthornshunt::standins
