#include "libs/limits/retry_budget.h"

#include <algorithm>

namespace bilberryspool::limits {

RetryBudget::RetryBudget(RetryBudgetOptions options)
    : options_(options), global_{options.global_burst, TimePoint()} {}

void RetryBudget::OnFirstAttempt(const Workspace& workspace, TimePoint now) {
  Account& account = AccountOf(workspace, now);
  account.level =
      std::min(options_.workspace_burst, account.level + options_.ratio);
  Refill(global_, options_.global_reserve, options_.global_burst, now);
  global_.level =
      std::min(options_.global_burst, global_.level + options_.ratio);
}

bool RetryBudget::TryRetry(const Workspace& workspace, TimePoint now) {
  Account& account = AccountOf(workspace, now);
  Refill(global_, options_.global_reserve, options_.global_burst, now);
  if (account.level < 1.0 || global_.level < 1.0) {
    return false;
  }
  account.level -= 1.0;
#if !defined(BILBERRYSPOOL_MUTATION_RETRY_WITHOUT_GLOBAL_BUDGET)
  global_.level -= 1.0;
#endif
  return true;
}

void RetryBudget::Prune(TimePoint now) {
  for (auto it = workspaces_.begin(); it != workspaces_.end();) {
    Refill(it->second, options_.workspace_reserve, options_.workspace_burst,
           now);
    const bool full = it->second.level >= options_.workspace_burst;
    it = full ? workspaces_.erase(it) : std::next(it);
  }
}

RetryBudget::Account& RetryBudget::AccountOf(const Workspace& workspace,
                                             TimePoint now) {
  const auto [found, added] = workspaces_.try_emplace(
      workspace, Account{options_.workspace_burst, now});
  if (!added) {
    Refill(found->second, options_.workspace_reserve, options_.workspace_burst,
           now);
  }
  return found->second;
}

void RetryBudget::Refill(Account& account,
                         double reserve,
                         double burst,
                         TimePoint now) {
  const Duration passed = std::max(Duration(0), now - account.last);
  account.level = std::min(burst, account.level + reserve * ToSeconds(passed));
  account.last = std::max(account.last, now);
}

}  // namespace bilberryspool::limits
