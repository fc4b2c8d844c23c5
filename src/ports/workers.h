#ifndef BUCKTHORNSHUNT_PORTS_WORKERS_H
#define BUCKTHORNSHUNT_PORTS_WORKERS_H

#include "platform/machine_client.h"
#include "platform/worker_client.h"

#include <functional>
#include <variant>

namespace buckthornshunt {

/// Workers within this process, for tests.
struct InProcessWorkers
{
  std::function<
    Task<Expected<WorkerReply>>(WorkerAddress, WorkerCall, TimePoint)>
    mCall;
};

using Workers = std::variant<platform::WorkerClient, InProcessWorkers>;

/// Makes one call to a worker. ConnectFailure says that the worker did
/// nothing; any other failure leaves open whether it did, or will.
Task<Expected<WorkerReply>>
CallWorker(Workers& aWorkers,
           WorkerAddress aWorker,
           WorkerCall aCall,
           TimePoint aDeadline);

/// A machine service within this process, for tests.
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
