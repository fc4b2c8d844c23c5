#include "services/cell_activity.h"

#include "kernel/log.h"

#include <algorithm>

namespace buckthornshunt {

namespace {

constexpr Duration kLogInterval = std::chrono::seconds(1);

std::int64_t
ToMicros(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::microseconds>(aDuration)
    .count();
}

} // namespace

void
CellActivity::Sample::Add(Duration aValue)
{
  ++mCount;
  mSum += aValue;
  mWorst = std::max(mWorst, aValue);
}

Duration
CellActivity::Sample::Mean() const
{
  return mCount == 0 ? Duration::zero()
                     : mSum / static_cast<std::int64_t>(mCount);
}

CellActivity::CellActivity(Metrics& aMetrics)
  : mRenewalPauses(aMetrics.GetHistogram("cell_renewal_pause"))
  , mStoreWaits(aMetrics.GetHistogram("cell_store_wait"))
  , mPlanGaps(aMetrics.GetHistogram("cell_plan_gap"))
  , mSilences(aMetrics.GetHistogram("cell_worker_silence"))
  , mOrderTimes(aMetrics.GetHistogram("cell_order"))
{
}

void
CellActivity::OnRenewal(Duration aPause, std::size_t aEnds)
{
  mRenewalPauses.Record(aPause);
  mRenewals.Add(aPause);
  mEnds += aEnds;
}

void
CellActivity::OnSilence(Duration aSilence)
{
  mSilences.Record(aSilence);
  mSilent.Add(aSilence);
}

void
CellActivity::OnOrder(Duration aWait, Duration aTook, bool aAnswered)
{
  mOrderTimes.Record(aWait + aTook);
  mOrderWaits.Add(aWait);
  if (aAnswered) {
    mAnswered.Add(aTook);
  } else {
    ++mUnanswered;
  }
}

void
CellActivity::OnJobStored(Duration aWait)
{
  mStoreWaits.Record(aWait);
  mStored.Add(aWait);
}

void
CellActivity::OnCommit(Duration aTook, std::size_t aRows, std::size_t aLeft)
{
  mCommits.Add(aTook);
  mRows += aRows;
  mMostLeft = std::max(mMostLeft, aLeft);
}

void
CellActivity::OnPlan(Duration aTook, Duration aGap, std::size_t aOrders)
{
  mPlanGaps.Record(aGap);
  mPlans.Add(aTook);
  mGaps.Add(aGap);
  mOrders += aOrders;
}

void
CellActivity::Log(std::string_view aPool,
                  int aWorkersInUse,
                  double aSpacing,
                  const TimerDelays& aDelays,
                  TimePoint aNow)
{
  if (aNow < mLoggedAt + kLogInterval) {
    return;
  }
  if (mOrders + mEnds + mRows > 0) {
    LogInfo(
      "cell",
      "pool={} activity in_use={} spacing={} queue_delay_us={} renewals={} "
      "renewal_pause_ms={} ends={} commits={} rows={} left_jobs={} "
      "commit_ms={} stored={} store_wait_ms={} worst_store_wait_ms={} "
      "plans={} plan_ms={} plan_gap_ms={} worst_plan_gap_ms={} orders={} "
      "order_wait_ms={} worst_order_wait_ms={} answer_ms={} "
      "worst_answer_ms={} unanswered={} lost_attempts={} silent={} "
      "silence_ms={} worst_silence_ms={}",
      aPool,
      aWorkersInUse,
      aSpacing,
      ToMicros(aDelays.MeanSince(mDelays)),
      mRenewals.mCount,
      ToMillis(mRenewals.Mean()),
      mEnds,
      mCommits.mCount,
      mRows,
      mMostLeft,
      ToMillis(mCommits.Mean()),
      mStored.mCount,
      ToMillis(mStored.Mean()),
      ToMillis(mStored.mWorst),
      mPlans.mCount,
      ToMillis(mPlans.Mean()),
      ToMillis(mGaps.Mean()),
      ToMillis(mGaps.mWorst),
      mOrders,
      ToMillis(mOrderWaits.Mean()),
      ToMillis(mOrderWaits.mWorst),
      ToMillis(mAnswered.Mean()),
      ToMillis(mAnswered.mWorst),
      mUnanswered,
      mLostAttempts,
      mSilent.mCount,
      ToMillis(mSilent.Mean()),
      ToMillis(mSilent.mWorst));
  }
  mRenewals = mStored = mCommits = mPlans = mGaps = Sample{};
  mSilent = mOrderWaits = mAnswered = Sample{};
  mEnds = mRows = mMostLeft = mOrders = mUnanswered = mLostAttempts = 0;
  mDelays = aDelays;
  mLoggedAt = aNow;
}

} // namespace buckthornshunt
