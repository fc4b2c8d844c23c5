#ifndef BUCKTHORNSHUNT_DECIDE_FLEET_PLAN_H
#define BUCKTHORNSHUNT_DECIDE_FLEET_PLAN_H

#include "buckthornshunt/workload.h"
#include "decide/cell_owner.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace buckthornshunt {

/// A worker that a cell still holds though the directory no longer lists it.
struct UnlistedWorker
{
  /// VM that it ran on; empty if that isn't known.
  std::string mVm;
  /// Start of its last known life; 0 if that isn't known.
  std::int64_t mBorn = 0;

  friend bool operator==(const UnlistedWorker&,
                         const UnlistedWorker&) = default;
};

/// What the owner of a pool's cell reports of one worker.
struct WorkerUse
{
  /// Runs that are, or may be, on it.
  std::uint32_t mRuns = 0;
  /// Some of them last.
  bool mLasting = false;
  /// Nothing new starts on it, and that is recorded.
  bool mSealed = false;
  std::optional<UnlistedWorker> mUnlisted;
};

/// What the owner of a pool's cell reports of the pool.
struct PoolUse
{
  /// Cores held by tasks that end by themselves.
  double mBusyCores = 0;
  /// Cores of such tasks that could start if there were room.
  double mWaitingCores = 0;
  /// Cores that callers ask for, let in or not: what several arrivals support,
  /// and the mean over the last seconds.
  double mAskedSupported = 0;
  double mAskedMean = 0;
  /// Cores held by tasks that last.
  double mLastingCores = 0;
  /// Fewest VMs on which the jobs' limits of tasks on one VM can be kept.
  std::uint32_t mLeastVms = 0;
  std::map<std::string, WorkerUse, std::less<>> mWorkers;
  TimePoint mAt;
};

/// Why a VM is to leave its pool for a while or for good.
struct FleetIntent
{
  /// Pool to move to; empty for maintenance.
  std::string mToPool;
  /// Wave of the maintenance; 0 for a move.
  std::uint64_t mWave = 0;
  /// The order was sent; it may have been carried out.
  bool mOrdered = false;
  /// The platform has confirmed the order.
  bool mConfirmed = false;
  TimePoint mSince;
  TimePoint mConfirmedAt;
  /// Worker on the VM when the intent was made.
  std::string mWorker;
};

struct WaveProgress
{
  WaveOrder mOrder;
  TimePoint mSeen;
  std::set<std::string, std::less<>> mDone;
  bool mCompleted = false;
};

/// Everything that a plan of the fleet is made from.
struct FleetView
{
  TimePoint mNow;
  std::vector<PoolVm> mVms;
  std::map<std::string, PoolUse, std::less<>> mPools;
  std::map<std::uint64_t, WaveProgress> mWaves;
  std::map<std::string, FleetIntent, std::less<>> mIntents;
  std::vector<WorkerPoolConfig> mPoolConfigs;
  /// Pools with a cell, whether its owner has reported or not.
  std::set<std::string, std::less<>> mCells;
};

struct FleetPlanChange
{
  /// New intents, by VM.
  std::map<std::string, FleetIntent, std::less<>> mBegin;
  /// Intents to give up; they weren't ordered.
  std::vector<std::string> mDrop;
  /// Intents whose VM may go now: nothing runs on it and nothing will start.
  std::vector<std::string> mOrder;
  /// Waves that are done.
  std::vector<std::uint64_t> mCompleted;
};

double
CoresOf(const PoolVm& aVm);

/// Whether a worker's life is surely over, since the list of VMs, asked for at
/// aListed, shows its VM without it. aVm is the VM's entry, null if the list
/// doesn't have it, and aPool the worker's pool. Answers the loss of workers
/// and owners at the same time: what a dead worker ran need not wait for its
/// lease to end.
bool
ListShowsEnd(std::string_view aWorker,
             std::string_view aPool,
             const WorkerIncarnation& aLife,
             const PoolVm* aVm,
             TimePoint aListed);

/// Cores that a pool surely needs for what callers ask for; below this it
/// takes VMs in. A single large job is no demand.
double
NeededCores(const PoolUse& aUse);

/// Cores that a pool may need; what it has beyond this it gives away.
double
KeptCores(const PoolUse& aUse);

/// Decides which VMs are maintained, moved or switched off next. Answers
/// demand that rises in one pool at a time to several times its mean: VMs that
/// run nothing follow the demand, and VMs that nobody needs are switched off.
FleetPlanChange
PlanFleet(const FleetView& aView);

} // namespace buckthornshunt

#endif
