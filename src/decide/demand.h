#ifndef BUCKTHORNSHUNT_DECIDE_DEMAND_H
#define BUCKTHORNSHUNT_DECIDE_DEMAND_H

#include "buckthornshunt/time.h"

#include <array>

namespace buckthornshunt {

/// Cores that callers ask for.
struct DemandLevel
{
  /// What the arrivals surely support.
  double mLeast = 0;
  /// Mean over the last seconds.
  double mMean = 0;
};

/// Measures the work that callers ask for. Answers demand that rises within a
/// moment to several times its mean: a quick mean shows the rise, a slow one
/// bridges the gaps between jobs. A single large job supports no demand, as
/// its error is as large as itself.
class DemandMeter
{
public:
  void Note(double aCoreSeconds, TimePoint aNow);
  DemandLevel At(TimePoint aNow) const;

private:
  /// A decaying sum and the sum of its squares.
  struct Mean
  {
    double mSum = 0;
    double mSquares = 0;
  };

  std::array<Mean, 2> mMeans;
  TimePoint mAt;
};

} // namespace buckthornshunt

#endif
