// The pauses that targets have asked this gateway for.
//
// A target that refuses a request may say for how long it wants no further ones
// from this gateway. Other gateways are not concerned, nor is a later run of
// the target.
//
// Pure: takes events and `now`, has no input or output.

#ifndef LIBS_TRAFFIC_TARGET_PAUSES_H_
#define LIBS_TRAFFIC_TARGET_PAUSES_H_

#include <cstddef>
#include <map>

#include "libs/base/random.h"
#include "libs/base/target_run.h"
#include "libs/base/time.h"

namespace bilberryspool::traffic {

// Callers that are refused during one pause return over this time at most, so
// that they don't fill the target at one moment.
constexpr Duration kMaxReturnSpread = Seconds(1);

// How long a target counts as recently paused. Long enough for it to be sent a
// request, whose answer tells its load.
constexpr Duration kRecentPause = Milliseconds(1500);

// The delay after which to ask a caller to return who is refused because all
// targets are paused; `left` is the time until the first pause ends.
Duration RetryAfterPause(Duration left,
                         Random& random,
                         Duration max_spread = kMaxReturnSpread);

class TargetPauses {
 public:
  // The run wants no requests for `length`. A pause is never shortened:
  // refusals of requests that were sent together may name different times.
  // Returns whether the run was not paused before.
  bool OnRequested(const TargetRun& run, Duration length, TimePoint now);

  bool IsPaused(const TargetId& target,
                Incarnation incarnation,
                TimePoint now) const {
    return TimeLeft(target, incarnation, now) > Duration::zero();
  }
  // Time until the end of the pause; zero if the run is not paused.
  Duration TimeLeft(const TargetId& target,
                    Incarnation incarnation,
                    TimePoint now) const;
  // Whether a pause of the run ended less than kRecentPause ago.
  bool HasJustEnded(const TargetId& target,
                    Incarnation incarnation,
                    TimePoint now) const;
  // The number of paused targets.
  std::size_t Count(TimePoint now) const;
  // The number of records, some of which are of pauses that have ended.
  std::size_t size() const { return pauses_.size(); }

 private:
  struct Pause {
    Incarnation incarnation;
    TimePoint ends_at;
  };

  const Pause* Find(const TargetId& target, Incarnation incarnation) const;

  std::map<TargetId, Pause> pauses_;
};

}  // namespace bilberryspool::traffic

#endif  // LIBS_TRAFFIC_TARGET_PAUSES_H_
