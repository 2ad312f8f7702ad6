#include "libs/groups/rollout.h"

#include <doctest/doctest.h>

#include "libs/base/random.h"

namespace bilberryspool::groups {
namespace {

const std::vector<TargetId> kTargets{TargetId("a"), TargetId("b"),
                                     TargetId("c")};

struct Outcome {
  bool done = false;
  std::string stopped;
  std::size_t most_concurrent_switches = 0;
};

// Targets answer each order after a delay; `fault`, if any, is injected after a
// minute.
Outcome Run(RolloutOptions options,
            const std::optional<RolloutEvent>& fault,
            std::uint64_t seed) {
  Rollout rollout(options, kTargets);
  Random random(seed);
  std::multimap<TimePoint, RolloutEvent> queue{
      {TimeAt(Seconds(1)), RolloutTick{}}};
  if (fault) {
    queue.emplace(TimeAt(Seconds(60)), *fault);
  }
  Outcome outcome;
  while (!queue.empty() && queue.begin()->first < TimeAt(Seconds(5000))) {
    const auto [now, event] = *queue.begin();
    queue.erase(queue.begin());
    for (const RolloutAction& action : rollout.Handle(event, now)) {
      const TimePoint later = now + random.Between(Seconds(1), Seconds(20));
      if (const auto* prepare = std::get_if<PrepareTarget>(&action)) {
        queue.emplace(later, TargetPrepared{prepare->target});
        queue.emplace(later, TargetPrepared{prepare->target});
      }
      if (const auto* change = std::get_if<SwitchTarget>(&action)) {
        queue.emplace(later, TargetSwitched{change->target});
      }
      if (const auto* stopped = std::get_if<RolloutStopped>(&action)) {
        outcome.stopped = stopped->why;
      }
      outcome.done =
          outcome.done || std::holds_alternative<RolloutDone>(action);
    }
    std::size_t switching = 0;
    for (const TargetId& target : kTargets) {
      const RolloutStage stage = rollout.stage_of(target);
      switching +=
          stage == RolloutStage::kSwitching || stage == RolloutStage::kSettling;
    }
    outcome.most_concurrent_switches =
        std::max(outcome.most_concurrent_switches, switching);
    const std::optional<TimePoint> deadline = rollout.next_deadline();
    if (queue.empty() && deadline) {
      queue.emplace(std::max(*deadline, now), RolloutTick{});
    }
  }
  return outcome;
}

TEST_CASE("a rollout reaches all targets, few at a time") {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    CAPTURE(seed);
    const Outcome outcome = Run(RolloutOptions{}, std::nullopt, seed);
    CHECK(outcome.done);
    CHECK(outcome.most_concurrent_switches == 1);
  }
}

// The first target fails with a bad model version. Guards against a rollout
// that continues to all targets because nothing monitors the targets that were
// switched.
TEST_CASE("a rollout stops by itself on errors") {
  struct Row {
    RolloutEvent fault;
    const char* why;
  };
  const Row rows[] = {
      {TargetErrors{TargetId("a"), 0.5}, "a: too many errors"},
      {TargetFailed{TargetId("b"), "out of memory"}, "b: out of memory"}};
  for (const Row& row : rows) {
    const Outcome outcome = Run(RolloutOptions{}, row.fault, 1);
    CHECK_FALSE(outcome.done);
    CHECK(outcome.stopped == row.why);
  }
}

TEST_CASE("no target is switched while too few others serve") {
  RolloutOptions options;
  options.min_serving = 2;
  const Outcome outcome = Run(options, TargetServing{TargetId("c"), false}, 1);
  CHECK_FALSE(outcome.done);
  CHECK(outcome.stopped.empty());
}

}  // namespace
}  // namespace bilberryspool::groups
