#ifndef BUCKTHORNSHUNT_TESTS_FAKE_STORE_H
#define BUCKTHORNSHUNT_TESTS_FAKE_STORE_H

#include "kernel/clock.h"
#include "ports/store.h"

#include <map>

namespace buckthornshunt::tests {

/// In-memory store with fault injection.
class FakeStore
{
public:
  explicit FakeStore(Clock& aClock)
    : mClock(aClock)
  {
  }

  /// Port through which services reach the store.
  Store Port();

  /// Number of commits that take effect while their answer is lost.
  int mAnswersToLose = 0;
  /// Number of calls that are rejected without effect.
  int mCallsToReject = 0;
  /// Time that a call takes.
  Duration mLatency = std::chrono::milliseconds(4);
  /// Time from the effect of a commit to its answer.
  Duration mCommitReplyLatency{};
  /// If set, every call times out.
  bool mUnresponsive = false;

  std::map<RowName, StoredRow> mRows;
  int mCommits = 0;
  /// Commits that were received, also those that were refused.
  int mCommitCalls = 0;
  /// Commits beyond a limit of the platform's store, refused without effect.
  int mInvalidCommits = 0;

private:
  Task<Expected<StoreReply>> Call(StoreCall aCall, TimePoint aDeadline);
  /// Whether a commit keeps the limits of the platform's store.
  static bool Accepts(const ConditionalCommit& aCommit);
  StoreReply Commit(const ConditionalCommit& aCommit);
  StoreReply Scan(const ScanRows& aScan) const;
  StoreReply Follow(const ReadRowFeed& aFollow) const;

  Clock& mClock;
  std::uint64_t mRevision = 0;
};

} // namespace buckthornshunt::tests

#endif
