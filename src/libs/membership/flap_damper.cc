#include "libs/membership/flap_damper.h"

#include <cmath>

namespace bilberryspool::membership {

void FlapDamper::AddReturn(const FlapOptions& options, TimePoint now) {
  penalty_ = Penalty(options, now) + options.penalty_per_return;
  updated_at_ = now;
  Update(options, now);
}

double FlapDamper::Penalty(const FlapOptions& options, TimePoint now) const {
  if (penalty_ == 0) {
    return 0;
  }
  return penalty_ * std::exp2(-ToSeconds(now - updated_at_) /
                              ToSeconds(options.half_life));
}

bool FlapDamper::Update(const FlapOptions& options, TimePoint now) {
  const double penalty = Penalty(options, now);
  const double bound =
      damped_ ? options.reuse_threshold : options.suppress_threshold;
  damped_ = penalty > bound;
  return damped_;
}

}  // namespace bilberryspool::membership
