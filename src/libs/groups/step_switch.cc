#include "libs/groups/step_switch.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bilberryspool::groups {

namespace {

constexpr Duration kMinStepTime = Milliseconds(1);
constexpr Duration kMaxStepTime = Milliseconds(1000);

constexpr std::uint64_t kMaxStepsAhead = 2;
// Terms with the same remainder are so far apart that no order of the earlier
// one is still in transit.
constexpr std::uint64_t kTermSlots = 6;

}  // namespace

StepSwitch::StepSwitch(StepSwitchOptions options,
                       MapVersion first_version,
                       TimePoint now)
    : options_(options),
      phase_entered_at_(now),
      takeover_settled_at_(now + options.takeover_delay),
      trusted_from_(takeover_settled_at_),
      next_version_(first_version) {
  for (std::uint32_t i = 0; i < options_.ranks; ++i) {
    ranks_[RankIndex(i)];
  }
}

void StepSwitch::Enter(SwitchPhase phase, TimePoint now) {
  phase_ = phase;
  phase_entered_at_ = now;
  is_arming_abandoned_ = false;
  if (phase == SwitchPhase::kReleasing) {
    released_step_ = std::max(released_step_, switch_step_);
  }
  for (auto& [index, rank] : ranks_) {
    // Orders that another owner may have sent are unknown here.
    rank.may_be_armed = rank.may_be_armed || phase == SwitchPhase::kObserving;
    rank.is_done = false;
    rank.is_order_in_flight = false;
    rank.is_copying = false;
    rank.send_next = now;
    rank.next_poll = now;
    rank.to_disarm.reset();
  }
}

void StepSwitch::GiveUp(std::string why, TimePoint now) {
  why_ = std::move(why);
  pending_map_.reset();
  trusted_from_ = now;
  Enter(SwitchPhase::kObserving, now);
}

bool StepSwitch::AllDone() const {
  return std::all_of(ranks_.begin(), ranks_.end(),
                     [](const auto& item) { return item.second.is_done; });
}

bool StepSwitch::AllReportedSince(TimePoint since) const {
  return std::all_of(ranks_.begin(), ranks_.end(), [since](const auto& item) {
    return item.second.report.has_value() && item.second.as_of >= since;
  });
}

bool StepSwitch::AllRespondedSince(TimePoint since) const {
  return std::all_of(ranks_.begin(), ranks_.end(), [since](const auto& item) {
    return item.second.responded_at >= since;
  });
}

bool StepSwitch::IsGroupComplete(TimePoint now) const {
  constexpr Duration kMaxReportAge = Seconds(4);
  return std::all_of(ranks_.begin(), ranks_.end(), [&](const auto& item) {
    const Rank& rank = item.second;
    return rank.report.has_value() && now - rank.as_of < kMaxReportAge &&
           rank.report->is_open && rank.report->epoch == epoch_;
  });
}

void StepSwitch::OnStep(GroupEpoch epoch, StepNumber step, TimePoint as_of) {
  if (epoch != epoch_ || step < seen_step_ || as_of < checked_at_) {
    return;
  }
  checked_at_ = as_of;
  if (step == seen_step_) {
    // A step that is still running lasts at least this long.
    step_time_ = std::clamp(as_of - seen_at_, step_time_, kMaxStepTime);
    return;
  }
  const auto steps =
      static_cast<Duration::rep>(step.value() - seen_step_.value());
  if (seen_step_.value() > 0 && as_of > seen_at_) {
    const Duration pace = (as_of - seen_at_) / steps;
    step_time_ =
        std::clamp((step_time_ + pace) / 2, kMinStepTime, kMaxStepTime);
  }
  seen_step_ = step;
  seen_at_ = as_of;
}

void StepSwitch::OnReport(RankIndex index,
                          const EngineReport& report,
                          TimePoint as_of,
                          TimePoint responded_at) {
  const auto found = ranks_.find(index);
  if (found == ranks_.end()) {
    return;
  }
  found->second.responded_at =
      std::max(found->second.responded_at, responded_at);
  if (as_of < found->second.as_of) {
    return;
  }
  found->second.report = report;
  found->second.as_of = as_of;
  if (phase_ == SwitchPhase::kPreparing && report.epoch == epoch_ &&
      report.prepared == pending_version_) {
    found->second.is_done = true;
  }
  OnStep(report.epoch, report.step, as_of);
}

// A group that formed again has dropped all orders and uses its first map, with
// which steps last longest. Only a predecessor can have sent orders in this
// epoch, so any report of it counts: waiting for reports from after the epoch
// became known took 0.4 to 0.8 s with 72 ranks.
void StepSwitch::CheckEpoch(TimePoint now) {
  GroupEpoch newest = epoch_;
  for (const auto& [index, rank] : ranks_) {
    if (rank.report.has_value()) {
      newest = std::max(newest, rank.report->epoch);
    }
  }
  if (newest == epoch_) {
    return;
  }
  epoch_ = newest;
  map_.reset();
  version_ = MapVersion(0);
  pending_map_.reset();
  seen_step_ = StepNumber(0);
  released_step_ = StepNumber(0);
  inherited_release_.reset();
  checked_at_ = TimePoint{};
  trusted_from_ = takeover_settled_at_;
  Enter(SwitchPhase::kObserving, now);
}

std::optional<MapVersion> StepSwitch::unread_version() const {
  if (phase_ != SwitchPhase::kObserving || map_ != nullptr || ranks_.empty() ||
      !ranks_.begin()->second.report.has_value()) {
    return std::nullopt;
  }
  return ranks_.begin()->second.report->map;
}

void StepSwitch::OnMapRead(MapVersion version, MapPointer map) {
  if (phase_ == SwitchPhase::kObserving && map_ == nullptr) {
    version_ = version;
    map_ = std::move(map);
  }
}

void StepSwitch::Begin(MapPointer map, Duration copies, TimePoint now) {
  if (phase_ != SwitchPhase::kIdle) {
    return;
  }
  why_.clear();
  pending_map_ = std::move(map);
  pending_version_ = next_version_;
  next_version_ = next_version_.Next();
  late_holds_ = 0;
  are_all_armed_ = false;
  expected_copy_time_ = copies;
  for (auto& [index, rank] : ranks_) {
    rank.may_be_armed = false;
  }
  Enter(SwitchPhase::kPreparing, now);
}

void StepSwitch::Observe(TimePoint now) {
  if (!IsGroupComplete(now) || !AllReportedSince(trusted_from_)) {
    return;
  }
  InheritReleases();
  std::optional<ArmedMap> armed;
  bool all_armed = true;
  bool any_armed = false;
  std::optional<StepNumber> held;
  for (const auto& [index, rank] : ranks_) {
    const EngineReport& report = *rank.report;
    const MapVersion highest =
        std::max(report.map, report.prepared.value_or(report.map));
    next_version_ = std::max(next_version_, highest.Next());
    if (report.held.has_value()) {
      held = report.held;
      holding_rank_ = index;
    }
    any_armed = any_armed || report.armed.has_value();
    all_armed = all_armed && report.armed.has_value() &&
                (!armed.has_value() || *armed == *report.armed);
    armed = report.armed;
  }
  if (held.has_value() && all_armed && armed->step == *held) {
    // A predecessor's change only lacks the release.
    pending_version_ = armed->version;
    pending_map_ = nullptr;
    switch_step_ = *held;
    are_all_armed_ = false;
    Enter(SwitchPhase::kReleasing, now);
    return;
  }
  // Everything else requires the content of the map in use.
  if (map_ == nullptr) {
    return;
  }
  if (held.has_value()) {
    switch_step_ = *held;
    BeginClearing(now);
    return;
  }
  const bool same_map = std::all_of(
      ranks_.begin(), ranks_.end(),
      [this](const auto& item) { return item.second.report->map == version_; });
  if (!any_armed && same_map) {
    Enter(SwitchPhase::kIdle, now);
    return;
  }
  if (!same_map && !any_armed) {
    // The map that was read is no longer the one in use.
    map_.reset();
    trusted_from_ = now;
  }
}

// Leaves every rank with a newer version prepared and none armed, except for
// ranks that were never ordered to arm for this change: nothing in transit can
// arm them, and they may be silent.
void StepSwitch::BeginClearing(TimePoint now) {
  const bool is_own = phase_ == SwitchPhase::kArming;
  const MapVersion own = pending_version_;
  pending_map_ = map_;
  pending_version_ = next_version_;
  next_version_ = next_version_.Next();
  are_all_armed_ = false;
  Enter(SwitchPhase::kClearing, now);
  for (auto& [index, rank] : ranks_) {
    rank.is_done = !rank.may_be_armed;
    if (rank.report.has_value() && rank.report->armed.has_value()) {
      rank.to_disarm = rank.report->armed->version;
    } else if (is_own) {
      // Its last report predates the order.
      rank.to_disarm = own;
    }
  }
}

bool StepSwitch::IsAnyOrderInFlight() const {
  return std::any_of(ranks_.begin(), ranks_.end(), [](const auto& item) {
    return item.second.is_order_in_flight;
  });
}

bool StepSwitch::IsCopyingRankSilent(TimePoint now) const {
  return std::any_of(ranks_.begin(), ranks_.end(), [&](const auto& item) {
    const Rank& rank = item.second;
    return !rank.is_done &&
           now - rank.responded_at > options_.copy_silence_timeout;
  });
}

void StepSwitch::InheritReleases() {
  if (inherited_release_.has_value()) {
    return;
  }
  // A step is held only after all ranks have prepared a map.
  const bool is_first_owner =
      std::all_of(ranks_.begin(), ranks_.end(), [](const auto& item) {
        const EngineReport& report = *item.second.report;
        return report.map == MapVersion(0) && !report.prepared.has_value();
      });
  inherited_release_ =
      is_first_owner
          ? StepNumber(0)
          : StepNumber(seen_step_.value() + kMaxStepsAhead + kTermSlots);
}

StepNumber StepSwitch::EstimateStep(TimePoint now) const {
  // The step that was seen last began at `seen_at_` or earlier. Refused holds
  // show that the group was further ahead than estimated.
  const Duration wait(
      static_cast<Duration::rep>(options_.max_stall_step_fraction *
                                 static_cast<double>(step_time_.count())));
  const Duration lead =
      std::min(options_.lead + expected_arming_, options_.max_lead);
  const Duration since =
      now - seen_at_ + std::max(lead - wait, Duration::zero());
  const double ahead = ToSeconds(since) / ToSeconds(step_time_);
  const double steps =
      std::ceil(std::max(ahead, 1.0)) * static_cast<double>(1U << late_holds_);
  return StepNumber(seen_step_.value() + static_cast<std::uint64_t>(steps));
}

bool StepSwitch::ChooseStep(TimePoint now) {
  const StepNumber last_shared(seen_step_.value() + kMaxStepsAhead);
  const StepNumber shared =
      std::max({EstimateStep(now), released_step_.Next(),
                inherited_release_.value_or(last_shared).Next()});
  if (shared <= last_shared) {
    switch_step_ = shared;
    return true;
  }
  const std::uint64_t first = last_shared.value() + 1;
  const std::uint64_t slot = options_.term.value() % kTermSlots;
  switch_step_ =
      StepNumber(first + (slot + kTermSlots - first % kTermSlots) % kTermSlots);
  return switch_step_ > released_step_;
}

void StepSwitch::RecordArmingTime(Duration took) {
  const Duration remembered(static_cast<Duration::rep>(
      options_.arming_time_decay *
      static_cast<double>(expected_arming_.count())));
  expected_arming_ = std::max(took, remembered);
}

bool StepSwitch::HasBegunAsArmed() const {
  return are_all_armed_ && seen_step_ >= switch_step_;
}

// All ranks use the pending map from now on.
void StepSwitch::EndChange(TimePoint now) {
  map_ = pending_map_;
  version_ = pending_version_;
  Enter(SwitchPhase::kIdle, now);
}

// After the release the ranks switch when the step begins, which an idle group
// delays.
void StepSwitch::Settle(TimePoint now) {
  if (HasBegunAsArmed()) {
    EndChange(now);
    return;
  }
  if (!AllReportedSince(phase_entered_at_)) {
    return;
  }
  bool is_over = true;
  for (const auto& [index, rank] : ranks_) {
    const EngineReport& report = *rank.report;
    if (report.held.has_value()) {
      // A hold order was carried out late.
      if (*report.held == switch_step_) {
        holding_rank_ = index;
        Enter(SwitchPhase::kReleasing, now);
      } else {
        GiveUp("a step is held that was not asked for", now);
      }
      return;
    }
    is_over = is_over && !report.armed.has_value();
  }
  if (!is_over) {
    return;
  }
  const MapVersion in_use = ranks_.begin()->second.report->map;
  if (in_use == pending_version_ && pending_map_ != nullptr) {
    EndChange(now);
    return;
  }
  if (in_use != version_) {
    map_.reset();
  }
  GiveUp(why_, now);
}

void StepSwitch::Advance(TimePoint now) {
  switch (phase_) {
    case SwitchPhase::kObserving:
      Observe(now);
      return;
    case SwitchPhase::kIdle: {
      const bool is_unexpected =
          std::any_of(ranks_.begin(), ranks_.end(), [this](const auto& item) {
            const auto& report = item.second.report;
            return report.has_value() &&
                   item.second.as_of >= phase_entered_at_ &&
                   (report->held.has_value() || report->armed.has_value());
          });
      if (is_unexpected || !IsGroupComplete(now)) {
        GiveUp("the ranks are not as they were left", now);
      }
      return;
    }
    case SwitchPhase::kPreparing:
      if (AllDone()) {
        Enter(SwitchPhase::kConfirming, now);
      } else if (now - phase_entered_at_ > options_.prepare_timeout) {
        GiveUp("not all ranks prepared in time", now);
      } else if (IsCopyingRankSilent(now)) {
        GiveUp("a rank is silent while it copies", now);
      }
      return;
    case SwitchPhase::kConfirming:
      if (AllRespondedSince(phase_entered_at_)) {
        if (!ChooseStep(now)) {
          GiveUp("every step within reach may have been released", now);
          return;
        }
        holding_rank_ = ranks_.begin()->first;
        Enter(SwitchPhase::kHolding, now);
      } else if (now - phase_entered_at_ > options_.confirm_timeout) {
        GiveUp("a rank is silent before the hold", now);
      }
      return;
    case SwitchPhase::kHolding:
      if (ranks_.at(holding_rank_).is_done) {
        Enter(SwitchPhase::kArming, now);
      }
      return;
    case SwitchPhase::kArming:
      if (AllDone()) {
        RecordArmingTime(now - phase_entered_at_);
        are_all_armed_ = true;
        Enter(SwitchPhase::kReleasing, now);
      } else if (is_arming_abandoned_ && !IsAnyOrderInFlight()) {
        BeginClearing(now);
      }
      return;
    case SwitchPhase::kClearing:
      if (AllDone()) {
        why_ = "cleared";
        Enter(SwitchPhase::kReleasing, now);
      }
      return;
    case SwitchPhase::kReleasing:
      if (ranks_.at(holding_rank_).is_done) {
        Enter(SwitchPhase::kSettling, now);
      }
      return;
    case SwitchPhase::kSettling:
      Settle(now);
      return;
  }
}
}  // namespace bilberryspool::groups
