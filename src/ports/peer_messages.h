#ifndef BUCKTHORNSHUNT_PORTS_PEER_MESSAGES_H
#define BUCKTHORNSHUNT_PORTS_PEER_MESSAGES_H

#include "buckthornshunt/outcome.h"
#include "buckthornshunt/types.h"
#include "decide/table_view.h"
#include "kernel/trace.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace buckthornshunt {

/// First message on a link, from both ends.
struct Hello
{
  std::string mNode;
  std::string mDataCentre;
  Incarnation mIncarnation{};
  Endpoint mEndpoint;
};

/// Heartbeat. It carries the sender's position in the table, so that the
/// other end knows whether either lags.
struct Ping
{
  Revision mPosition{};
};

/// Rows that the receiver lacks.
struct FeedRows
{
  RowBatch mBatch;
};

/// A pool of the sender's data centre has room for work from elsewhere, or
/// has it no longer.
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
  /// Time left until the request's deadline when it was sent.
  Duration mTimeLeft{};
};

struct ForwardResponse
{
  std::uint64_t mCallId = 0;
  Outcome mOutcome;
};

/// The caller of a forwarded request is gone.
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

/// The sender stops: it takes no new work from now on.
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
