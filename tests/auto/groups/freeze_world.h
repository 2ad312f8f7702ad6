// One owner of a switch and a group of 16 ranks whose messages take time, with
// VMs that freeze once, at one moment.
//
// A frozen VM sends nothing and takes nothing in; its engine goes on with the
// group. What was sent there arrives as it wakes; what had left it before
// arrives in time.

#ifndef AUTO_GROUPS_FREEZE_WORLD_H_
#define AUTO_GROUPS_FREEZE_WORLD_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "auto/groups/fake_group.h"
#include "libs/base/random.h"
#include "libs/groups/step_switch.h"

namespace bilberryspool::groups {

class FreezeWorld {
 public:
  static constexpr std::uint32_t kRanks = 16;
  // Between two VMs, one way: 0.5 ms between failure domains, and the turns of
  // two busy processes.
  static constexpr Duration kMinLatency = Microseconds(600);
  static constexpr Duration kMaxLatency = Microseconds(1300);
  // From the arrival of a message until its answer leaves.
  static constexpr Duration kProcessingTime = Microseconds(400);
  static constexpr Duration kRoundTrip = kMaxLatency * 2 + kProcessingTime;
  // The owner handles one message at a time, sent or received.
  static constexpr Duration kOwnerProcessingTime = Microseconds(200);
  static constexpr Duration kStep = Milliseconds(40);

  explicit FreezeWorld(std::uint64_t seed, StepSwitchOptions options = {});

  // From `begin` after the change was begun; may be called for several ranks.
  void Freeze(RankIndex rank, Duration begin, Duration length);
  // Begins a change and runs that long.
  void RunChange(Duration length);

  const FakeGroup& group() const { return group_; }
  // How long the group stood still.
  Duration held() const { return held_; }
  SwitchPhase phase() const { return owner_.phase(); }
  // Whether the VM froze with an order to arm its rank, or a hold, not known to
  // be carried out or undone: no owner can know what its engine will do.
  bool froze_with_unknown_outcome() const;

 private:
  struct Frozen {
    TimePoint begin;
    TimePoint end;
  };
  // What is on its way to the rank that freezes.
  struct UnknownOutcomePeriod {
    TimePoint from;
    std::optional<TimePoint> until;
  };

  void AdvanceTime();
  Duration TimeStep() const;
  void At(TimePoint when, std::function<void()> what);
  // When the owner is done with a message that it takes up at `when`.
  TimePoint OwnerDone(TimePoint when);
  // Of a message to the owner.
  void AtOwner(TimePoint arrives, std::function<void()> what);
  Duration RandomLatency() { return random_.Between(kMinLatency, kMaxLatency); }
  TimePoint AwakeAt(RankIndex rank, TimePoint when) const;
  void Send(const RankOrder& order);
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
  TimePoint owner_free_at_;
  FakeGroup group_{kRanks};
  StepSwitch owner_;
  std::multimap<TimePoint, std::function<void()>> events_;
  std::map<RankIndex, Frozen> frozen_;
  // When the last report that has arrived had left each rank.
  std::map<RankIndex, TimePoint> report_sent_at_;
  std::map<RankIndex, UnknownOutcomePeriod> arms_;
  std::map<RankIndex, UnknownOutcomePeriod> holds_;
  Duration held_{};
};

}  // namespace bilberryspool::groups

#endif  // AUTO_GROUPS_FREEZE_WORLD_H_
