#ifndef BUCKTHORNSHUNT_SERVICES_JOB_CLAIMS_H
#define BUCKTHORNSHUNT_SERVICES_JOB_CLAIMS_H

#include "kernel/kernel.h"
#include "wire/row_codec.h"

#include <optional>
#include <string>
#include <string_view>

namespace buckthornshunt {

class TableService;

/// A claim and the revision that an update of it must expect.
struct VersionedClaim
{
  std::optional<StoredClaim> mClaim;
  Revision mRevision{};
};

/// Claims of durable jobs, stored in the jobs' own rows. A job's state follows
/// its claim's: Started is Running, Finished is Done or Failed, Released is
/// Queued.
class JobClaims
{
public:
  explicit JobClaims(TableService& aTable)
    : mTable(&aTable)
  {
  }

  Task<Expected<VersionedClaim>> Load(std::string aKey, TimePoint aDeadline);

  /// Fails with StateConflict if the job has reached a final state meanwhile.
  Task<Expected<Revision>> Save(std::string aKey,
                                StoredClaim aClaim,
                                Revision aExpected,
                                TimePoint aDeadline);

private:
  TableService* mTable;
};

} // namespace buckthornshunt

#endif
