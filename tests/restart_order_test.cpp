// Tests a cell against every order of events around a worker that restarts.

#include "restart_model.h"

#include <doctest/doctest.h>

#include <cstdlib>
#include <map>

using namespace buckthornshunt;
using namespace buckthornshunt::tests;

namespace {

/// Walks all sequences of a length, and keeps for each violation and last event
/// the first sequence that ends so.
class OrderWalk
{
public:
  void Walk(const RestartModel& aModel, std::size_t aEvents)
  {
    for (std::size_t i = 0; i < static_cast<std::size_t>(RestartEvent::Count);
         ++i) {
      auto event = static_cast<RestartEvent>(i);
      if (!aModel.CanApply(event)) {
        continue;
      }
      RestartModel next = aModel;
      next.Apply(event);
      ++mSequences;
      mEvents.push_back(event);
      if (!next.Violation().empty()) {
        Record(next.Violation());
      } else if (aEvents > 1) {
        Walk(next, aEvents - 1);
      }
      mEvents.pop_back();
    }
  }

  const std::map<std::string, std::string>& Violations() const
  {
    return mViolations;
  }
  std::size_t Sequences() const { return mSequences; }
  std::size_t Broken() const { return mBroken; }

private:
  void Record(const std::string& aViolation)
  {
    ++mBroken;
    std::string events;
    for (RestartEvent event : mEvents) {
      events += (events.empty() ? "" : ", ") + std::string(ToString(event));
    }
    mViolations.emplace(
      aViolation + " at: " + std::string(ToString(mEvents.back())), events);
  }

  std::vector<RestartEvent> mEvents;
  std::map<std::string, std::string> mViolations;
  std::size_t mSequences = 0;
  std::size_t mBroken = 0;
};

std::size_t
WalkDepth(std::size_t aDefault)
{
  const char* text = std::getenv("RESTART_WALK_DEPTH");
  return text == nullptr ? aDefault : std::stoul(text);
}

void
CheckAllOrders(std::size_t aEvents)
{
  OrderWalk walk;
  walk.Walk(RestartModel(), aEvents);
  MESSAGE(walk.Sequences(), " sequences, ", walk.Broken(), " broken");
  for (const auto& [violation, events] : walk.Violations()) {
    FAIL_CHECK(violation, " after: ", events);
  }
  CHECK(walk.Sequences() > 1000);
}

} // namespace

// Guards against conclusions about a run that rest on neither a listing nor the
// directory. RESTART_WALK_DEPTH sets the length of the sequences.
TEST_CASE("no order of events around a restart runs a task twice")
{
  CheckAllOrders(WalkDepth(5));
}
