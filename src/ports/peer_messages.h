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
struct PoolRoom
{
  std::string mPool;
  bool mRoom = false;
};

/// Asks the receiver to serve a request in its own data centre.
struct ForwardRequest
{
  std::uint64_t mCall = 0;
  Request mRequest;
  /// Time left until the request's deadline when it was sent.
  Duration mTimeLeft{};
};

struct ForwardAnswer
{
  std::uint64_t mCall = 0;
  Outcome mOutcome;
};

/// The caller of a forwarded request is gone.
struct ForwardCancel
{
  std::uint64_t mCall = 0;
};

struct TraceAsk
{
  std::uint64_t mCall = 0;
  std::uint64_t mTrace = 0;
};

struct TraceAnswer
{
  std::uint64_t mCall = 0;
  std::vector<Span> mSpans;
};

/// The sender stops: it takes no new work from now on.
struct Goodbye
{};

using PeerMessage = std::variant<Hello,
                                 Ping,
                                 FeedRows,
                                 PoolRoom,
                                 ForwardRequest,
                                 ForwardAnswer,
                                 ForwardCancel,
                                 TraceAsk,
                                 TraceAnswer,
                                 Goodbye>;

} // namespace buckthornshunt

#endif
