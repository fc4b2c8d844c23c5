#ifndef BUCKTHORNSHUNT_DECIDE_CLAIM_H
#define BUCKTHORNSHUNT_DECIDE_CLAIM_H

#include "buckthornshunt/outcome.h"
#include "buckthornshunt/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace buckthornshunt {

/// State of a non-idempotent request's key.
enum class ClaimState : std::uint8_t
{
  /// An attempt was assigned to a server and may have run.
  Started,
  /// The attempt ended; the claim holds its answer.
  Finished,
  /// The attempt did not run and never will.
  Released
};

/// Record that makes a key run at most once. It is stored before the attempt
/// is sent, in the platform's table or in the memory of the node that issued
/// the caller's ticket.
struct Claim
{
  ClaimState mState = ClaimState::Started;
  AttemptId mAttempt;
  std::string mVm;
  /// Incarnation of the server that received the attempt; a restarted server
  /// forgets its attempts.
  std::uint64_t mServerIncarnation = 0;
  /// Set when Finished.
  bool mFailed = false;
  std::string mAnswer;

  friend bool operator==(const Claim&, const Claim&) = default;
};

/// A server's answer to a request to seal an attempt. A sealed attempt that
/// hasn't started never will.
struct SealAnswer
{
  enum class State : std::uint8_t
  {
    Sealed,
    Running,
    Finished
  };

  State mState = State::Sealed;
  std::uint64_t mServerIncarnation = 0;
  bool mFailed = false;
  std::string mAnswer;
};

/// The key is free; claim it for a new attempt.
struct StartAttempt
{};

/// The key's attempt has finished; return its outcome.
struct ReplayOutcome
{
  Outcome mOutcome;
};

/// The attempt runs in this process; wait for it.
struct JoinAttempt
{
  AttemptId mAttempt;
};

/// Another process started the attempt; seal it at its server.
struct SealAtServer
{
  AttemptId mAttempt;
  std::string mVm;
};

using ClaimStep =
  std::variant<StartAttempt, ReplayOutcome, JoinAttempt, SealAtServer>;

/// Returns the next step for a request whose key has aClaim; aSelf is the
/// incarnation of this process.
ClaimStep
NextStep(const std::optional<Claim>& aClaim, Incarnation aSelf);

/// Returns the claim after a server's answer to a seal; unchanged if the
/// answer is inconclusive.
Claim
ApplySeal(const Claim& aClaim, const SealAnswer& aAnswer);

/// Returns the claim after the outcome of its own attempt.
Claim
ApplyOutcome(const Claim& aClaim, const Outcome& aOutcome);

/// Returns the outcome of a Finished claim.
Outcome
OutcomeOf(const Claim& aClaim);

} // namespace buckthornshunt

#endif
