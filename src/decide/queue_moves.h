#ifndef BUCKTHORNSHUNT_DECIDE_QUEUE_MOVES_H
#define BUCKTHORNSHUNT_DECIDE_QUEUE_MOVES_H

#include "buckthornshunt/workload.h"

#include <map>
#include <set>
#include <string>
#include <string_view>

namespace buckthornshunt {

/// Pools that queues used by earlier configurations. The cells of these pools
/// keep the jobs that they have accepted.
class QueueMoves
{
public:
  /// Records the queues that aAfter sends to another pool than aBefore.
  void Record(const WorkloadConfig& aBefore,
              const WorkloadConfig& aAfter,
              TimePoint aNow);

  /// Pools that the queue used before; may include its present one.
  std::set<std::string> EarlierPools(std::string_view aQueue) const;

private:
  /// When each queue left a pool.
  std::map<std::string, std::map<std::string, TimePoint>, std::less<>> mLeft;
};

} // namespace buckthornshunt

#endif
