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
AddServices(Kernel& aKernel, DaemonParts aParts)
{
  std::string site = aParts.mSelf.mDataCentre;
  aKernel.GetTracer().SetNode(aParts.mSelf.mNode);
  aKernel.Add<TableService>(TableService::kName, std::move(aParts.mPlatform));
  aKernel.Add<ConfigService>(ConfigService::kName, site);
  aKernel.Add<MemberService>(MemberService::kName, std::move(aParts.mSelf));
  aKernel.Add<PeerService>(PeerService::kName, std::move(aParts.mPeers));
  aKernel.Add<FenceService>(FenceService::kName);
  aKernel.Add<DispatchService>(DispatchService::kName, aParts.mBackends);
  aKernel.Add<JobService>(JobService::kName);
  aKernel.Add<ControlService>(ControlService::kName);
  aKernel.Add<WaveService>(WaveService::kName, std::move(aParts.mBackends));
  if (aParts.mWithFront) {
    aKernel.Add<FrontService>(FrontService::kName, aParts.mCallers);
  }
}

void
AddWorkloadServices(Kernel& aKernel, WorkloadParts aParts)
{
  Store& store = *aParts.mCells.mStore;
  Endpoint peers = aParts.mSelf.mPeerEndpoint;
  aKernel.GetTracer().SetNode(aParts.mSelf.mNode);
  aKernel.Add<DirectoryService>(DirectoryService::kName, store);
  aKernel.Add<OwnerService>(
    OwnerService::kName, store, std::move(aParts.mSelf));
  aKernel.Add<RelayService>(RelayService::kName, std::move(peers));
  aKernel.Add<EntryService>(EntryService::kName, aParts.mEndpoints);
  aKernel.Add<CellService>(CellService::kName, aParts.mCells, aParts.mTimes);
  aKernel.Add<FleetService>(FleetService::kName, aParts.mFleet);
}

} // namespace buckthornshunt
