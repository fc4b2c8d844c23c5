#ifndef BUCKTHORNSHUNT_KERNEL_KERNEL_H
#define BUCKTHORNSHUNT_KERNEL_KERNEL_H

#include "buckthornshunt/failure.h"
#include "kernel/clock.h"
#include "kernel/metrics.h"
#include "kernel/task.h"
#include "kernel/trace.h"

#include <boost/leaf/error.hpp>
#include <boost/leaf/result.hpp>

#include <concepts>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <typeindex>
#include <utility>
#include <vector>

namespace buckthornshunt {

namespace leaf = boost::leaf;

/// A service that has work to complete, or to hand over, before the services
/// are stopped. All others are still running then.
template<class Service>
concept Drainable = requires(Service& aService, TimePoint aDeadline) {
  {
    aService.Drain(aDeadline)
  } -> std::same_as<Task<void>>;
};

/// Registry of a process's services and owner of the resources that they share:
/// executor, clock, metrics and spans. Independent of what the services do.
///
/// A service is any class with `leaf::result<void> Start()`, which looks up the
/// services that it needs, and `Task<void> Stop()`, which ends its tasks. It
/// may be Drainable.
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
      DrainOf<Service>(),
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

  /// Drains the started services, all at the same time and for at most
  /// aDrainPeriod, then stops them in reverse order.
  Task<void> Stop(Duration aDrainPeriod = Duration::zero());

  /// True from the moment at which the stop was requested.
  bool IsStopping() const { return mStopRequestedAt.has_value(); }

  /// Time since the stop was requested; none while the process runs normally.
  std::optional<Duration> TimeSinceStopRequest() const;

  /// When the drains of a stop must have ended; none while the process runs
  /// normally.
  std::optional<TimePoint> DrainDeadline() const { return mDrainDeadline; }

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
    /// Null if the service has nothing to drain.
    Task<void> (*mDrain)(void*, TimePoint);
    Task<void> (*mStop)(void*);
  };

  template<class Service>
  static constexpr auto DrainOf() -> Task<void> (*)(void*, TimePoint)
  {
    if constexpr (Drainable<Service>) {
      return [](void* aService, TimePoint aDeadline) {
        return static_cast<Service*>(aService)->Drain(aDeadline);
      };
    } else {
      return nullptr;
    }
  }

  Task<void> DrainServices();
  Task<void> Drain(const Entry& aEntry);
  leaf::result<void*> FindUntyped(std::string_view aName,
                                  std::type_index aType);

  asio::io_context& mContext;
  Clock mClock;
  Metrics mMetrics;
  Tracer mTracer;
  TaskGroup::Registry mGroups;
  std::vector<Entry> mEntries;
  std::size_t mStartedCount = 0;
  TaskGroup mDrains;
  std::optional<TimePoint> mStopRequestedAt;
  std::optional<TimePoint> mDrainDeadline;
};

} // namespace buckthornshunt

#endif
