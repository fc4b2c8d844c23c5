#include "decide/fair_share.h"

#include <algorithm>

namespace buckthornshunt {

namespace {

/// Longest step of virtual time, so that a pause of the process counts little.
constexpr Duration kMaxStep = std::chrono::seconds(1);
constexpr int kMaxRank = 1000;

} // namespace

void
FairShare::SetConfig(const WorkloadConfig& aConfig)
{
  mWeights.clear();
  if (!aConfig.mOrganisations) {
    return;
  }
  for (const OrganisationConfig& organisation : *aConfig.mOrganisations) {
    mWeights.emplace(organisation.mName, organisation.mWeight);
  }
  std::erase_if(mFinishTags, [&](const auto& aEntry) {
    return !mWeights.contains(aEntry.first);
  });
}

double
FairShare::WeightOf(std::string_view aOrganisation) const
{
  auto it = mWeights.find(aOrganisation);
  return it == mWeights.end() ? 0 : it->second;
}

// Public jobs belong to no organisation: their work takes room from all.
void
FairShare::Advance(const std::map<std::string_view, std::size_t>& aJobs,
                   double aBusyCores,
                   TimePoint aNow)
{
  if (mAdvancedAt != TimePoint::min() && mActiveWeight > 0) {
    Duration step = std::clamp(aNow - mAdvancedAt, Duration::zero(), kMaxStep);
    mVirtualTime += aBusyCores * ToSeconds(step) / mActiveWeight;
  }
  mActive.clear();
  mActiveWeight = 0;
  for (const auto& [organisation, jobs] : aJobs) {
    double weight = jobs > 0 ? WeightOf(organisation) : 0;
    if (weight > 0) {
      mActive.emplace(organisation);
      mActiveWeight += weight;
    }
  }
  mAdvancedAt = aNow;
}

double
FairShare::Add(std::string_view aOrganisation, double aCoreSeconds)
{
  double weight = WeightOf(aOrganisation);
  if (weight <= 0) {
    return mVirtualTime;
  }
  double& finish =
    mFinishTags.try_emplace(std::string(aOrganisation), mVirtualTime)
      .first->second;
  double start = std::max(finish, mVirtualTime);
  finish = start + aCoreSeconds / weight;
  return start;
}

double
FairShare::SecondsUntil(double aTag, double aCores, double aWeights) const
{
  return std::max(aTag - mVirtualTime, 0.0) * aWeights / aCores;
}

Duration
FairShare::TimeToFinish(std::string_view aOrganisation,
                        double aCoreSeconds,
                        double aCores) const
{
  double weight = WeightOf(aOrganisation);
  if (weight <= 0 || aCores <= 0) {
    return Duration::max();
  }
  auto it = mFinishTags.find(aOrganisation);
  double before = it == mFinishTags.end() ? mVirtualTime : it->second;
  double tag = std::max(before, mVirtualTime) + aCoreSeconds / weight;
  // An organisation without jobs gets its share with this one.
  double weights =
    mActiveWeight + (mActive.contains(aOrganisation) ? 0 : weight);
  constexpr double kMaxSeconds = 3600;
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
    std::min(SecondsUntil(tag, aCores, weights), kMaxSeconds)));
}

int
FairShare::Rank(double aTag, double aCores) const
{
  if (aCores <= 0) {
    return 0;
  }
  double rank =
    SecondsUntil(aTag, aCores, mActiveWeight) / ToSeconds(kRankInterval);
  return static_cast<int>(std::min<double>(rank, kMaxRank));
}

} // namespace buckthornshunt
