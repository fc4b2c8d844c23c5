#include "decide/retry_budget.h"

#include <algorithm>

namespace buckthornshunt {

void
RetryBudget::OnSuccess()
{
  mTokens = std::min(mTokens + kTokensPerSuccess, kMaxTokens);
}

bool
RetryBudget::TryTake()
{
  if (mTokens < 1) {
    return false;
  }
  mTokens -= 1;
  return true;
}

} // namespace buckthornshunt
