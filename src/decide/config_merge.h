#ifndef BUCKTHORNSHUNT_DECIDE_CONFIG_MERGE_H
#define BUCKTHORNSHUNT_DECIDE_CONFIG_MERGE_H

#include "buckthornshunt/config.h"
#include "buckthornshunt/failure.h"

#include <span>
#include <string_view>
#include <vector>

namespace buckthornshunt {

/// Applies an overlay to the base. Every fault found is appended with its
/// JSON pointer within the overlay; mFile is left to the caller.
SiteConfig
MergeSite(const BaseConfig& aBase,
          const SiteOverlay& aOverlay,
          std::vector<ConfigFailure>& aFaults);

/// The configuration of a site that has no overlay.
SiteConfig
MergeSite(const BaseConfig& aBase, std::string_view aSite);

/// Appends the faults of the base by itself: names that refer to nothing.
void
CheckBase(const BaseConfig& aBase, std::vector<ConfigFailure>& aFaults);

/// Appends Infeasible if the site's VMs can't carry its pools and budgets.
void
CheckFeasible(const SiteConfig& aSite, std::vector<ConfigFailure>& aFaults);

} // namespace buckthornshunt

#endif
