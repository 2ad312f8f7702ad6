#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "plugins/control_node/replicated_state.h"

namespace bilberryspool::control_node {
namespace {

std::vector<quarantine::QuarantineRecord> OneRefusal() {
  quarantine::QuarantineRecord record;
  record.request = {1, 2};
  record.service = ServiceId("model\nrefusals\n");
  record.verdict = quarantine::Verdict::kRefused;
  record.ends = 3;
  record.remaining = Seconds(120);
  return {record};
}

std::string Configuration(std::uint64_t version) {
  return config::NumberedConfiguration::Propose(version,
                                                packing::PackedText{"text"});
}

TEST_CASE("configuration and refusals change apart from each other") {
  ReplicatedState state;
  CHECK(state.Apply(Configuration(3)) ==
        ReplicatedState::Change::kConfiguration);
  CHECK(state.Apply(ReplicatedState::ProposeRefusals(OneRefusal())) ==
        ReplicatedState::Change::kRefusals);
  CHECK(state.Apply(Configuration(2)) == ReplicatedState::Change::kNone);
  CHECK(state.configuration().version() == 3);
  CHECK(state.configuration().text().value == "text");
  REQUIRE(state.refusals().size() == 1);
  CHECK(state.refusals().front().remaining == Seconds(120));
  state.Apply(ReplicatedState::ProposeRefusals({}));
  CHECK(state.refusals().empty());
}

// Guards against a quarantine that is lost where all processes start anew.
TEST_CASE("a snapshot holds both, and one from before refusals is read") {
  ReplicatedState state;
  state.Apply(Configuration(3));
  ReplicatedState old;
  CHECK(old.Import(state.Export()));
  CHECK(old.configuration().version() == 3);
  CHECK(old.refusals().empty());

  state.Apply(ReplicatedState::ProposeRefusals(OneRefusal()));
  ReplicatedState read;
  CHECK(read.Import(state.Export()));
  CHECK(read.configuration().version() == 3);
  CHECK(read.configuration().text().value == "text");
  CHECK(read.refusals().size() == 1);
  CHECK_FALSE(read.Import("no snapshot"));
  CHECK(read.configuration().version() == 3);
}

TEST_CASE("refusals that can't be read are none") {
  ReplicatedState state;
  state.Apply("refusals\n{");
  CHECK(state.refusals().empty());
}

// A version that knows no refusals ignores them.
TEST_CASE("a configuration alone takes no refusals for one") {
  config::NumberedConfiguration configuration;
  configuration.Apply(Configuration(3));
  CHECK_FALSE(
      configuration.Apply(ReplicatedState::ProposeRefusals(OneRefusal())));
  CHECK(configuration.version() == 3);
}

}  // namespace
}  // namespace bilberryspool::control_node
