#include "services/cell_lease.h"

#include "kernel/log.h"
#include "wire/cell_codec.h"

#include <algorithm>

namespace buckthornshunt {

namespace {

constexpr std::string_view kPart = "tenure";

/// An owner stops sending orders this long before its lease ends, so that an
/// order checked just before still goes out within the lease.
constexpr Duration kLeaseSafetyMargin = std::chrono::milliseconds(200);
/// Timeouts of a commit's first and later attempts. The first is short, so that
/// a lost answer is resolved well within the lease, and longer only while the
/// store's answers are slow: an attempt that is given up delays the next one,
/// since the store still carries it out.
constexpr AnswerTimer::Bounds kFirstCommitTimeouts{
  std::chrono::milliseconds(350),
  std::chrono::milliseconds(2000),
  std::chrono::milliseconds(350)
};
constexpr Duration kCommitTimeout = std::chrono::milliseconds(900);
constexpr Duration kCommitRetryInterval = std::chrono::milliseconds(100);

RowName
OwnerRowName(std::string_view aCell)
{
  return { std::string(kCellTable),
           std::string(aCell),
           std::string(kOwnerKey) };
}

// Returns the owner row from the rows that a rejected commit lists.
std::optional<OwnerObservation>
FindOwner(const CommitRefused& aReply, const RowName& aName)
{
  for (const StoredRow& row : aReply.mRows) {
    if (row.mName == aName) {
      auto decoded =
        ToExpected<OwnerRow>([&] { return DecodeOwnerRow(row.mValue); });
      if (Ok(decoded)) {
        return OwnerObservation{ std::get<OwnerRow>(decoded),
                                 row.mRevision,
                                 {} };
      }
    }
  }
  return std::nullopt;
}

} // namespace

CellLease::CellLease(Kernel& aKernel,
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
  , mExpiry(aClaimSent + kOwnerLeaseDuration)
  , mAnswers(kFirstCommitTimeouts)
{
}

bool
CellLease::IsValid() const
{
  return !mLost && mKernel.GetClock().Now() + kLeaseSafetyMargin < mExpiry;
}

bool
CellLease::IsCommitOverdue() const
{
  return mCommitDueAt && mKernel.GetClock().Now() > *mCommitDueAt;
}

void
CellLease::MarkLost(std::string_view aWhy)
{
  if (!mLost) {
    mLost = true;
    LogWarn(
      kPart, "cell={} lease lost term={} why={}", mCell, mRow.mTerm, aWhy);
  }
}

void
CellLease::SetSealed(std::vector<std::string> aWorkers)
{
  mRow.mDrainingWorkers = std::move(aWorkers);
}

void
CellLease::SetQueues(std::vector<std::string> aQueues)
{
  mRow.mQueues = std::move(aQueues);
}

void
CellLease::SetClaimDelay(Duration aDelay)
{
  mRow.mClaimDelay = std::chrono::floor<std::chrono::milliseconds>(aDelay);
}

// Retries are idempotent: each commit changes the owner row, so a duplicate
// that arrives late finds another revision and is rejected.
Task<bool>
CellLease::Commit(ConditionalCommit aRows, bool aRelease, TimePoint aDeadline)
{
  Clock& clock = mKernel.GetClock();
  ++mRow.mSequence;
  mRow.mReleased = aRelease;
  mRow.mLease = LeaseFor(mCommitTime);
  RowName name = OwnerRowName(mCell);
  ConditionalCommit commit = std::move(aRows);
  commit.mConditions.push_back({ name, mRevision });
  commit.mPuts.push_back({ name, EncodeOwnerRow(mRow) });
  TimePoint firstSent = clock.Now();
  TimePoint giveUpAt =
    aRelease ? std::min(aDeadline, firstSent + kOwnerLeaseDuration) : aDeadline;
  // Other nodes may see a shorter lease than the present one from now on.
  mExpiry = std::min(mExpiry, firstSent + mRow.mLease);
  Duration timeout = mAnswers.Timeout();
  mCommitDueAt = firstSent + timeout;
  while (!mLost && clock.Now() < giveUpAt) {
    TimePoint sent = clock.Now();
    TimePoint deadline = std::min(sent + timeout, aDeadline);
    timeout = std::max(kCommitTimeout, mAnswers.UsualTimeout());
    auto reply = co_await CallStore(mStore, commit, deadline);
    if (Ok(reply)) {
      Duration took = clock.Now() - sent;
      mAnswers.OnAnswer(took);
      mCommitTime = took;
      const StoreReply& storeReply = std::get<StoreReply>(reply);
      if (const auto* done = std::get_if<CommitDone>(&storeReply)) {
        mCommitDueAt.reset();
        mRevision = done->mRevision;
        mExpiry = std::max(mExpiry, sent + mRow.mLease);
        co_return true;
      }
      if (const auto* refused = std::get_if<CommitRefused>(&storeReply)) {
        std::optional<OwnerObservation> owner = FindOwner(*refused, name);
        bool isOurs = owner && owner->mRow.mIncarnation == mRow.mIncarnation &&
                      owner->mRow.mTerm == mRow.mTerm;
        if (!isOurs) {
          MarkLost("another node wrote the owner row");
          co_return false;
        }
        // This node wrote the row: by this commit, whose answer was lost, or by
        // an earlier one that was cancelled before its answer.
        mRevision = owner->mRevision;
        if (owner->mRow.mSequence == mRow.mSequence) {
          mCommitDueAt.reset();
          mExpiry = std::max(mExpiry, firstSent + mRow.mLease);
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
      if (clock.Now() >= deadline) {
        mAnswers.OnTimeout();
      }
    }
    co_await clock.SleepUntil(std::min(sent + kCommitRetryInterval, aDeadline));
  }
  co_return false;
}

Task<std::optional<ClaimResult>>
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
  row.mClaimDelay = std::chrono::floor<std::chrono::milliseconds>(
    ClaimDelay(aSelf.mCapacity, 0));
  Revision before{};
  if (aSighting) {
    row.mDrainingWorkers = aSighting->mRow.mDrainingWorkers;
    row.mQueues = aSighting->mRow.mQueues;
    before = aSighting->mRevision;
  }
  RowName name = OwnerRowName(aCell);
  ConditionalCommit claim;
  claim.mConditions.push_back({ name, before });
  claim.mPuts.push_back({ name, EncodeOwnerRow(row) });
  TimePoint firstSent = clock.Now();
  while (true) {
    TimePoint deadline = clock.Now() + kCommitTimeout;
    auto reply = co_await CallStore(aStore, claim, deadline);
    if (Ok(reply)) {
      const StoreReply& storeReply = std::get<StoreReply>(reply);
      if (const auto* done = std::get_if<CommitDone>(&storeReply)) {
        co_return ClaimResult{ row, done->mRevision, firstSent };
      }
      if (const auto* refused = std::get_if<CommitRefused>(&storeReply)) {
        aSeen = FindOwner(*refused, name);
        bool isOurs = aSeen && aSeen->mRow == row;
        LogInfo(kPart,
                "claim cell={} term={} {}",
                aCell,
                row.mTerm,
                isOurs ? "took effect earlier"
                       : "rejected, another node changed the row");
        if (isOurs) {
          co_return ClaimResult{ row, aSeen->mRevision, firstSent };
        }
        co_return std::nullopt;
      }
    }
    LogWarn(kPart,
            "claim cell={} term={} outcome={}",
            aCell,
            row.mTerm,
            Ok(reply) ? "unexpected" : FailureName(std::get<Failure>(reply)));
    co_await clock.Sleep(kCommitRetryInterval);
  }
}

} // namespace buckthornshunt
