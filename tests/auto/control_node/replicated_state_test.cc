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
  record.terminations = 3;
  record.remaining = Seconds(120);
  return {record};
}

std::string Configuration(std::uint64_t version) {
  return config::NumberedConfiguration::Propose(version,
                                                packing::PackedText{"text"});
}

TEST_CASE("configuration and refusals change independently") {
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

// Guards against losing the quarantine when all processes are restarted.
TEST_CASE("a snapshot holds both, and one without refusals can be imported") {
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

// Guards against a gateway that gets the index of another one after a restart.
TEST_CASE("a snapshot holds the roster of gateways") {
  for (const bool has_evacuation : {false, true}) {
    CAPTURE(has_evacuation);
    ReplicatedState state;
    state.Apply(Configuration(3));
    if (has_evacuation) {
      state.Apply(
          ReplicatedState::ProposeEvacuation({FailureDomain("z"), true, 0}));
    }
    CHECK(state.Apply(ReplicatedState::ProposeRoster({{"b", "a"}, 1})) ==
          ReplicatedState::Change::kRoster);
    CHECK(state.Apply(ReplicatedState::ProposeRoster({{"a"}, 1})) ==
          ReplicatedState::Change::kNone);
    ReplicatedState read;
    REQUIRE(read.Import(state.Export()));
    CHECK(read.roster().SeatOf("a") == cold_targets::GatewaySeat{1, 2, false});
    CHECK(read.evacuations().IsEvacuated(FailureDomain("z")) == has_evacuation);
    CHECK(read.configuration().version() == 3);
  }
}

// Guards against losing an acknowledged evacuation when a replica restarts from
// a snapshot.
TEST_CASE("a snapshot holds evacuations, with and without refusals") {
  const FailureDomain domain("z\nevacuations\n");
  for (const bool has_refusals : {false, true}) {
    CAPTURE(has_refusals);
    ReplicatedState state;
    state.Apply(Configuration(3));
    if (has_refusals) {
      state.Apply(ReplicatedState::ProposeRefusals(OneRefusal()));
    }
    CHECK(state.Apply(ReplicatedState::ProposeEvacuation({domain, true, 0})) ==
          ReplicatedState::Change::kEvacuations);
    CHECK(state.Apply(ReplicatedState::ProposeEvacuation({domain, true, 0})) ==
          ReplicatedState::Change::kNone);
    CHECK(state.Apply("evacuation\n{") == ReplicatedState::Change::kNone);
    ReplicatedState read;
    REQUIRE(read.Import(state.Export()));
    CHECK(read.configuration().version() == 3);
    CHECK(read.refusals().size() == (has_refusals ? 1 : 0));
    CHECK(read.evacuations().IsEvacuated(domain));
    CHECK(read.evacuations().revision() == 1);
  }
}

// Guards against losing an acknowledged departure when a replica restarts from
// a snapshot.
TEST_CASE("a snapshot holds departures, with and without a roster") {
  const TargetRun run{TargetId("t"), Incarnation(7)};
  for (const bool has_roster : {false, true}) {
    CAPTURE(has_roster);
    ReplicatedState state;
    state.Apply(Configuration(3));
    if (has_roster) {
      state.Apply(ReplicatedState::ProposeRoster({{"a"}, 1}));
    }
    CHECK(state.Apply(ReplicatedState::ProposeDepartures({{run}, 0})) ==
          ReplicatedState::Change::kDepartures);
    CHECK(state.Apply(ReplicatedState::ProposeDepartures({{run}, 0})) ==
          ReplicatedState::Change::kNone);
    CHECK(state.Apply("departures\n{") == ReplicatedState::Change::kNone);
    ReplicatedState read;
    REQUIRE(read.Import(state.Export()));
    CHECK(read.departures().Contains(run));
    CHECK(read.roster().size() == (has_roster ? 1 : 0));
    CHECK(read.configuration().version() == 3);
  }
}

// Guards against replicas that number departures differently, because one was
// restored from a snapshot after the last departure had been removed: the next
// removal would then take away recent departures there.
TEST_CASE("a snapshot without departures keeps their revision") {
  const TargetRun run{TargetId("t"), Incarnation(7)};
  ReplicatedState state;
  state.Apply(Configuration(3));
  state.Apply(ReplicatedState::ProposeDepartures({{run}, 0}));
  state.Apply(ReplicatedState::ProposeDepartures({{}, 1}));
  REQUIRE(state.departures().size() == 0);
  ReplicatedState read;
  REQUIRE(read.Import(state.Export()));
  CHECK(read.departures().revision() == 1);
}

TEST_CASE("malformed refusals are treated as none") {
  ReplicatedState state;
  state.Apply("refusals\n{");
  CHECK(state.refusals().empty());
}

// Versions that don't know refusals ignore them.
TEST_CASE("a configuration ignores refusals") {
  config::NumberedConfiguration configuration;
  configuration.Apply(Configuration(3));
  CHECK_FALSE(
      configuration.Apply(ReplicatedState::ProposeRefusals(OneRefusal())));
  CHECK(configuration.version() == 3);
}

}  // namespace
}  // namespace bilberryspool::control_node
