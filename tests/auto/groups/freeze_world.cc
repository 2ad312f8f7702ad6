#include "auto/groups/freeze_world.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace bilberryspool::groups {

namespace {

constexpr std::uint32_t kFirstVersion = 1000;
// How long the answer to an order is awaited, as with real engines.
constexpr Duration kOrderTimeout = Milliseconds(80);
constexpr Duration kReportTimeout = Milliseconds(300);
constexpr Duration kReportInterval = Milliseconds(250);

std::shared_ptr<const placement::ExpertMap> AnyMap() {
  auto map = std::make_shared<placement::ExpertMap>(1, FreezeWorld::kRanks);
  for (std::uint32_t e = 0; e < FreezeWorld::kRanks; ++e) {
    map->Add({placement::LayerIndex(0), ExpertIndex(e)}, RankIndex(e));
  }
  return map;
}

StepSwitchOptions ForAllRanks(StepSwitchOptions options) {
  options.ranks = FreezeWorld::kRanks;
  return options;
}

}  // namespace

FreezeWorld::FreezeWorld(std::uint64_t seed, StepSwitchOptions options)
    : random_(seed),
      step_due_(now_),
      poll_due_(now_),
      owner_(ForAllRanks(options), MapVersion(kFirstVersion), now_) {
  const TimePoint latest = now_ + Seconds(3);
  while (owner_.phase() != SwitchPhase::kIdle && now_ < latest) {
    AdvanceTime();
    if (const auto version = owner_.unread_version()) {
      owner_.OnMapRead(*version, AnyMap());
    }
  }
  change_at_ = now_;
}

void FreezeWorld::Freeze(RankIndex rank, Duration begin, Duration length) {
  frozen_[rank] = {change_at_ + begin, change_at_ + begin + length};
}

void FreezeWorld::RunChange(Duration length) {
  held_ = Duration::zero();
  arms_.clear();
  holds_.clear();
  owner_.Begin(AnyMap(), Duration::zero(), now_);
  while (now_ < change_at_ + length) {
    AdvanceTime();
  }
}

bool FreezeWorld::froze_with_unknown_outcome() const {
  for (const auto& [rank, frozen] : frozen_) {
    for (const auto* periods : {&arms_, &holds_}) {
      const auto found = periods->find(rank);
      if (found != periods->end() && frozen.begin >= found->second.from &&
          (!found->second.until.has_value() ||
           frozen.begin <= *found->second.until)) {
        return true;
      }
    }
  }
  return false;
}

// Exact during the exchange; coarse while only the end of a freeze is awaited.
Duration FreezeWorld::TimeStep() const {
  constexpr Duration kExchange = Milliseconds(200);
  return now_ - change_at_ < kExchange ? Microseconds(200) : Milliseconds(4);
}

void FreezeWorld::AdvanceTime() {
  now_ += TimeStep();
  while (!events_.empty() && events_.begin()->first <= now_) {
    auto event = std::move(events_.begin()->second);
    events_.erase(events_.begin());
    event();
  }
  BeginSteps();
  if (now_ >= poll_due_) {
    poll_due_ = now_ + kReportInterval;
    PollAll();
  }
  for (const RankOrder& order : owner_.Tick(now_)) {
    Send(order);
  }
  for (const RankIndex rank : owner_.RanksToPoll(now_)) {
    Poll(rank);
  }
}

void FreezeWorld::BeginSteps() {
  if (now_ < step_due_) {
    return;
  }
  const StepNumber before = group_.step();
  group_.BeginStep();
  if (group_.step() == before) {
    held_ += TimeStep();
    return;
  }
  step_due_ = now_ + kStep;
}

void FreezeWorld::At(TimePoint when, std::function<void()> what) {
  events_.emplace(when, std::move(what));
}

TimePoint FreezeWorld::OwnerDone(TimePoint when) {
  owner_free_at_ = std::max(when, owner_free_at_) + kOwnerProcessingTime;
  return owner_free_at_;
}

void FreezeWorld::AtOwner(TimePoint arrives, std::function<void()> what) {
  At(arrives,
     [this, arrives, what = std::move(what)] { At(OwnerDone(arrives), what); });
}

TimePoint FreezeWorld::AwakeAt(RankIndex rank, TimePoint when) const {
  const auto found = frozen_.find(rank);
  const bool is_frozen = found != frozen_.end() &&
                         when >= found->second.begin &&
                         when < found->second.end;
  return is_frozen ? found->second.end : when;
}

void FreezeWorld::Send(const RankOrder& order) {
  RecordSent(order);
  auto is_over = std::make_shared<bool>(false);
  At(now_ + kOrderTimeout, [this, order, is_over] {
    if (!std::exchange(*is_over, true)) {
      owner_.OnAnswer(order, OrderAnswer::kUnanswered, now_);
    }
  });
  const TimePoint arrives =
      AwakeAt(order.rank, OwnerDone(now_) + RandomLatency());
  At(arrives, [this, order, is_over, arrives] {
    const OrderAnswer answer = group_.Execute(order);
    const TimePoint leaves = AwakeAt(order.rank, arrives + kProcessingTime);
    AtOwner(leaves + RandomLatency(), [this, order, is_over, answer, leaves] {
      if (!std::exchange(*is_over, true)) {
        RecordAnswerSent(order, leaves);
        owner_.OnAnswer(order, answer, now_);
      }
    });
  });
}

void FreezeWorld::Poll(RankIndex rank) {
  const TimePoint asked = now_;
  const TimePoint arrives = AwakeAt(rank, OwnerDone(now_) + RandomLatency());
  At(arrives, [this, rank, asked, arrives] {
    const EngineReport report = group_.Report(rank);
    const TimePoint leaves = AwakeAt(rank, arrives + kProcessingTime);
    const TimePoint back = leaves + RandomLatency();
    if (back - asked > kReportTimeout) {
      return;
    }
    AtOwner(back, [this, rank, asked, report, leaves] {
      report_sent_at_[rank] = leaves;
      owner_.OnReport(rank, report, asked, now_);
    });
  });
}

void FreezeWorld::PollAll() {
  for (std::uint32_t i = 0; i < kRanks; ++i) {
    Poll(RankIndex(i));
  }
}

// An owner can't distinguish a VM that froze after its last liveness reply from
// one that froze after the order had arrived.
void FreezeWorld::RecordSent(const RankOrder& order) {
  if (std::holds_alternative<ArmMap>(order.order)) {
    arms_.try_emplace(order.rank,
                      UnknownOutcomePeriod{report_sent_at_[order.rank], {}});
  }
  if (std::holds_alternative<HoldStep>(order.order)) {
    holds_.try_emplace(order.rank,
                       UnknownOutcomePeriod{report_sent_at_[order.rank], {}});
  }
}

void FreezeWorld::RecordAnswerSent(const RankOrder& order, TimePoint when) {
  const bool is_arm = std::holds_alternative<ArmMap>(order.order);
  const bool is_release = std::holds_alternative<ReleaseStep>(order.order);
  if (!is_arm && !is_release) {
    return;
  }
  auto& periods = is_arm ? arms_ : holds_;
  const auto found = periods.find(order.rank);
  if (found != periods.end() && !found->second.until.has_value()) {
    found->second.until = when;
  }
}

}  // namespace bilberryspool::groups
