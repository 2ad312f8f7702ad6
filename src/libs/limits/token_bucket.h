#ifndef LIBS_LIMITS_TOKEN_BUCKET_H_
#define LIBS_LIMITS_TOKEN_BUCKET_H_

#include "libs/base/time.h"

namespace bilberryspool::limits {

// Rate limiter with a burst. May be overdrawn by costs that are known only
// afterwards; the debt is repaid before the next request passes.
class TokenBucket {
 public:
  // `rate` in units per second, `burst` in units. The bucket starts full.
  TokenBucket(double rate, double burst);

  // Keeps the current level, reduced to the new burst if it is higher.
  void Configure(double rate, double burst, TimePoint now);
  // Takes `cost` if the level covers it, or if the bucket is full: a cost above
  // the burst would never pass otherwise.
  bool TryTake(double cost, TimePoint now);
  // Takes `cost`, or returns it if negative, without a check.
  void Charge(double cost, TimePoint now);
  // Time until TryTake(cost) would succeed; 0 if it would now.
  Duration WaitFor(double cost, TimePoint now) const;

  double level(TimePoint now) const;

 private:
  void Refill(TimePoint now);
  double Needed(double cost) const;

  double rate_;
  double burst_;
  double level_;
  TimePoint last_;
};

}  // namespace bilberryspool::limits

#endif  // LIBS_LIMITS_TOKEN_BUCKET_H_
