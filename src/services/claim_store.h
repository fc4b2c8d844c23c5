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

/// Claims stored as rows of the platform's table.
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

/// A key whose claim is kept in memory by the node that issued it.
struct Ticket
{
  std::string mNode;
  Incarnation mIncarnation{};
  std::uint64_t mSequence = 0;
};

/// "t~node~incarnation~sequence".
std::string
ToString(const Ticket& aTicket);

/// Parses the format of ToString; no value for any other key.
std::optional<Ticket>
ParseTicket(std::string_view aKey);

/// Claims of the tickets that this node issued, kept in memory. A ticket is
/// valid until it expires, and its work runs at most once.
class TicketClaims
{
public:
  TicketClaims(Clock& aClock, std::string_view aNode, Incarnation aIncarnation);

  /// Issues a ticket; no value while too many are open or their answers exceed
  /// the memory limit.
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
  /// By sequence number, which is also the order of expiry.
  Entries mEntries;
};

using ClaimStore = std::variant<TableClaims*, TicketClaims*, JobClaims*>;

Task<Expected<VersionedClaim>>
LoadClaim(ClaimStore aStore, std::string aKey, TimePoint aDeadline);

/// Replaces a claim if its revision is still aExpected; fails with
/// CommitConflict otherwise.
Task<Expected<Revision>>
SaveClaim(ClaimStore aStore,
          std::string aKey,
          StoredClaim aClaim,
          Revision aExpected,
          TimePoint aDeadline);

} // namespace buckthornshunt

#endif
