// StepSwitch: the orders and polls of each phase, and the handling of answers.

#include <algorithm>
#include <utility>

#include "libs/groups/step_switch.h"

namespace bilberryspool::groups {

namespace {

constexpr std::uint32_t kMaxLateHolds = 8;

}  // namespace

std::optional<EngineOrder> StepSwitch::OrderFor(RankIndex index,
                                                const Rank& rank) const {
  switch (phase_) {
    case SwitchPhase::kObserving:
    case SwitchPhase::kIdle:
    case SwitchPhase::kConfirming:
    case SwitchPhase::kSettling:
      return std::nullopt;
    case SwitchPhase::kPreparing:
      return PrepareMap{pending_version_, pending_map_};
    case SwitchPhase::kClearing:
      if (rank.to_disarm.has_value()) {
        return DisarmMap{*rank.to_disarm};
      }
      return PrepareMap{pending_version_, pending_map_};
    case SwitchPhase::kArming:
      return ArmMap{pending_version_, switch_step_};
    case SwitchPhase::kHolding:
      return index == holding_rank_
                 ? std::optional<EngineOrder>(HoldStep{switch_step_})
                 : std::nullopt;
    case SwitchPhase::kReleasing:
      return index == holding_rank_
                 ? std::optional<EngineOrder>(ReleaseStep{switch_step_})
                 : std::nullopt;
  }
  return std::nullopt;
}

std::vector<RankOrder> StepSwitch::Tick(TimePoint now) {
  CheckEpoch(now);
  Advance(now);
  std::vector<RankOrder> orders;
  if (is_arming_abandoned_) {
    return orders;
  }
  for (auto& [index, rank] : ranks_) {
    if (rank.is_done || rank.is_order_in_flight || now < rank.send_next) {
      continue;
    }
    if (auto order = OrderFor(index, rank)) {
      rank.is_order_in_flight = true;
      rank.might_be_armed_before = rank.may_be_armed;
      rank.may_be_armed =
          rank.may_be_armed || std::holds_alternative<ArmMap>(*order);
      orders.push_back({index, epoch_, std::move(*order)});
    }
  }
  return orders;
}

// Whether the phase waits for a report of the rank.
bool StepSwitch::ShouldPoll(RankIndex index, const Rank& rank) const {
  // Several, so that a silent rank does not keep the change from ending.
  constexpr std::uint32_t kStepReporters = 3;
  switch (phase_) {
    case SwitchPhase::kPreparing:
      return rank.is_copying && !rank.is_done;
    case SwitchPhase::kConfirming:
      return !HasLivenessReply(rank);
    case SwitchPhase::kSettling:
      return are_all_armed_ && index.value() < kStepReporters;
    case SwitchPhase::kObserving:
    case SwitchPhase::kIdle:
    case SwitchPhase::kHolding:
    case SwitchPhase::kArming:
    case SwitchPhase::kReleasing:
    case SwitchPhase::kClearing:
      return false;
  }
  return false;
}

bool StepSwitch::NeedsAllReports(TimePoint now) const {
  // Applies to a step that was released without all ranks known to be armed,
  // and to an idle group, which begins no step. Running steps last 50 to 300
  // ms.
  constexpr Duration kReleaseSettleTime = Milliseconds(300);
  return phase_ == SwitchPhase::kObserving ||
         (phase_ == SwitchPhase::kSettling &&
          (!are_all_armed_ || now - phase_entered_at_ > kReleaseSettleTime));
}

Duration StepSwitch::PollInterval() const {
  switch (phase_) {
    case SwitchPhase::kPreparing:
      return options_.copy_poll;
    default:
      return options_.poll_interval;
  }
}

std::vector<RankIndex> StepSwitch::RanksToPoll(TimePoint now) {
  const Duration interval = PollInterval();
  std::vector<RankIndex> asked;
  for (auto& [index, rank] : ranks_) {
    if (now < rank.next_poll || !ShouldPoll(index, rank)) {
      continue;
    }
    rank.next_poll = now + interval;
    asked.push_back(index);
  }
  return asked;
}

// Answers of an earlier phase or of another change don't apply to this one.
bool StepSwitch::IsAwaited(const RankOrder& order) const {
  const auto found = ranks_.find(order.rank);
  if (found == ranks_.end() || order.epoch != epoch_ ||
      !found->second.is_order_in_flight) {
    return false;
  }
  const auto expected = OrderFor(order.rank, found->second);
  return expected.has_value() && SameOrder(*expected, order.order);
}

void StepSwitch::OnAnswer(const RankOrder& order,
                          OrderAnswer answer,
                          TimePoint now) {
  if (!IsAwaited(order)) {
    return;
  }
  Rank& rank = ranks_.at(order.rank);
  rank.is_order_in_flight = false;
  if (rank.is_done) {
    return;
  }
  switch (answer) {
    case OrderAnswer::kDone:
      if (rank.to_disarm.has_value()) {
        rank.to_disarm.reset();
        rank.send_next = now;
      } else {
        rank.is_done = true;
      }
      break;
    case OrderAnswer::kBegun:
      if (phase_ != SwitchPhase::kPreparing) {
        rank.send_next = now + options_.copy_poll;
        break;
      }
      rank.is_copying = true;
      rank.next_poll = now + expected_copy_time_;
      rank.send_next = now + expected_copy_time_ + options_.copy_resend;
      break;
    case OrderAnswer::kUnanswered:
      rank.send_next = now;
      break;
    case OrderAnswer::kRefused:
      OnRefused(order, rank, now);
      break;
    case OrderAnswer::kNotSent:
      OnNotSent(rank, now);
      break;
  }
}

void StepSwitch::OnNotSent(Rank& rank, TimePoint now) {
  rank.may_be_armed = rank.might_be_armed_before;
  rank.send_next = now;
  if (phase_ == SwitchPhase::kArming && !rank.may_be_armed) {
    why_ = "a rank is silent before it is armed";
    is_arming_abandoned_ = true;
  }
}

void StepSwitch::OnRefused(const RankOrder& order, Rank& rank, TimePoint now) {
  rank.send_next = now + options_.resend_after;
  switch (phase_) {
    case SwitchPhase::kPreparing:
      GiveUp("a rank refused to prepare", now);
      return;
    case SwitchPhase::kHolding:
      // The group was further ahead than estimated.
      if (++late_holds_ >= kMaxLateHolds) {
        GiveUp("the step to hold was always over", now);
        return;
      }
      if (!ChooseStep(now)) {
        GiveUp("every step within reach may have been released", now);
        return;
      }
      rank.send_next = now;
      return;
    case SwitchPhase::kArming:
      why_ = "a rank refused to be armed";
      is_arming_abandoned_ = true;
      return;
    case SwitchPhase::kClearing:
      if (rank.to_disarm.has_value()) {
        // The rank is no longer armed with that version.
        rank.to_disarm.reset();
      } else if (rank.report.has_value() && rank.report->armed.has_value()) {
        rank.to_disarm = rank.report->armed->version;
      } else if (rank.report.has_value() && rank.report->prepared.has_value() &&
                 *rank.report->prepared >= pending_version_) {
        next_version_ = std::max(next_version_, rank.report->prepared->Next());
        BeginClearing(now);
      }
      return;
    case SwitchPhase::kReleasing:
      // The rank holds no step.
      rank.is_done = true;
      return;
    case SwitchPhase::kObserving:
    case SwitchPhase::kIdle:
    case SwitchPhase::kConfirming:
    case SwitchPhase::kSettling:
      return;
  }
  static_cast<void>(order);
}

}  // namespace bilberryspool::groups
