#include "kernel/metrics.h"

#include <sstream>

namespace buckthornshunt {

namespace {

constexpr Duration kFirstUpperBound = std::chrono::microseconds(100);
constexpr std::string_view kMetricPrefix = "buckthornshunt_";

} // namespace

Duration
LatencyHistogram::UpperBound(std::size_t aBucket)
{
  return kFirstUpperBound * (std::int64_t{ 1 } << aBucket);
}

void
LatencyHistogram::Record(Duration aValue)
{
  std::size_t bucket = 0;
  while (bucket + 1 < kBucketCount && aValue > UpperBound(bucket)) {
    ++bucket;
  }
  ++mBuckets[bucket];
  ++mCount;
  mSum += aValue;
}

Duration
LatencyHistogram::Quantile(double aFraction) const
{
  auto rank =
    static_cast<std::uint64_t>(aFraction * static_cast<double>(mCount));
  std::uint64_t seen = 0;
  for (std::size_t i = 0; i < kBucketCount; ++i) {
    seen += mBuckets[i];
    if (seen > rank) {
      return UpperBound(i);
    }
  }
  return UpperBound(kBucketCount - 1);
}

Counter&
Metrics::GetCounter(std::string_view aName)
{
  auto it = mCounters.find(aName);
  return it != mCounters.end() ? it->second : mCounters[std::string(aName)];
}

LatencyHistogram&
Metrics::GetHistogram(std::string_view aName)
{
  auto it = mHistograms.find(aName);
  return it != mHistograms.end() ? it->second : mHistograms[std::string(aName)];
}

std::string
Metrics::Render() const
{
  std::ostringstream out;
  for (const auto& [name, counter] : mCounters) {
    out << kMetricPrefix << name << ' ' << counter.Value() << '\n';
  }
  for (const auto& [name, histogram] : mHistograms) {
    std::uint64_t total = 0;
    for (std::size_t i = 0; i + 1 < LatencyHistogram::kBucketCount; ++i) {
      total += histogram.Buckets()[i];
      out << kMetricPrefix << name << "_seconds_bucket{le=\""
          << ToSeconds(LatencyHistogram::UpperBound(i)) << "\"} " << total
          << '\n';
    }
    out << kMetricPrefix << name << "_seconds_bucket{le=\"+Inf\"} "
        << histogram.Count() << '\n';
    out << kMetricPrefix << name << "_seconds_sum "
        << ToSeconds(histogram.Sum()) << '\n';
    out << kMetricPrefix << name << "_seconds_count " << histogram.Count()
        << '\n';
  }
  return std::move(out).str();
}

} // namespace buckthornshunt
