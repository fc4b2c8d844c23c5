#include "bench/report.h"
namespace buckthornshunt::bench {
void
MeasureRelay(Report&)
{
}
void
MeasureControl(Report&)
{
}
} // namespace buckthornshunt::bench
