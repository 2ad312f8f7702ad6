#include <doctest/doctest.h>

#include <map>

#include "auto/config/random_commands.h"
#include "libs/config/snapshot.h"

namespace bilberryspool::config {
namespace {

// Guards against control replicas that answer differently, because state is
// kept outside the log or missing from the snapshot. Operators race, commands
// are sent again under old ids, and a replica restarts from a snapshot halfway.
TEST_CASE("replicas of one log agree, also after restoring a snapshot") {
  const ThrowOnBrokenInvariant guard;
  std::uint64_t accepted = 0;
  for (std::uint64_t seed = 1; seed <= SeedCount(150); ++seed) {
    CAPTURE(seed);
    Random random(seed);
    StateMachine leader;
    StateMachine follower;
    std::map<CommandId, Outcome> first_outcomes;
    std::vector<Command> sent_commands;
    const std::uint64_t restart = 2 + random.Below(78);
    leader.Apply(ReferencedObjectsCommand(), LogIndex(1));
    follower.Apply(ReferencedObjectsCommand(), LogIndex(1));
    for (std::uint64_t i = 2; i <= 80; ++i) {
      const ConfigVersion version = leader.configuration().version();
      Command command =
          !sent_commands.empty() && random.Chance(0.2)
              ? sent_commands[random.Below(sent_commands.size())]
              : RandomCommand(random, CommandId(std::to_string(i)), version);
      sent_commands.push_back(command);
      const Outcome outcome = leader.Apply(command, LogIndex(i));
      const bool is_new = first_outcomes.emplace(command.id, outcome).second;
      CHECK(first_outcomes.at(command.id) == outcome);
      if (!is_new) {
        CHECK(leader.configuration().version() == version);
      }
      CHECK(follower.Apply(command, LogIndex(i)) == outcome);
      CHECK(follower.configuration().digest() ==
            leader.configuration().digest());
      if (i == restart) {
        const auto state = ReadSnapshot(WriteSnapshot(follower.state()));
        REQUIRE(state.has_value());
        CHECK(*state == follower.state());
        follower = StateMachine(*state);
      }
    }
    CHECK(follower.state() == leader.state());
    accepted += leader.configuration().version().value();
  }
  // The test is only meaningful if a sufficient number of commands is accepted.
  CHECK(accepted >= 10 * SeedCount(150));
}

// The expectation of a command must be checked against every change that was
// accepted since the expected version.
TEST_CASE("of commands raced on one version at most one is accepted") {
  const ThrowOnBrokenInvariant guard;
  for (std::uint64_t seed = 1; seed <= SeedCount(150); ++seed) {
    CAPTURE(seed);
    Random random(seed);
    StateMachine machine;
    machine.Apply(BaseCommand(), LogIndex(1));
    std::uint64_t index = 1;
    for (int round = 0; round < 20; ++round) {
      const ConfigVersion version = machine.configuration().version();
      for (int competitor = 0; competitor < 4; ++competitor) {
        ++index;
        Command command = CommandOf(
            std::to_string(index).c_str(),
            {DeclareWorkspace{{Workspace(std::to_string(random.Below(2))),
                               static_cast<std::uint32_t>(index)}}});
        command.expected = {version, CompareScope::kConfiguration};
        machine.Apply(command, LogIndex(index));
      }
      CHECK(machine.configuration().version() == version.Next());
    }
  }
}

}  // namespace
}  // namespace bilberryspool::config
