// Task groups: cancellation and the wait for the end of their tasks.

#include "kernel/task.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

using namespace buckthornshunt;

namespace {

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
