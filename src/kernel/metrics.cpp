#include "kernel/metrics.h"

#include <sstream>

namespace buckthornshunt {

namespace {

constexpr Duration kFirstBound = std::chrono::microseconds(100);
constexpr std::string_view kPrefix = "buckthornshunt_";

} // namespace

Duration
LatencyHistogram::Bound(std::size_t aBucket)
{
  return kFirstBound * (std::int64_t{ 1 } << aBucket);
}

void
LatencyHistogram::Record(Duration aValue)
{
  std::size_t bucket = 0;
  while (bucket + 1 < kBuckets && aValue > Bound(bucket)) {
    ++bucket;
  }
  ++mBuckets[bucket];
  ++mCount;
  mSum += aValue;
}

Duration
LatencyHistogram::Quantile(double aFraction) const
{
  auto wanted =
    static_cast<std::uint64_t>(aFraction * static_cast<double>(mCount));
  std::uint64_t seen = 0;
  for (std::size_t i = 0; i < kBuckets; ++i) {
    seen += mBuckets[i];
    if (seen > wanted) {
      return Bound(i);
    }
  }
  return Bound(kBuckets - 1);
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
    out << kPrefix << name << ' ' << counter.Value() << '\n';
  }
  for (const auto& [name, histogram] : mHistograms) {
    std::uint64_t total = 0;
    for (std::size_t i = 0; i + 1 < LatencyHistogram::kBuckets; ++i) {
      total += histogram.Buckets()[i];
      out << kPrefix << name << "_seconds_bucket{le=\""
          << ToSeconds(LatencyHistogram::Bound(i)) << "\"} " << total << '\n';
    }
    out << kPrefix << name << "_seconds_bucket{le=\"+Inf\"} "
        << histogram.Count() << '\n';
    out << kPrefix << name << "_seconds_sum " << ToSeconds(histogram.Sum())
        << '\n';
    out << kPrefix << name << "_seconds_count " << histogram.Count() << '\n';
  }
  return std::move(out).str();
}

} // namespace buckthornshunt
