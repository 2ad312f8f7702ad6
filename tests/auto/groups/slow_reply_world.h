// Simulates one owner of a step switch and a group of 16 ranks, with one VM
// that freezes and one message that is delayed.
//
// A frozen VM neither sends nor receives; its engine continues with the group.
// Messages to it arrive when it wakes; messages that it had sent before arrive
// in time. The owner acts when a message arrives and every 25 ms, as a control
// node does, and orders about a hold go through another node.

#ifndef AUTO_GROUPS_SLOW_REPLY_WORLD_H_
#define AUTO_GROUPS_SLOW_REPLY_WORLD_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "auto/groups/fake_group.h"
#include "libs/base/random.h"
#include "libs/groups/order_guard.h"
#include "libs/groups/step_switch.h"

namespace bilberryspool::groups {

// A kind of message between the owner and a rank.
enum class GroupMessageKind {
  kPollBeforeHold,   // on its way to the rank
  kReplyBeforeHold,  // on its way to the owner
  // On its way to the owner; the answer to an additional poll that is sent when
  // the replies before the hold are asked for.
  kExtraReplyBeforeHold,
  kHoldOrder,
  kHoldAnswer,
  kReplyWhileHeld,
  kArmOrder,
  kArmAnswer,
  kReleaseOrder,
};

// Delays the first message of a kind to or from a rank.
struct MessageDelay {
  GroupMessageKind kind;
  RankIndex rank;
  Duration delay{};
};

// When a VM froze, in terms of what the owner knew and its rank did.
enum class FreezeWindow {
  kNoHold,  // no hold was sent
  kBeforeHold,
  kBeforeReply,   // after the hold was sent, before the rank's next reply
  kBeforeAnswer,  // after that reply, before the answer to the order to arm
  kHolding,       // the holding rank, from the hold to the release
  kLater,
};

class SlowReplyWorld {
 public:
  static constexpr std::uint32_t kRanks = 16;
  // One-way latency between two VMs.
  static constexpr Duration kMinLatency = Microseconds(600);
  static constexpr Duration kMaxLatency = Microseconds(1300);
  // Time from the arrival of a message until its answer is sent.
  static constexpr Duration kProcessingTime = Microseconds(400);
  // The owner handles one message at a time, sent or received.
  static constexpr Duration kOwnerProcessingTime = Microseconds(200);
  static constexpr Duration kStep = Milliseconds(40);

  explicit SlowReplyWorld(std::uint64_t seed);

  // Freezes the VM of a rank from `begin` after the start of the change.
  void Freeze(RankIndex rank, Duration begin, Duration length);
  void DelayMessage(MessageDelay delay) { delay_ = delay; }
  // Begins a change and runs for `length`.
  void RunChange(Duration length);

  const FakeGroup& group() const { return group_; }
  SwitchPhase phase() const { return owner_.phase(); }
  // The longest time for which a held step kept the group from continuing.
  Duration longest_stall() const { return longest_stall_; }
  FreezeWindow window() const;

  // Of the time in which the outcome of a rank's order to arm is unknown: from
  // the rank's last reply that the owner had received when it sent the order,
  // to the sending of the answer.
  struct UnknownTimes {
    Duration shortest{};
    Duration longest{};
  };
  // Of all ranks that answered.
  UnknownTimes unknown_times() const;
  // From when the hold was carried out until the release was carried out.
  Duration holding_time() const;
  // From the first poll before the hold until the hold was sent.
  Duration round_time() const;

 private:
  struct RankTimes {
    std::optional<TimePoint> last_reply_left;
    // The first reply that left after the hold was sent.
    std::optional<TimePoint> reply_after_hold_left;
    // `last_reply_left` when the order to arm was sent.
    std::optional<TimePoint> arm_reply_left;
    std::optional<TimePoint> arm_answer_left;
  };

  // An order to arm that is sent once its rank has replied.
  struct GuardedOrder {
    RankOrder order;
    OrderGuard guard;
    bool is_over = false;  // sent or given up
  };

  void At(TimePoint when, std::function<void()> what);
  void RunUntil(TimePoint end);
  void OwnerTick();
  void Advance();
  void AttemptStep();
  TimePoint OwnerDone(TimePoint when);
  // Latency of `hops` hops, plus the delay if it applies to this message.
  Duration Latency(std::optional<GroupMessageKind> kind,
                   RankIndex rank,
                   int hops = 1);
  TimePoint AwakeAt(RankIndex rank, TimePoint when) const;
  void Send(const RankOrder& order);
  void StepGuard(const std::shared_ptr<GuardedOrder>& guarded);
  void PollForGuard(const std::shared_ptr<GuardedOrder>& guarded);
  void RecordReplyLeft(RankIndex rank, TimePoint leaves);
  void RecordReplyArrived(RankIndex rank, TimePoint leaves);
  void Poll(RankIndex rank,
            std::optional<GroupMessageKind> poll,
            std::optional<GroupMessageKind> reply);
  void PollAll();
  void RecordSent(const RankOrder& order);
  void RecordExecuted(const RankOrder& order);

  Random random_;
  TimePoint now_ = TimeAt(Seconds(1000));
  TimePoint change_at_;
  TimePoint poll_due_;
  TimePoint owner_free_at_;
  FakeGroup group_{kRanks};
  StepSwitch owner_;
  std::multimap<TimePoint, std::function<void()>> events_;
  std::optional<MessageDelay> delay_;
  std::optional<RankIndex> frozen_rank_;
  TimePoint frozen_from_;
  TimePoint frozen_until_;
  bool is_change_begun_ = false;
  bool has_sent_extra_poll_ = false;
  std::map<RankIndex, RankTimes> times_;
  std::optional<TimePoint> round_begun_at_;
  std::optional<TimePoint> hold_sent_at_;
  std::optional<RankIndex> holding_rank_;
  std::optional<TimePoint> hold_done_at_;
  std::optional<TimePoint> release_done_at_;
  std::optional<TimePoint> stalled_since_;
  Duration longest_stall_{};
};

}  // namespace bilberryspool::groups

#endif  // AUTO_GROUPS_SLOW_REPLY_WORLD_H_
