// The part of ConfigService that keeps the declared control members and the
// log's membership consistent. Only the leader acts.

#include <algorithm>

#include "libs/config/control_member_spec.h"
#include "libs/net/network_loop.h"
#include "libs/net/steady_time.h"
#include "plugins/control/config_service.h"

namespace bilberryspool::control {

using config::ControlMemberSpec;
using config::MemberStanding;

namespace {

constexpr Duration kMembershipInterval = Milliseconds(500);
constexpr Duration kChangeTimeout = Seconds(2);

bool IsVoter(const consensus::Membership& membership, const NodeId& node) {
  return std::any_of(
      membership.voters.begin(), membership.voters.end(),
      [&node](const consensus::MemberId& voter) { return voter.node == node; });
}

}  // namespace

void ConfigService::RunMembership() {
  while (true) {
    loop_.SleepFor(kMembershipInterval);
    if (!leads()) {
      continue;
    }
    AdvanceReplacement();
    ProposeObservedMembers();
  }
}

// Proposes the membership change for a replacement that an operator declared,
// once the successor, which has a new data folder, has asked for admission.
void ConfigService::AdvanceReplacement() {
  const consensus::Replica& replica = replica_->replica();
  const consensus::Membership& membership = replica.log().membership();
  const ControlMemberSpec* leaving = nullptr;
  const ControlMemberSpec* incoming = nullptr;
  for (const auto& [node, row] : configuration().table<ControlMemberSpec>()) {
    if (row.spec.standing == MemberStanding::kLeaving) {
      leaving = &row.spec;
    }
    if (row.spec.standing == MemberStanding::kLearner) {
      incoming = &row.spec;
    }
  }
  if (leaving == nullptr || incoming == nullptr || membership.is_joint() ||
      !membership.learners.empty()) {
    return;
  }
  const auto waiting = replica.awaiting_admission(net::SteadyNow());
  const auto successor = waiting.find(incoming->node);
  if (successor == waiting.end()) {
    return;
  }
  for (const consensus::MemberId& voter : membership.voters) {
    if (voter.node != leaving->node) {
      continue;
    }
    log_.Info("Replacing a control replica.",
              {{"old", voter.node.value()}, {"new", incoming->node.value()}});
    replica_->Change(consensus::ReplaceVoter{voter, successor->second},
                     kChangeTimeout);
    return;
  }
}

ControlMemberSpec ConfigService::MakeMemberSpec(const NodeId& node,
                                                MemberStanding standing) const {
  ControlMemberSpec spec;
  const auto* known = configuration().Find<ControlMemberSpec>(node);
  if (known != nullptr) {
    spec = *known;
  }
  spec.node = node;
  spec.standing = standing;
  const auto& peers = directory().peers().peers();
  const auto peer = peers.find(node);
  if (peer != peers.end()) {
    spec.domain = peer->second.info.domain;
  }
  const auto endpoint = FindNode(node);
  if (endpoint.has_value()) {
    spec.address = endpoint->ToString();
  }
  return spec;
}

// A replacement that an operator declared stays as declared until the log's
// membership includes the successor as a voter.
std::vector<ControlMemberSpec> ConfigService::ObservedMembers() const {
  const consensus::Membership& membership =
      replica_->replica().log().membership();
  std::vector<ControlMemberSpec> members;
  bool is_pending = false;
  for (const auto& [node, row] : configuration().table<ControlMemberSpec>()) {
    const bool is_incoming = row.spec.standing == MemberStanding::kLearner &&
                             !IsVoter(membership, node);
    if (is_incoming) {
      is_pending = true;
      members.push_back(MakeMemberSpec(node, MemberStanding::kLearner));
    }
  }
  for (const consensus::MemberId& voter : membership.voters) {
    const auto* known = configuration().Find<ControlMemberSpec>(voter.node);
    const bool is_leaving = is_pending && known != nullptr &&
                            known->standing == MemberStanding::kLeaving;
    members.push_back(MakeMemberSpec(voter.node, is_leaving
                                                     ? MemberStanding::kLeaving
                                                     : MemberStanding::kVoter));
  }
  std::sort(members.begin(), members.end(),
            [](const ControlMemberSpec& left, const ControlMemberSpec& right) {
              return left.node < right.node;
            });
  return members;
}

void ConfigService::ProposeObservedMembers() {
  if (replica_->replica().log().membership().is_joint()) {
    return;
  }
  const std::vector<ControlMemberSpec> observed = ObservedMembers();
  std::vector<ControlMemberSpec> declared;
  bool has_unknown_domain = false;
  for (const auto& [node, row] : configuration().table<ControlMemberSpec>()) {
    declared.push_back(row.spec);
  }
  for (const ControlMemberSpec& member : observed) {
    has_unknown_domain |= member.domain.value().empty();
  }
  if (observed == declared || has_unknown_domain) {
    return;
  }
  config::Command command;
  command.id = CommandId("members-" +
                         std::to_string(replica_->replica().term().value()) +
                         "-" + std::to_string(net::WallNanoseconds()) + "-" +
                         std::to_string(++command_count_));
  command.operator_id = config::OperatorId("system");
  command.expected = config::Expectation{configuration().version(),
                                         config::CompareScope::kObjects};
  command.changes.push_back(config::ObserveControlMembers{observed});
  const auto outcome = ProposeLocally(command, kChangeTimeout);
  const auto* known = std::get_if<config::Outcome>(&outcome);
  const auto* refused =
      known != nullptr ? std::get_if<config::Refused>(known) : nullptr;
  if (refused != nullptr) {
    log_.Warn("The update of the control members was refused.",
              {{"detail", refused->detail}});
  }
}

}  // namespace bilberryspool::control
