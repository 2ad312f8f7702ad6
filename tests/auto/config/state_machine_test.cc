#include "libs/config/state_machine.h"

#include <doctest/doctest.h>

#include "auto/config/random_commands.h"

namespace bilberryspool::config {
namespace {

bool IsAccepted(const Outcome& outcome) {
  return std::holds_alternative<Accepted>(outcome);
}

std::optional<RefusalReason> ReasonOf(const Outcome& outcome) {
  const auto* refused = std::get_if<Refused>(&outcome);
  return refused == nullptr ? std::nullopt
                            : std::make_optional(refused->reason);
}

StateMachine MakePreparedMachine() {
  StateMachine machine;
  REQUIRE(IsAccepted(machine.Apply(BaseCommand(), LogIndex(1))));
  return machine;
}

ExpertKey Expert(std::uint32_t index) {
  return {GroupId("g"), 0, ExpertIndex(index)};
}

TEST_CASE("all changes of a command are validated before it is accepted") {
  const ServiceId drafter("drafter");
  const Allow on_t9{{drafter, TargetId("t9")}};
  struct Row {
    const char* what;
    std::vector<Change> changes;
    std::optional<RefusalReason> reason;
  };
  const Row rows[] = {
      {"nothing to do", {}, RefusalReason::kMalformed},
      {"a name that can't be typed",
       {DeclareTarget{{TargetId("t 1")}}},
       RefusalReason::kMalformed},
      {"an unknown service",
       {Allow{{ServiceId("other"), AnyTarget()}}},
       RefusalReason::kUnknownObject},
      {"an unknown priority",
       {DeclareWorkspace{{Workspace("w"), {}, {}, {}, 1, PriorityName("p")}}},
       RefusalReason::kUnknownObject},
      {"a priority in use",
       {RemovePriority{PriorityName("urgent")}},
       RefusalReason::kUnknownObject},
      {"a limit of nothing",
       {DeclareWorkspace{{Workspace("w"), 0U}}},
       RefusalReason::kOutOfRange},
      {"a plain service without a path",
       {DeclareService{{ServiceId("dispatch"), ServiceKind::kPlain}}},
       RefusalReason::kMalformed},
      {"more ranks than members",
       {DeclareGroup{{GroupId("h"), drafter, 2, 1, 1, {TargetId("t7")}}}},
       RefusalReason::kConflict},
      {"a member of two groups",
       {DeclareGroup{{GroupId("h"), drafter, 1, 1, 1, {TargetId("t1")}}}},
       RefusalReason::kConflict},
      {"a pin beyond the group",
       {Pin{{Expert(0), RankIndex(2)}}},
       RefusalReason::kOutOfRange},
      {"a move against a pin",
       {Pin{{Expert(0), RankIndex(0)}},
        Move{{Expert(0), RankIndex(0), RankIndex(1)}}},
       RefusalReason::kConflict},
      {"the last domain drained",
       {Drain{{FailureDomain("sahab")}}},
       RefusalReason::kNoTargetsLeft},
      {"the last placement denied",
       {Deny{{drafter, FailureDomain("sahab")}}},
       RefusalReason::kNoTargetsLeft},
      {"drained with another placement left",
       {on_t9, Drain{{FailureDomain("sahab")}}},
       std::nullopt},
      {"an unknown setting",
       {SetSetting{{SettingName("colour"), 1}}},
       RefusalReason::kUnknownObject},
      {"a setting beyond its range",
       {SetSetting{{SettingName(kDrainGrace), 1000}}},
       RefusalReason::kOutOfRange},
      {"all or none: the second of two fails",
       {DeclareTarget{{TargetId("t1")}}, RemoveTarget{TargetId("t2")}},
       RefusalReason::kUnknownObject},
      {"a service goes with all that refers to it",
       {RemoveGroup{GroupId("g")}, Deny{{drafter, FailureDomain("sahab")}},
        RemoveService{drafter}},
       std::nullopt},
  };
  for (const Row& row : rows) {
    CAPTURE(row.what);
    StateMachine machine = MakePreparedMachine();
    const Configuration before = machine.configuration();
    const Command command = CommandOf("c", row.changes);
    const PlanResult plan = machine.Plan(command);
    CHECK(machine.configuration() == before);
    const Outcome outcome = machine.Apply(command, LogIndex(2));
    CHECK(ReasonOf(outcome) == row.reason);
    CHECK(plan.outcome == outcome);
    if (row.reason.has_value()) {
      CHECK(machine.configuration() == before);
      CHECK(machine.configuration().digest() == before.digest());
    }
  }
}

// Guards against an operator's change being silently overwritten. Two operators
// read version 1 and both send a change based on it; the second change must not
// be applied, as its base version is outdated.
TEST_CASE("of two operators with equal numbers one wins") {
  struct Row {
    CompareScope scope;
    const char* second;
    bool accepted;
  };
  const Row rows[] = {{CompareScope::kConfiguration, "kiln", false},
                      {CompareScope::kConfiguration, "dairy", false},
                      {CompareScope::kObjects, "kiln", false},
                      {CompareScope::kObjects, "dairy", true}};
  for (const Row& row : rows) {
    CAPTURE(row.second);
    StateMachine machine = MakePreparedMachine();
    Command first =
        CommandOf("first", {DeclareWorkspace{{Workspace("kiln"), 20U}}});
    first.expected = {ConfigVersion(1), row.scope};
    Command second =
        CommandOf("second", {DeclareWorkspace{{Workspace(row.second), 30U}}});
    second.expected = first.expected;
    CHECK(IsAccepted(machine.Apply(first, LogIndex(2))));
    const Outcome outcome = machine.Apply(second, LogIndex(3));
    CHECK(IsAccepted(outcome) == row.accepted);
    if (row.accepted) {
      continue;
    }
    const auto& refused = std::get<Refused>(outcome);
    CHECK(refused.reason == RefusalReason::kChangedSince);
    REQUIRE(refused.changed_since.size() == 1);
    CHECK(refused.changed_since[0] == ChangedSince{ConfigVersion(2),
                                                   first.operator_id,
                                                   first.id,
                                                   {"workspace kiln"}});
  }
}

// Guards against a workspace's limit being reverted by a resend that is taken
// for a new command: the answer to an operator's change is lost, a second
// operator changes the same limit, and the first one sends the change again.
TEST_CASE("a resend returns the first outcome and has no effect") {
  StateMachine machine = MakePreparedMachine();
  const Command first =
      CommandOf("c", {DeclareWorkspace{{Workspace("kiln"), 20U}}});
  const Outcome outcome = machine.Apply(first, LogIndex(2));
  machine.Apply(CommandOf("d", {DeclareWorkspace{{Workspace("kiln"), 30U}}}),
                LogIndex(3));
  const Configuration before = machine.configuration();
  CHECK(machine.Apply(first, LogIndex(4)) == outcome);
  CHECK(machine.configuration() == before);
  Command other = first;
  other.changes.push_back(RemoveWorkspace{Workspace("kiln")});
  CHECK(ReasonOf(machine.Apply(other, LogIndex(5))) ==
        RefusalReason::kCommandIdReused);
  CHECK(machine.configuration() == before);
}

TEST_CASE("a resend is refused after the record of its outcome was evicted") {
  StateMachine machine = MakePreparedMachine();
  Command old = CommandOf("old", {DeclareTarget{{TargetId("t"), true}}});
  old.issued_after = LogIndex(1);
  CHECK(IsAccepted(machine.Apply(old, LogIndex(2))));
  LogIndex index(2);
  for (std::size_t i = 0; i < CommandTable::kCapacity; ++i) {
    index = index.Next();
    machine.Apply(CommandOf(("c" + std::to_string(i)).c_str(), {}), index);
  }
  CHECK_FALSE(machine.FindOutcome(old.id).has_value());
  CHECK(ReasonOf(machine.Apply(old, index.Next())) ==
        RefusalReason::kCommandForgotten);
  old.id = CommandId("new");
  old.issued_after = index.Next();
  CHECK(IsAccepted(machine.Apply(old, index.Next().Next())));
}

TEST_CASE("the history is bounded and older expected versions are refused") {
  StateMachine machine = MakePreparedMachine();
  for (std::uint32_t i = 0; i < 100; ++i) {
    Command command = CommandOf(("c" + std::to_string(i)).c_str(), {});
    for (std::uint32_t j = 0; j < StateMachine::kMaxChangesPerCommand; ++j) {
      command.changes.push_back(
          DeclareTarget{{TargetId("t" + std::to_string(j)), i % 2 == 0}});
    }
    machine.Apply(command, machine.applied_index().Next());
  }
  CHECK(machine.configuration().version() == ConfigVersion(101));
  CHECK(machine.state().history.records().size() ==
        ChangeHistory::kObjectCapacity / StateMachine::kMaxChangesPerCommand);
  CHECK_FALSE(machine.DeltaFrom(ConfigVersion(1)).has_value());
  struct Row {
    std::uint64_t version;
    RefusalReason reason;
  };
  const Row rows[] = {{1, RefusalReason::kVersionForgotten},
                      {90, RefusalReason::kChangedSince},
                      {102, RefusalReason::kVersionUnknown}};
  for (const Row& row : rows) {
    Command command = CommandOf("d", {DeclareTarget{{TargetId("t1"), true}}});
    command.expected = {ConfigVersion(row.version), CompareScope::kObjects};
    CHECK(ReasonOf(machine.Plan(command).outcome) == row.reason);
  }
}

// Guards against two controllers that send orders to a group's engines at the
// same time. Both observe that the lease holder is gone and request the lease;
// the failure occurs if both grants are accepted, or if a group that is
// declared again restarts at a low token.
TEST_CASE("a lease is granted to one holder, under a token never used before") {
  StateMachine machine = MakePreparedMachine();
  const GroupId group("g");
  const auto grant = [&](const char* id, const char* node,
                         std::uint64_t previous) {
    return CommandOf(id, {GrantLease{group, NodeId(node), Incarnation(1),
                                     FencingToken(previous)}});
  };
  CHECK(machine.Apply(grant("a", "n1", 0), LogIndex(2)) ==
        Outcome(Accepted{ConfigVersion(2), FencingToken(1)}));
  CHECK(ReasonOf(machine.Apply(grant("b", "n2", 0), LogIndex(3))) ==
        RefusalReason::kLeaseTaken);
  CHECK(machine.Apply(grant("a", "n1", 0), LogIndex(4)) ==
        Outcome(Accepted{ConfigVersion(2), FencingToken(1)}));
  CHECK(IsAccepted(
      machine.Apply(CommandOf("c", {RemoveGroup{group}}), LogIndex(5))));
  CHECK(IsAccepted(machine.Apply(
      CommandOf("d", {DeclareGroup{{group, ServiceId("drafter")}}}),
      LogIndex(6))));
  CHECK(machine.Apply(grant("e", "n2", 0), LogIndex(7)) ==
        Outcome(Accepted{ConfigVersion(5), FencingToken(2)}));
}

// Guards against ranks that receive an older map than the one in use, or the
// map of a replaced controller, because a map is recorded without checking the
// lease or the recorded version. This happens when a frozen controller resumes
// and records its map, or when a group is removed and declared again with
// versions that start at 1.
TEST_CASE("maps are recorded under the current lease with rising versions") {
  StateMachine machine = MakePreparedMachine();
  const GroupId group("g");
  std::uint64_t index = 1;
  const auto apply = [&](const Change& change) {
    const std::string id = "c" + std::to_string(++index);
    return machine.Apply(CommandOf(id.c_str(), {change}), LogIndex(index));
  };
  const auto map = [&](std::uint64_t version, std::uint64_t token) {
    const ExpertHolders holders = {{RankIndex(0)}, {RankIndex(1)}};
    return RecordMap{{group, MapVersion(version), FencingToken(token), 1, 2,
                      holders, holders}};
  };
  const auto grant = [&](std::uint64_t previous) {
    return GrantLease{group, NodeId("n1"), Incarnation(1),
                      FencingToken(previous)};
  };
  CHECK(ReasonOf(apply(map(1, 0))) == RefusalReason::kLeaseTaken);
  CHECK(IsAccepted(apply(grant(0))));
  CHECK(IsAccepted(apply(map(3, 1))));
  CHECK(ReasonOf(apply(map(3, 1))) == RefusalReason::kConflict);
  CHECK(IsAccepted(apply(grant(1))));
  CHECK(ReasonOf(apply(map(4, 1))) == RefusalReason::kLeaseTaken);
  RecordMap misshapen = map(4, 2);
  misshapen.map.in_force.pop_back();
  CHECK(ReasonOf(apply(misshapen)) == RefusalReason::kOutOfRange);
  CHECK(IsAccepted(apply(RemoveGroup{group})));
  CHECK(IsAccepted(apply(DeclareGroup{{group, ServiceId("drafter")}})));
  CHECK(IsAccepted(apply(grant(0))));
  CHECK(ReasonOf(apply(map(3, 3))) == RefusalReason::kConflict);
  CHECK(IsAccepted(apply(map(4, 3))));
}

TEST_CASE("a command that changes nothing keeps the version") {
  StateMachine machine = MakePreparedMachine();
  Command again = BaseCommand();
  again.id = CommandId("again");
  CHECK(machine.Apply(again, LogIndex(2)) ==
        Outcome(Accepted{ConfigVersion(1)}));
}

// Guards against a quorum that shrinks below a majority of the old members,
// because two members leave before either successor votes, and against a dead
// successor that blocks every later repair, because its replacement can't be
// cancelled. A second replacement is requested while the first learner catches
// up, the learner is lost, and an observation from before the replacement
// arrives late.
TEST_CASE("control members are replaced one at a time") {
  const auto member = [](const char* node, MemberStanding standing) {
    return ControlMemberSpec{NodeId(node), std::string(node) + ":1",
                             FailureDomain("sahab"), standing};
  };
  const auto replace = [](const char* out, const char* in) {
    return ReplaceControlMember{NodeId(out), NodeId(in), std::string(in) + ":1",
                                FailureDomain("sahab")};
  };
  using enum MemberStanding;
  const ObserveControlMembers before{
      {member("n1", kVoter), member("n2", kVoter)}};
  const ObserveControlMembers after{
      {member("n2", kVoter), member("n3", kVoter)}};
  struct Row {
    const char* what;
    Change change;
    std::uint64_t seen_at;  // 0: not compared
    std::optional<RefusalReason> reason;
  };
  const Row rows[] = {
      {"start", before, 0, std::nullopt},
      {"no member", replace("n9", "n3"), 0, RefusalReason::kUnknownObject},
      {"already one", replace("n1", "n2"), 0, RefusalReason::kConflict},
      {"first", replace("n1", "n3"), 0, std::nullopt},
      {"second", replace("n2", "n4"), 0, RefusalReason::kConflict},
      {"late", before, 1, RefusalReason::kChangedSince},
      {"not that", CancelReplacement{NodeId("n2")}, 0,
       RefusalReason::kUnknownObject},
      {"learner lost", CancelReplacement{NodeId("n1")}, 0, std::nullopt},
      {"again", replace("n1", "n3"), 0, std::nullopt},
      {"voted", after, 4, std::nullopt},
      {"the next", replace("n2", "n4"), 0, std::nullopt},
  };
  StateMachine machine;
  for (const Row& row : rows) {
    CAPTURE(row.what);
    const LogIndex index = machine.applied_index().Next();
    const std::string id = "c" + std::to_string(index.value());
    Command command = CommandOf(id.c_str(), {row.change});
    if (row.seen_at > 0) {
      command.expected = {ConfigVersion(row.seen_at), CompareScope::kObjects};
    }
    CHECK(ReasonOf(machine.Apply(command, index)) == row.reason);
  }
}

}  // namespace
}  // namespace bilberryspool::config
