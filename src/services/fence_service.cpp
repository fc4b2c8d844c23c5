#include "services/fence_service.h"

#include "kernel/log.h"
#include "services/dispatch_service.h"
#include "services/member_service.h"
#include "services/table_service.h"
#include "wire/row_codec.h"

namespace buckthornshunt {

namespace {

constexpr std::string_view kPart = "fence";
constexpr Duration kCheckInterval = std::chrono::milliseconds(250);
constexpr Duration kCommitTimeout = std::chrono::seconds(3);

} // namespace

FenceService::FenceService(Kernel& aKernel)
  : mKernel(aKernel)
  , mTasks(aKernel.Context(), &aKernel.Groups())
{
}

leaf::result<void>
FenceService::Start()
{
  BOOST_LEAF_ASSIGN(mTable, mKernel.Find<TableService>(TableService::kName));
  BOOST_LEAF_ASSIGN(mMembers,
                    mKernel.Find<MemberService>(MemberService::kName));
  BOOST_LEAF_ASSIGN(mDispatch,
                    mKernel.Find<DispatchService>(DispatchService::kName));
  mTasks.Spawn("fence follow", WatchLeavingVms());
  return {};
}

Task<void>
FenceService::Stop()
{
  mTasks.CancelAll();
  co_await mTasks.Join();
}

// While a VM is leaving, its attempts in flight and the platform are checked
// again at a short interval; otherwise only a change of the rows wakes the
// task.
Task<void>
FenceService::WatchLeavingVms()
{
  auto watch = mTable->Watch(VmPrefix(mMembers->Self().mDataCentre));
  while (true) {
    co_await watch->Next();
    bool done = co_await AcknowledgeAll();
    while (!done) {
      co_await mKernel.GetClock().Sleep(kCheckInterval);
      done = co_await AcknowledgeAll();
    }
  }
}

Task<bool>
FenceService::AcknowledgeAll()
{
  std::vector<VmOwnership> leaving;
  mTable->View().ForEach(
    VmPrefix(mMembers->Self().mDataCentre), [&](const Row& aRow) {
      auto row = ToExpected<VmOwnership>([&] { return DecodeVm(aRow.mValue); });
      if (Ok(row) && std::get<VmOwnership>(row).mState == VmState::Leaving) {
        leaving.push_back(std::get<VmOwnership>(std::move(row)));
      }
    });
  bool done = true;
  for (VmOwnership& row : leaving) {
    auto it = mAcknowledged.find(row.mVm);
    if (it != mAcknowledged.end() && it->second == row.mEpoch) {
      continue;
    }
    bool idle = mDispatch->InFlightOn(row.mVm) == 0;
    bool acknowledged = false;
    if (idle && mMembers->Registered()) {
      acknowledged = co_await Acknowledge(std::move(row));
    }
    done = done && acknowledged;
  }
  co_return done;
}

// DispatchService sends no new work to a leaving VM once its row has arrived,
// so an idle VM stays idle for this node.
Task<bool>
FenceService::Acknowledge(VmOwnership aRow)
{
  const NodeIdentity& self = mMembers->Self();
  LeaveAck ack{ aRow.mVm, self.mNode, self.mIncarnation, aRow.mEpoch };
  std::string key = AckKey(self.mDataCentre, aRow.mVm, self.mNode);
  const Row* row = mTable->View().Find(key);
  CommitRows commit;
  Revision expected = row != nullptr ? row->mRevision : Revision{};
  commit.mWrites.push_back({ key, EncodeAck(ack), expected, false });
  TimePoint deadline = mKernel.GetClock().Now() + kCommitTimeout;
  auto written = co_await mTable->Commit(std::move(commit), deadline);
  if (Ok(written)) {
    mAcknowledged[aRow.mVm] = aRow.mEpoch;
    LogInfo(kPart,
            "acknowledged leaving VM {} at epoch {}",
            aRow.mVm,
            ToNumber(aRow.mEpoch));
  }
  co_return Ok(written);
}

} // namespace buckthornshunt
