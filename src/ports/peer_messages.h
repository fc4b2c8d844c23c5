#ifndef BUCKTHORNSHUNT_PORTS_PEER_MESSAGES_H
#define BUCKTHORNSHUNT_PORTS_PEER_MESSAGES_H

#include "buckthornshunt/outcome.h"
#include "buckthornshunt/types.h"
#include "decide/table_replica.h"
#include "kernel/trace.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace buckthornshunt {

/// First message on a link, sent by both ends.
struct Hello
{
  std::string mNode;
  std::string mDataCentre;
  Incarnation mIncarnation{};
  Endpoint mEndpoint;
};

/// Heartbeat. Carries the sender's table revision, so that the receiver can
/// tell which of the two is behind.
struct Ping
{
  Revision mPosition{};
};

/// Table rows that the receiver doesn't have yet.
struct FeedRows
{
  RowBatch mBatch;
};

/// Whether a pool in the sender's data centre has capacity for work from other
/// data centres.
struct PoolCapacity
{
  std::string mPool;
  bool mHasCapacity = false;
};

/// Asks the receiver to serve a request in its own data centre.
struct ForwardRequest
{
  std::uint64_t mCallId = 0;
  Request mRequest;
  /// Time left until the request's deadline at the time of sending.
  Duration mTimeLeft{};
};

struct ForwardResponse
{
  std::uint64_t mCallId = 0;
  Outcome mOutcome;
};

/// The caller of a forwarded request has disconnected.
struct ForwardCancel
{
  std::uint64_t mCallId = 0;
};

struct TraceRequest
{
  std::uint64_t mCallId = 0;
  std::uint64_t mTraceId = 0;
};

struct TraceResponse
{
  std::uint64_t mCallId = 0;
  std::vector<Span> mSpans;
};

/// The sender is stopping and accepts no new work.
struct Goodbye
{};

using PeerMessage = std::variant<Hello,
                                 Ping,
                                 FeedRows,
                                 PoolCapacity,
                                 ForwardRequest,
                                 ForwardResponse,
                                 ForwardCancel,
                                 TraceRequest,
                                 TraceResponse,
                                 Goodbye>;

} // namespace buckthornshunt

#endif
