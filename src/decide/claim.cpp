#include "decide/claim.h"

namespace buckthornshunt {

Outcome
OutcomeOf(const Claim& aClaim)
{
  if (aClaim.mFailed) {
    return Failed{ aClaim.mAnswer, aClaim.mAttempt };
  }
  return Completed{ aClaim.mAnswer, aClaim.mAttempt };
}

ClaimStep
NextStep(const std::optional<Claim>& aClaim, Incarnation aSelf)
{
  if (!aClaim || aClaim->mState == ClaimState::Released) {
    return StartAttempt{};
  }
  if (aClaim->mState == ClaimState::Finished) {
    return ReplayOutcome{ OutcomeOf(*aClaim) };
  }
  if (aClaim->mAttempt.mIncarnation == aSelf) {
    return JoinAttempt{ aClaim->mAttempt };
  }
  return SealAtServer{ aClaim->mAttempt, aClaim->mVm };
}

// A server that has restarted since the claim doesn't remember its earlier
// attempts, so its Sealed doesn't prove that the attempt never ran.
Claim
ApplySeal(const Claim& aClaim, const SealAnswer& aAnswer)
{
  Claim next = aClaim;
  switch (aAnswer.mState) {
    case SealAnswer::State::Running:
      break;
    case SealAnswer::State::Finished:
      next.mState = ClaimState::Finished;
      next.mFailed = aAnswer.mFailed;
      next.mAnswer = aAnswer.mAnswer;
      break;
    case SealAnswer::State::Sealed:
      if (aAnswer.mServerIncarnation == aClaim.mServerIncarnation) {
        next.mState = ClaimState::Released;
      }
      break;
  }
  return next;
}

namespace {

struct OutcomeApplier
{
  Claim& mClaim;

  void operator()(const Completed& aOutcome) const
  {
    mClaim.mState = ClaimState::Finished;
    mClaim.mAnswer = aOutcome.mBody;
  }
  void operator()(const Failed& aOutcome) const
  {
    mClaim.mState = ClaimState::Finished;
    mClaim.mFailed = true;
    mClaim.mAnswer = aOutcome.mBody;
  }
  void operator()(const NotRun&) const { mClaim.mState = ClaimState::Released; }
  void operator()(const Unknown&) const {}
};

} // namespace

Claim
ApplyOutcome(const Claim& aClaim, const Outcome& aOutcome)
{
  Claim next = aClaim;
  std::visit(OutcomeApplier{ next }, aOutcome);
  return next;
}

} // namespace buckthornshunt
