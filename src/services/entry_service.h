#ifndef BUCKTHORNSHUNT_SERVICES_ENTRY_SERVICE_H
#define BUCKTHORNSHUNT_SERVICES_ENTRY_SERVICE_H

#include "decide/fleet_layout.h"
#include "kernel/kernel.h"
#include "net/http_server.h"
#include "platform/caller_codec.h"
#include "wire/relay_codec.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornshunt {

class CellService;
class DirectoryService;
class OwnerService;
class RelayService;

/// Addresses on which the node serves callers, readiness checks and metrics.
struct EntryEndpoints
{
  Endpoint mCallers;
  Endpoint mReady;
  Endpoint mMetrics;
};

/// Answers callers of the platform: finds the queue, forwards the call to the
/// owner of the cell in the job's shard and returns the outcome.
class EntryService
{
public:
  static constexpr std::string_view kName = "entry";

  /// aMaxConfigAge bounds the age of the configuration by which keys are
  /// checked; none if there is no bound.
  EntryService(Kernel& aKernel,
               EntryEndpoints aEndpoints,
               std::optional<Duration> aMaxConfigAge = std::nullopt);

  leaf::result<void> Start();

  /// Serves callers until the load balancer has taken the node out, and answers
  /// every request by the deadline.
  Task<void> Drain(TimePoint aDeadline);

  /// Closes all connections.
  Task<void> Stop();

private:
  Task<HttpReply> ServeCaller(const HttpRequest& aRequest,
                              CallerState& aCaller);
  /// Finds the queue of a request, checks its key and decodes it; none if the
  /// request is refused with aReply.
  std::optional<platform::DecodedCall> Admit(const HttpRequest& aRequest,
                                             const WorkloadConfig& aConfig,
                                             HttpReply& aReply);
  Task<HttpReply> ServeReady(const HttpRequest& aRequest, CallerState& aCaller);
  Task<HttpReply> ServeMetrics(const HttpRequest& aRequest,
                               CallerState& aCaller);
  /// What has been done for a call so far.
  struct CallProgress
  {
    /// Calls to cells of this node, and calls sent to other nodes.
    int mLocalCalls = 0;
    int mRelayedCalls = 0;
    /// Waits for a cell to get an owner.
    int mOwnerWaits = 0;
    /// An owner without an answer may have handled the call.
    bool mMayHaveRun = false;
  };

  /// Calls to the earlier cells of the queue of one call.
  struct EarlierCells
  {
    /// The reply that settles the call, if there is one.
    std::optional<CallerReply> mReply;
    /// Jobs of the queue that wait in these cells.
    std::uint64_t mWaiting = 0;
  };

  /// By when all calls must be answered; the end of time unless the node stops.
  TimePoint AnswerDeadline() const;
  Task<CallerReply> Answer(CallerCall aCall,
                           TimePoint aDeadline,
                           CallProgress& aProgress);
  Task<CallerReply> AnswerInShard(CallerCall aCall,
                                  std::uint32_t aShard,
                                  TimePoint aDeadline,
                                  CallProgress& aProgress);
  Task<CallerReply> Route(CellId aCell,
                          CallerCall aCall,
                          TimePoint aDeadline,
                          CallProgress& aProgress);
  bool OwnersKnown(std::uint32_t aShard) const;
  /// Waits until the owner rows of all cells of the shard have been read; false
  /// if they haven't by aDeadline.
  Task<bool> AwaitOwners(std::uint32_t aShard, TimePoint aDeadline);
  std::vector<CellId> FindEarlierCells(std::string_view aQueue,
                                       const CellId& aCell) const;
  Task<EarlierCells> CallEarlierCells(CallerCall aCall,
                                      CellId aCell,
                                      TimePoint aDeadline,
                                      CallProgress& aProgress);
  Task<OwnerReply> CallOwner(std::string aCell,
                             CallerCall aCall,
                             TimePoint aDeadline,
                             CallProgress& aProgress);
  Task<CallerReply> CallOtherOwners(CellId aCell,
                                    CallerCall aCall,
                                    TimePoint aDeadline,
                                    CallProgress& aProgress);
  void LogReply(const CallerCall& aCall,
                const CallerReply& aReply,
                const CallProgress& aProgress,
                Duration aTook);

  Kernel& mKernel;
  EntryEndpoints mEndpoints;
  std::optional<Duration> mMaxConfigAge;
  DirectoryService* mDirectory = nullptr;
  OwnerService* mOwners = nullptr;
  RelayService* mRelay = nullptr;
  CellService* mCells = nullptr;
  std::unique_ptr<HttpServer> mCallers;
  std::unique_ptr<HttpServer> mReady;
  std::unique_ptr<HttpServer> mMetrics;
};

} // namespace buckthornshunt

#endif
