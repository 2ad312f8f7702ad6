// A token bucket in bytes, for fetches from the weight store.

#ifndef LIBS_GROUPS_FETCH_BUDGET_H_
#define LIBS_GROUPS_FETCH_BUDGET_H_

#include <cstdint>

#include "libs/base/time.h"

namespace bilberryspool::groups {

struct FetchBudgetOptions {
  double bytes_per_second = 1e9;
  double burst_bytes = 1e9;  // at least the size of one expert
};

// Starts empty so that a controller that takes over does not spend again what
// its predecessor has already spent.
class FetchBudget {
 public:
  FetchBudget(FetchBudgetOptions options, TimePoint now);

  // Consumes the bytes if they are available; otherwise returns false.
  bool Take(double bytes, TimePoint now);
  // Time at which `bytes` will be available if nothing else is consumed.
  TimePoint AvailableAt(double bytes, TimePoint now) const;

 private:
  void Refill(TimePoint now);

  FetchBudgetOptions options_;
  double available_ = 0;
  TimePoint refilled_;
};

}  // namespace bilberryspool::groups

#endif  // LIBS_GROUPS_FETCH_BUDGET_H_
