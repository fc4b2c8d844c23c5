#include "bench/report.h"

#include <cstdio>

// usage: buckthornshunt-bench OUTPUT.json [PART…]
int
main(int argc, char** argv)
{
  using namespace buckthornshunt::bench;
  struct Part
  {
    std::string_view mName;
    void (*mMeasure)(Report&);
  };
  constexpr Part kParts[] = { { "queueing", MeasureQueueing },
                              { "placement", MeasurePlacement },
                              { "cell", MeasureCell },
                              { "relay", MeasureRelay },
                              { "control", MeasureControl } };
  Report report;
  for (const Part& part : kParts) {
    bool wanted = argc < 3;
    for (int i = 2; i < argc; ++i) {
      wanted = wanted || part.mName == argv[i];
    }
    if (wanted) {
      part.mMeasure(report);
    }
  }
  report.PrintTable();
  if (argc > 1 && !report.Write(argv[1])) {
    std::fprintf(stderr, "can't write %s\n", argv[1]);
    return 1;
  }
  return 0;
}
