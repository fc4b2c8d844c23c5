#ifndef BUCKTHORNSHUNT_SERVICES_MEMBER_SERVICE_H
#define BUCKTHORNSHUNT_SERVICES_MEMBER_SERVICE_H

#include "decide/ownership.h"
#include "kernel/kernel.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornshunt {

class TableService;

/// Identity of this process.
struct NodeIdentity
{
  std::string mNode;
  std::string mDataCentre;
  Incarnation mIncarnation{};
  Endpoint mPeerEndpoint;
};

/// Registers this node in the platform's table and lists the registered nodes.
/// An unregistered node must not send work to servers, since a move of a VM
/// waits only for registered nodes.
class MemberService
{
public:
  static constexpr std::string_view kName = "members";

  MemberService(Kernel& aKernel, NodeIdentity aSelf);

  leaf::result<void> Start();
  Task<void> Stop();

  const NodeIdentity& Self() const { return mSelf; }

  /// True while this node's registration is in force, by its own copy of the
  /// rows.
  bool Registered() const;

  /// Notified when the registered nodes have changed.
  Event& Changed() { return mChanged; }

  /// Registered nodes of a data centre, by name.
  std::vector<NodeRecord> NodesOf(std::string_view aDataCentre) const;

  /// Registered nodes of every data centre.
  std::vector<NodeRecord> AllNodes() const;

private:
  Task<void> WatchNodes();
  Task<void> Register();
  Task<bool> TryRegister();
  bool IsOwnRowCurrent() const;
  std::vector<NodeRecord> NodesUnder(std::string_view aPrefix) const;

  Kernel& mKernel;
  NodeIdentity mSelf;
  TableService* mTable = nullptr;
  /// Revision of this node's registration, once written.
  std::optional<Revision> mRegisteredRevision;
  std::string mOwnKey;
  /// Revision of this node's row when last decoded, and whether it names this
  /// incarnation.
  mutable Revision mOwnRowRevision{};
  mutable bool mOwnRowCurrent = false;
  Event mChanged;
  TaskGroup mTasks;
};

} // namespace buckthornshunt

#endif
