#ifndef BUCKTHORNSHUNT_PORTS_WORKERS_H
#define BUCKTHORNSHUNT_PORTS_WORKERS_H

#include "platform/machine_client.h"
#include "platform/worker_client.h"

#include <functional>
#include <variant>

namespace buckthornshunt {

/// Simulated workers within this process, for tests.
struct InProcessWorkers
{
  std::function<
    Task<Expected<WorkerReply>>(WorkerAddress, WorkerCall, TimePoint)>
    mCall;
};

using Workers = std::variant<platform::WorkerClient, InProcessWorkers>;

/// Makes one call to a worker. ConnectFailure means that the call had no
/// effect; after any other failure, it may have taken effect or may still do
/// so.
Task<Expected<WorkerReply>>
CallWorker(Workers& aWorkers,
           WorkerAddress aWorker,
           WorkerCall aCall,
           TimePoint aDeadline);

/// A simulated machine service within this process, for tests.
struct InProcessMachines
{
  std::function<Task<Expected<MachineReply>>(MachineCall, TimePoint)> mCall;
};

using Machines = std::variant<platform::MachineClient, InProcessMachines>;

/// Makes one call to the machine service; failures as for CallWorker.
Task<Expected<MachineReply>>
CallMachines(Machines& aMachines, MachineCall aCall, TimePoint aDeadline);

} // namespace buckthornshunt

#endif
