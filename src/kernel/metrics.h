#ifndef BUCKTHORNSHUNT_KERNEL_METRICS_H
#define BUCKTHORNSHUNT_KERNEL_METRICS_H

#include "buckthornshunt/time.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace buckthornshunt {

/// A counter of events, or a gauge if written by Set.
class Counter
{
public:
  void Add(std::int64_t aDelta = 1) { mValue += aDelta; }
  void Set(std::int64_t aValue) { mValue = aValue; }
  std::int64_t Value() const { return mValue; }

private:
  std::int64_t mValue = 0;
};

/// Histogram of durations with exponential bucket bounds, from 100 µs to 100 s.
class LatencyHistogram
{
public:
  static constexpr std::size_t kBucketCount = 21;

  /// Upper bound of a bucket; the last bucket is unbounded.
  static Duration UpperBound(std::size_t aBucket);

  void Record(Duration aValue);
  std::uint64_t Count() const { return mCount; }

  /// Upper bound of the bucket that contains the quantile aFraction (0 to 1).
  Duration Quantile(double aFraction) const;

  const std::array<std::uint64_t, kBucketCount>& Buckets() const
  {
    return mBuckets;
  }
  Duration Sum() const { return mSum; }

private:
  std::array<std::uint64_t, kBucketCount> mBuckets{};
  std::uint64_t mCount = 0;
  Duration mSum{};
};

/// All metrics of a process, by name. Returned references remain valid.
class Metrics
{
public:
  Counter& GetCounter(std::string_view aName);
  LatencyHistogram& GetHistogram(std::string_view aName);

  /// All metrics in the Prometheus text format.
  std::string Render() const;

  const std::map<std::string, Counter, std::less<>>& Counters() const
  {
    return mCounters;
  }

private:
  std::map<std::string, Counter, std::less<>> mCounters;
  std::map<std::string, LatencyHistogram, std::less<>> mHistograms;
};

} // namespace buckthornshunt

#endif
