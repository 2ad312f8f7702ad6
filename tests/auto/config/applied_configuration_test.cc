#include "libs/config/applied_configuration.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>

#include "auto/config/random_commands.h"

namespace bilberryspool::config {
namespace {

// Guards against an accepted limit being reverted on one node. Deltas and full
// states reach the node late, twice, in any order and partly damaged; an older
// version must not replace a newer one.
TEST_CASE("a node's version never decreases and reaches the latest one") {
  const ThrowOnBrokenInvariant guard;
  for (std::uint64_t seed = 1; seed <= SeedCount(150); ++seed) {
    CAPTURE(seed);
    Random random(seed);
    StateMachine machine;
    std::vector<Delta> sent;
    std::vector<Configuration> full;
    std::map<ConfigVersion, Configuration> accepted;
    machine.Apply(ReferencedObjectsCommand(), LogIndex(1));
    for (std::uint64_t i = 2; i <= 60; ++i) {
      const ConfigVersion before = machine.configuration().version();
      machine.Apply(RandomCommand(random, CommandId(std::to_string(i)), before),
                    LogIndex(i));
      const ConfigVersion from(random.Below(before.value() + 1));
      if (const auto delta = machine.DeltaFrom(from)) {
        sent.push_back(*delta);
      }
      full.push_back(machine.configuration());
      accepted[machine.configuration().version()] = machine.configuration();
    }
    AppliedConfiguration node;
    for (int i = 0; i < 200; ++i) {
      const ConfigVersion before = node.version();
      Delta delta = sent[random.Below(sent.size())];
      if (random.Chance(0.1) && !delta.updates.empty()) {
        delta.updates.pop_back();
      }
      if (node.Apply(delta) == ApplyResult::kApplied) {
        CHECK(node.configuration() == accepted.at(node.version()));
      }
      if (node.diverged() || random.Chance(0.05)) {
        node.Replace(full[random.Below(full.size())]);
      }
      CHECK(node.version() >= before);
    }
    if (const auto last = machine.DeltaFrom(node.version())) {
      node.Apply(*last);
    }
    if (node.diverged()) {
      node.Replace(machine.configuration());
    }
    CHECK(node.configuration() == machine.configuration());
    CHECK(node.configuration().digest() == machine.configuration().digest());
  }
}

TEST_CASE("only consecutive deltas can be combined") {
  const ThrowOnBrokenInvariant guard;
  for (std::uint64_t seed = 1; seed <= SeedCount(50); ++seed) {
    CAPTURE(seed);
    Random random(seed);
    StateMachine machine;
    machine.Apply(ReferencedObjectsCommand(), LogIndex(1));
    std::vector<Delta> steps{*machine.DeltaFrom(ConfigVersion())};
    for (std::uint64_t i = 2; i <= 40; ++i) {
      const ConfigVersion before = machine.configuration().version();
      machine.Apply(RandomCommand(random, CommandId(std::to_string(i)), before),
                    LogIndex(i));
      if (machine.configuration().version() > before) {
        steps.push_back(*machine.DeltaFrom(before));
      }
    }
    AppliedConfiguration node;
    const std::size_t split = random.Below(steps.size()) + 1;
    const auto middle = steps.begin() + static_cast<std::ptrdiff_t>(split);
    CHECK(node.Apply(*CombineDeltas({steps.begin(), middle})) ==
          ApplyResult::kApplied);
    if (const auto rest = CombineDeltas({middle, steps.end()})) {
      CHECK(node.Apply(*rest) == ApplyResult::kApplied);
    }
    CHECK(node.configuration() == machine.configuration());
    std::reverse(steps.begin(), steps.end());
    CHECK(CombineDeltas(steps).has_value() == (steps.size() == 1));
  }
  CHECK_FALSE(CombineDeltas({}).has_value());
}

TEST_CASE("one delta updates a node that missed hundreds of changes") {
  StateMachine machine;
  machine.Apply(BaseCommand(), LogIndex(1));
  for (std::uint32_t i = 1; i <= 700; ++i) {
    machine.Apply(CommandOf(("c" + std::to_string(i)).c_str(),
                            {DeclareWorkspace{{Workspace("kiln"), i}}}),
                  LogIndex(i + 1));
  }
  AppliedConfiguration node;
  const auto delta = machine.DeltaFrom(ConfigVersion());
  REQUIRE(delta.has_value());
  CHECK(delta->updates.size() == machine.configuration().object_count());
  CHECK(node.Apply(*delta) == ApplyResult::kApplied);
  CHECK(node.configuration() == machine.configuration());
}

// Guards against a restarted node serving an older configuration than before
// the restart. This happens if the control replicas are unreachable, a lagging
// peer offers its state, and the node lost the version it had in force.
TEST_CASE("a version below the minimum is not applied after a restart") {
  StateMachine machine;
  machine.Apply(BaseCommand(), LogIndex(1));
  const Configuration old = machine.configuration();
  machine.Apply(CommandOf("c", {DeclareTarget{{TargetId("t")}}}), LogIndex(2));
  AppliedConfiguration node;
  node.RaiseMinVersion(ConfigVersion(2));
  CHECK(node.Replace(old) == ApplyResult::kBelowMinVersion);
  CHECK(node.version() == ConfigVersion());
  CHECK(node.Replace(machine.configuration()) == ApplyResult::kApplied);
  CHECK(node.Replace(old) == ApplyResult::kStale);
}

}  // namespace
}  // namespace bilberryspool::config
