#ifndef BUCKTHORNSHUNT_DECIDE_RETRY_BUDGET_H
#define BUCKTHORNSHUNT_DECIDE_RETRY_BUDGET_H

namespace buckthornshunt {

/// Allows retries and hedges as a ratio of successes, so that they can't add
/// much load when most requests fail.
class RetryBudget
{
public:
  void OnSuccess();

  /// Takes one retry out of the budget; false if it is used up.
  bool TryTake();

  double Tokens() const { return mTokens; }

private:
  /// Retries at the start, before any success.
  static constexpr double kInitialTokens = 10;
  static constexpr double kMaxTokens = 50;
  static constexpr double kTokensPerSuccess = 0.1;

  double mTokens = kInitialTokens;
};

} // namespace buckthornshunt

#endif
