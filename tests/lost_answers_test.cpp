// Orders and renewals whose answers are lost, on a manual clock.

#include "busy_owner.h"
#include "decide/answer_timer.h"

#include <doctest/doctest.h>

using namespace buckthornshunt;
using namespace buckthornshunt::tests;
using namespace std::chrono_literals;

TEST_CASE("a lost answer keeps the ends of its worker unheard of for seconds")
{
  BusyOwner owner(60, 20us);
  owner.AllWorkers().mLosses.mCarriedOutLate = 55;
  owner.SubmitFor(8s, 45ms);
  REQUIRE(owner.StepDelays().size() > 100);
  CHECK(owner.mNotAccepted == 0);
  MESSAGE("mean delay ms " << ToMillis(Mean(owner.StepDelays()))
                           << " of nine tenths ms "
                           << ToMillis(Quantile(owner.StepDelays(), 0.9)));
  CHECK(Mean(owner.StepDelays()) < kMaxStepDelay);
  CHECK(Quantile(owner.StepDelays(), 0.9) < 2 * kMaxStepDelay);
  CHECK(owner.AllWorkers().mSecondRuns == 0);
}

TEST_CASE("a task runs twice after answers to its starts were lost")
{
  BusyOwner owner(20, 20us);
  owner.AllWorkers().mLosses = { 150, 150, true };
  owner.SubmitFor(15s, 150ms);
  REQUIRE(owner.StepDelays().size() > 20);
  MESSAGE("refused starts " << owner.AllWorkers().mRefusedStarts);
  CHECK(owner.AllWorkers().mRefusedStarts > 0);
  CHECK(owner.AllWorkers().mSecondRuns == 0);
}

TEST_CASE("the timeout of an answer follows what answers take")
{
  AnswerTimer timer({ 200ms, 800ms, 400ms });
  CHECK(timer.Timeout() == 400ms);

  SUBCASE("quick answers")
  {
    for (int i = 0; i < 20; ++i) {
      timer.OnAnswer(10ms);
    }
    CHECK(timer.Timeout() == 200ms);
    timer.OnTimeout();
    CHECK(timer.Timeout() == 400ms);
    timer.OnTimeout();
    timer.OnTimeout();
    CHECK(timer.Timeout() == 800ms);
    timer.OnUntimedAnswer();
    CHECK(timer.Timeout() == 200ms);
  }

  SUBCASE("a server that has become slow")
  {
    timer.OnAnswer(10ms);
    for (int i = 0; i < 3; ++i) {
      timer.OnTimeout();
      timer.OnAnswer(300ms);
    }
    CHECK(timer.Timeout() > 300ms);
  }
}
