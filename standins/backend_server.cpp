#include "standins/backend_server.h"

#include "wire/json_fields.h"

#include <algorithm>
#include <utility>

namespace buckthornshunt::standins {

namespace {

leaf::result<WorkOrder>
ReadWorkOrder(std::string_view aBody)
{
  WorkOrder order;
  BOOST_LEAF_AUTO(json, ParseJson(aBody));
  BOOST_LEAF_ASSIGN(order.mToken, ReadString(json, "token"));
  BOOST_LEAF_AUTO(millis, ReadUnsigned(json, "run_ms"));
  order.mRun = std::chrono::milliseconds(millis);
  order.mFail = json.value("fail", false);
  return order;
}

} // namespace

WorkOrder
ParseWorkOrder(std::string_view aBody)
{
  auto order = ToExpected<WorkOrder>([&] { return ReadWorkOrder(aBody); });
  if (Ok(order)) {
    return std::get<WorkOrder>(std::move(order));
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
                             WorkLog& aLog)
  : mContext(aContext)
  , mClock(aClock)
  , mVm(aVm)
  , mSlots(aSlots)
  , mLog(aLog)
{
}

ServerReport
BackendServer::Report() const
{
  return { mBoot, mSlots - mRunning };
}

void
BackendServer::Restart()
{
  ++mBoot;
  mRunning = 0;
  auto attempts = std::exchange(mAttempts, {});
  for (auto& [id, attempt] : attempts) {
    if (attempt.mWake) {
      attempt.mWake->NotifyAll();
    }
  }
}

// Waits for a task's time to pass, or for its cancellation or a restart.
Task<void>
BackendServer::Sleep(AttemptId aAttempt, Duration aFor)
{
  auto wake = std::make_shared<Event>(mContext);
  mAttempts[aAttempt].mWake = wake;
  Watchdog due(mClock, mClock.Now() + aFor, [wake] { wake->NotifyAll(); });
  auto waits = [&] {
    auto it = mAttempts.find(aAttempt);
    return it != mAttempts.end() && !it->second.mCancelled;
  };
  while (!due.Fired() && waits()) {
    co_await wake->Wait();
  }
}

// Runs a task unless its attempt was sealed or ran before. A restart while it
// sleeps loses it: the attempt isn't there any more afterwards.
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
  WorkOrder order = ParseWorkOrder(aTask.mBody);
  std::size_t record = mLog.size();
  mLog.push_back({ order.mToken, mVm, aTask.mPool, {}, mClock.Now(), false });
  ++mRunning;
  std::uint64_t boot = mBoot;
  if (order.mRun > Duration::zero()) {
    co_await Sleep(aTask.mAttempt, std::min(order.mRun, aTask.mLeaseDuration));
  }
  if (boot != mBoot) {
    co_return TaskRefused{ RefusalReason::Sealed, Report() };
  }
  --mRunning;
  Attempt& attempt = mAttempts[aTask.mAttempt];
  attempt.mFinished = true;
  attempt.mFailed = order.mFail || mFaults.mFailAll || attempt.mCancelled ||
                    order.mRun > aTask.mLeaseDuration;
  attempt.mAnswer = attempt.mFailed ? "failed" : AnswerFor(order.mToken);
  mLog[record].mFinished = !attempt.mFailed;
  mLog[record].mAnswer = attempt.mAnswer;
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
    answer.mServerIncarnation = mServer.mBoot;
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

/// A call that a server works on, and the answer once there is one.
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
Work(std::shared_ptr<BackendServer> aServer,
     BackendCall aCall,
     std::shared_ptr<PendingCall> aPending)
{
  BackendReply reply = co_await aServer->Handle(std::move(aCall));
  aPending->mReply = std::move(reply);
  aPending->mDone.NotifyAll();
}

/// A node's way to the servers of its process.
struct InProcessCaller
{
  ServerMap& mServers;
  TaskGroup& mTasks;
  Clock& mClock;
  std::string mDataCentre;
};

bool
Reachable(const InProcessCaller& aCaller, const Endpoint& aServer)
{
  auto it = aCaller.mServers.find(aServer);
  return it != aCaller.mServers.end() && !it->second->Faults().mDead &&
         !it->second->Faults().mCutOff.contains(aCaller.mDataCentre);
}

Task<Expected<BackendReply>>
CallInProcess(InProcessCaller aCaller,
              Endpoint aServer,
              BackendCall aCall,
              TimePoint aDeadline,
              CallControl* aControl)
{
  if (!Reachable(aCaller, aServer)) {
    co_return Failure(ConnectFailure{ aServer });
  }
  std::shared_ptr<BackendServer> server = aCaller.mServers.at(aServer);
  ServerFaults& faults = server->Faults();
  if (faults.mSilent) {
    co_await aCaller.mClock.SleepUntil(aDeadline);
    co_return Failure(TimeoutFailure{});
  }
  std::uint64_t boot = server->Boot();
  bool run = std::holds_alternative<RunTask>(aCall);
  bool silent = run && faults.mSilenceRuns > 0;
  faults.mSilenceRuns -= silent ? 1 : 0;
  auto pending = std::make_shared<PendingCall>(aCaller.mTasks.Context());
  aCaller.mTasks.Spawn("server", Work(server, std::move(aCall), pending));
  Watchdog late(
    aCaller.mClock, aDeadline, [pending] { pending->mDone.NotifyAll(); });
  bool aborted = false;
  if (aControl != nullptr) {
    aControl->SetAbortHandler([pending, &aborted] {
      aborted = true;
      pending->mDone.NotifyAll();
    });
  }
  while ((!pending->mReply || silent) && !late.Fired() && !aborted) {
    co_await pending->mDone.Wait();
  }
  if (aControl != nullptr) {
    aControl->SetAbortHandler(nullptr);
  }
  if (aborted) {
    co_return Failure(ConnectionLost{ aServer });
  }
  if (!pending->mReply || silent) {
    co_return Failure(TimeoutFailure{});
  }
  if (!Reachable(aCaller, aServer) || boot != server->Boot()) {
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
