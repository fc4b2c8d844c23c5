#ifndef BUCKTHORNSHUNT_DECIDE_INTERFERENCE_H
#define BUCKTHORNSHUNT_DECIDE_INTERFERENCE_H

#include "buckthornshunt/time.h"

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace buckthornshunt {

/// A best-effort run beside a run that serves requests.
struct BestEffortNeighbour
{
  std::string_view mImage;
  /// Rate at which it works.
  int mRatePercent = 0;
};

/// Two images of which one slows the other down on the same worker.
struct InterferingPair
{
  std::string mServing;
  std::string mBestEffort;
  /// Mean tail latency as a fraction of its target: beside the other image, and
  /// without best-effort neighbours (0 if unknown).
  double mTailFraction = 0;
  double mAloneFraction = 0;
};

/// Learns which best-effort images slow down which serving images from the tail
/// latencies of these. What it has learnt fades within tens of seconds, as the
/// amounts change.
class InterferenceTable
{
public:
  /// Records the tail latency of a serving run, as a fraction of its target,
  /// with its worker's best-effort runs.
  void Record(std::string_view aServing,
              double aTailFraction,
              std::span<const BestEffortNeighbour> aNeighbours,
              TimePoint aNow);

  /// Whether the best-effort image is known to bring tail latencies of the
  /// serving image near their target or above.
  bool Interferes(std::string_view aServing,
                  std::string_view aBestEffort,
                  TimePoint aNow) const;

  /// Whether any pair interferes.
  bool Any(TimePoint aNow) const;

  /// Pairs that have begun to interfere since the last call.
  std::vector<InterferingPair> TakeNewPairs();

private:
  /// A mean over samples whose weights decay with time.
  struct Mean
  {
    double mSum = 0;
    double mWeight = 0;
    TimePoint mAt = TimePoint::min();

    void Add(double aValue, TimePoint aNow);
    double WeightAt(TimePoint aNow) const;
    double Value() const { return mWeight > 0 ? mSum / mWeight : 0; }
  };

  struct Pair
  {
    Mean mTail;
    bool mReported = false;
  };

  using PairKey = std::pair<std::string, std::string>;

  bool IsInterfering(const PairKey& aKey,
                     const Pair& aPair,
                     TimePoint aNow) const;

  std::map<std::string, Mean, std::less<>> mAlone;
  std::map<PairKey, Pair> mPairs;
  std::vector<InterferingPair> mNewPairs;
};

} // namespace buckthornshunt

#endif
