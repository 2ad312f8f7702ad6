#include "tools/soak/fault_plan.h"

#include <doctest/doctest.h>

#include <set>

namespace bilberryspool::soak {
namespace {

FaultPlanOptions OptionsOf(std::uint64_t seed) {
  FaultPlanOptions options;
  options.seed = seed;
  options.length = Seconds(60);
  return options;
}

bool IsControl(const FaultEvent& fault_event) {
  return ClassOf(fault_event.kind) == VictimClass::kControl;
}

TEST_CASE("a plan stops one control node at a time and lets it catch up") {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    CAPTURE(seed);
    const FaultPlanOptions options = OptionsOf(seed);
    TimePoint free_from;
    for (const FaultEvent& fault_event : MakePlan(options)) {
      if (!IsControl(fault_event)) {
        continue;
      }
      CHECK(TimeAt(fault_event.at) >= free_from);
      free_from = TimeAt(fault_event.end() + options.catch_up);
    }
  }
}

TEST_CASE("faults of one victim do not overlap and end within the run") {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    CAPTURE(seed);
    const std::vector<FaultEvent> plan = MakePlan(OptionsOf(seed));
    for (std::size_t i = 0; i < plan.size(); ++i) {
      CHECK(plan[i].end() < Seconds(60));
      for (std::size_t j = i + 1; j < plan.size(); ++j) {
        const bool same_victim =
            ClassOf(plan[i].kind) == ClassOf(plan[j].kind) &&
            plan[i].victim == plan[j].victim;
        CHECK_FALSE((same_victim && plan[j].at < plan[i].end()));
      }
    }
  }
}

TEST_CASE("a seed always draws the same plan, and all fault kinds are drawn") {
  std::set<FaultKind> kinds;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    const std::vector<FaultEvent> plan = MakePlan(OptionsOf(seed));
    const std::vector<FaultEvent> again = MakePlan(OptionsOf(seed));
    REQUIRE(plan.size() == again.size());
    for (std::size_t i = 0; i < plan.size(); ++i) {
      CHECK(plan[i].ToText() == again[i].ToText());
      kinds.insert(plan[i].kind);
    }
  }
  CHECK(kinds.size() == std::size(kAllFaultKinds));
}

}  // namespace
}  // namespace bilberryspool::soak
