// A release that an earlier owner gave is carried out late, while its successor
// holds the same step.
//
// Versions are never used again, but steps are: a new owner does not know which
// steps its predecessor has released.

#include <doctest/doctest.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <variant>

#include "auto/groups/fake_group.h"
#include "libs/groups/step_switch.h"

namespace bilberryspool::groups {
namespace {

constexpr std::uint32_t kRanks = 4;
const RankIndex kFrozen{2};

std::shared_ptr<const placement::ExpertMap> AnyMap() {
  auto map = std::make_shared<placement::ExpertMap>(1, kRanks);
  for (std::uint32_t e = 0; e < kRanks; ++e) {
    map->Add({placement::LayerIndex(0), ExpertIndex(e)}, RankIndex(e));
  }
  return map;
}

// An idle group, two owners after each other, and one VM that may be frozen.
class World {
 public:
  World() { TakeOver(); }

  void TakeOver() {
    ++term_;
    StepSwitchOptions options;
    options.ranks = kRanks;
    options.term = Term(term_);
    owner_.emplace(options, MapVersion(term_ * 1000), now_);
  }
  void Begin() { owner_->Begin(AnyMap(), Duration::zero(), now_); }
  // What becomes of orders to arm the frozen rank.
  void SetArmAnswer(std::optional<OrderAnswer> answer) { arm_answer_ = answer; }
  // The next release stays with a helper and is not answered.
  void KeepNextRelease() { keeps_release_ = true; }
  bool RunUntil(SwitchPhase phase) {
    for (int i = 0; i < 600 && owner_->phase() != phase; ++i) {
      RunIteration();
    }
    return owner_->phase() == phase;
  }
  // Runs a change that is cleared, as one rank is silent before it is armed.
  bool RunClearedChange() {
    Begin();
    bool is_cleared = RunUntil(SwitchPhase::kHolding);
    SetArmAnswer(OrderAnswer::kNotSent);
    is_cleared = is_cleared && RunUntil(SwitchPhase::kClearing) &&
                 RunUntil(SwitchPhase::kSettling);
    SetArmAnswer(std::nullopt);
    return is_cleared;
  }
  void RunIteration() {
    now_ += Milliseconds(10);
    for (std::uint32_t i = 0; i < kRanks; ++i) {
      if (RankIndex(i) != kFrozen || !arm_answer_.has_value()) {
        owner_->OnReport(RankIndex(i), group_.Report(RankIndex(i)), now_, now_);
      }
    }
    if (const auto version = owner_->unread_version()) {
      owner_->OnMapRead(*version, AnyMap());
    }
    for (const RankOrder& order : owner_->Tick(now_)) {
      owner_->OnAnswer(order, AnswerTo(order), now_);
    }
    owner_->RanksToPoll(now_);
  }
  // The helper that kept the release sends it.
  void CarryOutKeptRelease() {
    REQUIRE(kept_.has_value());
    group_.Execute(*kept_);
  }
  void RunSteps(int steps) {
    for (int i = 0; i < steps; ++i) {
      group_.BeginStep();
    }
  }
  const FakeGroup& group() const { return group_; }
  StepNumber held_step() const { return held_step_; }
  SwitchPhase phase() const { return owner_->phase(); }

 private:
  OrderAnswer AnswerTo(const RankOrder& order) {
    if (const auto* hold = std::get_if<HoldStep>(&order.order)) {
      held_step_ = hold->step;
    }
    if (std::holds_alternative<ReleaseStep>(order.order) && keeps_release_) {
      keeps_release_ = false;
      kept_ = order;
      return OrderAnswer::kUnanswered;
    }
    if (std::holds_alternative<ArmMap>(order.order) && order.rank == kFrozen &&
        arm_answer_.has_value()) {
      return *arm_answer_;
    }
    return group_.Execute(order);
  }

  TimePoint now_ = TimeAt(Seconds(1000));
  FakeGroup group_{kRanks};
  std::optional<StepSwitch> owner_;
  std::uint64_t term_ = 0;
  std::optional<OrderAnswer> arm_answer_;
  std::optional<RankOrder> kept_;
  StepNumber held_step_;
  bool keeps_release_ = false;
};

// A rank is silent before it is armed, so the change is cleared and the step
// released; the helper that is sent the release freezes, and another one sends
// it. The group is idle. The owner is replaced, its successor holds a step, and
// one VM freezes with an order to arm in transit. The helper wakes.
TEST_CASE("a late release of an earlier owner does not begin a mixed step") {
  World world;
  REQUIRE(world.RunUntil(SwitchPhase::kIdle));
  world.Begin();
  REQUIRE(world.RunUntil(SwitchPhase::kHolding));
  const StepNumber first = world.held_step();
  world.SetArmAnswer(OrderAnswer::kNotSent);
  REQUIRE(world.RunUntil(SwitchPhase::kClearing));
  world.KeepNextRelease();
  REQUIRE(world.RunUntil(SwitchPhase::kSettling));
  world.SetArmAnswer(std::nullopt);

  world.TakeOver();
  REQUIRE(world.RunUntil(SwitchPhase::kIdle));
  world.Begin();
  REQUIRE(world.RunUntil(SwitchPhase::kHolding));
  world.SetArmAnswer(OrderAnswer::kUnanswered);
  REQUIRE(world.RunUntil(SwitchPhase::kArming));
  world.RunIteration();
  world.RunIteration();
  MESSAGE("held by the first owner: ", first.value(),
          ", by the second: ", world.held_step().value());
  world.CarryOutKeptRelease();
  world.RunSteps(5);
  CHECK(world.group().mixed_map_steps() == 0);
}

// The second owner is as short-lived as the first one, so that the third may
// meet a late release of either.
TEST_CASE("late releases of two earlier owners do not begin a mixed step") {
  World world;
  REQUIRE(world.RunUntil(SwitchPhase::kIdle));
  REQUIRE(world.RunClearedChange());

  world.TakeOver();
  REQUIRE(world.RunUntil(SwitchPhase::kIdle));
  world.KeepNextRelease();
  REQUIRE(world.RunClearedChange());
  const StepNumber second = world.held_step();

  world.TakeOver();
  REQUIRE(world.RunUntil(SwitchPhase::kIdle));
  world.Begin();
  REQUIRE(world.RunUntil(SwitchPhase::kHolding));
  CHECK(world.held_step() != second);
  world.SetArmAnswer(OrderAnswer::kUnanswered);
  REQUIRE(world.RunUntil(SwitchPhase::kArming));
  world.RunIteration();
  world.RunIteration();
  world.CarryOutKeptRelease();
  world.RunSteps(20);
  CHECK(world.group().mixed_map_steps() == 0);
}

}  // namespace
}  // namespace bilberryspool::groups
