#include "ports/workers.h"

namespace buckthornshunt {

namespace {

struct WorkerCallVisitor
{
  WorkerAddress mWorker;
  WorkerCall mCall;
  TimePoint mDeadline;

  Task<Expected<WorkerReply>> operator()(platform::WorkerClient& aClient)
  {
    return aClient.Call(std::move(mWorker), std::move(mCall), mDeadline);
  }
  Task<Expected<WorkerReply>> operator()(InProcessWorkers& aWorkers)
  {
    return aWorkers.mCall(std::move(mWorker), std::move(mCall), mDeadline);
  }
};

struct MachineCallVisitor
{
  MachineCall mCall;
  TimePoint mDeadline;

  Task<Expected<MachineReply>> operator()(platform::MachineClient& aClient)
  {
    return aClient.Call(std::move(mCall), mDeadline);
  }
  Task<Expected<MachineReply>> operator()(InProcessMachines& aMachines)
  {
    return aMachines.mCall(std::move(mCall), mDeadline);
  }
};

} // namespace

Task<Expected<WorkerReply>>
CallWorker(Workers& aWorkers,
           WorkerAddress aWorker,
           WorkerCall aCall,
           TimePoint aDeadline)
{
  return std::visit(
    WorkerCallVisitor{ std::move(aWorker), std::move(aCall), aDeadline },
    aWorkers);
}

Task<Expected<MachineReply>>
CallMachines(Machines& aMachines, MachineCall aCall, TimePoint aDeadline)
{
  return std::visit(MachineCallVisitor{ std::move(aCall), aDeadline },
                    aMachines);
}

} // namespace buckthornshunt
