// One member's part of a retry budget that several members share.
//
// The budget bounds the retries of all members together in every window of
// time: a fraction of the requests, and a fixed number in addition (the slack).
// Members don't ask each other for each retry. Each one keeps to the fraction
// of its own requests and to its share of the slack, so that the sum holds
// whatever the others do.
//
// Pure: events and `now` in, decisions out.

#ifndef LIBS_LIMITS_SHARED_RETRY_BUDGET_H_
#define LIBS_LIMITS_SHARED_RETRY_BUDGET_H_

#include "libs/base/time.h"
#include "libs/limits/sliced_count.h"

namespace bilberryspool::limits {

struct SharedRetryBudgetOptions {
  // Number of retries allowed per request.
  double ratio = 0.1;
  // Length of the windows in which the budget holds.
  Duration window = Seconds(10);
  // Part of the slack share that may be used in the first window after a start,
  // without the fraction of the requests.
  double first_window_part = 0.0;
  // Longest time from the decision to retry to the arrival at a target.
  Duration max_send_delay = Milliseconds(500);
};

class SharedRetryBudget {
 public:
  // `started_at`: start of the process. An earlier process of the same member
  // may have used up the share of the first window.
  SharedRetryBudget(SharedRetryBudgetOptions options, TimePoint started_at);

  void OnRequest(TimePoint now);
  // Returns whether one retry may be sent now. `slack_share` is this member's
  // part of the slack per window; it may change.
  bool MayRetry(double slack_share, TimePoint now) const;
  // The same, and counts the retry if it may be sent.
  bool TryRetry(double slack_share, TimePoint now);
  // The part of `slack_share` that may be used now.
  double UsableSlack(double slack_share, TimePoint now) const;

 private:
  bool IsFirstWindow(TimePoint now) const;

  SharedRetryBudgetOptions options_;
  TimePoint started_at_;
  SlicedCount requests_;
  SlicedCount retries_;
};

}  // namespace bilberryspool::limits

#endif  // LIBS_LIMITS_SHARED_RETRY_BUDGET_H_
