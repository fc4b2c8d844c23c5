#ifndef BUCKTHORNSHUNT_DECIDE_AVAILABILITY_H
#define BUCKTHORNSHUNT_DECIDE_AVAILABILITY_H

#include "buckthornshunt/config.h"

#include <span>

namespace buckthornshunt {

/// VMs that the worst allowed loss takes from a pool, given how many of its
/// VMs each rack holds.
int
WorstCaseLoss(std::span<const int> aVmsPerRack,
              const AvailabilityBudget& aBudget);

/// Minimum VMs beyond aVms with which a pool, spread evenly over aRacks racks,
/// keeps aVms through the worst allowed loss.
int
MinSpareVms(int aVms, const AvailabilityBudget& aBudget, int aRacks);

} // namespace buckthornshunt

#endif
