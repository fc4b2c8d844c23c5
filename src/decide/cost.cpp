#include "decide/cost.h"

#include <algorithm>
#include <array>
#include <map>
#include <tuple>
#include <utility>

namespace buckthornshunt {

namespace {

constexpr double kMillisPerSecond = 1000;
constexpr double kSecondsPerHour = 3600;

constexpr std::array<std::string_view, 6> kCostUseNames = {
  "serving", "held_for_budget", "held_as_spare",
  "leaving", "maintenance",     "lost"
};

/// VMs of one pool at one time, by ownership state.
struct StateCounts
{
  int mServing = 0;
  int mLeaving = 0;
  int mMaintenance = 0;
  int mLost = 0;
};

int*
CountOf(StateCounts& aCounts, VmState aState)
{
  switch (aState) {
    case VmState::Serving:
      return &aCounts.mServing;
    case VmState::Leaving:
    case VmState::Draining:
      return &aCounts.mLeaving;
    case VmState::Maintenance:
      return &aCounts.mMaintenance;
    case VmState::Lost:
      return &aCounts.mLost;
    case VmState::Retired:
      break;
  }
  return nullptr;
}

/// Accumulates VM time between consecutive ledger entries.
class CostAccumulator
{
public:
  CostAccumulator(const SiteConfig& aSite, WallTime aFrom, WallTime aTo)
    : mSite(aSite)
    , mAt(aFrom)
    , mTo(aTo)
  {
  }

  void Apply(const LedgerEntry& aEntry)
  {
    AdvanceTo(std::min(aEntry.mFrom, mTo));
    auto [it, inserted] = mRows.try_emplace(aEntry.mRow.mVm, aEntry.mRow);
    if (!inserted) {
      AdjustCount(it->second, -1);
      it->second = aEntry.mRow;
    }
    AdjustCount(it->second, 1);
  }

  std::vector<CostLine> Finish()
  {
    AdvanceTo(mTo);
    std::vector<CostLine> lines;
    for (const auto& [key, seconds] : mSeconds) {
      auto pool = mSite.mPools.find(key.first);
      bool known = pool != mSite.mPools.end();
      double price = known ? pool->second.mCentsPerVmHour : 0;
      lines.push_back(
        { key.first, key.second, seconds, seconds * price / kSecondsPerHour });
    }
    return lines;
  }

private:
  void AdjustCount(const VmOwnership& aRow, int aDelta)
  {
    if (int* count = CountOf(mCounts[aRow.mPool], aRow.mState)) {
      *count += aDelta;
    }
  }

  void AddTime(std::string_view aPool, CostUse aUse, int aVms, double aSeconds)
  {
    if (aVms > 0) {
      mSeconds[{ std::string(aPool), aUse }] += aVms * aSeconds;
    }
  }

  // Serving VMs beyond the pool's need count as held.
  void AdvanceTo(WallTime aTime)
  {
    if (aTime <= mAt) {
      return;
    }
    double seconds =
      static_cast<double>(aTime.mMillis - mAt.mMillis) / kMillisPerSecond;
    for (const auto& [name, counts] : mCounts) {
      auto pool = mSite.mPools.find(name);
      int needed = pool == mSite.mPools.end() ? 0 : pool->second.mVms;
      int serving = std::min(counts.mServing, needed);
      bool spare = name == mSite.mSparePool;
      AddTime(name, CostUse::Serving, serving, seconds);
      AddTime(name,
              spare ? CostUse::HeldAsSpare : CostUse::HeldForBudget,
              counts.mServing - serving,
              seconds);
      AddTime(name, CostUse::Leaving, counts.mLeaving, seconds);
      AddTime(name, CostUse::Maintenance, counts.mMaintenance, seconds);
      AddTime(name, CostUse::Lost, counts.mLost, seconds);
    }
    mAt = aTime;
  }

  const SiteConfig& mSite;
  WallTime mAt;
  WallTime mTo;
  std::map<std::string, VmOwnership> mRows;
  std::map<std::string, StateCounts> mCounts;
  std::map<std::pair<std::string, CostUse>, double> mSeconds;
};

} // namespace

std::string_view
ToString(CostUse aUse)
{
  return kCostUseNames[static_cast<std::size_t>(aUse)];
}

std::vector<CostLine>
ComputeCost(std::span<const LedgerEntry> aLedger,
            const SiteConfig& aSite,
            WallTime aFrom,
            WallTime aTo)
{
  std::vector<const LedgerEntry*> sorted;
  for (const LedgerEntry& entry : aLedger) {
    sorted.push_back(&entry);
  }
  std::sort(sorted.begin(),
            sorted.end(),
            [](const LedgerEntry* aOne, const LedgerEntry* aTwo) {
              return std::tie(aOne->mFrom, aOne->mRow.mEpoch) <
                     std::tie(aTwo->mFrom, aTwo->mRow.mEpoch);
            });
  CostAccumulator accumulator(aSite, aFrom, aTo);
  for (const LedgerEntry* entry : sorted) {
    accumulator.Apply(*entry);
  }
  return accumulator.Finish();
}

} // namespace buckthornshunt
