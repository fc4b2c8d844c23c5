#include "decide/availability.h"

#include <algorithm>
#include <vector>

namespace buckthornshunt {

// The largest racks fail first; single VMs are lost in addition, since both
// kinds of loss may happen together.
int
WorstCaseLoss(std::span<const int> aVmsPerRack,
              const AvailabilityBudget& aBudget)
{
  std::vector<int> racks(aVmsPerRack.begin(), aVmsPerRack.end());
  std::sort(racks.rbegin(), racks.rend());
  int lost = 0;
  int remaining = 0;
  for (std::size_t i = 0; i < racks.size(); ++i) {
    (static_cast<int>(i) < aBudget.mRackLosses ? lost : remaining) += racks[i];
  }
  return lost + std::min(remaining, aBudget.mVmLosses);
}

int
MinSpareVms(int aVms, const AvailabilityBudget& aBudget, int aRacks)
{
  if (aRacks <= 0) {
    return aBudget.mVmLosses;
  }
  std::vector<int> racks(static_cast<std::size_t>(aRacks), 0);
  int total = 0;
  while (total - WorstCaseLoss(racks, aBudget) < aVms) {
    // The budget covers every rack, so no number of spare VMs is enough.
    if (aBudget.mRackLosses >= aRacks) {
      return aVms + aBudget.mVmLosses;
    }
    ++racks[static_cast<std::size_t>(total % aRacks)];
    ++total;
  }
  return total - aVms;
}

} // namespace buckthornshunt
