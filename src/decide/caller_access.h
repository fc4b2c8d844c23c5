#ifndef BUCKTHORNSHUNT_DECIDE_CALLER_ACCESS_H
#define BUCKTHORNSHUNT_DECIDE_CALLER_ACCESS_H

#include "buckthornshunt/workload.h"

#include <optional>
#include <string_view>
#include <variant>

namespace buckthornshunt {

/// What a node knows of the age of its configuration.
struct ConfigFreshness
{
  /// No newer configuration had been accepted by then.
  TimePoint mCurrentAsOf;
  /// Maximum age by which keys may be checked; none if keys may be used for as
  /// long as a node hasn't learnt that they were revoked.
  std::optional<Duration> mMaxAge;
};

/// The call may be handled.
struct AccessGranted
{
  /// Name of the caller's organisation, owned by the configuration; empty if
  /// the queue needs no key.
  std::string_view mOrganisation;
};

/// The key is missing or belongs to no organisation.
struct AccessDenied
{};

/// The key may have been revoked by a configuration that hasn't been read.
struct AccessUndecided
{};

using AccessDecision =
  std::variant<AccessGranted, AccessDenied, AccessUndecided>;

/// Decides whether a call with aKey, empty for none, may use the queue.
AccessDecision
CheckAccess(const WorkloadConfig& aConfig,
            const QueueConfig& aQueue,
            std::string_view aKey,
            const ConfigFreshness& aFreshness,
            TimePoint aNow);

/// Maximum age of the configuration at which no key is accepted later than
/// aRevocationDelay after its revocation.
Duration
MaxConfigAge(Duration aRevocationDelay);

/// Whether callers of one organisation may read or cancel a job of another.
/// Callers of public queues have none and are told of every job whose id they
/// know, as are callers of jobs that were submitted without a key.
bool
MayAccessJob(std::string_view aCaller, std::string_view aOwner);

} // namespace buckthornshunt

#endif
