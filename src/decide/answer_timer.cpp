#include "decide/answer_timer.h"

#include <algorithm>

namespace buckthornshunt {

namespace {

/// Weights of a new answer, and the deviations that a timeout allows, as in
/// TCP's retransmission timer (RFC 6298).
constexpr int kMeanDivisor = 8;
constexpr int kDeviationDivisor = 4;
constexpr int kAllowedDeviations = 4;
constexpr int kMaxBackoff = 64;

} // namespace

void
AnswerTimer::OnAnswer(Duration aTook)
{
  mBackoff = 1;
  if (!mMean) {
    mMean = aTook;
    mDeviation = aTook / 2;
    return;
  }
  Duration error = aTook - *mMean;
  Duration distance = std::max(error, -error);
  mDeviation += (distance - mDeviation) / kDeviationDivisor;
  *mMean += error / kMeanDivisor;
}

void
AnswerTimer::OnTimeout()
{
  mBackoff = std::min(2 * mBackoff, kMaxBackoff);
}

Duration
AnswerTimer::UsualTimeout() const
{
  Duration timeout =
    mMean ? *mMean + kAllowedDeviations * mDeviation : mBounds.mInitial;
  return std::clamp(timeout, mBounds.mMin, mBounds.mMax);
}

Duration
AnswerTimer::Timeout() const
{
  return std::min(mBackoff * UsualTimeout(), mBounds.mMax);
}

} // namespace buckthornshunt
