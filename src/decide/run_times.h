#ifndef BUCKTHORNSHUNT_DECIDE_RUN_TIMES_H
#define BUCKTHORNSHUNT_DECIDE_RUN_TIMES_H

#include "buckthornshunt/config.h"
#include "decide/placement.h"

#include <string_view>

namespace buckthornshunt {

/// Learns run times by operation and tells long work from short. Declared
/// sizes play no part, since they are often far from the truth.
class RunTimes
{
public:
  explicit RunTimes(Duration aLongAfter)
    : mLongAfter(aLongAfter)
  {
  }

  /// Class of the next run; an operation not seen before counts as short.
  WorkClass Classify(std::string_view aOperation) const;

  /// Adds the run time of a finished run.
  void Record(std::string_view aOperation, Duration aRan);

  /// Mean run time of the class; zero before the first run.
  Duration Mean(WorkClass aClass) const;

  Duration LongAfter() const { return mLongAfter; }

private:
  struct Shares
  {
    double mShort = 0;
    double mLong = 0;
  };

  Duration mLongAfter;
  NameMap<Shares> mOperations;
  std::array<double, kWorkClasses> mMeanSeconds{};
};

} // namespace buckthornshunt

#endif
