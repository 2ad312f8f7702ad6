// Decides when an order may be sent to a rank whose VM must not be frozen.
//
// Whether a rank has taken an order is unknown from its last reply before the
// order until its answer to it. If its VM freezes in that time, the group may
// be stalled for as long as the VM is frozen. The order is therefore sent right
// after a reply of the rank, and not at all if there is none. A reply that took
// long may have been sent long before it arrived, so the rank is polled again,
// once; a rank that always replies slowly must get its order, too.
//
// If the caller itself was late, replies may lie unread, so the silence until
// then is no evidence against the rank.
//
// Pure state machine: events and `now` in, steps out.

#ifndef LIBS_GROUPS_ORDER_GUARD_H_
#define LIBS_GROUPS_ORDER_GUARD_H_

#include <cstdint>
#include <optional>

#include "libs/base/time.h"

namespace bilberryspool::groups {

struct OrderGuardOptions {
  // The order is sent if the rank replied to a poll that was sent at most this
  // long ago. A few round trips between failure domains.
  Duration max_reply_age = Milliseconds(5);
  // A rank that has not replied after this time is polled again.
  Duration poll_interval = Milliseconds(15);
  // A rank that has not replied for this long since it was polled does not get
  // the order. Twice the polling interval, because one reply may get lost. The
  // group is stalled meanwhile, and callers consider a pause of 120 ms late.
  Duration silence_timeout = Milliseconds(30);
  // Number of replies after which the order is sent however long the last one
  // took, because the rank or the way to it is slow.
  std::uint32_t max_replies = 2;
  // The caller was late if it asks for the next step this much later than it
  // was to wait.
  Duration max_lateness = Milliseconds(5);
  // How often a rank is given another `silence_timeout` because of that. The
  // group is stalled meanwhile.
  std::uint32_t max_restarts = 1;
};

class OrderGuard {
 public:
  enum class Step {
    kPoll,    // poll the rank now; counts as polled
    kWait,    // until wait_until(), or until the rank replies
    kSend,    // send the order now
    kGiveUp,  // don't send the order
  };

  explicit OrderGuard(OrderGuardOptions options = {}) : options_(options) {}

  // Must be called when the rank replies and at wait_until().
  Step Next(TimePoint now);
  // The rank replied to the poll that was sent at `polled_at`.
  void OnReply(TimePoint polled_at);
  // When the next step is due if the rank does not reply.
  TimePoint wait_until() const;

 private:
  Step Poll(TimePoint now);

  OrderGuardOptions options_;
  std::optional<TimePoint> last_poll_;
  // First poll that was sent after the one that the rank last replied to.
  std::optional<TimePoint> silent_since_;
  // When the poll that the rank last replied to was sent.
  std::optional<TimePoint> replied_poll_;
  std::uint32_t replies_ = 0;
  std::uint32_t restarts_ = 0;
};

}  // namespace bilberryspool::groups

#endif  // LIBS_GROUPS_ORDER_GUARD_H_
