#include "decide/run_times.h"

#include <algorithm>

namespace buckthornshunt {

namespace {

// Factor by which an operation's earlier runs decay with each new one.
constexpr double kOperationDecay = 0.95;

// Share of long runs above which an operation counts as long. Rare stragglers
// of a short operation stay below it and are detected by their age instead.
constexpr double kLongShareThreshold = 0.3;

// Weight of a new run in the mean of its class.
constexpr double kMeanWeight = 0.05;

} // namespace

WorkClass
RunTimes::Classify(std::string_view aOperation, Duration aDeclared) const
{
  auto it = mOperations.find(aOperation);
  if (it == mOperations.end()) {
    return aDeclared > mLongThreshold ? WorkClass::Long : WorkClass::Short;
  }
  const ClassWeights& weights = it->second;
  bool isLong =
    weights.mLong > kLongShareThreshold * (weights.mShort + weights.mLong);
  return isLong ? WorkClass::Long : WorkClass::Short;
}

// Earlier runs decay, so that a change in an operation's run times is learnt.
RunTimes::ClassWeights&
RunTimes::DecayWeights(std::string_view aOperation)
{
  auto it = mOperations.find(aOperation);
  if (it == mOperations.end()) {
    it = mOperations.emplace(std::string(aOperation), ClassWeights{}).first;
  }
  it->second.mShort *= kOperationDecay;
  it->second.mLong *= kOperationDecay;
  return it->second;
}

// A run counts as long once it exceeds the threshold; waiting for its end would
// admit more runs of the operation as short work.
void
RunTimes::RecordOverThreshold(std::string_view aOperation)
{
  DecayWeights(aOperation).mLong += 1;
}

void
RunTimes::Record(std::string_view aOperation, Duration aRunTime)
{
  bool isLong = aRunTime > mLongThreshold;
  if (!isLong) {
    DecayWeights(aOperation).mShort += 1;
  }
  double& mean = mMeanSeconds[isLong ? 1 : 0];
  double runTime = ToSeconds(aRunTime);
  mean = mean == 0 ? runTime : mean + kMeanWeight * (runTime - mean);
}

Duration
RunTimes::Mean(WorkClass aClass) const
{
  double seconds = mMeanSeconds[static_cast<std::size_t>(aClass)];
  if (aClass == WorkClass::Long) {
    seconds = std::max(seconds, ToSeconds(mLongThreshold));
  }
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(seconds));
}

} // namespace buckthornshunt
