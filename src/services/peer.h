#ifndef BUCKTHORNSHUNT_SERVICES_PEER_H
#define BUCKTHORNSHUNT_SERVICES_PEER_H

#include "kernel/caller_state.h"
#include "services/peer_service.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace buckthornshunt {

/// A forwarded request that waits for its answer.
struct PendingForward
{
  explicit PendingForward(asio::io_context& aContext)
    : mDone(aContext)
  {
  }

  std::optional<Outcome> mOutcome;
  Event mDone;
};

/// A linked peer, from its handshake to the end of the link.
struct PeerService::Peer
{
  explicit Peer(asio::io_context& aContext)
    : mOutputReady(aContext)
  {
  }

  std::unique_ptr<PeerLink> mLink;
  Hello mIdentity;
  bool mDialled = false;
  bool mClosed = false;
  bool mLeaving = false;
  TimePoint mLastHeard;
  Revision mPosition{};
  /// Highest revision sent to the peer, at mSentAt.
  Revision mSentUpTo{};
  TimePoint mSentAt;
  std::map<std::string, bool, std::less<>> mPoolHasCapacity;
  std::map<std::uint64_t, std::shared_ptr<PendingForward>> mPendingForwards;
  std::map<std::uint64_t, std::shared_ptr<std::vector<Span>>> mPendingTraces;
  /// Requests forwarded by this peer that still run here.
  std::map<std::uint64_t, std::shared_ptr<CallerState>> mServedRequests;
  bool mHasOutput = false;
  Event mOutputReady;

  void Close()
  {
    mClosed = true;
    std::visit([](auto& aLink) { aLink.Close(); }, *mLink);
    mOutputReady.NotifyAll();
  }
};

} // namespace buckthornshunt

#endif
