// An owner of hundreds of workers in a turn, on a manual clock. Work that holds
// its processor moves the clock on, so that what is due meanwhile waits.

#include "busy_owner.h"

#include <doctest/doctest.h>

using namespace buckthornshunt;
using namespace buckthornshunt::tests;
using namespace std::chrono_literals;

TEST_CASE("the next steps of a large cell wait although its owner is idle")
{
  BusyOwner owner(600, 20us);
  owner.SubmitFor(2500ms, 4500us);
  REQUIRE(owner.StepDelays().size() > 1000);
  CHECK(owner.mNotAccepted == 0);
  MESSAGE("mean delay ms " << ToMillis(Mean(owner.StepDelays())) << " store ms "
                           << ToMillis(Mean(owner.mWaits)));
  CHECK(Mean(owner.StepDelays()) < kMaxStepDelay);
}
