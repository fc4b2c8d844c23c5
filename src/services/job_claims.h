#ifndef BUCKTHORNSHUNT_SERVICES_JOB_CLAIMS_H
#define BUCKTHORNSHUNT_SERVICES_JOB_CLAIMS_H

#include "kernel/kernel.h"
#include "wire/row_codec.h"

#include <optional>
#include <string>
#include <string_view>

namespace buckthornshunt {

class TableService;

/// A claim and the version that a change of it must name.
struct VersionedClaim
{
  std::optional<StoredClaim> mClaim;
  Revision mRevision{};
};

/// Claims of durable jobs, kept within the jobs' own rows. A job's state
/// follows from its claim: started, it runs; finished, it is done; released,
/// it waits again.
class JobClaims
{
public:
  explicit JobClaims(TableService& aTable)
    : mTable(&aTable)
  {
  }

  Task<Expected<VersionedClaim>> Load(std::string aKey, TimePoint aDeadline);

  /// Fails with StateConflict if the job was cancelled meanwhile.
  Task<Expected<Revision>> Save(std::string aKey,
                                StoredClaim aClaim,
                                Revision aExpected,
                                TimePoint aDeadline);

private:
  TableService* mTable;
};

} // namespace buckthornshunt

#endif
