#include "bench/report.h"

#include "wire/json_fields.h"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <utility>

namespace buckthornshunt::bench {

namespace {

std::string_view
Verdict(const Figure& aFigure)
{
  if (!aFigure.mTarget || aFigure.mWant == Want::Nothing) {
    return "";
  }
  bool met = aFigure.mWant == Want::AtMost ? aFigure.mValue <= *aFigure.mTarget
                                           : aFigure.mValue >= *aFigure.mTarget;
  return met ? "met" : "MISSED";
}

std::string
Number(std::optional<double> aValue)
{
  if (!aValue) {
    return "-";
  }
  char buf[32];
  std::snprintf(buf, sizeof buf, "%.4g", *aValue);
  return buf;
}

} // namespace

void
Report::Add(Figure aFigure)
{
  mFigures.push_back(std::move(aFigure));
}

void
Report::PrintTable() const
{
  std::printf("%-36s %5s %12s %12s %10s %-8s %s\n",
              "figure",
              "seed",
              "value",
              "baseline",
              "target",
              "unit",
              "");
  for (const Figure& figure : mFigures) {
    std::printf("%-36s %5llu %12s %12s %10s %-8s %s\n",
                figure.mName.c_str(),
                static_cast<unsigned long long>(figure.mSeed),
                Number(figure.mValue).c_str(),
                Number(figure.mBaseline).c_str(),
                Number(figure.mTarget).c_str(),
                figure.mUnit.c_str(),
                std::string(Verdict(figure)).c_str());
  }
}

bool
Report::Write(std::string_view aFile) const
{
  Json list = Json::array();
  for (const Figure& figure : mFigures) {
    Json entry{ { "name", figure.mName }, { "value", figure.mValue },
                { "unit", figure.mUnit }, { "baseline", nullptr },
                { "target", nullptr },    { "seed", figure.mSeed } };
    if (figure.mBaseline) {
      entry["baseline"] = *figure.mBaseline;
    }
    if (figure.mTarget) {
      entry["target"] = *figure.mTarget;
    }
    list.push_back(std::move(entry));
  }
  std::ofstream out{ std::string(aFile) };
  out << list.dump(1) << "\n";
  return static_cast<bool>(out);
}

} // namespace buckthornshunt::bench
