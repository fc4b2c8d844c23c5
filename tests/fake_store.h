#ifndef BUCKTHORNSHUNT_TESTS_FAKE_STORE_H
#define BUCKTHORNSHUNT_TESTS_FAKE_STORE_H

#include "kernel/clock.h"
#include "ports/store.h"

#include <map>

namespace buckthornshunt::tests {

/// A store in memory, with the faults that a test asks for.
class FakeStore
{
public:
  explicit FakeStore(Clock& aClock)
    : mClock(aClock)
  {
  }

  /// The port through which services reach it.
  Store Port();

  /// Commits that take effect while their answer is lost.
  int mAnswersToLose = 0;
  /// Calls that are refused with nothing done.
  int mCallsToReject = 0;
  /// No call is answered.
  bool mUnresponsive = false;

  std::map<RowName, StoredRow> mRows;
  int mCommits = 0;

private:
  Task<Expected<StoreReply>> Call(StoreCall aCall, TimePoint aDeadline);
  StoreReply Commit(const ConditionalCommit& aCommit);
  StoreReply Scan(const ScanRows& aScan) const;
  StoreReply Follow(const ReadRowFeed& aFollow) const;

  Clock& mClock;
  std::uint64_t mRevision = 0;
};

} // namespace buckthornshunt::tests

#endif
