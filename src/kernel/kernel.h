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
#include <string>
#include <string_view>
#include <typeindex>
#include <utility>
#include <vector>

namespace buckthornshunt {

namespace leaf = boost::leaf;

/// Holds the services of a process and what they share: executor, clock,
/// metrics and spans. It knows nothing of what the services do.
///
/// A service is any class with `leaf::result<void> Start()`, in which it looks
/// up the services it needs, and `Task<void> Stop()`, which ends its tasks.
class Kernel
{
public:
  Kernel(asio::io_context& aContext, Clock aClock, std::uint64_t aSeed);

  asio::io_context& Context() { return mContext; }
  Clock& GetClock() { return mClock; }
  Metrics& GetMetrics() { return mMetrics; }
  Tracer& GetTracer() { return mTracer; }

  /// Random number source of the process; seeded by tests.
  std::uint64_t Random() { return mTracer.NewId(); }

  /// Constructs a service as Service(kernel, arguments…) under a name.
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

  /// The service of that name; fails with ServiceNotFound or
  /// ServiceTypeMismatch.
  template<class Service>
  leaf::result<Service*> Find(std::string_view aName)
  {
    BOOST_LEAF_AUTO(found, FindUntyped(aName, typeid(Service)));
    return static_cast<Service*>(found);
  }

  /// Starts the services in the order they were added; stops at the first
  /// failure.
  leaf::result<void> Start();

  /// Stops the services that were started, last first.
  Task<void> Stop();

  /// Groups of the services' tasks.
  TaskGroup::Registry& Groups() { return mGroups; }

  /// Asks every task of every service to end, without any order.
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
};

} // namespace buckthornshunt

#endif
