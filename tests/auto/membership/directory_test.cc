#include "libs/membership/directory.h"

#include <doctest/doctest.h>

#include <algorithm>

#include "auto/membership/fake_fleet.h"

namespace bilberryspool::membership {
namespace {

// Whether all entries of `domain` (of all domains if it is empty) report
// `reason` for `target`.
bool AllSee(FakeFleet* fleet,
            const std::string& target,
            OfferReason reason,
            const std::string& domain = "") {
  const std::vector<std::string> entries = fleet->entry_addresses();
  return std::all_of(entries.begin(), entries.end(), [&](const auto& entry) {
    return !entry.starts_with(domain) ||
           fleet->ReasonAt(entry, target) == reason;
  });
}

TEST_CASE("every entry of a small deployment comes to know every target") {
  FakeFleet fleet(3, 3, 6, 1);
  fleet.Run(Seconds(10));
  for (const std::string& agent : fleet.agent_addresses()) {
    CHECK(AllSee(&fleet, agent, OfferReason::kServing));
  }
  const Directory& entry = fleet.entry(FakeFleet::Entry(0, 0));
  CHECK(entry.detail_everywhere());
  const auto view = entry.target(TargetId("d2/t0"), fleet.now());
  REQUIRE(view);
  CHECK(view->last_seen_by.value().starts_with("d2/"));
  CHECK(view->load.age < Seconds(4));
}

TEST_CASE("a large deployment knows other domains by their summaries") {
  FakeFleet fleet(3, 3, 40, 2);
  fleet.Run(Seconds(40));
  const Directory& entry = fleet.entry(FakeFleet::Entry(0, 0));
  CHECK_FALSE(entry.detail_everywhere());
  CHECK(entry.targets(fleet.now()).size() == 40);
  REQUIRE(entry.summaries().contains(FailureDomain("d2")));
  const DomainSummary& summary =
      entry.summaries().at(FailureDomain("d2")).summary;
  CHECK(summary.targets == 40);
  CHECK(summary.services.front().slots == 160);
  CHECK(summary.contacts.size() == 3);
}

TEST_CASE("only the dead target is gone everywhere within the time limit") {
  for (const int agents : {6, 40}) {
    FakeFleet fleet(3, 3, agents, 3);
    fleet.Run(Seconds(40));
    fleet.StopAgent("d1/t2");
    fleet.Run(Seconds(5));
    CHECK(AllSee(&fleet, "d1/t2", OfferReason::kSuspect, "d1"));
    fleet.Run(Seconds(8));
    CHECK(AllSee(&fleet, "d1/t2", OfferReason::kGone));
    CHECK(AllSee(&fleet, "d1/t3", OfferReason::kServing, "d1"));
  }
}

// A stopped target received requests again seconds after it left: after it had
// announced that it was leaving, a delayed duplicate of an earlier announcement
// arrived at an entry. Messages were merged in order of arrival instead of by
// claim and sequence.
TEST_CASE("a late older announcement does not bring a leaving target back") {
  FakeFleet fleet(3, 3, 6, 4);
  fleet.Run(Seconds(10));
  const Announcement serving = fleet.agent("d0/t1").announcement();
  fleet.SetState("d0/t1", TargetState::kLeaving);
  fleet.Run(Seconds(2));
  CHECK(AllSee(&fleet, "d0/t1", OfferReason::kLeaving));
  CHECK(fleet.agent("d0/t1").leaving_confirmed());
  fleet.StopAgent("d0/t1");
  for (const std::string& entry : fleet.entry_addresses()) {
    fleet.entry(entry).Handle(AnnouncementReceived{serving}, fleet.now());
  }
  CHECK(AllSee(&fleet, "d0/t1", OfferReason::kLeaving));
}

// All targets of a failure domain were removed and returned at once: the domain
// was partitioned, all its targets became silent, and each was classified as
// dead independently although they had a common cause.
TEST_CASE("a cut evicts nobody, and work ramps up after it") {
  FakeFleet fleet(3, 3, 6, 5);
  fleet.Run(Seconds(10));
  bool evicted = false;
  fleet.observer = [&](const std::string&, const TargetChanged& changed) {
    evicted = evicted || changed.liveness == Liveness::kGone;
  };
  for (const char* other : {"d0", "d1"}) {
    fleet.Cut("d2", other);
    fleet.Cut(other, "d2");
  }
  fleet.Run(Seconds(60));
  const Directory& entry = fleet.entry("d0/e0");
  const DomainState cut = entry.domain_state(FailureDomain("d2"));
  CHECK_FALSE(cut.reachable);
  CHECK(fleet.now() - cut.silent_since > Seconds(50));
  CHECK(AllSee(&fleet, "d2/t0", OfferReason::kStale, "d0"));
  CHECK(AllSee(&fleet, "d2/t0", OfferReason::kServing, "d2"));
  CHECK(AllSee(&fleet, "d0/t0", OfferReason::kServing, "d1"));
  fleet.Heal();
  fleet.Run(Seconds(4));
  CHECK(fleet.ReasonAt("d0/e0", "d2/t0") == OfferReason::kRamping);
  CHECK(entry.target(TargetId("d2/t0"), fleet.now())->share < 0.6);
  fleet.Run(Seconds(15));
  for (const std::string& agent : fleet.agent_addresses()) {
    CHECK(AllSee(&fleet, agent, OfferReason::kServing));
  }
  CHECK_FALSE(evicted);
}

TEST_CASE("an entry that was frozen evicts no target after it resumes") {
  FakeFleet fleet(3, 3, 6, 6);
  fleet.Run(Seconds(10));
  fleet.Freeze("d0/e0", Seconds(60));
  bool evicted = false;
  fleet.observer = [&](const std::string& entry, const TargetChanged& changed) {
    evicted =
        evicted || (entry == "d0/e0" && changed.liveness == Liveness::kGone);
  };
  fleet.Run(Seconds(80));
  CHECK_FALSE(evicted);
  CHECK(fleet.ReasonAt("d0/e0", "d0/t0") == OfferReason::kServing);
}

// Requests alternated between two VMs with the same target name: a second VM
// was started with the settings of a running one, and both announced the
// target. All entries must choose the same one.
TEST_CASE("all entries choose the same process if two have one identity") {
  FakeFleet fleet(3, 3, 6, 7);
  fleet.Run(Seconds(10));
  fleet.StartAgent("d1/t0", "d1/copy", "d1");
  fleet.Run(Seconds(10));
  CHECK(fleet.lost_identities == std::vector<std::string>{"d1/t0"});
  CHECK_FALSE(fleet.conflicts.empty());
  for (const std::string& entry : fleet.entry_addresses()) {
    const auto view = fleet.entry(entry).target(TargetId("d1/t0"), fleet.now());
    REQUIRE(view);
    CHECK(view->announcement->address == "d1/copy");
  }
}

TEST_CASE("a target that restarts in a loop is suppressed for a while") {
  FakeFleet fleet(1, 3, 6, 8);
  fleet.Run(Seconds(10));
  for (int i = 0; i < 5; ++i) {
    fleet.StopAgent("d0/t0");
    fleet.Run(Seconds(1));
    fleet.StartAgent("d0/t0", "d0/t0", "d0");
    fleet.Run(Seconds(2));
  }
  CHECK(AllSee(&fleet, "d0/t0", OfferReason::kFlapping));
  fleet.Run(Seconds(120));
  CHECK(AllSee(&fleet, "d0/t0", OfferReason::kServing));
  CHECK(fleet.conflicts.empty());
}

TEST_CASE("an entry that restarts without state learns all targets again") {
  FakeFleet fleet(3, 3, 40, 9);
  fleet.Run(Seconds(40));
  fleet.RestartEntry("d1/e1");
  fleet.Run(Seconds(10));
  CHECK(fleet.entry("d1/e1").targets(fleet.now()).size() == 40);
  CHECK(AllSee(&fleet, "d1/t5", OfferReason::kServing, "d1"));
  CHECK(fleet.entry("d0/e0").domain_state(FailureDomain("d1")).reachable);
}

TEST_CASE("agents switch to other entries when theirs fails") {
  FakeFleet fleet(1, 3, 9, 10);
  fleet.Run(Seconds(10));
  fleet.StopEntry("d0/e1");
  fleet.Run(Seconds(15));
  for (const std::string& agent : fleet.agent_addresses()) {
    CHECK(AllSee(&fleet, agent, OfferReason::kServing));
  }
  CHECK(fleet.entry("d0/e0").live_entries(fleet.now()).size() == 2);
}

}  // namespace
}  // namespace bilberryspool::membership
