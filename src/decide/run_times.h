#ifndef BUCKTHORNSHUNT_DECIDE_RUN_TIMES_H
#define BUCKTHORNSHUNT_DECIDE_RUN_TIMES_H

#include "buckthornshunt/config.h"
#include "decide/placement.h"

#include <string_view>

namespace buckthornshunt {

/// Learns run times by operation and tells long work from short. Declared
/// sizes are often far from the truth; they count only until the first run of
/// an operation was seen.
class RunTimes
{
public:
  explicit RunTimes(Duration aLongThreshold)
    : mLongThreshold(aLongThreshold)
  {
  }

  /// Class of the next run. aDeclared is the caller's word, zero if it gave
  /// none.
  WorkClass Classify(std::string_view aOperation, Duration aDeclared) const;

  /// Adds the run time of a finished run.
  void Record(std::string_view aOperation, Duration aRunTime);

  /// Adds a run that goes on beyond LongAfter(); Record still follows.
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
