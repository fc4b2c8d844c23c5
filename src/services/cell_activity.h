#ifndef BUCKTHORNSHUNT_SERVICES_CELL_ACTIVITY_H
#define BUCKTHORNSHUNT_SERVICES_CELL_ACTIVITY_H

#include "kernel/clock.h"
#include "kernel/metrics.h"

#include <cstddef>
#include <string_view>

namespace buckthornshunt {

/// What an owner does for its cell, and how late: one log line a second while
/// there is something to tell, and histograms.
class CellActivity
{
public:
  explicit CellActivity(Metrics& aMetrics);

  /// A worker in use was asked after aPause without a request in flight.
  void OnRenewal(Duration aPause, std::size_t aEnds);
  /// A worker in use answered aSilence after it was first asked in vain.
  void OnSilence(Duration aSilence);
  /// One attempt of a renewal or an order had no answer.
  void OnAttemptLost() { ++mLostAttempts; }
  /// An order left its queue aWait after its decision, and its outcome was
  /// known, or given up, aTook later.
  void OnOrder(Duration aWait, Duration aTook, bool aAnswered);
  /// A new job was stored after its submission had waited for aWait.
  void OnJobStored(Duration aWait);
  /// A commit took aTook; aLeft jobs have changes for the next ones.
  void OnCommit(Duration aTook, std::size_t aRows, std::size_t aLeft);
  /// A planning pass took aTook, and began aGap after the one before.
  void OnPlan(Duration aTook, Duration aGap, std::size_t aOrders);

  /// Logs what has been noted since the last line.
  void Log(std::string_view aPool,
           int aWorkersInUse,
           double aSpacing,
           const TimerDelays& aDelays,
           TimePoint aNow);

private:
  struct Sample
  {
    std::size_t mCount = 0;
    Duration mSum{};
    Duration mWorst{};

    void Add(Duration aValue);
    Duration Mean() const;
  };

  LatencyHistogram& mRenewalPauses;
  LatencyHistogram& mStoreWaits;
  LatencyHistogram& mPlanGaps;
  LatencyHistogram& mSilences;
  LatencyHistogram& mOrderTimes;
  Sample mRenewals;
  Sample mStored;
  Sample mCommits;
  Sample mPlans;
  Sample mGaps;
  Sample mSilent;
  Sample mOrderWaits;
  Sample mAnswered;
  std::size_t mUnanswered = 0;
  std::size_t mLostAttempts = 0;
  std::size_t mEnds = 0;
  std::size_t mRows = 0;
  std::size_t mMostLeft = 0;
  std::size_t mOrders = 0;
  TimerDelays mDelays;
  TimePoint mLoggedAt;
};

} // namespace buckthornshunt

#endif
