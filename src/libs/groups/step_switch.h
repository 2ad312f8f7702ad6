// Switches all ranks of a self-stepping group from one map to another at the
// same step.
//
// A step that begins while two ranks have different maps computes wrong answers
// for every request of the group without any error, because ranks don't compare
// maps. Orders may be lost, answered late, or carried out seconds after the
// owner gave up on them, and the owner itself may be replaced in the middle of
// a change. These rules prevent such a step:
//
// - One rank holds step S before any rank is armed for S, so S can't begin
//   while some ranks are armed and others are not.
// - S is released only once every rank has confirmed that it is armed with the
//   same version for S, or that it can no longer be armed for S.
// - No rank is disarmed while all ranks could still be armed: a predecessor
//   that saw all of them armed may be about to release S. Clearing begins only
//   when some rank has another version prepared, because then nobody can ever
//   have seen all ranks armed.
// - Clearing leaves every rank with a newer version prepared, which voids each
//   late order to arm an older one.
// - Versions are never reused, and those of a successor are higher.
// - No step is held by two owners, as a release by the first one may be carried
//   out late (see ChooseStep()).
//
// A rank that can't be reached while a step is held stalls the whole group if
// it may be armed: nobody can know whether it is, so neither a release nor
// clearing is safe until it answers. The group then is `arming` for as long as
// the VM beside that rank is frozen. Copies take longer than everything else,
// so a rank that copied little may be gone long before the last one is done;
// therefore every rank must respond again right before the hold. After the
// hold, a rank gets its order to arm only right after another reply (see
// OrderGuard), from a control node near it; a silent rank is not armed at all:
// the others are disarmed and the old map stays. Where a control node has too
// many ranks for that, all of them are armed at once.
//
// The outcome remains unknown between a rank's last reply and its answer to the
// order, one and a half round trips. No owner can rule this out: an engine that
// took the order and one that did not look the same while their VM is frozen.
//
// Once the step has begun at one rank it has begun at all ranks, and those that
// were armed have switched; late orders to hold it or to arm for it are void.
// Therefore one report of a later step ends the change: waiting for every rank
// took 0.24 to 0.45 s with 72 ranks, during which the next change could not
// begin.
//
// Pure state machine: events and `now` in, orders out.

#ifndef LIBS_GROUPS_STEP_SWITCH_H_
#define LIBS_GROUPS_STEP_SWITCH_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "libs/base/ids.h"
#include "libs/base/time.h"
#include "libs/groups/engine_order.h"

namespace bilberryspool::groups {

struct StepSwitchOptions {
  std::uint32_t ranks = 0;
  // Leadership term of the owner.
  Term term;
  // Delay before an order that was refused is sent again.
  Duration resend_after = Milliseconds(150);
  // A rank is polled when its copies should be done, and again at this interval
  // until they are.
  Duration copy_poll = Milliseconds(20);
  // A rank that still does not report its copies is sent the order again after
  // this time, because the engine may have lost it. A few polls.
  Duration copy_resend = Milliseconds(300);
  // Polling interval for ranks that have not responded yet where all have to,
  // and for the few that report when a step begins.
  Duration poll_interval = Milliseconds(40);
  // How far ahead of the current step the switch is scheduled, so that all
  // ranks are armed before the group gets there and need not wait. The time
  // that arming took recently is added, up to `max_lead`: if orders are lost,
  // arming takes several rounds, and the whole group would be stalled for all
  // that time.
  Duration lead = Milliseconds(15);
  Duration max_lead = Milliseconds(1000);
  // The group is stalled for up to this fraction of a step rather than run one
  // more step with the old map, which is replaced because it makes steps last
  // longer: at three times the even load, such a step costs two thirds of its
  // length.
  double max_stall_step_fraction = 0.4;
  // Factor by which a long expected arming time decays with each further
  // change.
  double arming_time_decay = 0.7;
  // A change whose preparation takes longer is abandoned; nothing is armed yet.
  Duration prepare_timeout = Seconds(20);
  // The change is abandoned if a rank is silent for this long while copies are
  // made, because the demand that the change was made for does not last.
  Duration copy_silence_timeout = Seconds(1);
  // Once all ranks have copied, each must respond again within this time,
  // several rounds of reports; otherwise the change is abandoned.
  Duration confirm_timeout = Milliseconds(400);
  // A new owner waits this long before it evaluates what it finds, because the
  // last orders of its predecessor must show in the reports.
  Duration takeover_delay = Milliseconds(300);
};

enum class SwitchPhase {
  kObserving,  // not all ranks are known, or a takeover is settling
  kIdle,
  kPreparing,
  kConfirming,  // all have copied; each must respond again
  kHolding,
  kArming,
  kReleasing,
  kSettling,  // released; not all ranks have shown the new map
  kClearing,
};

class StepSwitch {
 public:
  using MapPointer = std::shared_ptr<const placement::ExpertMap>;

  // `first_version` must be higher than any version of an earlier owner.
  StepSwitch(StepSwitchOptions options,
             MapVersion first_version,
             TimePoint now);

  // The rank answered at `responded_at` or later, and the report describes it
  // as it was at `as_of` or later.
  void OnReport(RankIndex rank,
                const EngineReport& report,
                TimePoint as_of,
                TimePoint responded_at);
  // Notes, from any source, that a step of the epoch had begun at `as_of`.
  // Keeps the estimate of the current step accurate.
  void OnStep(GroupEpoch epoch, StepNumber step, TimePoint as_of);
  void OnAnswer(const RankOrder& order, OrderAnswer answer, TimePoint now);
  // Provides the content of the map in use to an owner that did not install it.
  void OnMapRead(MapVersion version, MapPointer map);
  // Starts a change; ignored unless idle. `copies` is the expected duration of
  // a rank's copies.
  void Begin(MapPointer map, Duration copies, TimePoint now);
  // Returns the orders that are due.
  std::vector<RankOrder> Tick(TimePoint now);
  // Returns the ranks whose reports would advance the change: those whose
  // copies should be done, those that must respond before the hold, and a few
  // that report that the step has begun. Each counts as polled.
  std::vector<RankIndex> RanksToPoll(TimePoint now);
  // Whether the end of the phase depends on the reports of all ranks.
  bool NeedsAllReports(TimePoint now) const;

  SwitchPhase phase() const { return phase_; }
  // Why the last change was abandoned; empty if it was not.
  const std::string& why() const { return why_; }
  // The version whose content must be passed to OnMapRead() before anything can
  // be changed.
  std::optional<MapVersion> unread_version() const;
  // The map that all ranks use; null while it is unknown.
  const MapPointer& map() const { return map_; }
  GroupEpoch epoch() const { return epoch_; }
  MapVersion version() const { return version_; }
  // Higher than every version that was given to a map so far.
  MapVersion unused_version() const { return next_version_; }

 private:
  struct Rank {
    std::optional<EngineReport> report;
    TimePoint as_of;
    TimePoint responded_at;
    // The rank has confirmed the state that the phase aims for.
    bool is_done = false;
    bool is_order_in_flight = false;
    // An order to arm the rank may have reached it, or may still do so. False
    // only for ranks to which this owner has sent no such order since it began
    // the current change, whose version nobody else uses.
    bool may_be_armed = true;
    // The rank accepted the order to copy and has not reported its completion
    // yet.
    bool is_copying = false;
    TimePoint send_next;
    TimePoint next_poll;
    // `may_be_armed` before the order in flight.
    bool might_be_armed_before = true;
    // While clearing: the version that must be disarmed before the rank can
    // prepare.
    std::optional<MapVersion> to_disarm;
  };

  void Enter(SwitchPhase phase, TimePoint now);
  // Whether all ranks have recent reports of one epoch and the group is open.
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
  bool ShouldPoll(RankIndex index, const Rank& rank) const;
  // Whether the rank has responded since the phase was entered.
  bool HasLivenessReply(const Rank& rank) const {
    return rank.responded_at >= phase_entered_at_;
  }
  bool IsAnyOrderInFlight() const;
  bool IsCopyingRankSilent(TimePoint now) const;
  void BeginClearing(TimePoint now);
  void GiveUp(std::string why, TimePoint now);
  // Sets the step to hold; returns false if there is none that an earlier owner
  // can't have released. Steps up to kMaxStepsAhead beyond the last one that
  // was seen to begin may be held by any owner, those up to kTermSlots beyond
  // that only by owners whose term has the same remainder.
  bool ChooseStep(TimePoint now);
  StepNumber EstimateStep(TimePoint now) const;
  void InheritReleases();
  void RecordArmingTime(Duration took);
  std::optional<EngineOrder> OrderFor(RankIndex index, const Rank& rank) const;
  void OnRefused(const RankOrder& order, Rank& rank, TimePoint now);
  void OnNotSent(Rank& rank, TimePoint now);
  bool IsAwaited(const RankOrder& order) const;

  StepSwitchOptions options_;
  std::map<RankIndex, Rank> ranks_;
  SwitchPhase phase_ = SwitchPhase::kObserving;
  TimePoint phase_entered_at_;
  // From this time on the last orders of a predecessor show in reports.
  TimePoint takeover_settled_at_;
  // Only reports that describe a rank as of this time or later are evaluated.
  TimePoint trusted_from_;
  GroupEpoch epoch_;
  MapVersion next_version_;
  MapVersion version_;  // in use by all ranks
  MapPointer map_;
  MapVersion pending_version_;
  MapPointer pending_map_;
  StepNumber switch_step_;  // step at which the pending map takes effect
  // No step up to this one is held again: a release of it may still be carried
  // out late and would let a step begin for which ranks are being armed.
  StepNumber released_step_;
  // An earlier owner in this epoch may have released steps up to this one.
  // Unknown until the ranks have been observed.
  std::optional<StepNumber> inherited_release_;
  RankIndex holding_rank_{0};      // rank at which `switch_step_` is held
  Duration expected_copy_time_{};  // of a rank, in the current change
  std::uint32_t late_holds_ = 0;
  // All ranks have confirmed that they are armed with the pending map for
  // `switch_step_`.
  bool are_all_armed_ = false;
  // While arming: no further rank is armed, and the change is cleared once all
  // orders in flight are answered. Until then it is unknown which ranks an
  // order has reached, and a frozen rank that was never sent one must not be
  // waited for.
  bool is_arming_abandoned_ = false;
  std::string why_;
  // Estimate of the step time.
  StepNumber seen_step_;
  TimePoint seen_at_;     // when it was first seen
  TimePoint checked_at_;  // when it was last seen
  Duration step_time_ = Milliseconds(15);
  Duration expected_arming_{};
};

}  // namespace bilberryspool::groups

#endif  // LIBS_GROUPS_STEP_SWITCH_H_
