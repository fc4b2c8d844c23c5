#ifndef BUCKTHORNSHUNT_DECIDE_WAVE_H
#define BUCKTHORNSHUNT_DECIDE_WAVE_H

#include "buckthornshunt/config.h"
#include "buckthornshunt/types.h"
#include "decide/pool_plan.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace buckthornshunt {

/// State of a maintenance wave.
enum class WaveState : std::uint8_t
{
  Running,
  /// Paused by an operator or by a failure within the wave.
  Paused,
  Done
};

std::string_view
ToString(WaveState aState);

bool
ParseWaveState(std::string_view aText, WaveState& aState);

/// A maintenance wave of one data centre; it maintains every VM whose last
/// maintenance was before mStarted.
struct Wave
{
  std::uint64_t mNumber = 0;
  WaveState mState = WaveState::Done;
  WallTime mStarted;
  /// Reason for the pause; empty if an operator paused it.
  std::string mReason;
};

/// No step now: VMs are under way, or maintaining another rack would leave a
/// pool with fewer VMs than it needs.
struct WaitForWave
{
  /// Pool without margin; empty if VMs are under way.
  std::string mPool;
};

/// Takes these VMs of one rack out of service for maintenance.
struct MaintainRack
{
  std::string mRack;
  std::vector<std::string> mVms;
};

/// Stops the wave, since a VM hasn't returned from maintenance.
struct PauseWave
{
  std::string mReason;
};

struct FinishWave
{};

using WaveStep = std::variant<WaitForWave, MaintainRack, PauseWave, FinishWave>;

/// Returns the next step of a running wave. A rack is maintained only while
/// fewer racks than allowed are under way and every pool keeps the VMs that it
/// needs.
WaveStep
NextWaveStep(const SiteConfig& aSite,
             std::span<const FleetVm> aFleet,
             const Wave& aWave);

/// Days until the first VM is overdue for maintenance; negative if one is. VMs
/// that were never maintained count from their first ownership.
double
DaysUntilOverdue(const SiteConfig& aSite,
                 std::span<const FleetVm> aFleet,
                 WallTime aNow);

} // namespace buckthornshunt

#endif
