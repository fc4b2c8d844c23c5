#include "decide/quota_ledger.h"

#include <algorithm>
#include <array>
#include <limits>

namespace buckthornshunt {

namespace {

using Amount = std::int64_t Resources::*;
constexpr std::array<Amount, 3> kAmounts = { &Resources::mCpuMillis,
                                             &Resources::mMemoryMb,
                                             &Resources::mGpus };

constexpr Resources kUnlimited{ std::numeric_limits<std::int64_t>::max(),
                                std::numeric_limits<std::int64_t>::max(),
                                std::numeric_limits<std::int64_t>::max() };
/// A rising grant leaves this part of the need as room to grow, so that a
/// growing demand takes few writes.
constexpr std::int64_t kHeadroomDivisor = 2;
/// Without demand a cell keeps this part of an even share, with which it starts
/// the first tasks of a peak.
constexpr std::int64_t kStandingShareDivisor = 2;
/// Interval before a write that only lowers the grant or changes the want.
constexpr Duration kMinWriteInterval = std::chrono::milliseconds(100);
/// Cells whose next task is larger than their share use the maximum by turns of
/// this length, with a pause in which the others can take theirs.
constexpr Duration kTurnLength = std::chrono::milliseconds(500);
constexpr Duration kTurnPause = std::chrono::milliseconds(200);

bool
IsLimitedBy(const Resources& aMaximum)
{
  return aMaximum != Resources{};
}

// Largest equal share of aTotal with which no need gets more than it asks for.
std::int64_t
MaxMinShare(std::int64_t aTotal,
            std::int64_t aOwnNeed,
            std::vector<std::int64_t> aOtherNeeds)
{
  aOtherNeeds.push_back(aOwnNeed);
  std::sort(aOtherNeeds.begin(), aOtherNeeds.end());
  std::int64_t left = aTotal;
  for (std::size_t i = 0; i < aOtherNeeds.size(); ++i) {
    auto sharers = static_cast<std::int64_t>(aOtherNeeds.size() - i);
    std::int64_t even = std::max<std::int64_t>(left, 0) / sharers;
    if (aOtherNeeds[i] >= even) {
      return std::min(aOwnNeed, even);
    }
    left -= aOtherNeeds[i];
    if (aOtherNeeds[i] == aOwnNeed) {
      return aOwnNeed;
    }
  }
  return aOwnNeed;
}

} // namespace

bool
FitsAllowance(const Resources& aMaximum,
              const Resources& aAllowance,
              const Resources& aHeld,
              const Resources& aNeed)
{
  return std::all_of(kAmounts.begin(), kAmounts.end(), [&](Amount aAmount) {
    return aMaximum.*aAmount == 0 ||
           aHeld.*aAmount + aNeed.*aAmount <= aAllowance.*aAmount;
  });
}

QuotaLedger::QuotaLedger(std::string_view aCell, std::uint32_t aTerm)
  : mCell(aCell)
  , mTerm(aTerm)
{
}

void
QuotaLedger::SetConfig(const WorkloadConfig& aConfig, std::size_t aCells)
{
  mCells = std::max<std::size_t>(aCells, 1);
  mMaxima.clear();
  if (!aConfig.mOrganisations) {
    return;
  }
  for (const OrganisationConfig& organisation : *aConfig.mOrganisations) {
    if (IsLimitedBy(organisation.mMaximum)) {
      mMaxima.emplace(organisation.mName, organisation.mMaximum);
    }
  }
}

const Resources*
QuotaLedger::MaximumOf(std::string_view aOrganisation) const
{
  auto it = mMaxima.find(aOrganisation);
  return it == mMaxima.end() ? nullptr : &it->second;
}

void
QuotaLedger::OnRow(std::string_view aOrganisation,
                   const QuotaRow& aRow,
                   Revision aRevision)
{
  auto [it, added] = mKnown.try_emplace(std::string(aOrganisation));
  if (added || aRevision > it->second.mRevision) {
    it->second.mRow = aRow;
    it->second.mRevision = aRevision;
    it->second.mUnreadable = false;
  }
}

void
QuotaLedger::OnUnreadableRow(std::string_view aOrganisation)
{
  mKnown[std::string(aOrganisation)].mUnreadable = true;
}

QuotaGrant
QuotaLedger::Own(const Known& aKnown) const
{
  auto it = aKnown.mRow.find(mCell);
  return it == aKnown.mRow.end() ? QuotaGrant{} : it->second;
}

QuotaLedger::Shares
QuotaLedger::SharesOf(const Known& aKnown,
                      const Resources& aMaximum,
                      Amount aAmount) const
{
  Shares shares;
  shares.mMaximum = aMaximum.*aAmount;
  for (const auto& [cell, grant] : aKnown.mRow) {
    std::int64_t granted = grant.mGranted.*aAmount;
    std::int64_t wanted = grant.mWanted.*aAmount;
    if (cell == mCell) {
      shares.mGranted = granted;
      continue;
    }
    shares.mGrantedToOthers += granted;
    shares.mOtherNeeds.push_back(std::max(granted, wanted));
    shares.mOthersWant = shares.mOthersWant || wanted > granted;
  }
  return shares;
}

std::optional<Resources>
QuotaLedger::InheritedGrant(std::string_view aOrganisation) const
{
  auto known = mKnown.find(aOrganisation);
  if (known == mKnown.end()) {
    return std::nullopt;
  }
  QuotaGrant own = Own(known->second);
  if (!mClaimed.contains(aOrganisation) && own.mSequence != 0) {
    return own.mGranted;
  }
  return known->second.mInheritedGrant;
}

// A write of an earlier owner may still lower the grant of a row that this one
// hasn't written yet.
Resources
QuotaLedger::Allowance(std::string_view aOrganisation) const
{
  auto known = mKnown.find(aOrganisation);
  auto maximum = mMaxima.find(aOrganisation);
  if (known == mKnown.end() || maximum == mMaxima.end() ||
      !mClaimed.contains(aOrganisation)) {
    return {};
  }
  Resources allowance = Own(known->second).mGranted;
  auto limit = [&](const Resources& aLimit) {
    for (Amount amount : kAmounts) {
      allowance.*amount = std::min(allowance.*amount, aLimit.*amount);
    }
  };
  if (known->second.mStartLimit) {
    limit(*known->second.mStartLimit);
  }
  for (const QuotaWrite& write : mInFlight) {
    auto own = write.mRow.find(mCell);
    if (write.mOrganisation == aOrganisation && own != write.mRow.end()) {
      limit(own->second.mGranted);
    }
  }
  return allowance;
}

// Shares are max-min fair. What the others have been granted counts as their
// need; one that needs less lowers its grant when it sees a want. What runs is
// never stopped for a grant, and is always granted, so that the others know.
QuotaLedger::NextShare
QuotaLedger::Next(const Shares& aShares,
                  std::int64_t aHeld,
                  std::int64_t aNeeded,
                  bool aFirst) const
{
  std::int64_t needed = std::min(aNeeded, aShares.mMaximum);
  std::int64_t available =
    std::max<std::int64_t>(aShares.mMaximum - aShares.mGrantedToOthers, 0);
  bool exceeded =
    aShares.mGranted + aShares.mGrantedToOthers > aShares.mMaximum;
  NextShare next{ aShares.mGranted, 0, std::nullopt };
  std::int64_t target = 0;
  if (aShares.mOthersWant || exceeded) {
    target = std::min(
      MaxMinShare(aShares.mMaximum, needed, aShares.mOtherNeeds), available);
    next.mLimit = target;
    next.mGranted = std::min(next.mGranted, std::max(aHeld, target));
  } else {
    std::int64_t standing = aShares.mMaximum /
                            static_cast<std::int64_t>(mCells) /
                            kStandingShareDivisor;
    target = std::max(needed + needed / kHeadroomDivisor, standing);
  }
  if (needed > next.mGranted || aFirst) {
    next.mGranted = std::max(next.mGranted, std::min(target, available));
  }
  next.mGranted = std::max(next.mGranted, aHeld);
  if (needed > next.mGranted) {
    next.mWanted = needed;
  }
  return next;
}

QuotaGrant
QuotaLedger::UpdateGrant(Known& aKnown,
                         const Resources& aMaximum,
                         const QuotaUse& aUse,
                         TimePoint aNow) const
{
  bool first = Own(aKnown).mSequence == 0;
  QuotaGrant grant;
  Resources limit = kUnlimited;
  for (Amount amount : kAmounts) {
    if (aMaximum.*amount == 0) {
      continue;
    }
    NextShare next = Next(SharesOf(aKnown, aMaximum, amount),
                          aUse.mHeld.*amount,
                          aUse.mNeeded.*amount,
                          first);
    grant.mGranted.*amount = next.mGranted;
    grant.mWanted.*amount = next.mWanted;
    limit.*amount = next.mLimit.value_or(limit.*amount);
  }
  aKnown.mStartLimit.reset();
  if (limit != kUnlimited) {
    aKnown.mStartLimit = limit;
  }
  TakeTurn(aKnown, aMaximum, aUse, grant, aNow);
  GrantOversizedTask(aKnown, aMaximum, aUse, grant);
  return grant;
}

// Where cells share a maximum evenly, each share may be too small for a task
// although the maximum isn't. Such a cell gives up what it doesn't hold, and
// takes what the task needs once the others leave as much.
void
QuotaLedger::TakeTurn(Known& aKnown,
                      const Resources& aMaximum,
                      const QuotaUse& aUse,
                      QuotaGrant& aNext,
                      TimePoint aNow) const
{
  Resources needed = aUse.mHeld;
  needed += aUse.mNextTask;
  bool beyondShare = aUse.mNextTask != Resources{} && aKnown.mStartLimit &&
                     !FitsAllowance(aMaximum, *aKnown.mStartLimit, {}, needed);
  if (!beyondShare) {
    aKnown.mTurnBegan.reset();
    return;
  }
  if (aKnown.mTurnBegan && aNow >= *aKnown.mTurnBegan + kTurnLength) {
    aKnown.mTurnBegan.reset();
    aKnown.mTurnEnded = aNow;
  }
  bool left = true;
  for (Amount amount : kAmounts) {
    Shares shares = SharesOf(aKnown, aMaximum, amount);
    left =
      left && (aMaximum.*amount == 0 ||
               shares.mGrantedToOthers + needed.*amount <= shares.mMaximum);
  }
  bool pauses = aNow < aKnown.mTurnEnded + kTurnPause;
  bool takes = left && (aKnown.mTurnBegan || !pauses);
  if (takes) {
    aKnown.mTurnBegan = aKnown.mTurnBegan.value_or(aNow);
    aKnown.mStartLimit = needed;
  }
  for (Amount amount : kAmounts) {
    if (aMaximum.*amount != 0) {
      aNext.mGranted.*amount = takes ? needed.*amount : aUse.mHeld.*amount;
    }
  }
}

// A task that doesn't fit beside the little that runs would never start. The
// platform's bound allows one task more than the maximum, so a single cell may
// exceed it while no more than half of it is granted elsewhere and in use here.
void
QuotaLedger::GrantOversizedTask(Known& aKnown,
                                const Resources& aMaximum,
                                const QuotaUse& aUse,
                                QuotaGrant& aNext) const
{
  if (aUse.mNextTask == Resources{}) {
    return;
  }
  Resources needed = aUse.mHeld;
  needed += aUse.mNextTask;
  bool exceeds = false;
  for (Amount amount : kAmounts) {
    if (aMaximum.*amount == 0) {
      continue;
    }
    Shares shares = SharesOf(aKnown, aMaximum, amount);
    std::int64_t inUse = shares.mGrantedToOthers + aUse.mHeld.*amount;
    if (inUse > shares.mMaximum / 2) {
      return;
    }
    exceeds =
      exceeds || shares.mGrantedToOthers + needed.*amount > shares.mMaximum;
  }
  if (!exceeds) {
    return;
  }
  aKnown.mStartLimit.reset();
  for (Amount amount : kAmounts) {
    if (aMaximum.*amount != 0) {
      aNext.mGranted.*amount = std::max(aNext.mGranted.*amount, needed.*amount);
    }
  }
}

// The limits of starts follow the use also while a write is in progress.
std::vector<QuotaWrite>
QuotaLedger::NextWrite(const std::map<std::string, QuotaUse, std::less<>>& aUse,
                       std::size_t aMax,
                       TimePoint aNow)
{
  if (!mRead) {
    return {};
  }
  std::vector<QuotaWrite> writes;
  for (const auto& [organisation, maximum] : mMaxima) {
    Known& known = mKnown[organisation];
    if (known.mUnreadable) {
      continue;
    }
    auto use = aUse.find(organisation);
    QuotaGrant next = UpdateGrant(
      known, maximum, use == aUse.end() ? QuotaUse{} : use->second, aNow);
    bool due = mInFlight.empty() && writes.size() < aMax &&
               IsDue(organisation, known, next, aNow);
    if (!due) {
      continue;
    }
    QuotaGrant own = Own(known);
    bool claim = !mClaimed.contains(organisation);
    if (claim && own.mSequence != 0 && !known.mInheritedGrant) {
      known.mInheritedGrant = own.mGranted;
    }
    known.mWrittenAt = aNow;
    next.mTerm = mTerm;
    next.mSequence = ++mSequence;
    QuotaWrite write{ organisation, known.mRevision, known.mRow };
    write.mRow.insert_or_assign(mCell, next);
    writes.push_back(std::move(write));
  }
  if (!writes.empty()) {
    mInFlight = writes;
  }
  return writes;
}

bool
QuotaLedger::IsDue(std::string_view aOrganisation,
                   const Known& aKnown,
                   const QuotaGrant& aNext,
                   TimePoint aNow) const
{
  QuotaGrant own = Own(aKnown);
  bool raises = false;
  bool lowers = false;
  for (Amount amount : kAmounts) {
    raises = raises || aNext.mGranted.*amount > own.mGranted.*amount;
    lowers = lowers || aNext.mGranted.*amount < own.mGranted.*amount;
  }
  bool wants = (aNext.mWanted != Resources{}) != (own.mWanted != Resources{});
  bool paused = aNow < aKnown.mWrittenAt + kMinWriteInterval;
  return !mClaimed.contains(aOrganisation) || raises ||
         ((lowers || wants) && !paused);
}

void
QuotaLedger::OnWritten(Revision aRevision)
{
  for (const QuotaWrite& write : mInFlight) {
    mClaimed.insert(write.mOrganisation);
    OnRow(write.mOrganisation, write.mRow, aRevision);
  }
  mInFlight.clear();
}

// An attempt without an answer may have taken effect: the row then has this
// owner's grant with its number.
void
QuotaLedger::OnRefused()
{
  for (const QuotaWrite& write : mInFlight) {
    const QuotaGrant& own = write.mRow.find(mCell)->second;
    if (Own(mKnown[write.mOrganisation]) == own) {
      mClaimed.insert(write.mOrganisation);
    }
  }
  mInFlight.clear();
}

} // namespace buckthornshunt
