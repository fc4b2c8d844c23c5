#include "decide/placement.h"

#include <algorithm>

namespace buckthornshunt {

namespace {

// Draws of one server before the choice gives up on finding an untried one.
constexpr int kDraws = 4;

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
PoolServers::Draw(WorkClass aClass,
                  std::span<const ServerIndex> aTried,
                  Rng& aRng) const
{
  const std::vector<ServerIndex>& open = OpenFor(aClass);
  for (int i = 0; i < kDraws && !open.empty(); ++i) {
    ServerIndex server = open[aRng() % open.size()];
    if (std::find(aTried.begin(), aTried.end(), server) == aTried.end()) {
      return server;
    }
  }
  return std::nullopt;
}

// Two random choices avoid both the herd on the single least loaded server
// and a walk over all servers.
std::optional<ServerIndex>
PoolServers::Pick(WorkClass aClass,
                  std::span<const ServerIndex> aTried,
                  Rng& aRng) const
{
  std::optional<ServerIndex> one = Draw(aClass, aTried, aRng);
  std::optional<ServerIndex> two = Draw(aClass, aTried, aRng);
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
PoolServers::Reclassify(ServerIndex aServer)
{
  ++mServers[aServer].mLongInFlight;
  ++mLongInFlight;
  Update(aServer);
}

void
PoolServers::Update(ServerIndex aServer)
{
  const Server& server = mServers[aServer];
  bool room = server.mUsable &&
              server.mInFlight < server.mShare.mSlots + server.mBorrowed;
  SetOpen(aServer, WorkClass::Short, room);
  SetOpen(aServer,
          WorkClass::Long,
          room && server.mLongInFlight < server.mShare.mLongSlots);
}

void
PoolServers::SetOpen(ServerIndex aServer, WorkClass aClass, bool aOpen)
{
  auto at = static_cast<std::size_t>(aClass);
  std::vector<ServerIndex>& open = mOpen[at];
  std::uint32_t& place = mServers[aServer].mPlace[at];
  if (aOpen == (place != kNotOpen)) {
    return;
  }
  if (aOpen) {
    place = static_cast<std::uint32_t>(open.size());
    open.push_back(aServer);
    return;
  }
  // The last server takes the freed place.
  ServerIndex last = open.back();
  open[place] = last;
  mServers[last].mPlace[at] = place;
  open.pop_back();
  place = kNotOpen;
}

int
SlotShare(int aSlots, int aNodes, int aNode, std::uint64_t aServerHash)
{
  if (aNodes <= 0) {
    return aSlots;
  }
  int rest = aSlots % aNodes;
  auto turn =
    static_cast<int>((aServerHash + static_cast<std::uint64_t>(aNode)) %
                     static_cast<std::uint64_t>(aNodes));
  return aSlots / aNodes + (turn < rest ? 1 : 0);
}

} // namespace buckthornshunt
