#ifndef BUCKTHORNSHUNT_PORTS_WORKER_CALLS_H
#define BUCKTHORNSHUNT_PORTS_WORKER_CALLS_H

#include "buckthornshunt/failure.h"
#include "buckthornshunt/workload.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace buckthornshunt {

/// Number that orders the owners of a cell; workers ignore lower ones.
enum class FencingToken : std::uint64_t
{
};

/// Where a worker is, and which of its lives is meant.
struct WorkerAddress
{
  std::string mId;
  Endpoint mEndpoint;
  /// VM that it runs on; empty if that isn't known.
  std::string mVm = {};
};

/// Starts a run of a task, or confirms one that is there.
struct StartRun
{
  TaskId mTask;
  std::uint64_t mRun = 0;
  std::string mPayload;
  /// End of the lease, on the worker's clock in milliseconds.
  std::int64_t mLeaseExpiry = 0;
  FencingToken mToken{};
  std::string mCheckpoint;
  std::string mTicket;
};

/// Stops a run; a run that isn't there can't start any more afterwards.
struct StopRun
{
  TaskId mTask;
  std::uint64_t mRun = 0;
  FencingToken mToken{};
};

/// Sets the share of full speed at which a run works.
struct ThrottleRun
{
  TaskId mTask;
  std::uint64_t mRun = 0;
  int mSpeedPercent = 0;
  FencingToken mToken{};
};

/// Extends the lease of everything on the worker and asks what is there.
struct RenewLease
{
  FencingToken mToken{};
  /// Ends up to this position are committed and may be forgotten.
  std::uint64_t mAcknowledgedSequence = 0;
  /// New end of the lease; none leaves it as it is.
  std::optional<std::int64_t> mLeaseExpiry;
  /// Time that the answer may wait for an end.
  Duration mMaxWait{};
};

/// Asks the advice service which workers may run a step.
struct RequestAdvice
{
  /// Any task of the step.
  TaskId mStep;
  std::vector<std::string> mWorkers;
};

using WorkerCall =
  std::variant<StartRun, StopRun, ThrottleRun, RenewLease, RequestAdvice>;

/// The order was carried out.
struct OrderDone
{
  std::int64_t mClockMs = 0;
};

/// The order was refused; nothing was done.
struct OrderRefused
{
  StartRefusal mReason = StartRefusal::Rejected;
  std::int64_t mClockMs = 0;
};

/// Another life of a worker answered.
struct IncarnationMismatch
{};

/// Workers that may run the step, each with its ticket.
struct Advice
{
  std::map<std::string, std::string, std::less<>> mTickets;
};

using WorkerReply = std::
  variant<OrderDone, OrderRefused, IncarnationMismatch, WorkerStatus, Advice>;

/// Asks for one page of the list of VMs.
struct ListPoolVms
{
  std::string mPageToken;
};

/// Moves a VM to another pool; ends everything on it.
struct MoveVmToPool
{
  std::string mVm;
  std::string mPool;
  std::string mLeaseHolder;
  FencingToken mToken{};
};

/// Takes a VM down for its maintenance within a wave.
struct MaintainVm
{
  std::string mVm;
  std::uint64_t mWave = 0;
  std::string mLeaseHolder;
  FencingToken mToken{};
};

using MachineCall = std::variant<ListPoolVms, MoveVmToPool, MaintainVm>;

struct PoolVmPage
{
  std::vector<PoolVm> mVms;
  /// Empty after the last page.
  std::string mNextPageToken;
};

/// The operation has begun, or was done already.
struct MachineOperationStarted
{};

enum class MachineRefusal : std::uint8_t
{
  Fenced,
  Busy,
  NotInWave,
  NoSuchVm
};

struct MachineOperationRefused
{
  MachineRefusal mReason = MachineRefusal::Busy;
};

using MachineReply =
  std::variant<PoolVmPage, MachineOperationStarted, MachineOperationRefused>;

} // namespace buckthornshunt

#endif
