#ifndef BUCKTHORNSHUNT_TESTS_BUSY_OWNER_H
#define BUCKTHORNSHUNT_TESTS_BUSY_OWNER_H

#include "fake_store.h"
#include "kernel/kernel.h"
#include "services/cell_service.h"
#include "tests/loopback_ports.h"

#include <map>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornshunt::tests {

/// Answers of workers that are lost.
struct AnswerLosses
{
  /// Orders and renewals that get no answer, of a thousand, and are carried out
  /// 2 to 12 s later.
  std::uint32_t mCarriedOutLate = 0;
  /// Those that get none, of a thousand, and are carried out at once.
  std::uint32_t mCarriedOut = 0;
  /// Until a start is carried out late, the worker refuses it for want of room.
  bool mRefuseRepeats = false;
};

/// Workers of which each holds a renewal until a run ends, as documented.
class BusyWorkers
{
public:
  BusyWorkers(asio::io_context& aContext,
              ManualClock& aManual,
              Clock& aClock,
              Duration aCallCost);

  Workers Port();

  AnswerLosses mLosses;
  /// Time from the last end of a step to each start of the next one.
  std::vector<Duration> mDelays;
  /// Runs of a task that has another one, or is done.
  int mSecondRuns = 0;
  /// Starts that were refused for want of room.
  int mRefusedStarts = 0;

private:
  struct Worker
  {
    explicit Worker(asio::io_context& aContext)
      : mEnded(aContext)
    {
    }
    std::map<TaskId, std::uint64_t> mRuns;
    /// Highest run of each task that was stopped or has ended.
    std::map<TaskId, std::uint64_t> mPast;
    std::vector<EndedRun> mEnds;
    std::uint64_t mLastEnd = 0;
    Event mEnded;
  };

  Worker& Find(std::string_view aId);
  WorkerReply Start(Worker& aWorker, const StartRun& aStart);
  WorkerReply Stop(Worker& aWorker, const StopRun& aStop);
  void End(Worker& aWorker,
           const TaskId& aTask,
           std::uint64_t aRun,
           RunEnd aEnd);
  WorkerReply CarryOut(Worker& aWorker, const WorkerCall& aCall);
  Task<Expected<WorkerReply>> Call(std::string aId,
                                   WorkerCall aCall,
                                   TimePoint aDeadline);

  asio::io_context& mContext;
  ManualClock& mManual;
  Clock& mClock;
  Duration mCallCost;
  std::mt19937_64 mRandom{ 7 };
  std::map<std::string, Worker, std::less<>> mWorkers;
  std::map<std::string, TimePoint> mStepEndedAt;
  std::set<TaskId> mActive;
  std::set<TaskId> mDone;
  /// Starts that are still to be carried out late.
  std::set<std::pair<TaskId, std::uint64_t>> mLateStarts;
};

/// A node that owns one cell, and callers that keep the cell full.
class BusyOwner
{
public:
  BusyOwner(int aWorkers, Duration aCallCost);
  ~BusyOwner();
  BusyOwner(const BusyOwner&) = delete;
  BusyOwner& operator=(const BusyOwner&) = delete;

  /// Submits a job each aInterval for aDuration; stores the waits for replies.
  void SubmitFor(Duration aDuration, Duration aInterval);

  BusyWorkers& AllWorkers() { return mBusyWorkers; }
  std::span<const Duration> StepDelays() const { return mBusyWorkers.mDelays; }

  std::vector<Duration> mWaits;
  int mNotAccepted = 0;

private:
  Task<void> SubmitOne();
  void WriteRows(int aWorkers);

  asio::io_context mContext;
  ManualClock mManual;
  Clock mClock;
  FakeStore mFake;
  Store mStore;
  LoopbackPorts mPorts;
  BusyWorkers mBusyWorkers;
  Workers mWorkers;
  Kernel mKernel;
  CellService* mCells = nullptr;
  int mNextJob = 0;
};

/// Half of what a job of two steps may take beyond its tasks' run times, on a
/// site whose objective allows 0.6 s.
constexpr Duration kMaxStepDelay = std::chrono::milliseconds(300);

Duration
Mean(std::span<const Duration> aValues);

/// The least value that at least aShare of the values don't exceed.
Duration
Quantile(std::span<const Duration> aValues, double aShare);

} // namespace buckthornshunt::tests

#endif
