#ifndef LIBS_LIMITS_RETRY_BUDGET_H_
#define LIBS_LIMITS_RETRY_BUDGET_H_

#include <unordered_map>

#include "libs/base/ids.h"
#include "libs/base/time.h"

namespace bilberryspool::limits {

struct RetryBudgetOptions {
  // Number of retries allowed per first attempt.
  double ratio = 0.1;
  // Maximum number of retries that can be saved up, per workspace and in total.
  double workspace_burst = 5.0;
  double global_burst = 20.0;
  // Retries per second that are allowed without first attempts, so that a
  // workspace with few requests can retry.
  double workspace_reserve = 0.2;
  double global_reserve = 1.0;
};

// Limits retries to a fraction of the first attempts, per workspace and in
// total. Guards against retry storms: when everything fails, unlimited retries
// multiply the load exactly while there is no capacity for it.
//
// Over any period, the total number of retries is at most ratio * first
// attempts + global_burst + global_reserve * seconds.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetOptions options);

  void OnFirstAttempt(const Workspace& workspace, TimePoint now);
  // Returns whether one retry may be sent now, and counts it if so.
  bool TryRetry(const Workspace& workspace, TimePoint now);
  // Erases workspaces whose budget is full again; to be called periodically.
  void Prune(TimePoint now);

 private:
  struct Account {
    double level = 0.0;
    TimePoint last;
  };

  Account& AccountOf(const Workspace& workspace, TimePoint now);
  static void Refill(Account& account,
                     double reserve,
                     double burst,
                     TimePoint now);

  RetryBudgetOptions options_;
  Account global_;
  std::unordered_map<Workspace, Account> workspaces_;
};

}  // namespace bilberryspool::limits

#endif  // LIBS_LIMITS_RETRY_BUDGET_H_
