#ifndef BUCKTHORNSHUNT_DECIDE_RETRY_BUDGET_H
#define BUCKTHORNSHUNT_DECIDE_RETRY_BUDGET_H

namespace buckthornshunt {

/// Limits retries and hedges to a fraction of successes, so that they add
/// little load when most requests fail.
class RetryBudget
{
public:
  void OnSuccess();

  /// Takes one retry from the budget; false if the budget is exhausted.
  bool TryTake();

  double Tokens() const { return mTokens; }

private:
  /// Retries allowed before the first success.
  static constexpr double kInitialTokens = 10;
  static constexpr double kMaxTokens = 50;
  static constexpr double kTokensPerSuccess = 0.1;

  double mTokens = kInitialTokens;
};

} // namespace buckthornshunt

#endif
