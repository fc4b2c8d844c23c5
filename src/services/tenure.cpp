#include "services/tenure.h"

#include "kernel/log.h"
#include "wire/cell_codec.h"

#include <algorithm>

namespace buckthornshunt {

namespace {

constexpr std::string_view kPart = "tenure";

/// An owner stops acting this much before its lease ends, so that an order
/// which was just checked still goes out within it.
constexpr Duration kActMargin = std::chrono::milliseconds(200);
/// Time for the first attempt of a commit, so that a lost answer is settled
/// well within the lease, and for later ones. A store that is slowed down sixty
/// times, as the platform's pages allow, takes 240 ms.
constexpr Duration kFirstTimeout = std::chrono::milliseconds(400);
constexpr Duration kCommitTimeout = std::chrono::milliseconds(900);
/// A commit that takes longer than this has met trouble at the store.
constexpr Duration kCommitLate = std::chrono::milliseconds(350);
constexpr Duration kCommitRetry = std::chrono::milliseconds(100);

RowName
OwnerRowName(std::string_view aCell)
{
  return { std::string(kCellTable),
           std::string(aCell),
           std::string(kOwnerKey) };
}

// The owner row among the rows that a refused commit shows.
std::optional<OwnerObservation>
FindOwner(const CommitRefused& aReply, const RowName& aName)
{
  for (const StoredRow& row : aReply.mRows) {
    if (row.mName == aName) {
      auto held =
        ToExpected<OwnerRow>([&] { return DecodeOwnerRow(row.mValue); });
      if (Ok(held)) {
        return OwnerObservation{ std::get<OwnerRow>(held), row.mRevision, {} };
      }
    }
  }
  return std::nullopt;
}

} // namespace

Tenure::Tenure(Kernel& aKernel,
               Store& aStore,
               std::string_view aCell,
               OwnerRow aRow,
               Revision aRevision,
               TimePoint aClaimSent)
  : mKernel(aKernel)
  , mStore(aStore)
  , mCell(aCell)
  , mRow(std::move(aRow))
  , mRevision(aRevision)
  , mToken(ToNumber(aRevision))
  , mActUntil(aClaimSent + kOwnerLeaseDuration)
{
}

bool
Tenure::MayAct() const
{
  return !mLost && mKernel.GetClock().Now() + kActMargin < mActUntil;
}

bool
Tenure::CommitIsLate() const
{
  return mCommitSent && mKernel.GetClock().Now() > *mCommitSent + kCommitLate;
}

void
Tenure::MarkLost(std::string_view aWhy)
{
  if (!mLost) {
    mLost = true;
    LogWarn(kPart, "cell={} lost term={} why={}", mCell, mRow.mTerm, aWhy);
  }
}

void
Tenure::SetSealed(std::vector<std::string> aWorkers)
{
  mRow.mDrainingWorkers = std::move(aWorkers);
}

// Repetitions are harmless: each commit changes the owner row, so that a copy
// which arrives late finds another revision.
Task<bool>
Tenure::Commit(ConditionalCommit aRows, bool aRelease)
{
  Clock& clock = mKernel.GetClock();
  ++mRow.mSequence;
  mRow.mReleased = aRelease;
  RowName name = OwnerRowName(mCell);
  ConditionalCommit commit = std::move(aRows);
  commit.mConditions.push_back({ name, mRevision });
  commit.mPuts.push_back({ name, EncodeOwnerRow(mRow) });
  TimePoint firstSent = clock.Now();
  mCommitSent = firstSent;
  Duration patience = kFirstTimeout;
  while (!mLost) {
    TimePoint sent = clock.Now();
    if (aRelease && sent > firstSent + kOwnerLeaseDuration) {
      co_return false;
    }
    TimePoint due = sent + patience;
    patience = kCommitTimeout;
    auto reply = co_await CallStore(mStore, commit, due);
    if (Ok(reply)) {
      const StoreReply& held = std::get<StoreReply>(reply);
      if (const auto* done = std::get_if<CommitDone>(&held)) {
        mCommitSent.reset();
        mRevision = done->mRevision;
        mActUntil = std::max(mActUntil, sent + kOwnerLeaseDuration);
        co_return true;
      }
      if (const auto* refused = std::get_if<CommitRefused>(&held)) {
        std::optional<OwnerObservation> owner = FindOwner(*refused, name);
        bool ours = owner && owner->mRow.mIncarnation == mRow.mIncarnation &&
                    owner->mRow.mTerm == mRow.mTerm;
        if (!ours) {
          MarkLost("another node wrote the owner row");
          co_return false;
        }
        // The row holds what this node wrote: this commit, whose answer was
        // lost, or an earlier one that was cut off before its answer.
        mRevision = owner->mRevision;
        if (owner->mRow.mSequence == mRow.mSequence) {
          mCommitSent.reset();
          mActUntil = std::max(mActUntil, firstSent + kOwnerLeaseDuration);
          co_return true;
        }
        commit.mConditions.back().mRevision = mRevision;
        continue;
      }
    } else {
      LogWarn(kPart,
              "commit cell={} seq={} outcome={}",
              mCell,
              mRow.mSequence,
              FailureName(std::get<Failure>(reply)));
    }
    co_await clock.Sleep(kCommitRetry);
  }
  co_return false;
}

Task<std::optional<ClaimWon>>
ClaimCell(Kernel& aKernel,
          Store& aStore,
          std::string aCell,
          LocalNode aSelf,
          std::optional<OwnerObservation> aSighting,
          std::optional<OwnerObservation>& aSeen)
{
  Clock& clock = aKernel.GetClock();
  OwnerRow row;
  row.mNode = aSelf.mNode;
  row.mPeerEndpoint = aSelf.mPeerEndpoint;
  row.mIncarnation = aSelf.mIncarnation;
  row.mTerm = aSighting ? aSighting->mRow.mTerm + 1 : 1;
  row.mSequence = 1;
  row.mBaseClaimDelay = std::chrono::floor<std::chrono::milliseconds>(
    ClaimDelay(aSelf.mCapacity, 0));
  Revision before{};
  if (aSighting) {
    row.mDrainingWorkers = aSighting->mRow.mDrainingWorkers;
    before = aSighting->mRevision;
  }
  RowName name = OwnerRowName(aCell);
  ConditionalCommit claim;
  claim.mConditions.push_back({ name, before });
  claim.mPuts.push_back({ name, EncodeOwnerRow(row) });
  TimePoint firstSent = clock.Now();
  while (true) {
    TimePoint due = clock.Now() + kCommitTimeout;
    auto reply = co_await CallStore(aStore, claim, due);
    if (Ok(reply)) {
      const StoreReply& held = std::get<StoreReply>(reply);
      if (const auto* done = std::get_if<CommitDone>(&held)) {
        co_return ClaimWon{ row, done->mRevision, firstSent };
      }
      if (const auto* refused = std::get_if<CommitRefused>(&held)) {
        aSeen = FindOwner(*refused, name);
        bool ours = aSeen && aSeen->mRow == row;
        LogInfo(kPart,
                "claim cell={} term={} {}",
                aCell,
                row.mTerm,
                ours ? "had taken effect" : "lost to another node");
        if (ours) {
          co_return ClaimWon{ row, aSeen->mRevision, firstSent };
        }
        co_return std::nullopt;
      }
    }
    LogWarn(kPart,
            "claim cell={} term={} outcome={}",
            aCell,
            row.mTerm,
            Ok(reply) ? "unexpected" : FailureName(std::get<Failure>(reply)));
    co_await clock.Sleep(kCommitRetry);
  }
}

} // namespace buckthornshunt
