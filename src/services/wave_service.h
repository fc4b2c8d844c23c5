#ifndef BUCKTHORNSHUNT_SERVICES_WAVE_SERVICE_H
#define BUCKTHORNSHUNT_SERVICES_WAVE_SERVICE_H

#include "decide/wave.h"
#include "kernel/kernel.h"
#include "ports/backend.h"

#include <map>
#include <string>
#include <string_view>

namespace buckthornshunt {

class ConfigService;
class ControlService;
class MemberService;
class TableService;

/// Progress of a data centre's maintenance wave, in VMs.
struct WaveView
{
  Wave mWave;
  int mDone = 0;
  int mUnderWay = 0;
  int mToDo = 0;
  double mDaysUntilOverdue = 0;
};

/// Runs maintenance waves of this node's data centre while the node leads it:
/// drain, restart, verify, return, rack by rack. A wave's whole state is in its
/// row and the VMs' rows, so another leader can continue it.
class WaveService
{
public:
  static constexpr std::string_view kName = "waves";

  WaveService(Kernel& aKernel, Backends aBackends);

  leaf::result<void> Start();
  Task<void> Stop();

  /// Starts a wave, or resumes a paused one. StateConflict if one is running.
  Task<Expected<Wave>> Begin(TimePoint aDeadline);

  /// Pauses a running wave: VMs in maintenance are returned, no more are taken.
  /// StateConflict if none is running.
  Task<Expected<Wave>> Pause(TimePoint aDeadline);

  WaveView View() const;

private:
  Task<void> RunWaves();
  Task<void> Advance(Wave aWave);
  Task<void> RestartAndReturn(VmOwnership aRow);
  Task<Expected<Wave>> WriteWave(Wave aWave, TimePoint aDeadline);
  Wave Current() const;

  struct StepExecutor;

  Kernel& mKernel;
  Backends mBackends;
  TableService* mTable = nullptr;
  MemberService* mMembers = nullptr;
  ConfigService* mConfig = nullptr;
  ControlService* mControl = nullptr;
  /// Epoch and time of this node's last restart request, by VM.
  std::map<std::string, std::pair<Epoch, TimePoint>, std::less<>>
    mRestartRequests;
  TaskGroup mTasks;
};

} // namespace buckthornshunt

#endif
