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

/// Increases with each owner of a cell; workers reject orders with a lower
/// token than they have seen.
enum class FencingToken : std::uint64_t
{
};

/// Address of a worker; mId also identifies the incarnation that must reply.
struct WorkerAddress
{
  std::string mId;
  Endpoint mEndpoint;
  /// VM that the worker runs on; empty if unknown.
  std::string mVm = {};
  /// As WorkerReport::mIncarnation; 0 if unknown.
  std::int64_t mIncarnation = 0;
};

/// Starts a run of a task, or confirms a run that is present.
struct StartRun
{
  TaskId mTask;
  std::uint64_t mRun = 0;
  std::string mPayload;
  /// End of the lease in milliseconds on the worker's clock.
  std::int64_t mLeaseExpiry = 0;
  FencingToken mToken{};
  std::string mCheckpoint;
  std::string mTicket;
};

/// Stops a run; if the run isn't present, prevents it from starting later.
struct StopRun
{
  TaskId mTask;
  std::uint64_t mRun = 0;
  FencingToken mToken{};
};

/// Sets the speed of a run, in percent of full speed.
struct ThrottleRun
{
  TaskId mTask;
  std::uint64_t mRun = 0;
  int mSpeedPercent = 0;
  FencingToken mToken{};
};

/// Extends the lease of all runs on the worker and lists them.
struct RenewLease
{
  FencingToken mToken{};
  /// Ended runs up to this sequence number are committed; the worker may forget
  /// them.
  std::uint64_t mAcknowledgedSequence = 0;
  /// New end of the lease in milliseconds on the worker's clock; nullopt leaves
  /// it unchanged.
  std::optional<std::int64_t> mLeaseExpiry;
  /// Maximum time that the worker may delay its reply until a run ends.
  Duration mMaxWait{};
};

/// Requests from the advice service which workers may run a step.
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

/// The order was refused and had no effect.
struct OrderRefused
{
  StartRefusal mReason = StartRefusal::Rejected;
  std::int64_t mClockMs = 0;
};

/// Another incarnation of the worker replied.
struct IncarnationMismatch
{};

/// Tickets of the workers that may run the step, by worker id.
struct Advice
{
  std::map<std::string, std::string, std::less<>> mTickets;
  std::vector<MalformedEntry> mMalformed = {};
};

using WorkerReply = std::
  variant<OrderDone, OrderRefused, IncarnationMismatch, WorkerStatus, Advice>;

/// Reads one page of the list of VMs.
struct ListPoolVms
{
  std::string mPageToken;
};

/// Moves a VM to another pool; ends all runs on it.
struct MoveVmToPool
{
  std::string mVm;
  std::string mPool;
  std::string mLeaseHolder;
  FencingToken mToken{};
};

/// Takes a VM out of service for maintenance within a wave.
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
  /// Entries that can't be read. One that names its VM is in mVms as well, in
  /// an unknown state.
  std::vector<MalformedEntry> mMalformed = {};
};

/// The operation has begun or is already done.
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
