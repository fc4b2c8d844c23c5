#ifndef BUCKTHORNSHUNT_KERNEL_TASK_H
#define BUCKTHORNSHUNT_KERNEL_TASK_H

#include <boost/asio/awaitable.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <exception>
#include <map>
#include <memory>
#include <set>
#include <string_view>

namespace buckthornshunt {

namespace asio = boost::asio;

/// Return type of the runtime's coroutines.
template<class Value>
using Task = asio::awaitable<Value>;

/// Wakes coroutines that wait for a condition; each must recheck the condition.
class Event
{
public:
  explicit Event(asio::io_context& aContext);

  /// Wakes all coroutines that are waiting.
  void NotifyAll();

  /// Wakes one coroutine that is waiting.
  void NotifyOne();

  /// Returns after a notification, or early if the coroutine is cancelled.
  Task<void> Wait();

private:
  asio::steady_timer mTimer;
};

/// The running coroutines of one service.
class TaskGroup
{
public:
  /// Groups of one process; a group registers and unregisters itself.
  using Registry = std::set<TaskGroup*>;

  explicit TaskGroup(asio::io_context& aContext, Registry* aRegistry = nullptr);
  ~TaskGroup();
  TaskGroup(const TaskGroup&) = delete;
  TaskGroup& operator=(const TaskGroup&) = delete;

  /// Starts a coroutine. aName must be a string literal, since it isn't copied.
  void Spawn(std::string_view aName, Task<void> aTask);

  /// Requests cancellation of all running coroutines, and of those spawned
  /// before Join returns.
  void CancelAll();

  /// Returns once no coroutine is running, also if the caller is cancelled.
  Task<void> Join();

  std::size_t Size() const { return mRunning.size(); }
  asio::io_context& Context() { return mContext; }

private:
  using SignalPtr = std::shared_ptr<asio::cancellation_signal>;

  void Cancel(const SignalPtr& aSignal);
  void Finish(std::uint64_t aId,
              std::string_view aName,
              const std::exception_ptr& aError);

  asio::io_context& mContext;
  Registry* mRegistry;
  Event mChanged;
  bool mCancelled = false;
  std::uint64_t mNextId = 0;
  std::map<std::uint64_t, SignalPtr> mRunning;
};

} // namespace buckthornshunt

#endif
