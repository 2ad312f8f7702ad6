// Brings all ranks of a self-stepping group from one map to another, all at
// the same step.
//
// What can go wrong: a step that begins while two ranks have different maps
// computes wrong answers for every request of the group, and nothing shows it,
// since ranks don't compare maps. Orders may be lost, answered late, or carried
// out seconds after they were given up; the one who gives them may be replaced
// in the middle. What prevents it:
//
// - One rank holds step S before any rank is armed for S, so S can't begin
//   while some are armed and others not.
// - S is released only once every rank has confirmed that it is armed with the
//   same version for S, or that it can't be armed for S any more.
// - Nobody disarms a rank while all could still be armed: a predecessor that
//   saw all of them armed may be about to release S. Clearing begins only when
//   some rank has another version prepared, since then no one can ever have
//   seen all ranks armed.
// - Clearing leaves every rank with a newer version prepared, which makes each
//   late order to arm an older one void.
// - Versions are never used twice, and those of a successor are higher.
//
// What else can go wrong: a rank that can't be reached while a step is held
// stops the whole group, and since nobody can know whether it is armed, neither
// a release nor clearing is safe until it answers. It shows as a group that is
// `arming` for as long as the VM beside one rank is frozen. Copies take longer
// than all the rest, so a rank that copied little may be gone long before the
// last one is done; hence every rank is heard anew right before the hold. The
// exchange about the hold and the words of the others take 10 ms more; hence a
// rank is armed on its own word after the hold, few at a time, and one that is
// silent is not armed at all: the others are disarmed and the old map stays.
// Where a round of words takes long, one more of them costs more than it saves,
// and all are armed at once.
// What is left is the doubt between that word and the answer to the order, one
// and a half round trips, which no owner can rule out: an engine that took the
// order and one that did not look the same while their VM is frozen.
//
// Once the step has begun at one rank it has begun at all, and those that were
// armed have switched; late orders to hold it or to arm for it are void. So one
// report of a later step ends the change: to wait for every rank took 0.24 to
// 0.45 s of 72 ranks, in which the next change could not begin.
//
// Pure: events and `now` in, orders out.

#ifndef LIBS_GROUPS_STEP_SWITCH_H_
#define LIBS_GROUPS_STEP_SWITCH_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "libs/base/time.h"
#include "libs/groups/engine_order.h"

namespace bilberryspool::groups {

struct StepSwitchOptions {
  std::uint32_t ranks = 0;
  // An order that was not answered is given again after this long.
  Duration resend_after = Milliseconds(150);
  // A rank is asked for a report when its copies should be done, and again at
  // this interval until they are.
  Duration copy_poll = Milliseconds(20);
  // A rank that still says nothing of its copies is given the order again: the
  // engine may have lost it. A few polls.
  Duration copy_resend = Milliseconds(300);
  // Ranks that were not heard yet where all have to be, and the few that tell
  // when a step begins, are asked at this interval.
  Duration poll_interval = Milliseconds(40);
  // How far ahead of the present step the switch is put, so that all ranks are
  // armed before the group gets there and need not wait; the time that arming
  // took lately comes on top, up to the bound: where orders are lost it takes
  // several rounds, and all that time the whole group would stand still.
  Duration lead = Milliseconds(15);
  Duration max_lead = Milliseconds(1000);
  // The group rather stands still for this part of a step than make one more
  // step with the old map, which is changed because it makes steps last longer:
  // at three times the even load a step lost costs two thirds of its length.
  double max_stall_step_fraction = 0.4;
  // What is left of a long arming in the expectation after each further change.
  double arming_time_decay = 0.7;
  // A preparation that takes longer is given up; nothing is armed yet.
  Duration prepare_timeout = Seconds(20);
  // Ranks that are asked for their word and armed at a time. The more, the
  // longer each waits for the others between its word and the answer; the
  // fewer, the longer the whole takes, in which several VMs that freeze
  // together may be found on both sides of it.
  std::uint32_t max_concurrent_arming = 8;
  // From the question to the answer to the order, usually: a rank that takes
  // longer does not keep the next one waiting.
  Duration arming_slot_time = Milliseconds(6);
  // Ranks are armed on their own word where hearing all of them right before
  // the hold took no longer than this; else at once. A second round of words
  // doubles the messages of the exchange; where a round takes long the words
  // come too late to be of use, and the group waits for them.
  Duration max_liveness_round = Milliseconds(15);
  // While a step is held, ranks are asked for their words at this interval.
  Duration held_poll_interval = Milliseconds(15);
  // A rank that has said nothing for this long since it was asked is not armed.
  // Twice the time after which it is asked again: one word may get lost. The
  // group stands still meanwhile, and callers take a pause of 120 ms for late.
  Duration liveness_timeout = Milliseconds(30);
  // A rank that is silent for this long while copies are made: the change is
  // given up, for the demand that it was made for does not last.
  Duration copy_silence_timeout = Seconds(1);
  // Once all have copied, every rank has to be heard anew within this time;
  // otherwise the change is given up. Several rounds of reports.
  Duration confirm_timeout = Milliseconds(400);
  // A new owner waits this long before it judges what it finds: its
  // predecessor's last orders must show in the reports.
  Duration takeover_delay = Milliseconds(300);
};

enum class SwitchPhase {
  kObserving,  // not all ranks are known, or a takeover is settling
  kIdle,
  kPreparing,
  kConfirming,  // all have copied; each has to be heard anew
  kHolding,
  kArming,
  kReleasing,
  kSettling,  // released; not all ranks have shown the new map
  kClearing,
};

class StepSwitch {
 public:
  using MapPointer = std::shared_ptr<const placement::ExpertMap>;

  // `first_version` is above any version of an earlier owner.
  StepSwitch(StepSwitchOptions options,
             MapVersion first_version,
             TimePoint now);

  // The rank answered at `responded_at` or later, and the report describes it
  // as it was at `as_of` or later.
  void OnReport(RankIndex rank,
                const EngineReport& report,
                TimePoint as_of,
                TimePoint responded_at);
  // A step of that epoch had begun at `as_of`, from whatever source; keeps the
  // estimate of the present step close.
  void OnStep(GroupEpoch epoch, StepNumber step, TimePoint as_of);
  void OnAnswer(const RankOrder& order, OrderAnswer answer, TimePoint now);
  // What the map in use holds, for an owner that did not bring it about.
  void OnMapRead(MapVersion version, MapPointer map);
  // Starts a change; only while idle. `copies` is what a rank's copies are
  // expected to take.
  void Begin(MapPointer map, Duration copies, TimePoint now);
  // The orders that are due.
  std::vector<RankOrder> Tick(TimePoint now);
  // The ranks whose reports would bring the change on: those whose copies
  // should be done, those that have to be heard before the hold, and a few that
  // tell that the step has begun. Each counts as asked.
  std::vector<RankIndex> RanksToPoll(TimePoint now);
  // Whether the phase ends by what all ranks report.
  bool NeedsAllReports(TimePoint now) const;

  SwitchPhase phase() const { return phase_; }
  // Why the last change was given up; empty where it was not.
  const std::string& why() const { return why_; }
  // The version whose content has to be read before anything can be changed.
  std::optional<MapVersion> unread_version() const;
  // The map that all ranks use; null while it is not known.
  const MapPointer& map() const { return map_; }
  GroupEpoch epoch() const { return epoch_; }
  MapVersion version() const { return version_; }
  // Above every version that was given to a map so far.
  MapVersion unused_version() const { return next_version_; }

 private:
  struct Rank {
    std::optional<EngineReport> report;
    TimePoint as_of;
    TimePoint responded_at;
    // An answer proved the state that the phase is after.
    bool is_done = false;
    bool is_order_in_flight = false;
    // An order to arm it may have reached it, or may yet. False only of ranks
    // that this owner has not ordered so since it began the present change,
    // whose version nobody else gives.
    bool may_be_armed = true;
    // The order to copy was taken; its end is still to be reported.
    bool is_copying = false;
    TimePoint send_next;
    TimePoint next_poll;
    // While arming: when it was first asked for its word.
    std::optional<TimePoint> arming_polled_at;
    // While clearing: what has to be disarmed before the rank can prepare.
    std::optional<MapVersion> to_disarm;
  };

  void Enter(SwitchPhase phase, TimePoint now);
  // Whether all ranks are heard, of one epoch, and the group is open.
  bool IsGroupComplete(TimePoint now) const;
  bool AllReportedSince(TimePoint since) const;
  bool AllRespondedSince(TimePoint since) const;
  bool AllDone() const;
  void CheckEpoch(TimePoint now);
  void Advance(TimePoint now);
  void Observe(TimePoint now);
  void Settle(TimePoint now);
  bool HasBegunAsArmed() const;
  void EndChange(TimePoint now);
  Duration PollInterval() const;
  bool ShouldPoll(RankIndex index, const Rank& rank, TimePoint now) const;
  // Whether it has said something since the phase was entered.
  bool HasLivenessReply(const Rank& rank) const {
    return rank.responded_at > entered_;
  }
  // Whether a rank may be ordered to be armed now.
  bool IsArmable(const Rank& rank) const {
    return !requires_liveness_reply_ || HasLivenessReply(rank);
  }
  bool MayTakeArmingSlot(const Rank& rank, TimePoint now) const;
  bool IsUnarmedRankSilent(TimePoint now) const;
  bool IsCopyingRankSilent(TimePoint now) const;
  void BeginClearing(TimePoint now);
  void GiveUp(std::string why, TimePoint now);
  void ChooseStep(TimePoint now);
  void RecordArmingTime(Duration took);
  std::optional<EngineOrder> OrderFor(RankIndex index, const Rank& rank) const;
  void OnRefused(const RankOrder& order, Rank& rank, TimePoint now);
  bool IsAwaited(const RankOrder& order) const;

  StepSwitchOptions options_;
  std::map<RankIndex, Rank> ranks_;
  SwitchPhase phase_ = SwitchPhase::kObserving;
  TimePoint entered_;
  // From then on the last orders of a predecessor show in reports.
  TimePoint taken_over_;
  // Reports must describe the ranks as of after this to be judged.
  TimePoint trusted_from_;
  GroupEpoch epoch_;
  MapVersion next_version_;
  MapVersion version_;  // in use by all ranks
  MapPointer map_;
  MapVersion pending_version_;
  MapPointer pending_map_;
  StepNumber step_;  // at which the target takes effect
  // No step up to this one is held again: a release of it may still be carried
  // out late, and would let a step begin for which ranks are being armed.
  StepNumber released_step_;
  RankIndex holding_rank_{0};      // where that step is held
  Duration expected_copy_time_{};  // expected of the change
  std::uint32_t late_holds_ = 0;
  // All ranks were confirmed to be armed with the target for that step.
  bool are_all_armed_ = false;
  // Whether ranks are armed on their own word in this change.
  bool requires_liveness_reply_ = true;
  std::string why_;
  // For the pace of steps.
  StepNumber seen_step_;
  TimePoint seen_at_;     // when it was first seen
  TimePoint checked_at_;  // when it was last seen
  Duration step_time_ = Milliseconds(15);
  Duration expected_arming_{};
};

}  // namespace bilberryspool::groups

#endif  // LIBS_GROUPS_STEP_SWITCH_H_
