#include "services/wave_service.h"

#include "kernel/log.h"
#include "services/config_service.h"
#include "services/control_service.h"
#include "services/member_service.h"
#include "services/table_service.h"
#include "wire/row_codec.h"

namespace buckthornshunt {

namespace {

constexpr std::string_view kPart = "waves";
constexpr Duration kStepInterval = std::chrono::seconds(1);
constexpr Duration kCallTimeout = std::chrono::seconds(2);
/// A VM that doesn't answer is restarted again after this interval.
constexpr Duration kRestartRetryInterval = std::chrono::minutes(5);
/// Delay between a restart request and the first probe.
constexpr Duration kFirstProbeDelay = std::chrono::seconds(2);

} // namespace

WaveService::WaveService(Kernel& aKernel, Backends aBackends)
  : mKernel(aKernel)
  , mBackends(std::move(aBackends))
  , mTasks(aKernel.Context(), &aKernel.Groups())
{
}

leaf::result<void>
WaveService::Start()
{
  BOOST_LEAF_ASSIGN(mTable, mKernel.Find<TableService>(TableService::kName));
  BOOST_LEAF_ASSIGN(mMembers,
                    mKernel.Find<MemberService>(MemberService::kName));
  BOOST_LEAF_ASSIGN(mConfig, mKernel.Find<ConfigService>(ConfigService::kName));
  BOOST_LEAF_ASSIGN(mControl,
                    mKernel.Find<ControlService>(ControlService::kName));
  mTasks.Spawn("waves lead", RunWaves());
  return {};
}

Task<void>
WaveService::Stop()
{
  mTasks.CancelAll();
  co_await mTasks.Join();
}

Wave
WaveService::Current() const
{
  const Row* row = mTable->View().Find(WaveKey(mMembers->Self().mDataCentre));
  if (row == nullptr) {
    return {};
  }
  auto wave = ToExpected<Wave>([&] { return DecodeWave(row->mValue); });
  return Ok(wave) ? std::get<Wave>(wave) : Wave{};
}

// A leader that can't reach the platform takes nothing out of service: it can
// neither record the step nor learn of other failures.
Task<void>
WaveService::RunWaves()
{
  while (true) {
    co_await mKernel.GetClock().Sleep(kStepInterval);
    bool canAct = mControl->IsLeader() && mTable->PlatformReachable() &&
                  mConfig->Current().has_value();
    if (!canAct) {
      continue;
    }
    for (FleetVm& vm : mControl->Fleet()) {
      if (vm.mOwned && vm.mRow.mState == VmState::Maintenance) {
        co_await RestartAndReturn(std::move(vm.mRow));
      }
    }
    Wave wave = Current();
    if (wave.mState == WaveState::Running) {
      co_await Advance(std::move(wave));
    }
  }
}

/// Executes one step of a wave.
struct WaveService::StepExecutor
{
  WaveService& mService;
  Wave& mWave;

  Task<void> operator()(const WaitForWave& aStep) const
  {
    if (!aStep.mPool.empty()) {
      mService.mKernel.GetMetrics().GetCounter("wave_waits_total").Add();
    }
    co_return;
  }
  Task<void> operator()(const MaintainRack& aStep) const
  {
    LogInfo(kPart,
            "wave {} takes rack {} out of service",
            mWave.mNumber,
            aStep.mRack);
    for (const std::string& vm : aStep.mVms) {
      TimePoint deadline = mService.mKernel.GetClock().Now() + kCallTimeout;
      co_await mService.mControl->TakeOutOfService(vm, deadline);
    }
  }
  Task<void> operator()(const PauseWave& aStep) const
  {
    LogWarn(kPart, "wave {} is paused: {}", mWave.mNumber, aStep.mReason);
    mWave.mState = WaveState::Paused;
    mWave.mReason = aStep.mReason;
    TimePoint deadline = mService.mKernel.GetClock().Now() + kCallTimeout;
    co_await mService.WriteWave(mWave, deadline);
  }
  Task<void> operator()(const FinishWave&) const
  {
    LogInfo(kPart, "wave {} is done", mWave.mNumber);
    mWave.mState = WaveState::Done;
    TimePoint deadline = mService.mKernel.GetClock().Now() + kCallTimeout;
    co_await mService.WriteWave(mWave, deadline);
  }
};

Task<void>
WaveService::Advance(Wave aWave)
{
  WaveStep step = NextWaveStep(*mConfig->Current(), mControl->Fleet(), aWave);
  StepExecutor taker{ *this, aWave };
  co_await std::visit(taker, step);
}

// Restarts a VM in maintenance and returns it once its server answers without
// draining. A new leader restarts it again, which does no harm: nothing runs
// there.
Task<void>
WaveService::RestartAndReturn(VmOwnership aRow)
{
  Clock& clock = mKernel.GetClock();
  TimePoint deadline = clock.Now() + kCallTimeout;
  auto it = mRestartRequests.find(aRow.mVm);
  bool requested = it != mRestartRequests.end() &&
                   it->second.first == aRow.mEpoch &&
                   clock.Now() - it->second.second < kRestartRetryInterval;
  if (!requested) {
    auto rebooted = co_await mTable->Reboot(aRow.mVm, deadline);
    if (Ok(rebooted)) {
      mRestartRequests[aRow.mVm] = { aRow.mEpoch, clock.Now() };
    }
    co_return;
  }
  if (clock.Now() - it->second.second < kFirstProbeDelay) {
    co_return;
  }
  BackendCall call = ProbeServer{};
  auto reply =
    co_await CallBackend(mBackends, aRow.mEndpoint, std::move(call), deadline);
  bool healthy =
    Ok(reply) &&
    !std::get<ServerHealth>(std::get<BackendReply>(reply)).mDraining;
  if (healthy) {
    co_await mControl->ReturnToService(aRow.mVm, deadline);
  }
}

Task<Expected<Wave>>
WaveService::WriteWave(Wave aWave, TimePoint aDeadline)
{
  std::string key = WaveKey(mMembers->Self().mDataCentre);
  const Row* row = mTable->View().Find(key);
  CommitRows commit;
  Revision expected = row != nullptr ? row->mRevision : Revision{};
  commit.mWrites.push_back({ key, EncodeWave(aWave), expected, false });
  auto written = co_await mTable->Commit(std::move(commit), aDeadline);
  if (!Ok(written)) {
    co_return std::get<Failure>(std::move(written));
  }
  co_return aWave;
}

Task<Expected<Wave>>
WaveService::Begin(TimePoint aDeadline)
{
  Wave wave = Current();
  if (wave.mState == WaveState::Running) {
    co_return Failure(StateConflict{ "a wave is running" });
  }
  if (wave.mState == WaveState::Done) {
    ++wave.mNumber;
  }
  // A resumed wave ignores the losses for which it was paused.
  wave.mStarted = mKernel.GetClock().WallNow();
  wave.mState = WaveState::Running;
  wave.mReason.clear();
  auto written = co_await WriteWave(std::move(wave), aDeadline);
  co_return written;
}

Task<Expected<Wave>>
WaveService::Pause(TimePoint aDeadline)
{
  Wave wave = Current();
  if (wave.mState != WaveState::Running) {
    co_return Failure(StateConflict{ "no wave is running" });
  }
  wave.mState = WaveState::Paused;
  auto written = co_await WriteWave(std::move(wave), aDeadline);
  co_return written;
}

WaveView
WaveService::View() const
{
  WaveView view;
  view.mWave = Current();
  if (!mConfig->Current()) {
    return view;
  }
  std::vector<FleetVm> fleet = mControl->Fleet();
  for (const FleetVm& vm : fleet) {
    if (!vm.mOwned) {
      continue;
    }
    bool inMaintenance = vm.mRow.mInMaintenance;
    bool done = vm.mRow.mLastMaintained >= view.mWave.mStarted;
    ++(inMaintenance ? view.mUnderWay : done ? view.mDone : view.mToDo);
  }
  view.mDaysUntilOverdue =
    DaysUntilOverdue(*mConfig->Current(), fleet, mKernel.GetClock().WallNow());
  return view;
}

} // namespace buckthornshunt
