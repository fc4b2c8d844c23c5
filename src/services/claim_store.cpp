#include "services/claim_store.h"

#include "services/table_service.h"

namespace buckthornshunt {

namespace {

constexpr std::string_view kTicketPrefix = "t~";
constexpr Duration kTicketLifetime = std::chrono::minutes(15);
constexpr std::size_t kMaxOpenTickets = 40000;
constexpr std::size_t kMaxAnswerBytes = 16ULL * 1024 * 1024;

} // namespace

Task<Expected<VersionedClaim>>
TableClaims::Load(std::string aKey, TimePoint aDeadline)
{
  auto read = co_await mTable->Read(ClaimKey(aKey), aDeadline);
  if (!Ok(read)) {
    co_return Failure(StoreUnavailable{});
  }
  VersionedClaim current;
  const std::optional<Row>& row = std::get<RowRead>(read).mRow;
  if (!row) {
    co_return current;
  }
  current.mRevision = row->mRevision;
  auto claim =
    ToExpected<StoredClaim>([&] { return DecodeClaim(row->mValue); });
  if (!Ok(claim)) {
    co_return std::get<Failure>(std::move(claim));
  }
  current.mClaim = std::get<StoredClaim>(std::move(claim));
  co_return current;
}

Task<Expected<Revision>>
TableClaims::Save(std::string aKey,
                  StoredClaim aClaim,
                  Revision aExpected,
                  TimePoint aDeadline)
{
  CommitRows commit;
  commit.mWrites.push_back(
    { ClaimKey(aKey), EncodeClaim(aClaim), aExpected, false });
  auto written = co_await mTable->Commit(std::move(commit), aDeadline);
  co_return written;
}

std::string
ToString(const Ticket& aTicket)
{
  AttemptId id{ aTicket.mIncarnation, aTicket.mSequence };
  return std::string(kTicketPrefix) + aTicket.mNode + "~" + ToString(id);
}

std::optional<Ticket>
ParseTicket(std::string_view aKey)
{
  if (!aKey.starts_with(kTicketPrefix)) {
    return std::nullopt;
  }
  aKey.remove_prefix(kTicketPrefix.size());
  std::size_t separator = aKey.rfind('~');
  if (separator == std::string_view::npos || separator == 0) {
    return std::nullopt;
  }
  Ticket ticket;
  ticket.mNode = aKey.substr(0, separator);
  AttemptId id;
  if (!ParseAttemptId(aKey.substr(separator + 1), id)) {
    return std::nullopt;
  }
  ticket.mIncarnation = id.mIncarnation;
  ticket.mSequence = id.mSequence;
  return ticket;
}

TicketClaims::TicketClaims(Clock& aClock,
                           std::string_view aNode,
                           Incarnation aIncarnation)
  : mClock(aClock)
  , mNode(aNode)
  , mIncarnation(aIncarnation)
{
}

void
TicketClaims::Drop(Entries::iterator aAt)
{
  const VersionedClaim& current = aAt->second.mVersionedClaim;
  mAnswerBytes -= current.mClaim ? current.mClaim->mClaim.mAnswer.size() : 0;
  mEntries.erase(aAt);
}

void
TicketClaims::DropExpired()
{
  TimePoint now = mClock.Now();
  while (!mEntries.empty() && mEntries.begin()->second.mExpiry <= now) {
    Drop(mEntries.begin());
  }
}

void
TicketClaims::Forget(std::string_view aKey)
{
  auto it = Find(aKey);
  if (it != mEntries.end()) {
    Drop(it);
  }
}

std::optional<Ticket>
TicketClaims::Issue()
{
  DropExpired();
  if (mEntries.size() >= kMaxOpenTickets || mAnswerBytes >= kMaxAnswerBytes) {
    return std::nullopt;
  }
  std::uint64_t sequence = mNextSequence++;
  mEntries[sequence].mExpiry = mClock.Now() + kTicketLifetime;
  return Ticket{ mNode, mIncarnation, sequence };
}

TicketClaims::Entries::iterator
TicketClaims::Find(std::string_view aKey)
{
  std::optional<Ticket> ticket = ParseTicket(aKey);
  if (!ticket || ticket->mNode != mNode ||
      ticket->mIncarnation != mIncarnation) {
    return mEntries.end();
  }
  return mEntries.find(ticket->mSequence);
}

Task<Expected<VersionedClaim>>
TicketClaims::Load(std::string aKey, TimePoint)
{
  DropExpired();
  auto it = Find(aKey);
  if (it == mEntries.end()) {
    co_return Failure(NotFound{ std::move(aKey) });
  }
  co_return it->second.mVersionedClaim;
}

Task<Expected<Revision>>
TicketClaims::Save(std::string aKey,
                   StoredClaim aClaim,
                   Revision aExpected,
                   TimePoint)
{
  auto it = Find(aKey);
  if (it == mEntries.end()) {
    co_return Failure(NotFound{ std::move(aKey) });
  }
  VersionedClaim& current = it->second.mVersionedClaim;
  if (current.mRevision != aExpected) {
    co_return Failure(CommitConflict{ std::move(aKey), current.mRevision });
  }
  mAnswerBytes -= current.mClaim ? current.mClaim->mClaim.mAnswer.size() : 0;
  mAnswerBytes += aClaim.mClaim.mAnswer.size();
  current.mClaim = std::move(aClaim);
  current.mRevision = Next(aExpected);
  co_return current.mRevision;
}

Task<Expected<VersionedClaim>>
LoadClaim(ClaimStore aStore, std::string aKey, TimePoint aDeadline)
{
  return std::visit(
    [&](auto* aClaims) { return aClaims->Load(std::move(aKey), aDeadline); },
    aStore);
}

Task<Expected<Revision>>
SaveClaim(ClaimStore aStore,
          std::string aKey,
          StoredClaim aClaim,
          Revision aExpected,
          TimePoint aDeadline)
{
  return std::visit(
    [&](auto* aClaims) {
      return aClaims->Save(
        std::move(aKey), std::move(aClaim), aExpected, aDeadline);
    },
    aStore);
}

} // namespace buckthornshunt
