#include "auto/groups/slow_reply_world.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace bilberryspool::groups {

namespace {

constexpr std::uint32_t kFirstVersion = 1000;
// As the control node waits for the answers of 16 real engines.
constexpr Duration kOrderTimeout = Milliseconds(81);
constexpr Duration kReportTimeout = Milliseconds(300);
constexpr Duration kReportInterval = Milliseconds(250);
constexpr Duration kTickInterval = Milliseconds(25);

std::shared_ptr<const placement::ExpertMap> AnyMap() {
  auto map = std::make_shared<placement::ExpertMap>(1, SlowReplyWorld::kRanks);
  for (std::uint32_t e = 0; e < SlowReplyWorld::kRanks; ++e) {
    map->Add({placement::LayerIndex(0), ExpertIndex(e)}, RankIndex(e));
  }
  return map;
}

StepSwitchOptions Options() {
  StepSwitchOptions options;
  options.ranks = SlowReplyWorld::kRanks;
  return options;
}

bool IsAboutHold(const EngineOrder& order) {
  return std::holds_alternative<HoldStep>(order) ||
         std::holds_alternative<ReleaseStep>(order);
}

std::optional<GroupMessageKind> KindOfOrder(const EngineOrder& order) {
  if (std::holds_alternative<HoldStep>(order)) {
    return GroupMessageKind::kHoldOrder;
  }
  if (std::holds_alternative<ArmMap>(order)) {
    return GroupMessageKind::kArmOrder;
  }
  if (std::holds_alternative<ReleaseStep>(order)) {
    return GroupMessageKind::kReleaseOrder;
  }
  return std::nullopt;
}

std::optional<GroupMessageKind> KindOfAnswer(const EngineOrder& order) {
  if (std::holds_alternative<HoldStep>(order)) {
    return GroupMessageKind::kHoldAnswer;
  }
  if (std::holds_alternative<ArmMap>(order)) {
    return GroupMessageKind::kArmAnswer;
  }
  return std::nullopt;
}

}  // namespace

SlowReplyWorld::SlowReplyWorld(std::uint64_t seed)
    : random_(seed),
      poll_due_(now_),
      owner_(Options(), MapVersion(kFirstVersion), now_) {
  At(now_, [this] { OwnerTick(); });
  // The seed also shifts the change against the steps.
  At(now_ + random_.Between(Duration::zero(), kStep),
     [this] { AttemptStep(); });
  const TimePoint latest = now_ + Seconds(3);
  while (owner_.phase() != SwitchPhase::kIdle && now_ < latest) {
    RunUntil(now_ + Milliseconds(1));
  }
  change_at_ = now_;
}

void SlowReplyWorld::Freeze(RankIndex rank, Duration begin, Duration length) {
  frozen_rank_ = rank;
  frozen_from_ = change_at_ + begin;
  frozen_until_ = frozen_from_ + length;
}

void SlowReplyWorld::RunChange(Duration length) {
  longest_stall_ = Duration::zero();
  is_change_begun_ = true;
  owner_.Begin(AnyMap(), Duration::zero(), now_);
  Advance();
  RunUntil(change_at_ + length);
  if (stalled_since_.has_value()) {
    longest_stall_ = std::max(longest_stall_, now_ - *stalled_since_);
  }
}

FreezeWindow SlowReplyWorld::window() const {
  if (!hold_sent_at_.has_value() || !frozen_rank_.has_value()) {
    return FreezeWindow::kNoHold;
  }
  if (frozen_from_ < *hold_sent_at_) {
    return FreezeWindow::kBeforeHold;
  }
  if (frozen_rank_ == holding_rank_) {
    return release_done_at_.has_value() && *release_done_at_ < frozen_from_
               ? FreezeWindow::kLater
               : FreezeWindow::kHolding;
  }
  const auto found = times_.find(*frozen_rank_);
  const RankTimes times = found == times_.end() ? RankTimes{} : found->second;
  if (!times.reply_after_hold_left.has_value() ||
      *times.reply_after_hold_left >= frozen_from_) {
    // Where ranks are armed on replies from before the hold, no reply follows.
    return times.arm_answer_left.has_value() &&
                   *times.arm_answer_left < frozen_from_
               ? FreezeWindow::kLater
               : FreezeWindow::kBeforeReply;
  }
  return times.arm_answer_left.has_value() &&
                 *times.arm_answer_left < frozen_from_
             ? FreezeWindow::kLater
             : FreezeWindow::kBeforeAnswer;
}

SlowReplyWorld::UnknownTimes SlowReplyWorld::unknown_times() const {
  UnknownTimes unknown{Seconds(1000), Duration::zero()};
  for (const auto& [rank, times] : times_) {
    if (times.arm_reply_left.has_value() && times.arm_answer_left.has_value()) {
      const Duration time = *times.arm_answer_left - *times.arm_reply_left;
      unknown.shortest = std::min(unknown.shortest, time);
      unknown.longest = std::max(unknown.longest, time);
    }
  }
  return unknown;
}

Duration SlowReplyWorld::holding_time() const {
  return hold_done_at_.has_value() && release_done_at_.has_value()
             ? *release_done_at_ - *hold_done_at_
             : Duration::zero();
}

Duration SlowReplyWorld::round_time() const {
  return round_begun_at_.has_value() && hold_sent_at_.has_value()
             ? *hold_sent_at_ - *round_begun_at_
             : Duration::zero();
}

void SlowReplyWorld::At(TimePoint when, std::function<void()> what) {
  events_.emplace(when, std::move(what));
}

void SlowReplyWorld::RunUntil(TimePoint end) {
  while (!events_.empty() && events_.begin()->first <= end) {
    now_ = std::max(now_, events_.begin()->first);
    auto event = std::move(events_.begin()->second);
    events_.erase(events_.begin());
    event();
  }
  now_ = end;
}

void SlowReplyWorld::OwnerTick() {
  if (now_ >= poll_due_) {
    poll_due_ = now_ + kReportInterval;
    PollAll();
  }
  // Ignored unless the owner lacks the map in use.
  owner_.OnMapRead(group_.map(), AnyMap());
  Advance();
  At(now_ + kTickInterval, [this] { OwnerTick(); });
}

void SlowReplyWorld::Advance() {
  for (const RankOrder& order : owner_.Tick(now_)) {
    if (std::holds_alternative<ArmMap>(order.order)) {
      StepGuard(std::make_shared<GuardedOrder>(
          GuardedOrder{order, OrderGuard(), false}));
    } else {
      Send(order);
    }
  }
  const bool is_before_hold = owner_.phase() == SwitchPhase::kConfirming;
  for (const RankIndex rank : owner_.RanksToPoll(now_)) {
    if (is_before_hold) {
      round_begun_at_ = round_begun_at_.value_or(now_);
      Poll(rank, GroupMessageKind::kPollBeforeHold,
           GroupMessageKind::kReplyBeforeHold);
    } else {
      Poll(rank, std::nullopt, std::nullopt);
    }
  }
  if (is_before_hold && delay_.has_value() &&
      delay_->kind == GroupMessageKind::kExtraReplyBeforeHold &&
      !std::exchange(has_sent_extra_poll_, true)) {
    Poll(delay_->rank, std::nullopt, GroupMessageKind::kExtraReplyBeforeHold);
  }
}

void SlowReplyWorld::StepGuard(const std::shared_ptr<GuardedOrder>& guarded) {
  if (guarded->is_over) {
    return;
  }
  switch (guarded->guard.Next(now_)) {
    case OrderGuard::Step::kPoll:
      PollForGuard(guarded);
      return;
    case OrderGuard::Step::kWait:
      return;
    case OrderGuard::Step::kSend:
      guarded->is_over = true;
      Send(guarded->order);
      return;
    case OrderGuard::Step::kGiveUp:
      guarded->is_over = true;
      owner_.OnAnswer(guarded->order, OrderAnswer::kNotSent, now_);
      Advance();
      return;
  }
}

void SlowReplyWorld::PollForGuard(
    const std::shared_ptr<GuardedOrder>& guarded) {
  const RankIndex rank = guarded->order.rank;
  const TimePoint polled_at = now_;
  At(guarded->guard.wait_until(), [this, guarded] { StepGuard(guarded); });
  const TimePoint arrives = OwnerDone(now_) + Latency(std::nullopt, rank);
  At(AwakeAt(rank, arrives), [this, guarded, rank, polled_at] {
    const TimePoint leaves = AwakeAt(rank, now_ + kProcessingTime);
    RecordReplyLeft(rank, leaves);
    const TimePoint back =
        leaves + Latency(GroupMessageKind::kReplyWhileHeld, rank);
    At(back, [this, guarded, rank, polled_at, leaves] {
      At(OwnerDone(now_), [this, guarded, rank, polled_at, leaves] {
        if (guarded->is_over) {
          return;
        }
        RecordReplyArrived(rank, leaves);
        guarded->guard.OnReply(polled_at);
        StepGuard(guarded);
      });
    });
  });
}

void SlowReplyWorld::RecordReplyLeft(RankIndex rank, TimePoint leaves) {
  if (hold_sent_at_.has_value() && leaves > *hold_sent_at_) {
    RankTimes& times = times_[rank];
    times.reply_after_hold_left = times.reply_after_hold_left.value_or(leaves);
  }
}

void SlowReplyWorld::RecordReplyArrived(RankIndex rank, TimePoint leaves) {
  RankTimes& times = times_[rank];
  times.last_reply_left =
      std::max(times.last_reply_left.value_or(leaves), leaves);
}

void SlowReplyWorld::AttemptStep() {
  const StepNumber before = group_.step();
  group_.BeginStep();
  if (group_.step() == before) {
    // Attempted again when a release is carried out.
    stalled_since_ = stalled_since_.value_or(now_);
    return;
  }
  if (stalled_since_.has_value()) {
    longest_stall_ = std::max(longest_stall_, now_ - *stalled_since_);
    stalled_since_.reset();
  }
  At(now_ + kStep, [this] { AttemptStep(); });
}

TimePoint SlowReplyWorld::OwnerDone(TimePoint when) {
  owner_free_at_ = std::max(when, owner_free_at_) + kOwnerProcessingTime;
  return owner_free_at_;
}

Duration SlowReplyWorld::Latency(std::optional<GroupMessageKind> kind,
                                 RankIndex rank,
                                 int hops) {
  Duration latency{};
  for (int i = 0; i < hops; ++i) {
    latency += random_.Between(kMinLatency, kMaxLatency);
  }
  if (is_change_begun_ && kind.has_value() && delay_.has_value() &&
      delay_->kind == *kind && delay_->rank == rank) {
    latency += std::exchange(delay_->delay, Duration::zero());
  }
  return latency;
}

TimePoint SlowReplyWorld::AwakeAt(RankIndex rank, TimePoint when) const {
  return frozen_rank_ == rank && when >= frozen_from_ && when < frozen_until_
             ? frozen_until_
             : when;
}

void SlowReplyWorld::Send(const RankOrder& order) {
  RecordSent(order);
  const int hops = IsAboutHold(order.order) ? 2 : 1;
  auto is_over = std::make_shared<bool>(false);
  At(now_ + kOrderTimeout, [this, order, is_over] {
    if (!std::exchange(*is_over, true)) {
      owner_.OnAnswer(order, OrderAnswer::kUnanswered, now_);
      Advance();
    }
  });
  const TimePoint arrives =
      OwnerDone(now_) + Latency(KindOfOrder(order.order), order.rank, hops);
  At(AwakeAt(order.rank, arrives), [this, order, is_over, hops] {
    const OrderAnswer answer = group_.Execute(order);
    RecordExecuted(order);
    if (stalled_since_.has_value()) {
      AttemptStep();
    }
    const TimePoint leaves = AwakeAt(order.rank, now_ + kProcessingTime);
    if (std::holds_alternative<ArmMap>(order.order)) {
      RankTimes& times = times_[order.rank];
      times.arm_answer_left = times.arm_answer_left.value_or(leaves);
    }
    const TimePoint back =
        leaves + Latency(KindOfAnswer(order.order), order.rank, hops);
    At(back, [this, order, is_over, answer] {
      At(OwnerDone(now_), [this, order, is_over, answer] {
        if (!std::exchange(*is_over, true)) {
          owner_.OnAnswer(order, answer, now_);
          Advance();
        }
      });
    });
  });
}

void SlowReplyWorld::Poll(RankIndex rank,
                          std::optional<GroupMessageKind> poll,
                          std::optional<GroupMessageKind> reply) {
  const TimePoint asked = now_;
  const TimePoint arrives = OwnerDone(now_) + Latency(poll, rank);
  At(AwakeAt(rank, arrives), [this, rank, asked, reply] {
    const EngineReport report = group_.Report(rank);
    const TimePoint leaves = AwakeAt(rank, now_ + kProcessingTime);
    RecordReplyLeft(rank, leaves);
    const TimePoint back = leaves + Latency(reply, rank);
    if (back - asked > kReportTimeout) {
      return;
    }
    At(back, [this, rank, asked, report, leaves] {
      At(OwnerDone(now_), [this, rank, asked, report, leaves] {
        RecordReplyArrived(rank, leaves);
        owner_.OnReport(rank, report, asked, asked);
        Advance();
      });
    });
  });
}

// A round of reports, of which only the time of the request is known.
void SlowReplyWorld::PollAll() {
  for (std::uint32_t i = 0; i < kRanks; ++i) {
    const RankIndex rank(i);
    const TimePoint asked = now_;
    const TimePoint arrives = OwnerDone(now_) + Latency(std::nullopt, rank);
    At(AwakeAt(rank, arrives), [this, rank, asked] {
      const EngineReport report = group_.Report(rank);
      const TimePoint leaves = AwakeAt(rank, now_ + kProcessingTime);
      const TimePoint back = leaves + Latency(std::nullopt, rank);
      if (back - asked > kReportTimeout) {
        return;
      }
      At(back, [this, rank, asked, report, leaves] {
        At(OwnerDone(now_), [this, rank, asked, report, leaves] {
          RecordReplyArrived(rank, leaves);
          owner_.OnReport(rank, report, asked, asked);
          Advance();
        });
      });
    });
  }
}

void SlowReplyWorld::RecordSent(const RankOrder& order) {
  if (std::holds_alternative<HoldStep>(order.order) &&
      !hold_sent_at_.has_value()) {
    hold_sent_at_ = now_;
    holding_rank_ = order.rank;
  }
  if (std::holds_alternative<ArmMap>(order.order)) {
    RankTimes& times = times_[order.rank];
    if (!times.arm_reply_left.has_value()) {
      times.arm_reply_left = times.last_reply_left;
    }
  }
}

void SlowReplyWorld::RecordExecuted(const RankOrder& order) {
  if (std::holds_alternative<HoldStep>(order.order)) {
    hold_done_at_ = hold_done_at_.value_or(now_);
  }
  if (std::holds_alternative<ReleaseStep>(order.order)) {
    release_done_at_ = release_done_at_.value_or(now_);
  }
}

}  // namespace bilberryspool::groups
