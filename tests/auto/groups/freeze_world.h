// Simulates one owner of a step switch and a group of 16 ranks whose messages
// have latency, with VMs that freeze once. Orders to arm go through the owner
// and two other control nodes, each of which sends them to its share of the
// ranks; the others take over the share of one that does not answer.
//
// A frozen VM neither sends nor receives; its engine continues with the group.
// Messages to it arrive when it wakes; messages that it had sent before arrive
// in time.

#ifndef AUTO_GROUPS_FREEZE_WORLD_H_
#define AUTO_GROUPS_FREEZE_WORLD_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "auto/groups/fake_group.h"
#include "libs/base/random.h"
#include "libs/groups/order_guard.h"
#include "libs/groups/step_switch.h"

namespace bilberryspool::groups {

class FreezeWorld {
 public:
  static constexpr std::uint32_t kRanks = 16;
  // One-way latency between two VMs: 0.5 ms between failure domains, plus the
  // processing delays of two busy processes.
  static constexpr Duration kMinLatency = Microseconds(600);
  static constexpr Duration kMaxLatency = Microseconds(1300);
  // Time from the arrival of a message until its answer is sent.
  static constexpr Duration kProcessingTime = Microseconds(400);
  static constexpr Duration kRoundTrip = kMaxLatency * 2 + kProcessingTime;
  // The owner and the two other nodes handle one message at a time, sent or
  // received.
  static constexpr Duration kOwnerProcessingTime = Microseconds(200);
  static constexpr Duration kStep = Milliseconds(40);

  explicit FreezeWorld(std::uint64_t seed, StepSwitchOptions options = {});

  // Freezes the VM of a rank from `begin` after the start of the change; may be
  // called for several ranks.
  void Freeze(RankIndex rank, Duration begin, Duration length);
  // Likewise the VM of one of the two nodes (1 or 2) that send orders to arm.
  void FreezeNode(std::size_t node, Duration begin, Duration length);
  // Begins a change and runs for `length`.
  void RunChange(Duration length);

  const FakeGroup& group() const { return group_; }
  // Time for which the group was stalled by a held step.
  Duration held() const { return held_; }
  SwitchPhase phase() const { return owner_.phase(); }
  // Whether a VM froze while it was unknown whether an order to arm its rank,
  // or a hold, had been carried out or undone: no owner can know what its
  // engine will do.
  bool froze_with_unknown_outcome() const;

 private:
  struct Frozen {
    TimePoint begin;
    TimePoint end;
  };
  // Period in which the outcome of an order to a rank is unknown.
  struct UnknownOutcomePeriod {
    TimePoint from;
    std::optional<TimePoint> until;
  };

  void AdvanceTime();
  Duration TimeStep() const;
  void At(TimePoint when, std::function<void()> what);
  struct ArmingBatch;
  struct GuardedRank;

  // When the node has handled a message that it starts to handle at `when`.
  TimePoint NodeDone(std::size_t node, TimePoint when);
  // Schedules the handling of a message to the node.
  void AtNode(std::size_t node, TimePoint arrives, std::function<void()> what);
  Duration RandomLatency() { return random_.Between(kMinLatency, kMaxLatency); }
  TimePoint AwakeAt(RankIndex rank, TimePoint when) const;
  TimePoint NodeAwakeAt(std::size_t node, TimePoint when) const;
  // Like At(), for a timer of the node.
  void AtNodeTimer(std::size_t node,
                   TimePoint when,
                   std::function<void()> what);
  std::size_t NodeFor(RankIndex rank) const;
  void Send(const RankOrder& order);
  void SendToRank(std::size_t node,
                  const RankOrder& order,
                  const std::function<void(OrderAnswer)>& on_answer);
  void SendBatch(std::size_t node, std::vector<RankOrder> orders);
  void ArmNext(const std::shared_ptr<ArmingBatch>& batch);
  void StepGuard(const std::shared_ptr<ArmingBatch>& batch,
                 std::size_t index,
                 const std::shared_ptr<GuardedRank>& rank);
  void OnArmAnswered(const std::shared_ptr<ArmingBatch>& batch,
                     std::size_t index,
                     OrderAnswer answer);
  void PollForGuard(const std::shared_ptr<ArmingBatch>& batch,
                    std::size_t index,
                    const std::shared_ptr<GuardedRank>& rank);
  void Poll(RankIndex rank);
  void PollAll();
  void BeginSteps();
  void RecordSent(const RankOrder& order);
  void RecordAnswerSent(const RankOrder& order, TimePoint when);

  Random random_;
  TimePoint now_ = TimeAt(Seconds(1000));
  TimePoint change_at_;
  TimePoint step_due_;
  TimePoint poll_due_;
  // By node; the first one is the owner.
  std::array<TimePoint, 3> free_at_;
  FakeGroup group_{kRanks};
  StepSwitch owner_;
  std::multimap<TimePoint, std::function<void()>> events_;
  std::map<RankIndex, Frozen> frozen_;
  std::map<std::size_t, Frozen> frozen_nodes_;
  std::set<std::size_t> failed_nodes_;  // as the owner knows
  // When each rank sent the last of its reports that have arrived.
  std::map<RankIndex, TimePoint> report_sent_at_;
  std::map<RankIndex, UnknownOutcomePeriod> arms_;
  std::map<RankIndex, UnknownOutcomePeriod> holds_;
  Duration held_{};
};

}  // namespace bilberryspool::groups

#endif  // AUTO_GROUPS_FREEZE_WORLD_H_
