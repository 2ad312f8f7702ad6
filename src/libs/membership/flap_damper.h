// Flap damping of targets that restart or reconnect repeatedly.

#ifndef LIBS_MEMBERSHIP_FLAP_DAMPER_H_
#define LIBS_MEMBERSHIP_FLAP_DAMPER_H_

#include "libs/base/time.h"

namespace bilberryspool::membership {

struct FlapOptions {
  double penalty_per_return = 1.0;
  // A target is suppressed once its penalty exceeds the first threshold, until
  // the penalty is below the second one.
  double suppress_threshold = 2.5;
  double reuse_threshold = 1.0;
  Duration half_life = Seconds(30);  // of the penalty
};

// Maintains a penalty that increases with each return of a target and decays
// exponentially. A target that restarts in a loop would lose its work each
// time, so it is suppressed until it has been stable for a while.
class FlapDamper {
 public:
  void AddReturn(const FlapOptions& options, TimePoint now);
  double Penalty(const FlapOptions& options, TimePoint now) const;
  // Updates and returns whether the target is suppressed. Because of the
  // hysteresis, `now` must not decrease between calls.
  bool Update(const FlapOptions& options, TimePoint now);
  bool damped() const { return damped_; }

 private:
  double penalty_ = 0;
  TimePoint updated_at_;
  bool damped_ = false;
};

}  // namespace bilberryspool::membership

#endif  // LIBS_MEMBERSHIP_FLAP_DAMPER_H_
