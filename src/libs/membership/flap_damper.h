// Damping of targets that come and go.

#ifndef LIBS_MEMBERSHIP_FLAP_DAMPER_H_
#define LIBS_MEMBERSHIP_FLAP_DAMPER_H_

#include "libs/base/time.h"

namespace bilberryspool::membership {

struct FlapOptions {
  double penalty_per_return = 1.0;
  double suppress_threshold = 2.5;
  double reuse_threshold = 1.0;
  Duration half_life = Seconds(30);
};

// A penalty that grows with each return and halves with time. Guards against
// a target that restarts in a loop and takes work with it each time: it is
// passed over until it has stayed for a while.
class FlapDamper {
 public:
  void AddReturn(const FlapOptions& options, TimePoint now);
  double Penalty(const FlapOptions& options, TimePoint now) const;
  // Whether the target is passed over; has hysteresis, so call it in order.
  bool Update(const FlapOptions& options, TimePoint now);
  bool damped() const { return damped_; }

 private:
  double penalty_ = 0;
  TimePoint updated_at_;
  bool damped_ = false;
};

}  // namespace bilberryspool::membership

#endif  // LIBS_MEMBERSHIP_FLAP_DAMPER_H_
