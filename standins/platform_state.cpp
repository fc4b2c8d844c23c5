#include "standins/platform_state.h"

#include "kernel/trace.h"
#include "wire/digest.h"

#include <algorithm>

namespace buckthornshunt::standins {

namespace {

std::string
ComputeTag(const VmList& aList)
{
  std::string text;
  for (const VmListing& vm : aList.mWorkers) {
    text += vm.mVm + "/" + vm.mRack + "/" + ToString(vm.mEndpoint) +
            (vm.mLeaving ? "-;" : "+;");
  }
  for (const std::string& name : aList.mEntryVms) {
    text += name + ";";
  }
  return "\"" + FormatId(BodyDigest(text)) + "\"";
}

} // namespace

// Newest revision that reads return, mStaleCommits behind the table.
Revision
PlatformState::VisibleRevision() const
{
  std::uint64_t now = ToNumber(mRevision);
  return Revision(now - std::min(now, mFaults.mStaleCommits));
}

RowBatch
PlatformState::Read(const ReadRows& aCall) const
{
  Revision visible = VisibleRevision();
  std::map<std::string_view, const Row*> newest;
  auto from = std::upper_bound(mLog.begin(),
                               mLog.end(),
                               aCall.mAfter,
                               [](Revision aRevision, const Row& aRow) {
                                 return aRevision < aRow.mRevision;
                               });
  for (auto it = from; it != mLog.end() && it->mRevision <= visible; ++it) {
    if (std::string_view(it->mKey).starts_with(aCall.mPrefix)) {
      newest[it->mKey] = &*it;
    }
  }
  RowBatch batch;
  batch.mAfter = aCall.mAfter;
  batch.mUpTo = visible;
  for (const auto& [key, row] : newest) {
    batch.mRows.push_back(*row);
  }
  return batch;
}

std::optional<Row>
PlatformState::ReadOne(std::string_view aKey) const
{
  auto it = mRows.find(aKey);
  if (it == mRows.end() || it->second.mDeleted) {
    return std::nullopt;
  }
  if (it->second.mRevision <= VisibleRevision()) {
    return it->second;
  }
  std::optional<Row> found;
  for (const Row& row : mLog) {
    if (row.mKey == aKey && row.mRevision <= VisibleRevision()) {
      found = row;
    }
  }
  return found && !found->mDeleted ? found : std::nullopt;
}

Expected<PlatformReply>
PlatformState::Commit(const CommitRows& aCall, WallTime aNow)
{
  ++mCommits;
  for (const RowWrite& write : aCall.mWrites) {
    auto it = mRows.find(write.mKey);
    bool exists = it != mRows.end() && !it->second.mDeleted;
    Revision current = exists ? it->second.mRevision : Revision{};
    if (current != write.mExpectedRevision) {
      return Failure(CommitConflict{ write.mKey, current });
    }
  }
  mRevision = Next(mRevision);
  for (const RowWrite& write : aCall.mWrites) {
    std::string value = write.mDelete ? std::string() : write.mValue;
    Row row{ write.mKey, std::move(value), mRevision, aNow, write.mDelete };
    mRows[write.mKey] = row;
    mLog.push_back(std::move(row));
  }
  return PlatformReply(Committed{ mRevision });
}

struct PlatformState::Handler
{
  PlatformState& mState;
  WallTime mNow;

  Expected<PlatformReply> operator()(const ReadRows& aCall) const
  {
    return PlatformReply(mState.Read(aCall));
  }
  Expected<PlatformReply> operator()(const ReadRow& aCall) const
  {
    return PlatformReply(RowRead{ mState.ReadOne(aCall.mKey) });
  }
  Expected<PlatformReply> operator()(const CommitRows& aCall) const
  {
    return mState.Commit(aCall, mNow);
  }
  Expected<PlatformReply> operator()(const ListVms& aCall) const
  {
    VmList list;
    for (const VmListing& vm : mState.mVms.mWorkers) {
      if (vm.mDataCentre == aCall.mDataCentre) {
        list.mWorkers.push_back(vm);
      }
    }
    list.mEntryVms = mState.mVms.mEntryVms;
    list.mTag = ComputeTag(list);
    if (list.mTag == aCall.mKnownTag) {
      list.mUnchanged = true;
      list.mWorkers.clear();
      list.mEntryVms.clear();
    }
    return PlatformReply(std::move(list));
  }
  Expected<PlatformReply> operator()(const RebootVm& aCall) const
  {
    if (mState.mOnReboot) {
      mState.mOnReboot(aCall.mVm);
    }
    return PlatformReply(RebootStarted{});
  }
  Expected<PlatformReply> operator()(const PutObject& aCall) const
  {
    mState.mObjects[aCall.mName] = aCall.mBytes;
    return PlatformReply(ObjectStored{});
  }
  Expected<PlatformReply> operator()(const GetObject& aCall) const
  {
    auto it = mState.mObjects.find(aCall.mName);
    if (it == mState.mObjects.end()) {
      return Failure(NotFound{ aCall.mName });
    }
    return PlatformReply(ObjectRead{ it->second });
  }
};

Expected<PlatformReply>
PlatformState::Handle(const PlatformCall& aCall, WallTime aNow)
{
  ++mCalls;
  return std::visit(Handler{ *this, aNow }, aCall);
}

namespace {

Task<Expected<PlatformReply>>
CallInProcess(PlatformState& aState,
              Clock& aClock,
              std::string aDataCentre,
              PlatformCall aCall,
              TimePoint aDeadline)
{
  PlatformFaults& faults = aState.Faults();
  if (faults.mDown || faults.mUnreachableFrom.contains(aDataCentre)) {
    co_return Failure(StoreUnavailable{});
  }
  if (faults.mDelay > Duration::zero()) {
    co_await aClock.SleepUntil(
      std::min(aDeadline, aClock.Now() + faults.mDelay));
  }
  bool commit = std::holds_alternative<CommitRows>(aCall);
  bool deadlinePassed =
    aClock.Now() >= aDeadline && faults.mDelay > Duration::zero();
  if (commit && faults.mLoseCommits > 0) {
    --faults.mLoseCommits;
    co_await aClock.SleepUntil(aDeadline);
    co_return Failure(TimeoutFailure{});
  }
  Expected<PlatformReply> reply = aState.Handle(aCall, aClock.WallNow());
  if (commit && faults.mLoseAnswers > 0) {
    --faults.mLoseAnswers;
    co_return Failure(ConnectionLost{});
  }
  if (deadlinePassed) {
    co_return Failure(TimeoutFailure{});
  }
  co_return reply;
}

} // namespace

Platform
MakePlatformPort(PlatformState& aState,
                 Clock& aClock,
                 std::string_view aDataCentre)
{
  std::string dataCentre(aDataCentre);
  return InProcessPlatform{ [&aState, &aClock, dataCentre](
                              PlatformCall aCall, TimePoint aDeadline) {
    return CallInProcess(
      aState, aClock, dataCentre, std::move(aCall), aDeadline);
  } };
}

} // namespace buckthornshunt::standins
