#include "daemon/assembly.h"

#include "services/cell_service.h"
#include "services/config_service.h"
#include "services/control_service.h"
#include "services/directory_service.h"
#include "services/dispatch_service.h"
#include "services/entry_service.h"
#include "services/fence_service.h"
#include "services/front_service.h"
#include "services/job_service.h"
#include "services/owner_service.h"
#include "services/relay_service.h"
#include "services/table_service.h"
#include "services/wave_service.h"

namespace buckthornshunt {

void
AddServices(Kernel& aKernel, DaemonOptions aOptions)
{
  std::string site = aOptions.mSelf.mDataCentre;
  aKernel.GetTracer().SetNode(aOptions.mSelf.mNode);
  aKernel.Add<TableService>(TableService::kName, std::move(aOptions.mPlatform));
  aKernel.Add<ConfigService>(ConfigService::kName, site);
  aKernel.Add<MemberService>(MemberService::kName, std::move(aOptions.mSelf));
  aKernel.Add<PeerService>(PeerService::kName, std::move(aOptions.mPeers));
  aKernel.Add<FenceService>(FenceService::kName);
  aKernel.Add<DispatchService>(DispatchService::kName, aOptions.mBackends);
  aKernel.Add<JobService>(JobService::kName);
  aKernel.Add<ControlService>(ControlService::kName);
  aKernel.Add<WaveService>(WaveService::kName, std::move(aOptions.mBackends));
  if (aOptions.mServeHttp) {
    aKernel.Add<FrontService>(FrontService::kName, aOptions.mCallers);
  }
}

void
AddWorkloadServices(Kernel& aKernel, WorkloadOptions aOptions)
{
  Store& store = *aOptions.mCells.mStore;
  Endpoint peers = aOptions.mSelf.mPeerEndpoint;
  aKernel.GetTracer().SetNode(aOptions.mSelf.mNode);
  // Without VMs to list, no owner of the fleet chooses a layout.
  std::optional<FleetLayout> layout;
  if (aOptions.mFleet.mMachines == nullptr) {
    layout = FleetLayout{};
  }
  aKernel.Add<DirectoryService>(DirectoryService::kName, store);
  aKernel.Add<OwnerService>(
    OwnerService::kName, store, std::move(aOptions.mSelf), layout);
  aKernel.Add<RelayService>(
    RelayService::kName, std::move(peers), aOptions.mLinks);
  aKernel.Add<EntryService>(
    EntryService::kName, aOptions.mEndpoints, aOptions.mMaxConfigAge);
  aKernel.Add<CellService>(
    CellService::kName, aOptions.mCells, aOptions.mTimes);
  aKernel.Add<FleetService>(FleetService::kName, aOptions.mFleet);
}

} // namespace buckthornshunt
