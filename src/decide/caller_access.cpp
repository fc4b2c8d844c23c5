#include "decide/caller_access.h"

#include <algorithm>

namespace buckthornshunt {

namespace {

/// Relative drift of a node's clock.
constexpr double kMaxDrift = 0.02;
/// Age of the configuration from which an unknown key may be a new one; more
/// than a node in touch has.
constexpr Duration kMaxAgeOfDenial = std::chrono::milliseconds(2500);
/// Time between the check of a key and the end of what the call changes that
/// the check doesn't cover, such as timers that fire late.
constexpr Duration kCheckMargin = std::chrono::milliseconds(100);

} // namespace

// A node that is cut off from the store can't learn that a key was revoked, so
// it refuses keys once its configuration might be older than the revocation
// delay. The age counts from the sending of the read, since the store may have
// accepted a newer configuration right after it answered.
AccessDecision
CheckAccess(const WorkloadConfig& aConfig,
            const QueueConfig& aQueue,
            std::string_view aKey,
            const ConfigFreshness& aFreshness,
            TimePoint aNow)
{
  if (aQueue.mPublic || !aConfig.mOrganisations) {
    return AccessGranted{};
  }
  bool tooOld =
    aFreshness.mMaxAge && aNow - aFreshness.mCurrentAsOf > *aFreshness.mMaxAge;
  if (tooOld) {
    return AccessUndecided{};
  }
  const OrganisationConfig* organisation =
    aKey.empty() ? nullptr : aConfig.FindOrganisationByKey(aKey);
  if (organisation == nullptr) {
    bool current = aNow - aFreshness.mCurrentAsOf <= kMaxAgeOfDenial;
    return aKey.empty() || current ? AccessDecision(AccessDenied{})
                                   : AccessDecision(AccessUndecided{});
  }
  return AccessGranted{ organisation->mName };
}

Duration
MaxConfigAge(Duration aRevocationDelay)
{
  auto byClock =
    std::chrono::duration_cast<Duration>(aRevocationDelay * (1 - kMaxDrift));
  return std::max(byClock - kCheckMargin, Duration::zero());
}

bool
MayAccessJob(std::string_view aCaller, std::string_view aOwner)
{
  return aCaller.empty() || aOwner.empty() || aCaller == aOwner;
}

} // namespace buckthornshunt
