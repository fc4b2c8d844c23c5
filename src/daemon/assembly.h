#ifndef BUCKTHORNSHUNT_DAEMON_ASSEMBLY_H
#define BUCKTHORNSHUNT_DAEMON_ASSEMBLY_H

#include "kernel/kernel.h"
#include "ports/backend.h"
#include "ports/peer_link.h"
#include "ports/platform.h"
#include "services/member_service.h"
#include "services/peer_service.h"

namespace buckthornshunt {

/// What a daemon is made of, apart from its kernel.
struct DaemonParts
{
  NodeIdentity mSelf;
  Endpoint mCallers;
  PeerSettings mPeers;
  Platform mPlatform;
  Backends mBackends;
  /// False for a daemon that tests call without HTTP.
  bool mWithFront = true;
};

/// Adds a daemon's services to a kernel, in the order in which they start.
/// They stop in reverse: the front first, the registration and the link to
/// the platform last.
void
AddServices(Kernel& aKernel, DaemonParts aParts);

} // namespace buckthornshunt

#endif
