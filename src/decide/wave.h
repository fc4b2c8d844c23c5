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

/// Whether a maintenance wave goes on.
enum class WaveState : std::uint8_t
{
  Running,
  /// An operator, or a failure within the wave, has paused it.
  Paused,
  Done
};

std::string_view
ToString(WaveState aState);

bool
ParseWaveState(std::string_view aText, WaveState& aState);

/// A maintenance wave of one data centre: every VM is to be maintained after
/// mStarted.
struct Wave
{
  std::uint64_t mNumber = 0;
  WaveState mState = WaveState::Done;
  WallTime mStarted;
  /// Why it is paused; empty if an operator did it.
  std::string mReason;
};

/// Nothing to do now: VMs are under way, or taking another rack would leave a
/// pool without its needed VMs.
struct WaitForWave
{
  /// Pool that has no margin; empty if VMs are just under way.
  std::string mPool;
};

/// Take these VMs of one rack out of service.
struct MaintainRack
{
  std::string mRack;
  std::vector<std::string> mVms;
};

/// VMs of the last rack did not come back: go no further.
struct PauseWave
{
  std::string mReason;
};

struct FinishWave
{};

using WaveStep = std::variant<WaitForWave, MaintainRack, PauseWave, FinishWave>;

/// Next step of a running wave. A rack is taken only while fewer racks than
/// allowed are under way and every pool keeps its needed VMs without it.
WaveStep
NextWaveStep(const SiteConfig& aSite,
             std::span<const FleetVm> aFleet,
             const Wave& aWave);

/// Days until the VM whose maintenance is due first is overdue; negative if
/// one is. VMs never maintained count from their first ownership.
double
DaysUntilOverdue(const SiteConfig& aSite,
                 std::span<const FleetVm> aFleet,
                 WallTime aNow);

} // namespace buckthornshunt

#endif
