#include "decide/interference.h"

#include <algorithm>
#include <cmath>

namespace buckthornshunt {

namespace {

/// Time in which the weight of a sample halves.
constexpr Duration kHalfLife = std::chrono::seconds(5);
/// Weight of samples from which a mean counts.
constexpr double kMinWeight = 2;
/// Tail latency, as a fraction of the target, from which a neighbour is harmful
/// at all.
constexpr double kHarmfulTailFraction = 0.8;
/// Least ratio to the tail latency without best-effort neighbours; below it
/// they aren't the cause.
constexpr double kMinRatioToAlone = 1.25;
/// A neighbour that is throttled below this rate shows nothing.
constexpr int kMinRatePercent = 50;
/// A run counts as alone beside neighbours that are throttled to this rate.
constexpr int kMaxIdleRatePercent = 5;
/// Bound on the number of pairs.
constexpr std::size_t kMaxPairs = 4096;

} // namespace

void
InterferenceTable::Mean::Add(double aValue, TimePoint aNow)
{
  double kept = WeightAt(aNow);
  mSum = (mWeight > 0 ? mSum / mWeight : 0) * kept + aValue;
  mWeight = kept + 1;
  mAt = aNow;
}

double
InterferenceTable::Mean::WeightAt(TimePoint aNow) const
{
  if (mWeight <= 0) {
    return 0;
  }
  return mWeight * std::exp2(-ToSeconds(aNow - mAt) / ToSeconds(kHalfLife));
}

// With neighbours of several images, each of them may be the cause; samples
// beside one of them alone tell them apart in the course of time.
void
InterferenceTable::Record(std::string_view aServing,
                          double aTailFraction,
                          std::span<const BestEffortNeighbour> aNeighbours,
                          TimePoint aNow)
{
  bool alone =
    std::all_of(aNeighbours.begin(), aNeighbours.end(), [](const auto& aAt) {
      return aAt.mRatePercent <= kMaxIdleRatePercent;
    });
  if (alone) {
    auto it = mAlone.find(aServing);
    if (it == mAlone.end()) {
      it = mAlone.emplace(std::string(aServing), Mean{}).first;
    }
    it->second.Add(aTailFraction, aNow);
    return;
  }
  for (const BestEffortNeighbour& neighbour : aNeighbours) {
    if (neighbour.mRatePercent < kMinRatePercent || neighbour.mImage.empty()) {
      continue;
    }
    PairKey key{ std::string(aServing), std::string(neighbour.mImage) };
    auto it = mPairs.find(key);
    if (it == mPairs.end() && mPairs.size() >= kMaxPairs) {
      std::erase_if(mPairs, [&](const auto& aEntry) {
        return aEntry.second.mTail.WeightAt(aNow) < 1;
      });
    }
    if (it == mPairs.end() && mPairs.size() >= kMaxPairs) {
      continue;
    }
    Pair& pair = mPairs[key];
    pair.mTail.Add(aTailFraction, aNow);
    bool interferes = IsInterfering(key, pair, aNow);
    if (interferes && !pair.mReported) {
      auto single = mAlone.find(aServing);
      mNewPairs.push_back(
        { key.first,
          key.second,
          pair.mTail.Value(),
          single == mAlone.end() ? 0 : single->second.Value() });
    }
    pair.mReported = interferes;
  }
}

bool
InterferenceTable::IsInterfering(const PairKey& aKey,
                                 const Pair& aPair,
                                 TimePoint aNow) const
{
  bool known = aPair.mTail.WeightAt(aNow) >= kMinWeight;
  double tail = aPair.mTail.Value();
  auto single = mAlone.find(aKey.first);
  bool compared =
    single != mAlone.end() && single->second.WeightAt(aNow) >= kMinWeight;
  bool worse = !compared || tail >= kMinRatioToAlone * single->second.Value();
  return known && worse && tail >= kHarmfulTailFraction;
}

bool
InterferenceTable::Interferes(std::string_view aServing,
                              std::string_view aBestEffort,
                              TimePoint aNow) const
{
  PairKey key{ std::string(aServing), std::string(aBestEffort) };
  auto it = mPairs.find(key);
  return it != mPairs.end() && IsInterfering(key, it->second, aNow);
}

bool
InterferenceTable::Any(TimePoint aNow) const
{
  return std::any_of(mPairs.begin(), mPairs.end(), [&](const auto& aEntry) {
    return IsInterfering(aEntry.first, aEntry.second, aNow);
  });
}

std::vector<InterferingPair>
InterferenceTable::TakeNewPairs()
{
  return std::exchange(mNewPairs, {});
}

} // namespace buckthornshunt
