#ifndef BUCKTHORNSHUNT_DECIDE_ANSWER_TIMER_H
#define BUCKTHORNSHUNT_DECIDE_ANSWER_TIMER_H

#include "buckthornshunt/time.h"

#include <optional>

namespace buckthornshunt {

/// Sets how long to wait for a server's answer before it is taken for lost,
/// from how long its answers take. A lost answer then costs a few usual ones,
/// and a slow server isn't asked twice.
class AnswerTimer
{
public:
  struct Bounds
  {
    Duration mMin;
    Duration mMax;
    /// Timeout before the first answer.
    Duration mInitial;
  };

  explicit AnswerTimer(const Bounds& aBounds)
    : mBounds(aBounds)
  {
  }

  void OnAnswer(Duration aTook);
  /// An answer came that doesn't tell how long answers take.
  void OnUntimedAnswer() { mBackoff = 1; }
  /// No answer came within the timeout.
  void OnTimeout();
  Duration Timeout() const;
  /// The same without the time-outs in a row.
  Duration UsualTimeout() const;

private:
  Bounds mBounds;
  /// Smoothed time of an answer, and its smoothed deviation.
  std::optional<Duration> mMean;
  Duration mDeviation{};
  /// Factor of the timeout, doubled by each in a row.
  int mBackoff = 1;
};

} // namespace buckthornshunt

#endif
