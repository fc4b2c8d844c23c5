#ifndef BUCKTHORNSHUNT_DECIDE_PLACEMENT_H
#define BUCKTHORNSHUNT_DECIDE_PLACEMENT_H

#include "buckthornshunt/types.h"

#include <array>
#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string_view>
#include <vector>

namespace buckthornshunt {

/// Class of work by its run time as observed, not as declared.
enum class WorkClass : std::uint8_t
{
  Short,
  Long
};

constexpr std::size_t kWorkClasses = 2;

/// Position of a backend server in a PoolServers.
using ServerIndex = std::uint32_t;

/// Generator for random choices among servers.
using Rng = std::minstd_rand;

/// Slots of one server that this node may fill.
struct ServerShare
{
  int mSlots = 0;
  /// Slots that long work may hold.
  int mLongSlots = 0;
};

/// The backend servers of one pool as one node sees them: how much of each is
/// its own to use, and how much of that it uses now. Each call takes constant
/// time and allocates nothing, but for Add.
class PoolServers
{
public:
  /// Appends a server that isn't open yet.
  ServerIndex Add();

  void SetShare(ServerIndex aServer, ServerShare aShare);

  /// An unusable server gets no new work; what it runs stays counted.
  void SetUsable(ServerIndex aServer, bool aUsable);

  /// Allows up to aSlots beyond the node's own share, as the server reported
  /// them free.
  void SetBorrowed(ServerIndex aServer, int aSlots);

  /// A server with room for the class: the less loaded of two random ones
  /// that aTried doesn't hold; none if all are full.
  std::optional<ServerIndex> Pick(WorkClass aClass,
                                  std::span<const ServerIndex> aTried,
                                  Rng& aRng) const;

  void Begin(ServerIndex aServer, WorkClass aClass);
  void End(ServerIndex aServer, WorkClass aClass);

  /// Counts running short work as long from now on.
  void ReclassifyAsLong(ServerIndex aServer);

  int InFlight(ServerIndex aServer) const
  {
    return mServers[aServer].mInFlight;
  }
  bool IsUsable(ServerIndex aServer) const { return mServers[aServer].mUsable; }
  int TotalInFlight() const { return mTotalInFlight; }
  int LongInFlight() const { return mLongInFlight; }
  int TotalSlots() const { return mTotalSlots; }
  std::size_t Size() const { return mServers.size(); }
  bool HasRoom(WorkClass aClass) const { return !OpenFor(aClass).empty(); }

private:
  static constexpr std::uint32_t kNotOpen = UINT32_MAX;

  struct Server
  {
    ServerShare mShare;
    int mBorrowed = 0;
    int mInFlight = 0;
    int mLongInFlight = 0;
    bool mUsable = false;
    /// Places in mOpen, by class.
    std::array<std::uint32_t, kWorkClasses> mOpenIndex{ kNotOpen, kNotOpen };
  };

  const std::vector<ServerIndex>& OpenFor(WorkClass aClass) const
  {
    return mOpen[static_cast<std::size_t>(aClass)];
  }
  std::optional<ServerIndex> Draw(WorkClass aClass,
                                  std::span<const ServerIndex> aTried,
                                  Rng& aRng) const;
  void Update(ServerIndex aServer);
  void SetOpen(ServerIndex aServer, WorkClass aClass, bool aOpen);

  std::vector<Server> mServers;
  /// Servers with room, by class, in no order.
  std::array<std::vector<ServerIndex>, kWorkClasses> mOpen;
  int mTotalInFlight = 0;
  int mLongInFlight = 0;
  int mTotalSlots = 0;
};

/// Slots of a server that belong to one of the nodes that share it. The
/// remainder of the division goes to nodes that vary with aServerHash, so
/// that no node gains on every server.
int
SlotShare(int aSlots, int aNodes, int aNode, std::uint64_t aServerHash);

} // namespace buckthornshunt

#endif
