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
constexpr std::size_t kOwner = 0;
constexpr std::size_t kNodes = 3;
// Number of ranks that a node arms at a time, and how long the owner waits for
// it, as with real nodes.
constexpr std::size_t kMaxGuardedAtOnce = 8;
constexpr Duration kBatchTimeout = Milliseconds(210);

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

struct FreezeWorld::GuardedRank {
  OrderGuard guard;
  bool is_over = false;  // the order was sent or given up
};

// Orders to arm on their way through one node.
struct FreezeWorld::ArmingBatch {
  std::size_t node = 0;
  std::vector<RankOrder> orders;
  std::vector<OrderAnswer> answers;
  std::size_t next = 0;
  std::size_t missing = 0;
  bool is_over = false;  // the owner no longer waits
};

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

void FreezeWorld::FreezeNode(std::size_t node,
                             Duration begin,
                             Duration length) {
  frozen_nodes_[node] = {change_at_ + begin, change_at_ + begin + length};
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
  std::array<std::vector<RankOrder>, kNodes> batches;
  for (const RankOrder& order : owner_.Tick(now_)) {
    if (std::holds_alternative<ArmMap>(order.order)) {
      batches.at(NodeFor(order.rank)).push_back(order);
    } else {
      Send(order);
    }
  }
  for (std::size_t node = 0; node < kNodes; ++node) {
    if (!batches.at(node).empty()) {
      SendBatch(node, std::move(batches.at(node)));
    }
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

TimePoint FreezeWorld::NodeDone(std::size_t node, TimePoint when) {
  TimePoint& free_at = free_at_.at(node);
  free_at = NodeAwakeAt(node, std::max(when, free_at) + kOwnerProcessingTime);
  return free_at;
}

TimePoint FreezeWorld::NodeAwakeAt(std::size_t node, TimePoint when) const {
  const auto found = frozen_nodes_.find(node);
  const bool is_frozen = found != frozen_nodes_.end() &&
                         when >= found->second.begin &&
                         when < found->second.end;
  return is_frozen ? found->second.end : when;
}

void FreezeWorld::AtNodeTimer(std::size_t node,
                              TimePoint when,
                              std::function<void()> what) {
  At(NodeAwakeAt(node, when), std::move(what));
}

std::size_t FreezeWorld::NodeFor(RankIndex rank) const {
  std::size_t node = rank.value() % kNodes;
  while (failed_nodes_.contains(node)) {
    node = (node + 1) % kNodes;
  }
  return node;
}

void FreezeWorld::AtNode(std::size_t node,
                         TimePoint arrives,
                         std::function<void()> what) {
  At(arrives, [this, node, arrives, what = std::move(what)] {
    At(NodeDone(node, arrives), what);
  });
}

TimePoint FreezeWorld::AwakeAt(RankIndex rank, TimePoint when) const {
  const auto found = frozen_.find(rank);
  const bool is_frozen = found != frozen_.end() &&
                         when >= found->second.begin &&
                         when < found->second.end;
  return is_frozen ? found->second.end : when;
}

void FreezeWorld::Send(const RankOrder& order) {
  SendToRank(kOwner, order, [this, order](OrderAnswer answer) {
    owner_.OnAnswer(order, answer, now_);
  });
}

void FreezeWorld::SendToRank(
    std::size_t node,
    const RankOrder& order,
    const std::function<void(OrderAnswer)>& on_answer) {
  RecordSent(order);
  auto is_over = std::make_shared<bool>(false);
  AtNodeTimer(node, now_ + kOrderTimeout, [on_answer, is_over] {
    if (!std::exchange(*is_over, true)) {
      on_answer(OrderAnswer::kUnanswered);
    }
  });
  const TimePoint arrives =
      AwakeAt(order.rank, NodeDone(node, now_) + RandomLatency());
  At(arrives, [this, node, order, on_answer, is_over, arrives] {
    const OrderAnswer answer = group_.Execute(order);
    const TimePoint leaves = AwakeAt(order.rank, arrives + kProcessingTime);
    AtNode(node, leaves + RandomLatency(),
           [this, order, on_answer, is_over, answer, leaves] {
             if (!std::exchange(*is_over, true)) {
               RecordAnswerSent(order, leaves);
               on_answer(answer);
             }
           });
  });
}

void FreezeWorld::SendBatch(std::size_t node, std::vector<RankOrder> orders) {
  auto batch = std::make_shared<ArmingBatch>();
  batch->node = node;
  batch->missing = orders.size();
  batch->answers.resize(orders.size(), OrderAnswer::kUnanswered);
  batch->orders = std::move(orders);
  At(now_ + kBatchTimeout, [this, batch] {
    if (!std::exchange(batch->is_over, true)) {
      failed_nodes_.insert(batch->node);
      for (const RankOrder& order : batch->orders) {
        owner_.OnAnswer(order, OrderAnswer::kUnanswered, now_);
      }
    }
  });
  const auto begin = [this, batch] {
    const std::size_t at_once =
        std::min(kMaxGuardedAtOnce, batch->orders.size());
    for (std::size_t i = 0; i < at_once; ++i) {
      ArmNext(batch);
    }
  };
  if (node == kOwner) {
    begin();
    return;
  }
  AtNode(node, NodeDone(kOwner, now_) + RandomLatency(), begin);
}

void FreezeWorld::ArmNext(const std::shared_ptr<ArmingBatch>& batch) {
  if (batch->next < batch->orders.size()) {
    StepGuard(batch, batch->next++, std::make_shared<GuardedRank>());
  }
}

void FreezeWorld::StepGuard(const std::shared_ptr<ArmingBatch>& batch,
                            std::size_t index,
                            const std::shared_ptr<GuardedRank>& rank) {
  if (rank->is_over) {
    return;
  }
  switch (rank->guard.Next(now_)) {
    case OrderGuard::Step::kPoll:
      PollForGuard(batch, index, rank);
      return;
    case OrderGuard::Step::kWait:
      return;
    case OrderGuard::Step::kSend:
      rank->is_over = true;
      SendToRank(batch->node, batch->orders[index],
                 [this, batch, index](OrderAnswer answer) {
                   OnArmAnswered(batch, index, answer);
                 });
      return;
    case OrderGuard::Step::kGiveUp:
      rank->is_over = true;
      OnArmAnswered(batch, index, OrderAnswer::kNotSent);
      return;
  }
}

void FreezeWorld::PollForGuard(const std::shared_ptr<ArmingBatch>& batch,
                               std::size_t index,
                               const std::shared_ptr<GuardedRank>& rank) {
  const RankIndex polled = batch->orders[index].rank;
  const TimePoint polled_at = now_;
  AtNodeTimer(batch->node, rank->guard.wait_until(),
              [this, batch, index, rank] { StepGuard(batch, index, rank); });
  const TimePoint arrives =
      AwakeAt(polled, NodeDone(batch->node, now_) + RandomLatency());
  At(arrives, [this, batch, index, rank, polled, polled_at, arrives] {
    const TimePoint leaves = AwakeAt(polled, arrives + kProcessingTime);
    AtNode(batch->node, leaves + RandomLatency(),
           [this, batch, index, rank, polled, polled_at, leaves] {
             if (rank->is_over) {
               return;
             }
             report_sent_at_[polled] = leaves;
             rank->guard.OnReply(polled_at);
             StepGuard(batch, index, rank);
           });
  });
}

void FreezeWorld::OnArmAnswered(const std::shared_ptr<ArmingBatch>& batch,
                                std::size_t index,
                                OrderAnswer answer) {
  batch->answers[index] = answer;
  ArmNext(batch);
  if (--batch->missing > 0) {
    return;
  }
  const auto report = [this, batch] {
    if (std::exchange(batch->is_over, true)) {
      return;
    }
    for (std::size_t i = 0; i < batch->orders.size(); ++i) {
      owner_.OnAnswer(batch->orders[i], batch->answers[i], now_);
    }
  };
  if (batch->node == kOwner) {
    report();
    return;
  }
  AtNode(kOwner, NodeDone(batch->node, now_) + RandomLatency(), report);
}

void FreezeWorld::Poll(RankIndex rank) {
  const TimePoint asked = now_;
  const TimePoint arrives =
      AwakeAt(rank, NodeDone(kOwner, now_) + RandomLatency());
  At(arrives, [this, rank, asked, arrives] {
    const EngineReport report = group_.Report(rank);
    const TimePoint leaves = AwakeAt(rank, arrives + kProcessingTime);
    const TimePoint back = leaves + RandomLatency();
    if (back - asked > kReportTimeout) {
      return;
    }
    AtNode(kOwner, back, [this, rank, asked, report, leaves] {
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
