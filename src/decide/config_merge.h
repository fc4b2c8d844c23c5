#ifndef BUCKTHORNSHUNT_DECIDE_CONFIG_MERGE_H
#define BUCKTHORNSHUNT_DECIDE_CONFIG_MERGE_H

#include "buckthornshunt/config.h"
#include "buckthornshunt/failure.h"

#include <span>
#include <string_view>
#include <vector>

namespace buckthornshunt {

/// Applies an overlay to the base. Appends every fault found, with its JSON
/// pointer within the overlay; the caller sets mFile.
SiteConfig
MergeSite(const BaseConfig& aBase,
          const SiteOverlay& aOverlay,
          std::vector<ConfigFailure>& aFaults);

/// The configuration of a site that has no overlay.
SiteConfig
MergeSite(const BaseConfig& aBase, std::string_view aSite);

/// Appends UnknownName if the base's spare pool isn't one of its pools.
void
CheckBase(const BaseConfig& aBase, std::vector<ConfigFailure>& aFaults);

/// Appends Infeasible for each pool that can't meet its availability budget,
/// and if all pools need more VMs than the site has.
void
CheckFeasible(const SiteConfig& aSite, std::vector<ConfigFailure>& aFaults);

} // namespace buckthornshunt

#endif
