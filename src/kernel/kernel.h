#ifndef BUCKTHORNSHUNT_KERNEL_KERNEL_H
#define BUCKTHORNSHUNT_KERNEL_KERNEL_H

#include "buckthornshunt/failure.h"
#include "kernel/clock.h"
#include "kernel/metrics.h"
#include "kernel/task.h"
#include "kernel/trace.h"

#include <boost/leaf/error.hpp>
#include <boost/leaf/result.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <typeindex>
#include <utility>
#include <vector>

namespace buckthornshunt {

namespace leaf = boost::leaf;

/// Registry of a process's services and owner of the resources that they share:
/// executor, clock, metrics and spans. Independent of what the services do.
///
/// A service is any class with `leaf::result<void> Start()`, which looks up the
/// services that it needs, and `Task<void> Stop()`, which ends its tasks.
class Kernel
{
public:
  Kernel(asio::io_context& aContext, Clock aClock, std::uint64_t aSeed);

  asio::io_context& Context() { return mContext; }
  Clock& GetClock() { return mClock; }
  Metrics& GetMetrics() { return mMetrics; }
  Tracer& GetTracer() { return mTracer; }

  /// Pseudo-random number from the process's generator; tests set its seed.
  std::uint64_t Random() { return mTracer.NewId(); }

  /// Constructs Service(kernel, arguments…) and registers it under a name.
  template<class Service, class... Args>
  Service& Add(std::string_view aName, Args&&... aArgs)
  {
    auto service =
      std::make_unique<Service>(*this, std::forward<Args>(aArgs)...);
    Service& added = *service;
    mEntries.push_back(Entry{
      std::string(aName),
      typeid(Service),
      ServicePtr(
        service.release(),
        [](void* aService) { delete static_cast<Service*>(aService); }),
      [](void* aService) { return static_cast<Service*>(aService)->Start(); },
      [](void* aService) { return static_cast<Service*>(aService)->Stop(); } });
    return added;
  }

  /// Looks up a service by name; fails with ServiceNotFound or
  /// ServiceTypeMismatch.
  template<class Service>
  leaf::result<Service*> Find(std::string_view aName)
  {
    BOOST_LEAF_AUTO(found, FindUntyped(aName, typeid(Service)));
    return static_cast<Service*>(found);
  }

  /// Starts the services in the order of registration; returns the first
  /// failure.
  leaf::result<void> Start();

  /// Stops the started services in reverse order.
  Task<void> Stop();

  /// Time since the stop was requested; none while the process runs normally.
  std::optional<Duration> TimeSinceStopRequest() const;

  /// Task groups of all services.
  TaskGroup::Registry& Groups() { return mGroups; }

  /// Requests cancellation of all tasks of all services, in no particular
  /// order.
  void CancelTasks();

private:
  using ServicePtr = std::unique_ptr<void, void (*)(void*)>;

  struct Entry
  {
    std::string mName;
    std::type_index mType;
    ServicePtr mService;
    leaf::result<void> (*mStart)(void*);
    Task<void> (*mStop)(void*);
  };

  leaf::result<void*> FindUntyped(std::string_view aName,
                                  std::type_index aType);

  asio::io_context& mContext;
  Clock mClock;
  Metrics mMetrics;
  Tracer mTracer;
  TaskGroup::Registry mGroups;
  std::vector<Entry> mEntries;
  std::size_t mStartedCount = 0;
  std::optional<TimePoint> mStopRequestedAt;
};

} // namespace buckthornshunt

#endif
