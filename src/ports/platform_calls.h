#ifndef BUCKTHORNSHUNT_PORTS_PLATFORM_CALLS_H
#define BUCKTHORNSHUNT_PORTS_PLATFORM_CALLS_H

#include "buckthornshunt/failure.h"
#include "buckthornshunt/types.h"
#include "decide/table_view.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace buckthornshunt {

/// Asks for every row under a prefix that changed after a revision.
struct ReadRows
{
  std::string mPrefix;
  Revision mAfter{};
};

/// Asks for one row.
struct ReadRow
{
  std::string mKey;
};

/// One write of a commit, allowed only if the row still has the revision that
/// the writer saw; 0 stands for a row that doesn't exist.
struct RowWrite
{
  std::string mKey;
  std::string mValue;
  Revision mExpectedRevision{};
  bool mDelete = false;
};

/// Writes several rows at once, or none.
struct CommitRows
{
  std::vector<RowWrite> mWrites;
};

/// Asks for the lagging list of the VMs of a data centre, unless the list
/// still has the tag of an earlier answer.
struct ListVms
{
  std::string mDataCentre;
  std::string mKnownTag;
};

/// Asks to restart a worker VM. The answer comes when the restart has begun.
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

/// The row asked for; none if it doesn't exist or was deleted.
struct RowRead
{
  std::optional<Row> mRow;
};

struct Committed
{
  Revision mRevision{};
};

/// VMs as the platform saw them some time ago.
struct VmList
{
  std::string mTag;
  /// The list equals the one of the known tag; nothing else is filled in.
  bool mUnchanged = false;
  std::vector<VmListing> mWorkers;
  /// Names of the entry VMs that have not ended.
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
