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

/// Class of work by its observed, not its declared, run time.
enum class WorkClass : std::uint8_t
{
  Short,
  Long
};

constexpr std::size_t kWorkClasses = 2;

/// Index of a backend server in a PoolServers.
using ServerIndex = std::uint32_t;

/// Random number generator for the choice of servers.
using Rng = std::minstd_rand;

/// Slots of one server that this node may use.
struct ServerShare
{
  int mSlots = 0;
  /// Slots that long work may hold.
  int mLongSlots = 0;
};

/// One node's view of a pool's backend servers: its share of each server's
/// slots, and those that it uses. Every call but Add takes constant time and
/// allocates nothing.
class PoolServers
{
public:
  /// Appends a server without slots that isn't usable yet.
  ServerIndex Add();

  void SetShare(ServerIndex aServer, ServerShare aShare);

  /// An unusable server gets no new work; its running work stays counted.
  void SetUsable(ServerIndex aServer, bool aUsable);

  /// Allows up to aSlots beyond the node's own share, which the server reported
  /// as free.
  void SetBorrowed(ServerIndex aServer, int aSlots);

  /// Returns the less loaded of two random servers that have room for the class
  /// and aren't in aTried; none if it finds none.
  std::optional<ServerIndex> Pick(WorkClass aClass,
                                  std::span<const ServerIndex> aTried,
                                  Rng& aRng) const;

  void Begin(ServerIndex aServer, WorkClass aClass);
  void End(ServerIndex aServer, WorkClass aClass);

  /// Counts one running short run as long from now on.
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
    /// Indexes in mOpen, by class.
    std::array<std::uint32_t, kWorkClasses> mOpenIndex{ kNotOpen, kNotOpen };
  };

  const std::vector<ServerIndex>& OpenFor(WorkClass aClass) const
  {
    return mOpen[static_cast<std::size_t>(aClass)];
  }
  std::optional<ServerIndex> PickRandom(WorkClass aClass,
                                        std::span<const ServerIndex> aTried,
                                        Rng& aRng) const;
  void Update(ServerIndex aServer);
  void SetOpen(ServerIndex aServer, WorkClass aClass, bool aOpen);

  std::vector<Server> mServers;
  /// Servers with room, by class, unordered.
  std::array<std::vector<ServerIndex>, kWorkClasses> mOpen;
  int mTotalInFlight = 0;
  int mLongInFlight = 0;
  int mTotalSlots = 0;
};

/// Returns the slots of a server that belong to node aNode of aNodes. Which
/// nodes get the remainder of the division varies with aServerHash, so that no
/// node is favoured on every server.
int
SlotShare(int aSlots, int aNodes, int aNode, std::uint64_t aServerHash);

} // namespace buckthornshunt

#endif
