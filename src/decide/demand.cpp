#include "decide/demand.h"

#include <algorithm>
#include <cmath>

namespace buckthornshunt {

namespace {

/// Seconds over which each mean is taken: a fraction of a move's 1.5 s, and a
/// fraction of a turn of the demand.
constexpr std::array<double, 2> kOver = { 0.4, 1.5 };

} // namespace

void
DemandMeter::Note(double aCoreSeconds, TimePoint aNow)
{
  for (std::size_t i = 0; i < mMeans.size(); ++i) {
    double left = std::exp(-ToSeconds(aNow - mAt) / kOver[i]);
    double added = aCoreSeconds / kOver[i];
    mMeans[i].mSum = mMeans[i].mSum * left + added;
    mMeans[i].mSquares = mMeans[i].mSquares * left * left + added * added;
  }
  mAt = aNow;
}

DemandLevel
DemandMeter::At(TimePoint aNow) const
{
  DemandLevel level;
  for (std::size_t i = 0; i < mMeans.size(); ++i) {
    double left = std::exp(-ToSeconds(aNow - mAt) / kOver[i]);
    double mean = mMeans[i].mSum * left;
    double error = std::sqrt(mMeans[i].mSquares) * left;
    level.mLeast = std::max(level.mLeast, mean - error);
    // The last mean is the slowest.
    level.mMean = mean;
  }
  return level;
}

} // namespace buckthornshunt
