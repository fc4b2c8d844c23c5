#include "services/claim_store.h"

#include "services/table_service.h"

namespace buckthornshunt {

namespace {

constexpr std::string_view kTicketPrefix = "t~";
constexpr Duration kTicketLife = std::chrono::minutes(15);
constexpr std::size_t kMostTickets = 40000;
constexpr std::size_t kMostAnswerBytes = 16ULL * 1024 * 1024;

} // namespace

Task<Expected<HeldClaim>>
TableClaims::Load(std::string aKey, TimePoint aDeadline)
{
  auto read = co_await mTable->Read(ClaimKey(aKey), aDeadline);
  if (!Ok(read)) {
    co_return Failure(StoreUnavailable{});
  }
  HeldClaim held;
  const std::optional<Row>& row = std::get<RowRead>(read).mRow;
  if (!row) {
    co_return held;
  }
  held.mRevision = row->mRevision;
  auto claim =
    ToExpected<StoredClaim>([&] { return DecodeClaim(row->mValue); });
  if (!Ok(claim)) {
    co_return std::get<Failure>(std::move(claim));
  }
  held.mClaim = std::get<StoredClaim>(std::move(claim));
  co_return held;
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
  AttemptId numbers{ aTicket.mIncarnation, aTicket.mSequence };
  return std::string(kTicketPrefix) + aTicket.mNode + "~" + ToString(numbers);
}

std::optional<Ticket>
ParseTicket(std::string_view aKey)
{
  if (!aKey.starts_with(kTicketPrefix)) {
    return std::nullopt;
  }
  aKey.remove_prefix(kTicketPrefix.size());
  std::size_t mark = aKey.rfind('~');
  if (mark == std::string_view::npos || mark == 0) {
    return std::nullopt;
  }
  Ticket ticket;
  ticket.mNode = aKey.substr(0, mark);
  AttemptId numbers;
  if (!ParseAttemptId(aKey.substr(mark + 1), numbers)) {
    return std::nullopt;
  }
  ticket.mIncarnation = numbers.mIncarnation;
  ticket.mSequence = numbers.mSequence;
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
  const HeldClaim& held = aAt->second.mHeld;
  mAnswerBytes -= held.mClaim ? held.mClaim->mClaim.mAnswer.size() : 0;
  mEntries.erase(aAt);
}

void
TicketClaims::DropExpired()
{
  TimePoint now = mClock.Now();
  while (!mEntries.empty() && mEntries.begin()->second.mExpires <= now) {
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
  if (mEntries.size() >= kMostTickets || mAnswerBytes >= kMostAnswerBytes) {
    return std::nullopt;
  }
  std::uint64_t sequence = mNextSequence++;
  mEntries[sequence].mExpires = mClock.Now() + kTicketLife;
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

Task<Expected<HeldClaim>>
TicketClaims::Load(std::string aKey, TimePoint)
{
  DropExpired();
  auto it = Find(aKey);
  if (it == mEntries.end()) {
    co_return Failure(NotFound{ std::move(aKey) });
  }
  co_return it->second.mHeld;
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
  HeldClaim& held = it->second.mHeld;
  if (held.mRevision != aExpected) {
    co_return Failure(CommitConflict{ std::move(aKey), held.mRevision });
  }
  mAnswerBytes -= held.mClaim ? held.mClaim->mClaim.mAnswer.size() : 0;
  mAnswerBytes += aClaim.mClaim.mAnswer.size();
  held.mClaim = std::move(aClaim);
  held.mRevision = Next(aExpected);
  co_return held.mRevision;
}

Task<Expected<HeldClaim>>
LoadClaim(ClaimStore aStore, std::string aKey, TimePoint aDeadline)
{
  return std::visit(
    [&](auto* aHeld) { return aHeld->Load(std::move(aKey), aDeadline); },
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
    [&](auto* aHeld) {
      return aHeld->Save(
        std::move(aKey), std::move(aClaim), aExpected, aDeadline);
    },
    aStore);
}

} // namespace buckthornshunt
