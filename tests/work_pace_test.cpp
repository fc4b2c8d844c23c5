// Tests how an owner's pace follows the delay of its executor's queue.

#include "decide/work_pace.h"

#include <doctest/doctest.h>

using namespace buckthornshunt;
using namespace std::chrono_literals;

namespace {

WorkPace
PaceAt(Duration aQueueDelay)
{
  WorkPace pace;
  for (int i = 0; i < 50; ++i) {
    pace.OnQueueDelay(aQueueDelay);
  }
  return pace;
}

} // namespace

TEST_CASE("an owner with time to spare asks hundreds of workers rarely")
{
  WorkPace pace = PaceAt(2ms);
  CHECK(pace.RenewalInterval(600) < 200ms);
  CHECK(pace.CommitDelay() < 10ms);
  CHECK(pace.PlanPause(20ms) < 20ms);
}

TEST_CASE("an owner behind with its work goes on at its pace")
{
  WorkPace idle = PaceAt(0ms);
  WorkPace busy = PaceAt(20ms);
  WorkPace choked = PaceAt(200ms);
  for (int workers : { 10, 80, 600 }) {
    CAPTURE(workers);
    CHECK(idle.RenewalInterval(workers) <= busy.RenewalInterval(workers));
    CHECK(busy.RenewalInterval(workers) <= choked.RenewalInterval(workers));
  }
  CHECK(busy.RenewalInterval(600) > 2 * idle.RenewalInterval(600));
  CHECK(choked.RenewalInterval(600) == 1s);
  CHECK(choked.RenewalInterval(80) > 3 * busy.RenewalInterval(80));
  CHECK(choked.CommitDelay() > 3 * busy.CommitDelay());
  CHECK(choked.PlanPause(10ms) > 3 * busy.PlanPause(10ms));
}

TEST_CASE("an owner that was behind once stays slow")
{
  WorkPace pace = PaceAt(200ms);
  for (int i = 0; i < 6; ++i) {
    pace.OnQueueDelay(2ms);
  }
  CHECK(pace.RenewalInterval(600) < 250ms);
}

TEST_CASE("a single long pass of an owner slows it down for long")
{
  WorkPace pace = PaceAt(2ms);
  pace.OnQueueDelay(60ms);
  CHECK(pace.RenewalInterval(300) < PaceAt(60ms).RenewalInterval(300) / 2);
  for (int i = 0; i < 3; ++i) {
    pace.OnQueueDelay(2ms);
  }
  CHECK(pace.RenewalInterval(600) < 200ms);
}
