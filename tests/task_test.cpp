// Groups of coroutines: cancellation and waiting for their end.

#include "kernel/clock.h"
#include "kernel/task.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/this_coro.hpp>
#include <doctest/doctest.h>

#include <memory>

using namespace buckthornshunt;
using namespace std::chrono_literals;

namespace {

/// Owns a task that takes a second to end after it is cancelled.
class SlowOwner
{
public:
  SlowOwner(asio::io_context& aContext, Clock& aClock, bool& aTaskEnded)
    : mClock(aClock)
    , mTaskEnded(aTaskEnded)
    , mTasks(aContext)
  {
    mTasks.Spawn("slow", Run());
  }

  Task<void> Stop()
  {
    mTasks.CancelAll();
    co_await mTasks.Join();
  }

private:
  Task<void> Run()
  {
    co_await asio::this_coro::throw_if_cancelled(false);
    co_await mClock.Sleep(1s);
    mTaskEnded = true;
  }

  Clock& mClock;
  bool& mTaskEnded;
  TaskGroup mTasks;
};

Task<void>
StopAndDestroy(std::unique_ptr<SlowOwner> aOwner)
{
  co_await aOwner->Stop();
}

Task<void>
WaitForever(Event& aEvent)
{
  while (true) {
    co_await aEvent.Wait();
  }
}

Task<void>
SpawnAfter(Event& aEvent, TaskGroup& aGroup, Event& aNever)
{
  co_await aEvent.Wait();
  aGroup.Spawn("child", WaitForever(aNever));
}

bool
JoinCompletes(asio::io_context& aContext, TaskGroup& aGroup)
{
  bool joined = false;
  asio::co_spawn(
    aContext, aGroup.Join(), [&](const std::exception_ptr&) { joined = true; });
  aContext.restart();
  aContext.poll();
  return joined;
}

} // namespace

TEST_CASE("a task spawned by a cancelled task doesn't keep its group running")
{
  asio::io_context context(1);
  Event ready(context);
  Event never(context);
  TaskGroup group(context);
  group.Spawn("parent", SpawnAfter(ready, group, never));
  context.poll();
  // The parent's wait has ended, so the cancellation reaches it only after it
  // has resumed.
  ready.NotifyAll();
  group.CancelAll();
  CHECK(JoinCompletes(context, group));
  CHECK(group.Size() == 0);
  group.CancelAll();
  JoinCompletes(context, group);
}

TEST_CASE("a group starts tasks again after its cancelled ones have ended")
{
  asio::io_context context(1);
  Event never(context);
  TaskGroup group(context);
  group.Spawn("first", WaitForever(never));
  context.poll();
  group.CancelAll();
  CHECK(JoinCompletes(context, group));
  group.Spawn("second", WaitForever(never));
  CHECK(group.Size() == 1);
  group.CancelAll();
  CHECK(JoinCompletes(context, group));
}

TEST_CASE("a join that is cancelled waits until its tasks have ended")
{
  asio::io_context context(1);
  ManualClock manual(context);
  Clock clock(context, manual);
  bool taskEnded = false;
  TaskGroup group(context);
  auto owner = std::make_unique<SlowOwner>(context, clock, taskEnded);
  group.Spawn("stop", StopAndDestroy(std::move(owner)));
  manual.Advance(100ms);
  group.CancelAll();
  manual.Advance(100ms);
  CHECK_FALSE(taskEnded);
  CHECK(group.Size() == 1);
  manual.Advance(1s);
  CHECK(taskEnded);
  CHECK(group.Size() == 0);
}

TEST_CASE("a task that is spawned while its group stops ends with the group")
{
  asio::io_context context(1);
  ManualClock manual(context);
  Clock clock(context, manual);
  TaskGroup group(context);
  auto sleepForever = [&]() -> Task<void> {
    while (true) {
      co_await clock.Sleep(1s);
    }
  };
  // An operation that had completed when the group was cancelled.
  auto spawnLate = [&]() -> Task<void> {
    co_await asio::this_coro::throw_if_cancelled(false);
    co_await clock.Sleep(1s);
    group.Spawn("late", sleepForever());
  };
  bool joined = false;
  auto stop = [&]() -> Task<void> {
    group.CancelAll();
    co_await group.Join();
    joined = true;
  };
  TaskGroup stops(context);
  group.Spawn("spawn late", spawnLate());
  manual.Advance(100ms);
  stops.Spawn("stop", stop());
  manual.Advance(5s);
  CHECK(joined);
  group.Spawn("later", sleepForever());
  manual.Advance(5s);
  CHECK(group.Size() == 1);
  group.CancelAll();
  manual.Advance(1s);
  CHECK(group.Size() == 0);
}
