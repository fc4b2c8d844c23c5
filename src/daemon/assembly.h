#ifndef BUCKTHORNSHUNT_DAEMON_ASSEMBLY_H
#define BUCKTHORNSHUNT_DAEMON_ASSEMBLY_H

#include "decide/cell_owner.h"
#include "kernel/kernel.h"
#include "ports/backend.h"
#include "ports/peer_link.h"
#include "ports/platform.h"
#include "services/cell_service.h"
#include "services/entry_service.h"
#include "services/fleet_service.h"
#include "services/member_service.h"
#include "services/peer_service.h"

namespace buckthornshunt {

/// What a daemon is made of, apart from its kernel.
struct DaemonOptions
{
  NodeIdentity mSelf;
  Endpoint mCallers;
  PeerSettings mPeers;
  Platform mPlatform;
  Backends mBackends;
  /// False for a daemon that tests call without HTTP.
  bool mServeHttp = true;
};

/// Adds a daemon's services to a kernel, in the order in which they start.
/// They stop in reverse: the front first, the registration and the link to
/// the platform last.
void
AddServices(Kernel& aKernel, DaemonOptions aOptions);

/// What an entry VM of the platform is made of.
struct WorkloadOptions
{
  NodeSelf mSelf;
  EntryEndpoints mEndpoints;
  CellPorts mCells;
  CellTimes mTimes;
  FleetPorts mFleet;
};

/// Adds the services that run workloads on the platform. They stop in reverse:
/// cells are given up first, then callers are served until the balancer has
/// noticed.
void
AddWorkloadServices(Kernel& aKernel, WorkloadOptions aOptions);

} // namespace buckthornshunt

#endif
