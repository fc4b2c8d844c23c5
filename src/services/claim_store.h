#ifndef BUCKTHORNSHUNT_SERVICES_CLAIM_STORE_H
#define BUCKTHORNSHUNT_SERVICES_CLAIM_STORE_H

#include "kernel/kernel.h"
#include "services/job_claims.h"
#include "wire/row_codec.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace buckthornshunt {

class TableService;

/// Claims kept as rows of the platform's table.
class TableClaims
{
public:
  explicit TableClaims(TableService& aTable)
    : mTable(&aTable)
  {
  }

  Task<Expected<VersionedClaim>> Load(std::string aKey, TimePoint aDeadline);
  Task<Expected<Revision>> Save(std::string aKey,
                                StoredClaim aClaim,
                                Revision aExpected,
                                TimePoint aDeadline);

private:
  TableService* mTable;
};

/// A ticket: a key whose claim is kept by the node that issued it.
struct Ticket
{
  std::string mNode;
  Incarnation mIncarnation{};
  std::uint64_t mSequence = 0;
};

/// "t~node~incarnation~sequence".
std::string
ToString(const Ticket& aTicket);

/// Reads the form that ToString writes; none for any other key.
std::optional<Ticket>
ParseTicket(std::string_view aKey);

/// Claims of the tickets that this node issued, kept in its memory. A ticket
/// can be used until it expires, and at most once.
class TicketClaims
{
public:
  TicketClaims(Clock& aClock, std::string_view aNode, Incarnation aIncarnation);

  /// A new ticket; no value while too many are open.
  std::optional<Ticket> Issue();

  /// NotFound if the ticket has expired or was never issued.
  Task<Expected<VersionedClaim>> Load(std::string aKey, TimePoint aDeadline);
  Task<Expected<Revision>> Save(std::string aKey,
                                StoredClaim aClaim,
                                Revision aExpected,
                                TimePoint aDeadline);

  /// Drops a ticket before it expires.
  void Forget(std::string_view aKey);

  std::size_t OpenTickets() const { return mEntries.size(); }

private:
  struct Entry
  {
    TimePoint mExpiry;
    VersionedClaim mVersionedClaim;
  };

  using Entries = std::map<std::uint64_t, Entry>;

  void DropExpired();
  void Drop(Entries::iterator aAt);
  Entries::iterator Find(std::string_view aKey);

  Clock& mClock;
  std::string mNode;
  Incarnation mIncarnation;
  std::uint64_t mNextSequence = 1;
  std::size_t mAnswerBytes = 0;
  /// Sequence numbers ascend with expiry times.
  Entries mEntries;
};

using ClaimStore = std::variant<TableClaims*, TicketClaims*, JobClaims*>;

Task<Expected<VersionedClaim>>
LoadClaim(ClaimStore aStore, std::string aKey, TimePoint aDeadline);

/// Replaces a claim if it still has the revision aExpected; fails with
/// CommitConflict if it hasn't.
Task<Expected<Revision>>
SaveClaim(ClaimStore aStore,
          std::string aKey,
          StoredClaim aClaim,
          Revision aExpected,
          TimePoint aDeadline);

} // namespace buckthornshunt

#endif
