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

/// An ownership row as the ledger keeps it, with the platform's time of its
/// commit. It holds until the VM's next entry.
struct LedgerEntry
{
  VmOwnership mRow;
  WallTime mFrom;
};

/// What a VM's time is spent on.
enum class CostUse : std::uint8_t
{
  /// Carries the pool's load.
  Serving,
  /// Held back for the pool's availability budget.
  HeldForBudget,
  /// Held in the spare pool beyond its own need.
  HeldAsSpare,
  /// Leaves its pool, or is about to be taken away.
  Leaving,
  Maintenance,
  /// Paid for, but not there.
  Lost
};

std::string_view
ToString(CostUse aUse);

/// Time and money of one pool and use.
struct CostLine
{
  std::string mPool;
  CostUse mUse = CostUse::Serving;
  double mVmSeconds = 0;
  double mCents = 0;
};

/// VM-seconds between two times, by pool and use. At every instant each VM of
/// the ledger that isn't retired counts to exactly one line, so the lines sum
/// up to the fleet. Needs and prices are those of aSite.
std::vector<CostLine>
ComputeCost(std::span<const LedgerEntry> aLedger,
            const SiteConfig& aSite,
            WallTime aFrom,
            WallTime aTo);

} // namespace buckthornshunt

#endif
