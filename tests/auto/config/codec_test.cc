#include "libs/config/codec.h"

#include <doctest/doctest.h>

#include <boost/json.hpp>
#include <fstream>
#include <iterator>
#include <string>

#include "auto/config/random_commands.h"
#include "libs/config/snapshot.h"

namespace bilberryspool::config {
namespace {

boost::json::value RoundTrip(const boost::json::value& json) {
  return boost::json::parse(boost::json::serialize(json));
}

TEST_CASE("values are equal after a JSON round trip") {
  for (std::uint64_t seed = 1; seed <= SeedCount(100); ++seed) {
    CAPTURE(seed);
    Random random(seed);
    StateMachine machine;
    machine.Apply(ReferencedObjectsCommand(), LogIndex(1));
    for (std::uint64_t i = 2; i < 30; ++i) {
      const ConfigVersion version = machine.configuration().version();
      const Command command =
          RandomCommand(random, CommandId(std::to_string(i)), version);
      CHECK(CommandFromJson(RoundTrip(ToJson(command))) == command);
      const Outcome outcome = machine.Apply(command, LogIndex(i));
      CHECK(OutcomeFromJson(RoundTrip(ToJson(outcome))) == outcome);
      const auto delta =
          machine.DeltaFrom(ConfigVersion(random.Below(version.value() + 1)));
      REQUIRE(delta.has_value());
      CHECK(DeltaFromJson(RoundTrip(ToJson(*delta))) == *delta);
    }
    const Configuration& configuration = machine.configuration();
    CHECK(ConfigurationFromJson(RoundTrip(ToJson(configuration))) ==
          configuration);
  }
}

TEST_CASE("damaged bytes never crash the decoders or the state machine") {
  StateMachine machine;
  machine.Apply(BaseCommand(), LogIndex(1));
  const std::string bytes = WriteSnapshot(machine.state());
  const std::string command = boost::json::serialize(ToJson(BaseCommand()));
  CHECK_FALSE(ReadSnapshot("").has_value());
  CHECK_FALSE(ReadSnapshot("{}").has_value());
  for (std::uint64_t seed = 1; seed <= SeedCount(300); ++seed) {
    CAPTURE(seed);
    Random random(seed);
    std::string damaged = random.Chance(0.5) ? bytes : command;
    for (std::uint64_t i = 0; i <= random.Below(4); ++i) {
      damaged[random.Below(damaged.size())] =
          static_cast<char>(random.Below(256));
    }
    damaged.resize(random.Chance(0.3) ? random.Below(damaged.size())
                                      : damaged.size());
    if (const auto state = ReadSnapshot(damaged)) {
      StateMachine restored(*state);
      restored.Apply(CommandOf("x", {}), restored.applied_index().Next());
    }
    boost::json::error_code error;
    const auto json = boost::json::parse(damaged, error);
    if (error) {
      continue;
    }
    DeltaFromJson(json);
    OutcomeFromJson(json);
    if (const auto read = CommandFromJson(json)) {
      machine.Plan(*read);
    }
  }
}

// Guards against a control replica that can't read its data folder after an
// upgrade, because a codec or digest became incompatible with the snapshots
// that older programs have stored.
TEST_CASE("a stored snapshot of format 1 is still readable") {
  std::ifstream file(SNAPSHOT_OF_FORMAT_1);
  const std::string bytes(std::istreambuf_iterator<char>(file), {});
  const auto state = ReadSnapshot(bytes);
  REQUIRE(state.has_value());
  StateMachine machine;
  machine.Apply(BaseCommand(), LogIndex(1));
  CHECK(*state == machine.state());
}

TEST_CASE("a snapshot of a newer format is rejected") {
  const std::string bytes = WriteSnapshot(StateMachineState());
  const std::string newer =
      "{\"format\":2," + bytes.substr(bytes.find(',') + 1);
  CHECK(ReadSnapshot(bytes).has_value());
  CHECK_FALSE(ReadSnapshot(newer).has_value());
}

}  // namespace
}  // namespace bilberryspool::config
