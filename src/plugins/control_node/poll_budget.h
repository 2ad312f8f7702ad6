// Limits how many ranks a control node polls itself, for all its groups
// together.
//
// A node that is late finds many ranks silent. If each group polled its own, a
// node with several groups would have more to do the later it is.
//
// Pure: takes `now`.

#ifndef PLUGINS_CONTROL_NODE_POLL_BUDGET_H_
#define PLUGINS_CONTROL_NODE_POLL_BUDGET_H_

#include <algorithm>
#include <cstddef>

#include "libs/base/time.h"

namespace bilberryspool::control_node {

class PollBudget {
 public:
  // Takes up to `silent` polls for a group of `ranks`, and returns how many may
  // be sent now. If most ranks are silent, this node is late itself, or its
  // readers are: polls would take the time in which their answers could be
  // read.
  std::size_t Take(std::size_t silent, std::size_t ranks, TimePoint now) {
    const bool are_most_silent = silent * 2 > ranks;
    const double rate = are_most_silent ? kPollsPerSecond / 8 : kPollsPerSecond;
    available_ =
        std::min(kMaxAtOnce, available_ + ToSeconds(now - taken_at_) * rate);
    taken_at_ = now;
    const std::size_t taken =
        std::min(silent, static_cast<std::size_t>(available_));
    available_ -= static_cast<double>(taken);
    return taken;
  }

 private:
  // What a control node with 0.15 of a core can send and read beside its other
  // work.
  static constexpr double kPollsPerSecond = 200.0;
  // So many at a time don't delay other work.
  static constexpr double kMaxAtOnce = 8.0;

  double available_ = kMaxAtOnce;
  TimePoint taken_at_;
};

}  // namespace bilberryspool::control_node

#endif  // PLUGINS_CONTROL_NODE_POLL_BUDGET_H_
