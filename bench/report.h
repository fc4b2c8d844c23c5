#ifndef BUCKTHORNSHUNT_BENCH_REPORT_H
#define BUCKTHORNSHUNT_BENCH_REPORT_H

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornshunt::bench {

/// Which side of its target a figure must be on.
enum class Want : std::uint8_t
{
  Nothing,
  AtMost,
  AtLeast
};

/// One measured figure.
struct Figure
{
  std::string mName;
  double mValue = 0;
  std::string mUnit;
  /// The same quantity of the baseline in the same run.
  std::optional<double> mBaseline;
  std::optional<double> mTarget;
  Want mWant = Want::Nothing;
  std::uint64_t mSeed = 0;
};

/// Collects figures, prints them and writes them as JSON.
class Report
{
public:
  void Add(Figure aFigure);
  void PrintTable() const;
  bool Write(std::string_view aFile) const;

private:
  std::vector<Figure> mFigures;
};

// The parts of the bench; each adds its figures.
void
MeasureQueueing(Report& aReport);
void
MeasurePlacement(Report& aReport);
void
MeasureCell(Report& aReport);
void
MeasureRelay(Report& aReport);
void
MeasureControl(Report& aReport);

} // namespace buckthornshunt::bench

#endif
