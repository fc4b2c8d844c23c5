#ifndef BUCKTHORNSHUNT_DECIDE_FAIR_SHARE_H
#define BUCKTHORNSHUNT_DECIDE_FAIR_SHARE_H

#include "buckthornshunt/workload.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace buckthornshunt {

/// Weighted fair sharing of a pool between organisations: start-time fair
/// queueing (Goyal, Vin, Cheng, 1996) with whole jobs as packets. Virtual time
/// is the core-seconds a unit of weight that the pool has served to each
/// organisation with jobs; a job's tag is the virtual time at which its
/// organisation's share reaches it.
///
/// Answers the load of one organisation that sends many times its share: its
/// own jobs get later and later tags, those of the others don't.
class FairShare
{
public:
  void SetConfig(const WorkloadConfig& aConfig);

  /// Whether organisations share the pool.
  bool IsActive() const { return !mWeights.empty(); }

  /// Advances virtual time by what aBusyCores have served since the last call,
  /// while the organisations in aJobs have that many jobs.
  void Advance(const std::map<std::string_view, std::size_t>& aJobs,
               double aBusyCores,
               TimePoint aNow);

  /// Tag of a job that is accepted now.
  double Add(std::string_view aOrganisation, double aCoreSeconds);

  /// Time until the organisation's share of aCores has finished its accepted
  /// jobs and another one of aCoreSeconds.
  Duration TimeToFinish(std::string_view aOrganisation,
                        double aCoreSeconds,
                        double aCores) const;

  /// Rank of a job with the tag: 0 for those within their organisation's share
  /// of aCores, and 1 more for each kRankInterval that it is ahead of it.
  int Rank(double aTag, double aCores) const;

  /// Tags closer together than this in time rank equal, so that objectives
  /// decide between them.
  static constexpr Duration kRankInterval = std::chrono::milliseconds(500);

private:
  double WeightOf(std::string_view aOrganisation) const;
  /// Seconds in which the share of aCores reaches virtual time aTag.
  double SecondsUntil(double aTag, double aCores, double aWeights) const;

  std::map<std::string, double, std::less<>> mWeights;
  double mVirtualTime = 0;
  /// Organisations with jobs, and the sum of their weights.
  std::set<std::string, std::less<>> mActive;
  double mActiveWeight = 0;
  /// Tags at which each organisation's accepted jobs end.
  std::map<std::string, double, std::less<>> mFinishTags;
  TimePoint mAdvancedAt = TimePoint::min();
};

} // namespace buckthornshunt

#endif
