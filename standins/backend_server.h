#ifndef BUCKTHORNSHUNT_STANDINS_BACKEND_SERVER_H
#define BUCKTHORNSHUNT_STANDINS_BACKEND_SERVER_H

#include "kernel/clock.h"
#include "ports/backend.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornshunt::standins {

/// One run of a task, as recorded by the server that ran it.
struct TaskRunRecord
{
  std::string mToken;
  std::string mVm;
  std::string mPool;
  std::string mAnswer;
  TimePoint mStarted;
  bool mFinished = false;
};

/// Runs at all servers that share the log, in the order of their starts.
using TaskRunLog = std::vector<TaskRunRecord>;

/// Faults that a test injects into a server.
struct ServerFaults
{
  /// Connections are refused.
  bool mRefuseConnections = false;
  /// Calls are dropped unprocessed; each times out at its deadline.
  bool mSilent = false;
  /// Number of next runs whose answers never arrive although the connection
  /// stays open; other calls are answered.
  int mUnansweredRuns = 0;
  /// Every task runs and then fails.
  bool mFailAll = false;
  /// Number of next runs whose connection is lost after the task has ended.
  int mLoseAnswers = 0;
  /// Data centres whose nodes can't connect to the server.
  std::set<std::string, std::less<>> mUnreachableFrom;
};

/// A task as its JSON body describes it: `token`, `run_ms` in milliseconds and
/// an optional `fail`.
struct SimulatedTask
{
  std::string mToken;
  Duration mRun{};
  bool mFail = false;
};

/// Parses a body. A body in any other form is a task of zero run time that
/// succeeds and has the body as its token.
SimulatedTask
ParseSimulatedTask(std::string_view aBody);

/// The answer of a successful run of the task with this token.
std::string
AnswerFor(std::string_view aToken);

/// A backend server with a fixed number of slots. It keeps the state of every
/// attempt until it restarts.
class BackendServer
{
public:
  BackendServer(asio::io_context& aContext,
                Clock& aClock,
                std::string_view aVm,
                int aSlots,
                TaskRunLog& aLog);

  Task<BackendReply> Handle(BackendCall aCall);

  ServerFaults& Faults() { return mFaults; }
  const std::string& Vm() const { return mVm; }
  int Running() const { return mRunning; }
  /// Counts from 1; each restart adds one.
  std::uint64_t GetIncarnation() const { return mIncarnation; }

  /// Refuses new tasks from now on; running tasks finish.
  void Drain() { mDraining = true; }

  /// Discards every attempt, running ones included, and starts a new
  /// incarnation.
  void Restart();

private:
  struct Attempt
  {
    bool mSealed = false;
    bool mFinished = false;
    bool mFailed = false;
    bool mCancelled = false;
    std::string mAnswer;
    /// Notified when a running attempt is cancelled or lost in a restart.
    std::shared_ptr<Event> mWake;
  };

  struct Handler;

  Task<BackendReply> Run(RunTask aTask);
  ServerReport Report() const;

  Task<void> AwaitRunEnd(AttemptId aAttempt, Duration aFor);

  asio::io_context& mContext;
  Clock& mClock;
  std::string mVm;
  int mSlots;
  TaskRunLog& mRunLog;
  ServerFaults mFaults;
  std::uint64_t mIncarnation = 1;
  int mRunning = 0;
  bool mDraining = false;
  std::map<AttemptId, Attempt> mAttempts;
};

/// The servers that the nodes of this process can call, by endpoint.
using ServerMap = std::map<Endpoint, std::shared_ptr<BackendServer>>;

/// Creates the port through which a node of the given data centre calls the
/// servers in this process.
///
/// Calls are processed in aTasks, so a run continues after its caller's node
/// has ended. Calls fail with ConnectFailure, ConnectionLost or TimeoutFailure.
Backends
MakeBackendPort(ServerMap& aServers,
                TaskGroup& aTasks,
                Clock& aClock,
                std::string_view aDataCentre);

} // namespace buckthornshunt::standins

#endif
