#ifndef BUCKTHORNSHUNT_PORTS_BACKEND_CALLS_H
#define BUCKTHORNSHUNT_PORTS_BACKEND_CALLS_H

#include "buckthornshunt/types.h"
#include "decide/claim.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace buckthornshunt {

/// Asks a backend server to run work; the answer comes when it ended.
struct RunTask
{
  AttemptId mAttempt;
  std::string mPool;
  std::string mOperation;
  /// The server stops the task after this time.
  Duration mLeaseDuration{};
  std::string mBody;
};

/// Asks what became of an attempt, and forbids it to start from now on.
struct SealTask
{
  AttemptId mAttempt;
};

/// Asks to stop an attempt whose answer nobody waits for.
struct CancelTask
{
  AttemptId mAttempt;
};

struct ProbeServer
{};

using BackendCall = std::variant<RunTask, SealTask, CancelTask, ProbeServer>;

/// A server's state as it says in each answer.
struct ServerReport
{
  /// Number of the server's run; changes when it restarts.
  std::uint64_t mIncarnation = 0;
  int mFreeSlots = 0;
};

/// The work ended; the body was checked against its digest.
struct TaskEnded
{
  AttemptId mAttempt;
  bool mFailed = false;
  std::string mBody;
  ServerReport mReport;
};

/// Why a server did not start a task.
enum class RefusalReason : std::uint8_t
{
  Full,
  Sealed,
  Draining
};

std::string_view
ToString(RefusalReason aReason);

bool
ParseRefusalReason(std::string_view aText, RefusalReason& aReason);

/// The server did not start the task and never will.
struct TaskRefused
{
  RefusalReason mReason = RefusalReason::Full;
  ServerReport mReport;
};

struct TaskCancelled
{};

struct ServerHealth
{
  ServerReport mReport;
  bool mDraining = false;
};

using BackendReply =
  std::variant<TaskEnded, TaskRefused, SealAnswer, TaskCancelled, ServerHealth>;

} // namespace buckthornshunt

#endif
