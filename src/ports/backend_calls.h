#ifndef BUCKTHORNSHUNT_PORTS_BACKEND_CALLS_H
#define BUCKTHORNSHUNT_PORTS_BACKEND_CALLS_H

#include "buckthornshunt/types.h"
#include "decide/claim.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace buckthornshunt {

/// Runs work at a backend server; the reply arrives when the work has ended.
struct RunTask
{
  AttemptId mAttempt;
  std::string mPool;
  std::string mOperation;
  /// Time after which the server stops the task.
  Duration mLeaseDuration{};
  std::string mBody;
};

/// Queries the state of an attempt and prevents it from starting later.
struct SealTask
{
  AttemptId mAttempt;
};

/// Stops an attempt whose result is no longer needed.
struct CancelTask
{
  AttemptId mAttempt;
};

struct ProbeServer
{};

using BackendCall = std::variant<RunTask, SealTask, CancelTask, ProbeServer>;

/// A server's state, sent with each of its replies.
struct ServerReport
{
  /// Number of the server's process lifetime; changes when it restarts.
  std::uint64_t mIncarnation = 0;
  int mFreeSlots = 0;
};

/// The work ended; the body has been verified against its digest.
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
