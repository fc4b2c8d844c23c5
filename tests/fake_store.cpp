#include "fake_store.h"

#include <algorithm>

namespace buckthornshunt::tests {

Store
FakeStore::Port()
{
  return InProcessStore{ [this](StoreCall aCall, TimePoint aDeadline) {
    return Call(std::move(aCall), aDeadline);
  } };
}

StoreReply
FakeStore::Commit(const ConditionalCommit& aCommit)
{
  CommitRefused refused;
  bool holds = true;
  for (const RowCondition& condition : aCommit.mConditions) {
    auto it = mRows.find(condition.mName);
    Revision now = it == mRows.end() ? Revision{} : it->second.mRevision;
    holds = holds && now == condition.mRevision;
    if (it != mRows.end()) {
      refused.mRows.push_back(it->second);
    }
  }
  if (!holds) {
    return refused;
  }
  ++mCommits;
  ++mRevision;
  for (const RowPut& put : aCommit.mPuts) {
    mRows[put.mName] = { put.mName, put.mValue, Revision(mRevision), false };
  }
  for (const RowName& name : aCommit.mRemoves) {
    mRows.erase(name);
  }
  return CommitDone{ Revision(mRevision) };
}

StoreReply
FakeStore::Scan(const ScanRows& aScan) const
{
  RowScanPage scanned;
  for (const auto& [name, row] : mRows) {
    if (name.mTable == aScan.mTable && name.mPartition == aScan.mPartition &&
        name.mKey >= aScan.mFirstKey) {
      scanned.mRows.push_back(row);
    }
  }
  scanned.mRevision = Revision(mRevision);
  return scanned;
}

StoreReply
FakeStore::Follow(const ReadRowFeed& aFollow) const
{
  RowFeedPage followed;
  for (const auto& [name, row] : mRows) {
    if (name.mTable == aFollow.mTable && row.mRevision > aFollow.mAfter) {
      followed.mRows.push_back(row);
    }
  }
  followed.mRevision = Revision(mRevision);
  return followed;
}

Task<Expected<StoreReply>>
FakeStore::Call(StoreCall aCall, TimePoint aDeadline)
{
  co_await mClock.Sleep(mLatency);
  if (mUnresponsive) {
    co_await mClock.SleepUntil(aDeadline);
    co_return Failure(TimeoutFailure{});
  }
  if (mCallsToReject > 0) {
    --mCallsToReject;
    co_return Failure(StoreUnavailable{});
  }
  if (const auto* commit = std::get_if<ConditionalCommit>(&aCall)) {
    ++mCommitCalls;
    StoreReply reply = Commit(*commit);
    TimePoint answered = mClock.Now() + mCommitReplyLatency;
    co_await mClock.SleepUntil(std::min(answered, aDeadline));
    if (answered > aDeadline) {
      co_return Failure(TimeoutFailure{});
    }
    if (mAnswersToLose > 0) {
      --mAnswersToLose;
      co_return Failure(ConnectionLost{});
    }
    co_return reply;
  }
  if (const auto* scan = std::get_if<ScanRows>(&aCall)) {
    co_return Scan(*scan);
  }
  co_return Follow(std::get<ReadRowFeed>(aCall));
}

} // namespace buckthornshunt::tests
