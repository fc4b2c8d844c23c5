#ifndef BUCKTHORNSHUNT_SERVICES_FENCE_SERVICE_H
#define BUCKTHORNSHUNT_SERVICES_FENCE_SERVICE_H

#include "buckthornshunt/types.h"
#include "kernel/kernel.h"

#include <map>
#include <string>
#include <string_view>

namespace buckthornshunt {

class DispatchService;
class MemberService;
class TableService;

/// Acknowledges that this node no longer uses a VM that is to move. The
/// controller finishes the move once every node of the data centre has done so.
class FenceService
{
public:
  static constexpr std::string_view kName = "fence";

  explicit FenceService(Kernel& aKernel);

  leaf::result<void> Start();
  Task<void> Stop();

private:
  Task<void> WatchLeavingVms();
  Task<bool> AcknowledgeAll();
  Task<bool> Acknowledge(VmOwnership aRow);

  Kernel& mKernel;
  TableService* mTable = nullptr;
  MemberService* mMembers = nullptr;
  DispatchService* mDispatch = nullptr;
  /// Last acknowledged epoch, by VM.
  std::map<std::string, Epoch, std::less<>> mAcknowledged;
  TaskGroup mTasks;
};

} // namespace buckthornshunt

#endif
