#include "decide/run_times.h"

namespace buckthornshunt {

namespace {

// Weight that an operation's earlier runs keep after each new one.
constexpr double kKeep = 0.95;

// Share of long runs from which an operation counts as long. Rare stragglers
// of a short operation stay below it and are found by their age instead.
constexpr double kLongShare = 0.3;

// Weight of a new run in the mean of its class.
constexpr double kMeanWeight = 0.05;

} // namespace

WorkClass
RunTimes::Classify(std::string_view aOperation) const
{
  auto it = mOperations.find(aOperation);
  if (it == mOperations.end()) {
    return WorkClass::Short;
  }
  const Shares& seen = it->second;
  bool isLong = seen.mLong > kLongShare * (seen.mShort + seen.mLong);
  return isLong ? WorkClass::Long : WorkClass::Short;
}

void
RunTimes::Record(std::string_view aOperation, Duration aRan)
{
  auto it = mOperations.find(aOperation);
  if (it == mOperations.end()) {
    it = mOperations.emplace(std::string(aOperation), Shares{}).first;
  }
  Shares& seen = it->second;
  seen.mShort *= kKeep;
  seen.mLong *= kKeep;
  bool isLong = aRan > mLongAfter;
  (isLong ? seen.mLong : seen.mShort) += 1;

  double& mean = mMeanSeconds[isLong ? 1 : 0];
  double ran = ToSeconds(aRan);
  mean = mean == 0 ? ran : mean + kMeanWeight * (ran - mean);
}

Duration
RunTimes::Mean(WorkClass aClass) const
{
  double seconds = mMeanSeconds[static_cast<std::size_t>(aClass)];
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(seconds));
}

} // namespace buckthornshunt
