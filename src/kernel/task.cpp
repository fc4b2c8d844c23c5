#include "kernel/task.h"

#include "kernel/log.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/system/system_error.hpp>

#include <exception>
#include <utility>
#include <vector>

namespace buckthornshunt {

Event::Event(asio::io_context& aContext)
  : mTimer(aContext, asio::steady_timer::time_point::max())
{
}

void
Event::NotifyAll()
{
  mTimer.cancel();
}

void
Event::NotifyOne()
{
  mTimer.cancel_one();
}

Task<void>
Event::Wait()
{
  constexpr auto kToken = asio::as_tuple(asio::use_awaitable);
  co_await mTimer.async_wait(kToken);
}

TaskGroup::TaskGroup(asio::io_context& aContext, Registry* aRegistry)
  : mContext(aContext)
  , mRegistry(aRegistry)
  , mChanged(aContext)
{
  if (mRegistry != nullptr) {
    mRegistry->insert(this);
  }
}

TaskGroup::~TaskGroup()
{
  if (mRegistry != nullptr) {
    mRegistry->erase(this);
  }
}

void
TaskGroup::Spawn(std::string_view aName, Task<void> aTask)
{
  std::uint64_t id = mNextId++;
  auto signal = std::make_shared<asio::cancellation_signal>();
  mRunning.emplace(id, signal);
  auto done = [this, id, aName](const std::exception_ptr& aError) {
    Finish(id, aName, aError);
  };
  asio::co_spawn(mContext,
                 std::move(aTask),
                 asio::bind_cancellation_slot(signal->slot(), std::move(done)));
  if (mCancelled) {
    Cancel(signal);
  }
}

// A cancelled coroutine normally ends with operation_aborted. Any other
// exception is a defect: it propagates through the executor and terminates the
// process, since the service could otherwise go on without one of its tasks.
void
TaskGroup::Finish(std::uint64_t aId,
                  std::string_view aName,
                  const std::exception_ptr& aError)
{
  mRunning.erase(aId);
  mChanged.NotifyAll();
  if (!aError) {
    return;
  }
  try {
    std::rethrow_exception(aError);
  } catch (const boost::system::system_error& error) {
    if (error.code() == asio::error::operation_aborted) {
      return;
    }
    LogError("kernel",
             "task {} threw an exception, terminating: {}",
             aName,
             error.what());
    throw;
  }
}

// Asio may deliver a cancellation later through the executor, when the task and
// its entry no longer exist; the posted handler keeps the signal alive until
// then.
void
TaskGroup::Cancel(const SignalPtr& aSignal)
{
  aSignal->emit(asio::cancellation_type::terminal);
  asio::post(mContext, [held = aSignal] {});
}

// A task whose operation has already completed runs on to its next co_await and
// may spawn others until then.
void
TaskGroup::CancelAll()
{
  mCancelled = true;
  auto running = mRunning;
  for (const auto& [id, signal] : running) {
    Cancel(signal);
  }
}

// Ignores the cancellation of its caller: the tasks refer to objects that the
// caller may destroy once this returns or throws.
Task<void>
TaskGroup::Join()
{
  bool throws = co_await asio::this_coro::throw_if_cancelled();
  co_await asio::this_coro::throw_if_cancelled(false);
  while (!mRunning.empty()) {
    co_await mChanged.Wait();
  }
  mCancelled = false;
  co_await asio::this_coro::throw_if_cancelled(throws);
}

} // namespace buckthornshunt
