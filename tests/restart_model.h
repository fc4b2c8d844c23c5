#ifndef BUCKTHORNSHUNT_TESTS_RESTART_MODEL_H
#define BUCKTHORNSHUNT_TESTS_RESTART_MODEL_H

#include "decide/cell.h"

#include <array>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace buckthornshunt::tests {

/// What may happen next to the worker that restarts, and to its cell's owner.
enum class RestartEvent : std::uint8_t
{
  /// Calls are carried out and answered.
  LinkUp,
  /// Calls get no answer and may be carried out later.
  LinkLate,
  /// Calls are carried out, and their answers are lost.
  LinkMute,
  /// The first attempt of a start gets no answer and may be carried out later;
  /// the second one is answered.
  LinkRepeat,
  /// Calls get lost.
  LinkCut,
  /// The process ends, and the next one starts under the same id.
  Restart,
  DirectoryReports,
  DirectoryDrops,
  /// A list of VMs of the last seconds shows the earlier process as ended.
  VmListReportsEnd,
  /// The next owner finds a free row.
  OwnerLost,
  OwnerHandsOver,
  /// An unanswered start is carried out.
  LateStart,
  /// The same by a process after the one that it was meant for.
  FormerLateStart,
  /// The unanswered renewal with the highest acknowledgement is carried out.
  LateRenewal,
  FormerLateRenewal,
  TaskEnds,
  /// Commits take effect and get no answer until CommitAnswered.
  CommitStalls,
  CommitAnswered,
  SecondJob,
  WaitShort,
  /// Longer than the lease that an owner asks for, and shorter than the longest
  /// one.
  WaitLease,
  Count
};

std::string_view
ToString(RestartEvent aEvent);

/// A cell with two workers, of which one restarts, and two jobs of one task
/// each. Events are applied one after another; after each of them the owner
/// renews leases, plans and commits. Copies share nothing.
class RestartModel
{
public:
  /// How long the owner has been in contact with the worker that restarts. One
  /// that is steady has started the first task with a second attempt.
  enum class Contact : std::uint8_t
  {
    New,
    Steady
  };

  explicit RestartModel(Contact aContact = Contact::New);

  bool CanApply(RestartEvent aEvent) const;
  void Apply(RestartEvent aEvent);
  /// Empty while no task has run twice.
  const std::string& Violation() const { return mViolation; }
  std::size_t Starts() const { return mStarts; }

private:
  enum class Link : std::uint8_t
  {
    Up,
    Late,
    Mute,
    Repeat,
    Cut
  };
  struct End
  {
    EndedRun mRun;
    /// The task was started again after this end, under a lease that holds.
    bool mStartedSince = false;
  };
  struct Process
  {
    Process(std::int64_t aBorn, TimePoint aStartedAt)
      : mBorn(aBorn)
      , mStartedAt(aStartedAt)
    {
    }

    std::int64_t mBorn;
    TimePoint mStartedAt;
    std::uint64_t mToken = 0;
    std::int64_t mLeaseEnd = 0;
    std::map<TaskId, std::uint64_t> mRuns;
    std::map<TaskId, std::uint64_t> mClosed;
    std::vector<End> mEnds;
    std::uint64_t mNextEnd = 1;
  };
  struct LateCall
  {
    WorkerCall mCall;
    std::int64_t mBorn = 0;
    TimePoint mSentAt;
  };

  Process& ProcessOf(std::string_view aWorker);
  std::int64_t Clock(const Process& aProcess) const;
  void Advance(Duration aBy);
  void Step();
  void Pass(Duration aTime);
  void Renew(std::string_view aWorker);
  void Send(const CellOrder& aOrder);
  void Commit();
  void Apply(const CellChanges& aChanges);
  void Report();
  void ChangeOwner(Duration aAfter);
  WorkerReply Execute(std::string_view aWorker, const WorkerCall& aCall);
  WorkerReply Start(std::string_view aWorker, const StartRun& aStart);
  WorkerReply Stop(Process& aProcess, const StopRun& aStop);
  WorkerReply List(Process& aProcess, const RenewLease& aRenewal);
  void EndRun(Process& aProcess, const TaskId& aTask, RunEnd aEnd);
  void ExtendLease(Process& aProcess, std::int64_t aEnd) const;
  std::vector<std::size_t> DueLateCalls(bool aStarts, bool aFormer) const;
  void ExecuteLate(bool aStart, bool aFormer);
  void Submit(std::string_view aId);
  void RecordViolation(std::string_view aWhat, const TaskId& aTask);

  TimePoint mNow{ std::chrono::seconds(1000) };
  WorkloadConfig mConfig;
  Cell mOwner;
  std::uint64_t mRevision = 1;
  std::uint32_t mTerm = 1;
  bool mDeposed = false;
  Link mLink = Link::Up;
  Process mRestarting;
  Process mOther;
  /// Incarnation in the directory; 0 if it lists none.
  std::int64_t mReported = 0;
  TimePoint mRestartedAt = TimePoint::min();
  std::vector<LateCall> mLate;
  bool mCommitsStall = false;
  /// Changes whose commit has taken effect without an answer.
  std::vector<CellChanges> mUnanswered;
  std::map<std::string, StoredJob> mJobRows;
  std::map<std::string, StoredProgress> mProgressRows;
  std::vector<WorkerAddress> mWorkerRow;
  std::set<TaskId> mDoneNoted;
  std::array<std::uint8_t, static_cast<std::size_t>(RestartEvent::Count)>
    mApplied{};
  std::size_t mStarts = 0;
  std::string mViolation;
};

} // namespace buckthornshunt::tests

#endif
