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
#include "services/relay_service.h"

namespace buckthornshunt {

/// Configuration and dependencies of a daemon's services.
struct DaemonOptions
{
  NodeIdentity mSelf;
  Endpoint mCallers;
  PeerSettings mPeers;
  Platform mPlatform;
  Backends mBackends;
  /// False in tests that call the daemon's services without HTTP.
  bool mServeHttp = true;
};

/// Adds a daemon's services to a kernel in start order. They stop in reverse
/// order: the HTTP front end first, the registration and the connection to the
/// platform last.
void
AddServices(Kernel& aKernel, DaemonOptions aOptions);

/// Configuration and dependencies of an entry VM's services.
struct WorkloadOptions
{
  LocalNode mSelf;
  EntryEndpoints mEndpoints;
  std::optional<Duration> mMaxConfigAge;
  CellPorts mCells;
  CellDurations mTimes;
  FleetPorts mFleet;
  LinkLimits mLinks;
};

/// Time for the drains of a stop; the rest of the grace period is for stopping
/// the services and for the exit of the process.
constexpr Duration
DrainPeriod(Duration aGracePeriod)
{
  return aGracePeriod * 3 / 4;
}

/// Adds the services that run workloads on the platform. In a stop, cells are
/// released while callers are served until the load balancer has taken the node
/// out; the services that find the new owners stop last.
void
AddWorkloadServices(Kernel& aKernel, WorkloadOptions aOptions);

} // namespace buckthornshunt

#endif
