#ifndef BUCKTHORNSHUNT_DECIDE_RUN_TIMES_H
#define BUCKTHORNSHUNT_DECIDE_RUN_TIMES_H

#include "buckthornshunt/config.h"
#include "decide/placement.h"

#include <string_view>

namespace buckthornshunt {

/// Classifies operations as short or long by their observed run times. Declared
/// run times are often far off, so they count only until an operation's first
/// run is recorded.
class RunTimes
{
public:
  explicit RunTimes(Duration aLongThreshold)
    : mLongThreshold(aLongThreshold)
  {
  }

  /// Returns the class of the next run. aDeclared is the run time that the
  /// caller declared, zero if none.
  WorkClass Classify(std::string_view aOperation, Duration aDeclared) const;

  /// Records the run time of a finished run.
  void Record(std::string_view aOperation, Duration aRunTime);

  /// Records a run that has exceeded LongThreshold(); Record still follows.
  void RecordOverThreshold(std::string_view aOperation);

  /// Mean run time of the class; zero before the first run.
  Duration Mean(WorkClass aClass) const;

  Duration LongThreshold() const { return mLongThreshold; }

private:
  struct ClassWeights
  {
    double mShort = 0;
    double mLong = 0;
  };

  ClassWeights& DecayWeights(std::string_view aOperation);

  Duration mLongThreshold;
  NameMap<ClassWeights> mOperations;
  std::array<double, kWorkClasses> mMeanSeconds{};
};

} // namespace buckthornshunt

#endif
