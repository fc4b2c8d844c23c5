#include "decide/buffer.h"

#include <algorithm>
#include <vector>

namespace buckthornshunt {

// Whole racks are taken first, largest first; single VMs come on top, since
// both kinds of loss may happen together.
int
WorstLoss(std::span<const int> aVmsPerRack, const AvailabilityBudget& aBudget)
{
  std::vector<int> racks(aVmsPerRack.begin(), aVmsPerRack.end());
  std::sort(racks.rbegin(), racks.rend());
  int lost = 0;
  int left = 0;
  for (std::size_t i = 0; i < racks.size(); ++i) {
    (static_cast<int>(i) < aBudget.mRackLosses ? lost : left) += racks[i];
  }
  return lost + std::min(left, aBudget.mVmLosses);
}

int
SmallestBuffer(int aVms, const AvailabilityBudget& aBudget, int aRacks)
{
  if (aRacks <= 0) {
    return aBudget.mVmLosses;
  }
  std::vector<int> racks(static_cast<std::size_t>(aRacks), 0);
  int total = 0;
  while (total - WorstLoss(racks, aBudget) < aVms) {
    // The budget takes every rack, so no buffer is large enough.
    if (aBudget.mRackLosses >= aRacks) {
      return aVms + aBudget.mVmLosses;
    }
    ++racks[static_cast<std::size_t>(total % aRacks)];
    ++total;
  }
  return total - aVms;
}

} // namespace buckthornshunt
