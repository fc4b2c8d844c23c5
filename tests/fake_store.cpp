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

namespace {

constexpr std::size_t kMaxEntries = 100;
constexpr std::size_t kMaxValueBytes = 65'536;
constexpr std::size_t kMaxCallBytes = 1'000'000;

} // namespace

bool
FakeStore::Accepts(const ConditionalCommit& aCommit)
{
  std::size_t entries =
    aCommit.mConditions.size() + aCommit.mPuts.size() + aCommit.mRemoves.size();
  std::size_t bytes = 0;
  bool accepted = entries <= kMaxEntries;
  for (const RowPut& put : aCommit.mPuts) {
    accepted = accepted && put.mValue.size() <= kMaxValueBytes;
    bytes += (put.mValue.size() + 2) / 3 * 4;
  }
  return accepted && bytes <= kMaxCallBytes;
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
    if (!Accepts(*commit)) {
      ++mInvalidCommits;
      co_return Failure(MessageFailure{ MessageFault::TooLarge, "entries" });
    }
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
