#include "libs/spread/spreader.h"

#include <doctest/doctest.h>

#include "auto/spread/fake_nodes.h"
#include "libs/membership/rendezvous.h"

namespace bilberryspool::spread {
namespace {

using Names = std::vector<std::string>;

Names EntriesOf(const std::string& domain) {
  return {domain + "/e0", domain + "/e1", domain + "/e2", domain + "/e3"};
}

TEST_CASE("a change reaches every node by the tree, and the leader knows") {
  FakeNodes nodes(3, 4, 12, 1);
  nodes.Accept();
  nodes.Run(Seconds(5));
  nodes.full_states = 0;
  nodes.Accept();
  nodes.Run(Milliseconds(50));
  CHECK(nodes.Lagging() == Names());
  CHECK(nodes.full_states == 0);
  nodes.Run(Seconds(1));
  const Coverage coverage =
      nodes.node(nodes.leader()).coverage(nodes.accepted(), nodes.now());
  CHECK(coverage.complete());
  CHECK(coverage.nodes == nodes.names().size());
}

// Guards against a domain that keeps the old configuration. The relays of the
// domain fail or freeze when a change is accepted, and no other entry is asked
// to relay it.
TEST_CASE("failed relays are bypassed within a second") {
  FakeNodes nodes(3, 4, 12, 2);
  nodes.Accept();
  nodes.Run(Seconds(5));
  const Names relays = membership::RankByRendezvous("d2", EntriesOf("d2"), 2);
  for (const std::string& relay : relays) {
    nodes.Freeze(relay, Seconds(20));
  }
  nodes.Accept();
  nodes.Run(Seconds(1));
  const Names lagging = nodes.Lagging();
  for (const std::string& entry : EntriesOf("d2")) {
    const bool frozen =
        std::find(relays.begin(), relays.end(), entry) != relays.end();
    const bool lags =
        std::find(lagging.begin(), lagging.end(), entry) != lagging.end();
    CHECK(lags == (frozen && entry != "d2/e0"));
  }
}

TEST_CASE("with lost messages it is everywhere within four seconds") {
  for (const double loss : {0.05, 0.2}) {
    FakeNodes nodes(3, 4, 12, 3);
    nodes.faults = {loss, 0.1, Milliseconds(50)};
    nodes.Accept();
    nodes.Run(Seconds(10));
    for (int i = 0; i < 20; ++i) {
      nodes.Accept();
      nodes.Run(Seconds(4));
      CHECK(nodes.Lagging() == Names());
    }
  }
}

TEST_CASE("a node that missed hundreds of changes gets one whole state") {
  FakeNodes nodes(2, 3, 6, 4);
  nodes.Accept();
  nodes.Run(Seconds(5));
  nodes.Stop("d1/t2");
  for (int i = 0; i < 300; ++i) {
    nodes.Accept();
    nodes.Run(Milliseconds(20));
  }
  nodes.Run(Seconds(5));
  nodes.full_states = 0;
  nodes.Restart("d1/t2");
  nodes.Run(Seconds(4));
  CHECK(nodes.Lagging() == Names());
  CHECK(nodes.full_states <= 4);
}

TEST_CASE("a delta that fails its digest check is replaced by a whole state") {
  FakeNodes nodes(1, 3, 6, 5);
  nodes.Accept();
  nodes.Run(Seconds(5));
  nodes.corrupt_next_at = "d0/e1";
  nodes.Accept();
  nodes.Run(Seconds(1));
  CHECK(nodes.Lagging() == Names());
}

// Guards against a partitioned domain that answers as if its configuration were
// the newest while changes are accepted elsewhere. Without confirmations by the
// leader, a node can't distinguish the absence of changes from the absence of
// messages.
TEST_CASE("a partitioned domain keeps its configuration and knows its age") {
  FakeNodes nodes(3, 4, 12, 6);
  nodes.Accept();
  nodes.Run(Seconds(20));
  for (const std::string& name : nodes.names()) {
    CAPTURE(name);
    REQUIRE(nodes.node(name).config_age(nodes.now()));
    CHECK(*nodes.node(name).config_age(nodes.now()) < Seconds(15));
    CHECK_FALSE(nodes.node(name).stale(nodes.now()));
  }
  for (const char* other : {"d0", "d1"}) {
    nodes.Cut(other, "d2");
    nodes.Cut("d2", other);
  }
  nodes.Run(Seconds(1));
  nodes.Accept();
  nodes.Run(Seconds(60));
  CHECK(nodes.node("d2/t3").have().version == ConfigVersion(1));
  CHECK(nodes.node("d2/t3").stale(nodes.now()));
  CHECK(*nodes.node("d2/t3").config_age(nodes.now()) > Seconds(55));
  CHECK_FALSE(nodes.node("d1/t3").stale(nodes.now()));
  const Coverage coverage =
      nodes.node(nodes.leader()).coverage(nodes.accepted(), nodes.now());
  CHECK_FALSE(coverage.complete());
  CHECK(coverage.silent_domains == std::vector{FailureDomain("d2")});
  nodes.Heal();
  nodes.Run(Seconds(10));
  CHECK(nodes.Lagging() == Names());
}

// Guards against a node that returns to a replaced configuration when a delayed
// full state arrives after newer changes were applied.
TEST_CASE("an older full state that arrives late is not applied") {
  SpreaderOptions options;
  options.self = NodeId("n");
  Spreader spreader(options, 1);
  const TimePoint now = TimeAt(Seconds(1));
  spreader.Handle(StateAdopted{{ConfigVersion(7), 70}}, now);
  struct Row {
    std::uint64_t version;
    bool applied;
  };
  for (const Row& row : {Row{6, false}, Row{7, false}, Row{9, true}}) {
    FullMessage full;
    full.sender.node = NodeId("other");
    full.at = {ConfigVersion(row.version), row.version * 10};
    bool applied = false;
    for (const auto& action : spreader.Handle(FullReceived{full}, now)) {
      applied = applied || std::holds_alternative<ApplyFull>(action);
    }
    CHECK(applied == row.applied);
  }
}

// Guards against a restarted node that applies an old configuration and serves
// with it. The node starts without state, and the first peer that responds has
// itself been partitioned.
TEST_CASE("after a start the newest of the first full states is applied") {
  SpreaderOptions options;
  options.self = NodeId("n");
  Spreader spreader(options, 1);
  for (const std::uint64_t version : {3, 8, 5}) {
    FullMessage full;
    full.at = {ConfigVersion(version), version};
    CHECK(spreader.Handle(FullReceived{full}, TimeAt(Seconds(1))).empty());
  }
  std::vector<std::uint64_t> applied;
  for (const auto& action :
       spreader.Handle(SpreaderTick{}, TimeAt(Seconds(2)))) {
    if (const auto* full = std::get_if<ApplyFull>(&action)) {
      applied.push_back(full->at.version.value());
    }
  }
  CHECK(applied == std::vector<std::uint64_t>{8});
}

TEST_CASE("different content for one version is reported and not applied") {
  SpreaderOptions options;
  Spreader spreader(options, 1);
  const TimePoint now = TimeAt(Seconds(1));
  spreader.Handle(StateAdopted{{ConfigVersion(7), 70}}, now);
  HaveMessage have;
  have.sender.have = {ConfigVersion(7), 71};
  const auto actions = spreader.Handle(HaveReceived{have}, now);
  REQUIRE_FALSE(actions.empty());
  CHECK(std::holds_alternative<ReportDivergence>(actions.front()));
}

}  // namespace
}  // namespace bilberryspool::spread
