#ifndef LIBS_LIMITS_RETRY_BUDGET_H_
#define LIBS_LIMITS_RETRY_BUDGET_H_

#include <unordered_map>

#include "libs/base/ids.h"
#include "libs/base/time.h"

namespace bilberryspool::limits {

struct RetryBudgetOptions {
  // Retries allowed for each first attempt.
  double ratio = 0.1;
  // Most retries that can be saved up, for one workspace and for all.
  double workspace_burst = 5.0;
  double global_burst = 20.0;
  // Retries a second allowed without any first attempts, so that a quiet
  // workspace can retry.
  double workspace_reserve = 0.2;
  double global_reserve = 1.0;
};

// Bounds retries to a share of the first attempts, per workspace and over all.
// Guards against retry storms: with failures everywhere, unlimited retries
// multiply the load exactly when there is no room for it.
//
// Over any time, the retries of all are at most
// ratio * first attempts + global_burst + global_reserve * seconds.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetOptions options);

  void OnFirstAttempt(const Workspace& workspace, TimePoint now);
  // Whether one retry may be sent now; counts it where it may.
  bool TryRetry(const Workspace& workspace, TimePoint now);
  // Forgets workspaces that are full again; to be called now and then.
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
