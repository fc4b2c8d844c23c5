#ifndef BUCKTHORNSHUNT_DECIDE_COST_H
#define BUCKTHORNSHUNT_DECIDE_COST_H

#include "buckthornshunt/config.h"
#include "buckthornshunt/types.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornshunt {

/// An ownership row of the ledger and the platform's time of its commit. It
/// applies until the VM's next entry.
struct LedgerEntry
{
  VmOwnership mRow;
  WallTime mFrom;
};

/// Use that a VM's time is charged to.
enum class CostUse : std::uint8_t
{
  /// Needed for the pool's load.
  Serving,
  /// Spare VM for the pool's availability budget.
  HeldForBudget,
  /// In the spare pool, beyond the VMs that it needs itself.
  HeldAsSpare,
  /// Leaving its pool, or draining before the platform removes it.
  Leaving,
  Maintenance,
  /// Paid for, but missing from the platform's list.
  Lost
};

std::string_view
ToString(CostUse aUse);

/// VM time and cost of one pool and use.
struct CostLine
{
  std::string mPool;
  CostUse mUse = CostUse::Serving;
  double mVmSeconds = 0;
  double mCents = 0;
};

/// Returns VM-seconds and cost from aFrom to aTo, by pool and use. At any time
/// each VM of the ledger that isn't retired counts toward exactly one line, so
/// the lines add up to the fleet. Pool sizes and prices are those of aSite.
std::vector<CostLine>
ComputeCost(std::span<const LedgerEntry> aLedger,
            const SiteConfig& aSite,
            WallTime aFrom,
            WallTime aTo);

} // namespace buckthornshunt

#endif
