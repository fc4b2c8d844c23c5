#ifndef BUCKTHORNSHUNT_DECIDE_FLEET_PLAN_H
#define BUCKTHORNSHUNT_DECIDE_FLEET_PLAN_H

#include "buckthornshunt/workload.h"
#include "decide/cell_owner.h"
#include "decide/fleet_layout.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace buckthornshunt {

/// A worker that a cell still tracks but the directory no longer lists.
struct UnlistedWorker
{
  /// VM that it ran on; empty if unknown.
  std::string mVm;
  /// Start of its last known incarnation in Unix milliseconds; 0 if unknown.
  std::int64_t mIncarnationStart = 0;

  friend bool operator==(const UnlistedWorker&,
                         const UnlistedWorker&) = default;
};

/// One worker's usage, as reported by the owner of the pool's cell.
struct WorkerUsage
{
  /// Runs that are or may be on it, or that are to be started there.
  std::uint32_t mRuns = 0;
  /// Some of the runs are long-running.
  bool mHasLongRunning = false;
  /// No new run starts on it, and the cell's owner has committed that.
  bool mSealed = false;
  std::optional<UnlistedWorker> mUnlisted;
};

/// A cell's usage of its shard's part of a pool, as reported by its owner.
struct PoolUsage
{
  /// Cores held by tasks that aren't long-running.
  double mBusyCores = 0;
  /// Cores needed by such tasks that are ready but lack room.
  double mWaitingCores = 0;
  /// Demand of callers, whether admitted or rejected, as in DemandEstimate.
  double mForecastDemandCores = 0;
  double mMeanDemandCores = 0;
  /// Cores held by long-running tasks.
  double mLongRunningCores = 0;
  /// Additional VMs needed for long-running tasks that have no room.
  std::uint32_t mMissingVms = 0;
  /// Minimum VMs with which the jobs' limits on tasks per VM can be kept.
  std::uint32_t mMinVms = 0;
  std::map<std::string, WorkerUsage, std::less<>> mWorkers;
  TimePoint mReportedAt;
};

/// Planned move or maintenance of a VM.
struct FleetIntent
{
  /// Pool to move to; empty for maintenance.
  std::string mTargetPool;
  /// Number of the maintenance wave; 0 for a move.
  std::uint64_t mWave = 0;
  /// The order was sent and may have taken effect.
  bool mOrdered = false;
  /// The platform has confirmed the order.
  bool mConfirmed = false;
  TimePoint mCreatedAt;
  TimePoint mConfirmedAt;
  /// Worker on the VM when the intent was created.
  std::string mWorker;
};

struct WaveProgress
{
  /// None while the order hasn't been read: its progress is stored apart.
  std::optional<WaveOrder> mOrder;
  TimePoint mFirstSeen;
  std::set<std::string, std::less<>> mMaintainedVms;
  bool mCompleted = false;
};

/// Input of PlanFleet.
struct FleetView
{
  TimePoint mNow;
  FleetLayout mLayout;
  std::vector<PoolVm> mVms;
  /// The list has entries that don't tell their VM; a VM that isn't in mVms may
  /// be one of them.
  bool mHasUnnamedVms = false;
  /// By the name of the cell.
  std::map<std::string, PoolUsage, std::less<>> mUsages;
  std::map<std::uint64_t, WaveProgress> mWaves;
  std::map<std::string, FleetIntent, std::less<>> mIntents;
  std::vector<WorkerPoolConfig> mPoolConfigs;
  /// VMs that an earlier owner may have ordered; no move of theirs may be
  /// ordered yet.
  std::set<std::string, std::less<>> mHeldVms;
  /// Names of all cells, whether their owners have reported or not.
  std::set<std::string, std::less<>> mCells;
};

struct FleetPlan
{
  /// New intents, by VM.
  std::map<std::string, FleetIntent, std::less<>> mNewIntents;
  /// VMs whose intents are cancelled; their orders weren't sent.
  std::vector<std::string> mCancelledIntents;
  /// VMs whose orders may be sent: nothing runs on them and nothing will start.
  std::vector<std::string> mReadyVms;
  std::vector<std::uint64_t> mCompletedWaves;
};

double
CoresOf(const PoolVm& aVm);

/// Maximum age of what the list of VMs says by the time a cell hears of it.
constexpr Duration kMaxVmListAge = std::chrono::seconds(3);

/// Whether the list of VMs, requested at aListed, proves at aNow that a
/// worker's incarnation has ended. aVm is its VM's entry, null if the list has
/// none; aPool is the worker's pool. When workers and owners are lost together,
/// the runs of a dead worker then needn't wait for its lease to expire.
bool
ListProvesWorkerEnded(std::string_view aWorker,
                      std::string_view aPool,
                      const WorkerIncarnation& aIncarnation,
                      const PoolVm* aVm,
                      TimePoint aListed,
                      TimePoint aNow);

/// Whether the confirmed move of its VM has ended a worker's incarnation in
/// aPool.
bool
MoveProvesWorkerEnded(std::string_view aWorker,
                      std::string_view aPool,
                      const WorkerIncarnation& aIncarnation,
                      const FleetIntent& aIntent);

/// Workers of a shard on which nothing may start, since their VMs are to be
/// moved or maintained; aListed is when the list of VMs was requested.
std::vector<std::string>
WorkersToSeal(const FleetView& aView, std::uint32_t aShard, TimePoint aListed);

/// Cores that a pool needs for its demand; with fewer it takes VMs in. A single
/// large job doesn't count as demand.
double
GrowThresholdCores(const PoolUsage& aUse);

/// Cores that a pool may need; with more it gives VMs away.
double
ShrinkThresholdCores(const PoolUsage& aUse);

/// Decides which VMs are maintained, moved or switched off next. Demand peaks
/// in one pool at a time, at several times its mean: idle VMs move to the pool
/// in its peak, and VMs that no pool needs are switched off. Each shard is
/// planned for by itself, except that a wave's limit holds for all of them.
FleetPlan
PlanFleet(const FleetView& aView);

} // namespace buckthornshunt

#endif
