// Reconciles the declared control members with the log's membership, as the
// program does. Only the leader does so.

#include <algorithm>

#include "libs/scenario/replica_host.h"

namespace bilberryspool::scenario {

using config::ControlMemberSpec;
using config::MemberStanding;

namespace {

constexpr Duration kInterval = Milliseconds(500);

bool IsVoter(const consensus::Membership& membership, const NodeId& node) {
  return std::any_of(
      membership.voters.begin(), membership.voters.end(),
      [&node](const consensus::MemberId& voter) { return voter.node == node; });
}

}  // namespace

void ReplicaHost::MaintainMembership() {
  if (leads()) {
    DriveReplacement();
    ObserveMembers();
  }
  network_.After(self(), kInterval, [this] { MaintainMembership(); });
}

void ReplicaHost::DriveReplacement() {
  const consensus::Membership& membership = replica_.log().membership();
  const ControlMemberSpec* leaving = nullptr;
  const ControlMemberSpec* incoming = nullptr;
  const auto& declared =
      state_machine_.configuration().table<ControlMemberSpec>();
  for (const auto& [node, row] : declared) {
    if (row.spec.standing == MemberStanding::kLeaving) {
      leaving = &row.spec;
    }
    if (row.spec.standing == MemberStanding::kLearner) {
      incoming = &row.spec;
    }
  }
  const bool is_wanted = leaving != nullptr && incoming != nullptr &&
                         !membership.is_joint() && membership.learners.empty();
  if (!is_wanted) {
    return;
  }
  const auto waiting = replica_.awaiting_admission(network_.now());
  const auto successor = waiting.find(incoming->node);
  if (successor == waiting.end()) {
    return;
  }
  for (const consensus::MemberId& voter : membership.voters) {
    if (voter.node != leaving->node) {
      continue;
    }
    verdict_.Note(self(), "replaces " + voter.node.value() + " by " +
                              incoming->node.value());
    last_ticket_ = last_ticket_.Next();
    Handle(consensus::ChangeMembership{
        last_ticket_, consensus::ReplaceVoter{voter, successor->second}});
    return;
  }
}

std::vector<ControlMemberSpec> ReplicaHost::ObservedMembers() const {
  const consensus::Membership& membership = replica_.log().membership();
  const config::Configuration& known = state_machine_.configuration();
  std::vector<ControlMemberSpec> members;
  for (const auto& [node, row] : known.table<ControlMemberSpec>()) {
    const bool is_incoming = row.spec.standing == MemberStanding::kLearner &&
                             !IsVoter(membership, node);
    if (is_incoming) {
      members.push_back(row.spec);
    }
  }
  const bool is_pending = !members.empty();
  for (const consensus::MemberId& voter : membership.voters) {
    const auto* spec = known.Find<ControlMemberSpec>(voter.node);
    const bool is_leaving = is_pending && spec != nullptr &&
                            spec->standing == MemberStanding::kLeaving;
    ControlMemberSpec member;
    member.node = voter.node;
    member.address = voter.node.value();
    member.domain = hooks_.domain_of(voter.node);
    member.standing =
        is_leaving ? MemberStanding::kLeaving : MemberStanding::kVoter;
    members.push_back(std::move(member));
  }
  std::sort(members.begin(), members.end(),
            [](const ControlMemberSpec& left, const ControlMemberSpec& right) {
              return left.node < right.node;
            });
  return members;
}

void ReplicaHost::ObserveMembers() {
  if (replica_.log().membership().is_joint()) {
    return;
  }
  const std::vector<ControlMemberSpec> observed = ObservedMembers();
  const config::Configuration& known = state_machine_.configuration();
  std::vector<ControlMemberSpec> declared;
  for (const auto& [node, row] : known.table<ControlMemberSpec>()) {
    declared.push_back(row.spec);
  }
  const bool is_complete = std::all_of(observed.begin(), observed.end(),
                                       [](const ControlMemberSpec& member) {
                                         return !member.domain.value().empty();
                                       });
  if (observed == declared || !is_complete) {
    return;
  }
  config::Command command;
  command.id =
      CommandId("members-" + std::to_string(replica_.term().value()) + "-" +
                self().value() + "-" +
                std::to_string(network_.now().time_since_epoch().count()) +
                "-" + std::to_string(++issued_commands_));
  command.operator_id = config::OperatorId("system");
  command.expected =
      config::Expectation{known.version(), config::CompareScope::kObjects};
  command.changes.emplace_back(config::ObserveControlMembers{observed});
  Propose(command, [](const Answer&) {});
}

}  // namespace bilberryspool::scenario
