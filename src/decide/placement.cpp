#include "decide/placement.h"

#include <algorithm>

namespace buckthornshunt {

namespace {

// Random draws before the search for an untried server fails.
constexpr int kMaxDraws = 4;

} // namespace

ServerIndex
PoolServers::Add()
{
  mServers.emplace_back();
  for (auto& open : mOpen) {
    open.reserve(mServers.size());
  }
  return static_cast<ServerIndex>(mServers.size() - 1);
}

void
PoolServers::SetShare(ServerIndex aServer, ServerShare aShare)
{
  mTotalSlots += aShare.mSlots - mServers[aServer].mShare.mSlots;
  mServers[aServer].mShare = aShare;
  Update(aServer);
}

void
PoolServers::SetUsable(ServerIndex aServer, bool aUsable)
{
  mServers[aServer].mUsable = aUsable;
  Update(aServer);
}

void
PoolServers::SetBorrowed(ServerIndex aServer, int aSlots)
{
  mServers[aServer].mBorrowed = aSlots;
  Update(aServer);
}

std::optional<ServerIndex>
PoolServers::PickRandom(WorkClass aClass,
                        std::span<const ServerIndex> aTried,
                        Rng& aRng) const
{
  const std::vector<ServerIndex>& open = OpenFor(aClass);
  for (int i = 0; i < kMaxDraws && !open.empty(); ++i) {
    ServerIndex server = open[aRng() % open.size()];
    if (std::find(aTried.begin(), aTried.end(), server) == aTried.end()) {
      return server;
    }
  }
  return std::nullopt;
}

// The power of two choices avoids both a herd on the least loaded server and a
// scan of all servers.
std::optional<ServerIndex>
PoolServers::Pick(WorkClass aClass,
                  std::span<const ServerIndex> aTried,
                  Rng& aRng) const
{
  std::optional<ServerIndex> one = PickRandom(aClass, aTried, aRng);
  std::optional<ServerIndex> two = PickRandom(aClass, aTried, aRng);
  if (!one || !two) {
    return one ? one : two;
  }
  return mServers[*two].mInFlight < mServers[*one].mInFlight ? two : one;
}

void
PoolServers::Begin(ServerIndex aServer, WorkClass aClass)
{
  Server& server = mServers[aServer];
  int isLong = aClass == WorkClass::Long ? 1 : 0;
  ++server.mInFlight;
  server.mLongInFlight += isLong;
  ++mTotalInFlight;
  mLongInFlight += isLong;
  Update(aServer);
}

void
PoolServers::End(ServerIndex aServer, WorkClass aClass)
{
  Server& server = mServers[aServer];
  int isLong = aClass == WorkClass::Long ? 1 : 0;
  --server.mInFlight;
  server.mLongInFlight -= isLong;
  --mTotalInFlight;
  mLongInFlight -= isLong;
  Update(aServer);
}

void
PoolServers::ReclassifyAsLong(ServerIndex aServer)
{
  ++mServers[aServer].mLongInFlight;
  ++mLongInFlight;
  Update(aServer);
}

void
PoolServers::Update(ServerIndex aServer)
{
  const Server& server = mServers[aServer];
  bool hasRoom = server.mUsable &&
                 server.mInFlight < server.mShare.mSlots + server.mBorrowed;
  SetOpen(aServer, WorkClass::Short, hasRoom);
  SetOpen(aServer,
          WorkClass::Long,
          hasRoom && server.mLongInFlight < server.mShare.mLongSlots);
}

void
PoolServers::SetOpen(ServerIndex aServer, WorkClass aClass, bool aOpen)
{
  auto at = static_cast<std::size_t>(aClass);
  std::vector<ServerIndex>& open = mOpen[at];
  std::uint32_t& index = mServers[aServer].mOpenIndex[at];
  if (aOpen == (index != kNotOpen)) {
    return;
  }
  if (aOpen) {
    index = static_cast<std::uint32_t>(open.size());
    open.push_back(aServer);
    return;
  }
  // Moves the last server to the freed index.
  ServerIndex last = open.back();
  open[index] = last;
  mServers[last].mOpenIndex[at] = index;
  open.pop_back();
  index = kNotOpen;
}

int
SlotShare(int aSlots, int aNodes, int aNode, std::uint64_t aServerHash)
{
  if (aNodes <= 0) {
    return aSlots;
  }
  int remainder = aSlots % aNodes;
  auto rotated =
    static_cast<int>((aServerHash + static_cast<std::uint64_t>(aNode)) %
                     static_cast<std::uint64_t>(aNodes));
  return aSlots / aNodes + (rotated < remainder ? 1 : 0);
}

} // namespace buckthornshunt
