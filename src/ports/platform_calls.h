#ifndef BUCKTHORNSHUNT_PORTS_PLATFORM_CALLS_H
#define BUCKTHORNSHUNT_PORTS_PLATFORM_CALLS_H

#include "buckthornshunt/failure.h"
#include "buckthornshunt/types.h"
#include "decide/table_replica.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace buckthornshunt {

/// Reads all rows under a key prefix that changed after a revision.
struct ReadRows
{
  std::string mPrefix;
  Revision mAfter{};
};

/// Reads one row.
struct ReadRow
{
  std::string mKey;
};

/// One write of a commit, allowed only if the row still has the expected
/// revision; 0 for a row that must not exist.
struct RowWrite
{
  std::string mKey;
  std::string mValue;
  Revision mExpectedRevision{};
  bool mDelete = false;
};

/// Writes several rows atomically.
struct CommitRows
{
  std::vector<RowWrite> mWrites;
};

/// Lists the VMs of a data centre unless the list still has the given tag of an
/// earlier reply. The list may be out of date.
struct ListVms
{
  std::string mDataCentre;
  std::string mKnownTag;
};

/// Restarts a worker VM. The reply arrives when the restart has begun.
struct RebootVm
{
  std::string mVm;
};

struct PutObject
{
  std::string mName;
  std::string mBytes;
};

struct GetObject
{
  std::string mName;
};

using PlatformCall = std::variant<ReadRows,
                                  ReadRow,
                                  CommitRows,
                                  ListVms,
                                  RebootVm,
                                  PutObject,
                                  GetObject>;

/// The requested row; nullopt if it doesn't exist or was deleted.
struct RowRead
{
  std::optional<Row> mRow;
};

struct Committed
{
  Revision mRevision{};
};

/// VMs of a data centre; may be out of date.
struct VmList
{
  std::string mTag;
  /// The list still has the known tag; no other member is set.
  bool mUnchanged = false;
  std::vector<VmListing> mWorkers;
  /// Names of the entry VMs that haven't ended.
  std::vector<std::string> mEntryVms;
};

struct RebootStarted
{};

struct ObjectStored
{};

struct ObjectRead
{
  std::string mBytes;
};

using PlatformReply = std::variant<RowBatch,
                                   RowRead,
                                   Committed,
                                   VmList,
                                   RebootStarted,
                                   ObjectStored,
                                   ObjectRead>;

} // namespace buckthornshunt

#endif
