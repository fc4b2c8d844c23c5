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

/// One run of a task, as the server itself saw it.
struct TaskRunRecord
{
  std::string mToken;
  std::string mVm;
  std::string mPool;
  std::string mAnswer;
  TimePoint mStarted;
  bool mFinished = false;
};

/// What all servers of a test ran.
using TaskRunLog = std::vector<TaskRunRecord>;

/// Faults of a server, to be set by tests.
struct ServerFaults
{
  /// Connections are refused.
  bool mRefuseConnections = false;
  /// Calls arrive and are never answered.
  bool mSilent = false;
  /// Answers of this many next runs never arrive, on connections that stay
  /// open; other calls are answered.
  int mUnansweredRuns = 0;
  /// Every task fails.
  bool mFailAll = false;
  /// Answers of this many next runs are lost after the work was done.
  int mLoseAnswers = 0;
  /// Data centres whose nodes can't reach the server.
  std::set<std::string, std::less<>> mUnreachableFrom;
};

/// What a task's body asks for, in JSON; any other body runs at once.
struct SimulatedTask
{
  std::string mToken;
  Duration mRun{};
  bool mFail = false;
};

SimulatedTask
ParseSimulatedTask(std::string_view aBody);

/// Answer that a whole run of a token gives.
std::string
AnswerFor(std::string_view aToken);

/// A backend server with slots. Attempts are remembered until it restarts.
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
  std::uint64_t GetIncarnation() const { return mIncarnation; }

  /// Takes no new work from now on.
  void Drain() { mDraining = true; }

  /// Forgets every attempt, as after a restart; what ran is lost.
  void Restart();

private:
  struct Attempt
  {
    bool mSealed = false;
    bool mFinished = false;
    bool mFailed = false;
    bool mCancelled = false;
    std::string mAnswer;
    /// Wakes the task of a running attempt.
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

/// Servers by endpoint, as the nodes of a process reach them.
using ServerMap = std::map<Endpoint, std::shared_ptr<BackendServer>>;

/// A port by which a node of a data centre in this process calls servers.
///
/// What a server runs goes on in aTasks when the node that asked is gone.
Backends
MakeBackendPort(ServerMap& aServers,
                TaskGroup& aTasks,
                Clock& aClock,
                std::string_view aDataCentre);

} // namespace buckthornshunt::standins

#endif
