#include "plugins/control/config_service.h"

#include <algorithm>
#include <set>

#include "libs/base/check.h"
#include "libs/config/codec.h"
#include "libs/config/control_member_spec.h"
#include "libs/config/snapshot.h"
#include "libs/net/network_loop.h"
#include "libs/net/steady_time.h"
#include "plugins/control/group_driver.h"

namespace bilberryspool::control {

namespace json = boost::json;
using net::SteadyNow;

namespace {

constexpr Duration kPollInterval = Milliseconds(5);
constexpr Duration kRetryDelay = Milliseconds(100);
constexpr Duration kCallTimeout = Seconds(2);

ControlFailure NoLeader() {
  return {ControlFailureKind::kNoLeader,
          "No leader of the control group can be reached; nothing was done."};
}

ControlFailure AnswerLost() {
  return {ControlFailureKind::kUnknown,
          "The answer was lost; resend the order with the same command id."};
}

json::value ToJson(const spread::Coverage& coverage) {
  json::array lacking;
  for (const NodeId& node : coverage.lacking) {
    lacking.emplace_back(node.value());
  }
  json::array silent;
  for (const FailureDomain& domain : coverage.silent_domains) {
    silent.emplace_back(domain.value());
  }
  return json::object{{"nodes", coverage.nodes},
                      {"in_force", coverage.in_force},
                      {"lacking", std::move(lacking)},
                      {"silent_domains", std::move(silent)}};
}

template <typename Id>
std::vector<Id> ReadIds(const json::object& object, const char* key) {
  std::vector<Id> ids;
  const auto* list = object.if_contains(key);
  if (list == nullptr || !list->is_array()) {
    return ids;
  }
  for (const json::value& item : list->as_array()) {
    if (item.is_string()) {
      ids.push_back(Id(std::string(item.as_string())));
    }
  }
  return ids;
}

std::optional<spread::Coverage> CoverageFromJson(const json::value& value) {
  const auto* object = value.if_object();
  const auto* nodes = object ? object->if_contains("nodes") : nullptr;
  const auto* in_force = object ? object->if_contains("in_force") : nullptr;
  const bool is_valid = nodes != nullptr && nodes->is_int64() &&
                        in_force != nullptr && in_force->is_int64();
  if (!is_valid) {
    return std::nullopt;
  }
  spread::Coverage coverage;
  coverage.nodes = static_cast<std::uint32_t>(nodes->as_int64());
  coverage.in_force = static_cast<std::uint32_t>(in_force->as_int64());
  coverage.lacking = ReadIds<NodeId>(*object, "lacking");
  coverage.silent_domains = ReadIds<FailureDomain>(*object, "silent_domains");
  return coverage;
}

}  // namespace

ConfigService::ConfigService(net::NetworkLoop& loop,
                             links::LinkClient& client,
                             DirectoryDriver& directory,
                             spreading::SpreadDriver& spread,
                             std::vector<SeedMember> seeds)
    : loop_(loop),
      client_(client),
      directory_(directory),
      spread_(spread),
      seeds_(std::move(seeds)),
      log_("config") {}

void ConfigService::Register(links::LinkServer& server) {
  server.Register("control.propose",
                  [this](const Json& params) { return OnPropose(params); });
  server.Register("control.coverage",
                  [this](const Json& params) { return OnCoverage(params); });
}

void ConfigService::Start() {
  loop_.Spawn([this] { RunMembership(); });
}

void ConfigService::Apply(const std::vector<consensus::LogEntry>& entries) {
  spread_.SetRole(spread::SpreaderRole::kControl);
  for (const consensus::LogEntry& entry : entries) {
    const auto* membership = std::get_if<consensus::Membership>(&entry.payload);
    // A restarted replica applies the first entry again. It must not count as
    // having bootstrapped the log: it would then grant claims although it no
    // longer knows its earlier votes.
    if (membership != nullptr && entry.index == LogIndex(1)) {
      has_bootstrapped_ =
          is_new_folder_ && membership->IsVoter(replica_->replica().self());
    }
    const auto* bytes = std::get_if<consensus::Command>(&entry.payload);
    if (bytes == nullptr) {
      continue;
    }
    const auto command = config::CommandFromBytes(bytes->bytes);
    // Commands are decoded before they enter the log.
    BILBERRYSPOOL_INVARIANT(command.has_value(),
                            "a committed command can be read");
    const ConfigVersion before = state_machine_.configuration().version();
    const config::Digest digest = state_machine_.configuration().digest();
    RecordOutcome(entry.index, state_machine_.Apply(*command, entry.index));
    if (state_machine_.configuration().version() == before) {
      continue;
    }
    const auto delta = state_machine_.DeltaFrom(before);
    if (delta.has_value()) {
      spread_.ApplyCommittedStep(*delta, digest);
    } else {
      spread_.ApplyCommittedState(state_machine_.configuration());
    }
  }
}

void ConfigService::RecordOutcome(LogIndex index, config::Outcome outcome) {
  constexpr std::size_t kMaxKeptOutcomes = 2048;
  outcomes_[index] = std::move(outcome);
  if (outcomes_.size() > kMaxKeptOutcomes) {
    outcomes_.erase(outcomes_.begin());
  }
}

void ConfigService::Restore(const consensus::Snapshot& snapshot) {
  spread_.SetRole(spread::SpreaderRole::kControl);
  auto state = config::ReadSnapshot(snapshot.data);
  BILBERRYSPOOL_INVARIANT(state.has_value(),
                          "a snapshot of the log can be read");
  state_machine_ = config::StateMachine(std::move(*state));
  spread_.ApplyCommittedState(state_machine_.configuration());
}

std::string ConfigService::MakeSnapshot() const {
  return config::WriteSnapshot(state_machine_.state());
}

void ConfigService::RoleChanged(const consensus::RoleChanged& change) {
  leader_hint_ = change.leader;
  spread_.SetLeading(change.role == consensus::Role::kLeader);
}

void ConfigService::RefreshNodes() {
  node_addresses_.clear();
  agents_.clear();
  for (const SeedMember& seed : seeds_) {
    node_addresses_[seed.node] = seed.address;
  }
  for (const auto& [node, row] :
       configuration().table<config::ControlMemberSpec>()) {
    if (const auto endpoint = net::ParseEndpoint(row.spec.address)) {
      node_addresses_[node] = *endpoint;
    }
  }
  for (const auto& [node, peer] : directory().peers().peers()) {
    if (const auto endpoint = net::ParseEndpoint(peer.info.peer_address)) {
      node_addresses_[node] = *endpoint;
    }
  }
  for (const membership::TargetView& view : directory().targets(SteadyNow())) {
    const bool is_direct_agent = view.announcement != nullptr && view.direct &&
                                 view.reason != membership::OfferReason::kGone;
    if (!is_direct_agent) {
      continue;
    }
    const auto endpoint = net::ParseEndpoint(view.announcement->address);
    if (endpoint.has_value()) {
      node_addresses_[view.announcement->node] = *endpoint;
      agents_.push_back(view.announcement->node);
    }
  }
}

spread::TopologyChanged ConfigService::Topology() {
  RefreshNodes();
  const TimePoint now = SteadyNow();
  spread::TopologyChanged topology;
  std::set<FailureDomain> domains;
  for (const auto& [node, peer] : directory().peers().peers()) {
    domains.insert(peer.info.domain);
  }
  for (const auto& [domain, row] : directory().summaries()) {
    domains.insert(domain);
  }
  for (const FailureDomain& domain : domains) {
    for (const membership::EntryInfo& entry :
         directory().contacts(domain, now)) {
      topology.entries[domain].push_back(entry.node);
    }
  }
  topology.agents = agents_;
  topology.control = control_members();
  return topology;
}

std::optional<net::Endpoint> ConfigService::FindNode(const NodeId& node) const {
  const auto found = node_addresses_.find(node);
  if (found != node_addresses_.end()) {
    return found->second;
  }
  for (const SeedMember& seed : seeds_) {
    if (seed.node == node) {
      return seed.address;
    }
  }
  return std::nullopt;
}

std::vector<NodeId> ConfigService::control_members() const {
  std::vector<NodeId> members;
  for (const auto& [node, row] :
       configuration().table<config::ControlMemberSpec>()) {
    members.push_back(node);
  }
  if (!members.empty()) {
    return members;
  }
  for (const SeedMember& seed : seeds_) {
    members.push_back(seed.node);
  }
  return members;
}

bool ConfigService::leads() const {
  return replica_ != nullptr && replica_->is_leader(SteadyNow());
}

std::variant<config::Outcome, ControlFailure> ConfigService::Propose(
    const config::Command& command,
    Duration timeout) {
  if (leads()) {
    return ProposeLocally(command, timeout);
  }
  const LeaderResult answer =
      CallLeader("control.propose",
                 json::object{{"command", config::ToJson(command)}}, timeout);
  if (const auto* failure = std::get_if<ControlFailure>(&answer)) {
    return *failure;
  }
  const auto* outcome_json =
      std::get<Json>(answer).as_object().if_contains("outcome");
  const auto outcome = outcome_json != nullptr
                           ? config::OutcomeFromJson(*outcome_json)
                           : std::nullopt;
  if (!outcome.has_value()) {
    return AnswerLost();
  }
  return *outcome;
}

std::variant<config::Outcome, ControlFailure> ConfigService::ProposeLocally(
    const config::Command& command,
    Duration timeout) {
  const TimePoint deadline = SteadyNow() + timeout;
  const auto result = replica_->Propose(config::ToBytes(command), timeout);
  if (!result.has_value() ||
      std::holds_alternative<consensus::OutcomeUnknown>(*result)) {
    return AnswerLost();
  }
  if (std::holds_alternative<consensus::Busy>(*result)) {
    return ControlFailure{ControlFailureKind::kBusy,
                          "Too many orders wait; nothing was done."};
  }
  const auto* accepted = std::get_if<consensus::Accepted>(&*result);
  if (accepted == nullptr) {
    return NoLeader();
  }
  while (state_machine_.applied_index() < accepted->index &&
         SteadyNow() < deadline) {
    loop_.SleepFor(kPollInterval);
  }
  // Looked up by log index: a lookup by command id could return the outcome of
  // an earlier command that used the same id.
  const auto outcome = outcomes_.find(accepted->index);
  if (outcome == outcomes_.end()) {
    return AnswerLost();
  }
  return outcome->second;
}

// Tries the hinted leader, then each control replica, until one of them leads
// or the timeout expires. Repeating a call is safe: a command that has already
// been applied is recognized by its id and returns the first outcome.
ConfigService::LeaderResult ConfigService::CallLeader(const std::string& method,
                                                      const Json& params,
                                                      Duration timeout) {
  const TimePoint deadline = SteadyNow() + timeout;
  bool may_have_run = false;
  while (SteadyNow() < deadline) {
    std::vector<NodeId> candidates = control_members();
    if (leader_hint_.has_value()) {
      candidates.insert(candidates.begin(), *leader_hint_);
    }
    for (const NodeId& candidate : candidates) {
      const auto endpoint = FindNode(candidate);
      const Duration left =
          std::min<Duration>(deadline - SteadyNow(), kCallTimeout);
      if (!endpoint.has_value() || left <= Duration::zero()) {
        continue;
      }
      const auto result = client_.Call(*endpoint, method, params, left);
      if (const auto* error = std::get_if<links::LinkError>(&result)) {
        client_.DropIdle(*endpoint);
        may_have_run |= error->kind == links::LinkErrorKind::kLost;
        continue;
      }
      const auto* object = std::get<Json>(result).if_object();
      if (object == nullptr) {
        continue;
      }
      const auto* hint = object->if_contains("not_leader");
      if (hint == nullptr) {
        leader_hint_ = candidate;
        return std::get<Json>(result);
      }
      if (hint->is_string()) {
        leader_hint_ = NodeId(std::string(hint->as_string()));
      }
    }
    loop_.SleepFor(kRetryDelay);
  }
  return may_have_run ? AnswerLost() : NoLeader();
}

boost::json::value ConfigService::NotLeaderReply() const {
  json::value hint;
  if (leader_hint_.has_value()) {
    hint = json::string(leader_hint_->value());
  }
  return json::object{{"not_leader", hint}};
}

std::optional<boost::json::value> ConfigService::OnPropose(const Json& params) {
  const auto* object = params.if_object();
  const auto* command_json =
      object != nullptr ? object->if_contains("command") : nullptr;
  const auto command = command_json != nullptr
                           ? config::CommandFromJson(*command_json)
                           : std::nullopt;
  if (!command.has_value()) {
    return std::nullopt;
  }
  if (!leads()) {
    return NotLeaderReply();
  }
  const auto outcome = ProposeLocally(*command, kCallTimeout);
  if (const auto* known = std::get_if<config::Outcome>(&outcome)) {
    return json::object{{"outcome", config::ToJson(*known)}};
  }
  const auto& failure = std::get<ControlFailure>(outcome);
  if (failure.kind == ControlFailureKind::kNoLeader) {
    return NotLeaderReply();
  }
  // A reply without an outcome makes the caller resend with the same command
  // id.
  return json::object{{"failure", failure.detail}};
}

std::variant<config::PlanResult, ControlFailure> ConfigService::Plan(
    const config::Command& command,
    Duration /*timeout*/) {
  if (replica_ != nullptr) {
    return state_machine_.Plan(command);
  }
  config::StateMachineState state;
  state.configuration = configuration();
  return config::StateMachine(std::move(state)).Plan(command);
}

std::variant<spread::Coverage, ControlFailure> ConfigService::CoverageOf(
    ConfigVersion version,
    Duration timeout) {
  if (leads()) {
    return spread_.spreader().coverage(version, SteadyNow());
  }
  const LeaderResult answer = CallLeader(
      "control.coverage", json::object{{"version", version.value()}}, timeout);
  if (const auto* failure = std::get_if<ControlFailure>(&answer)) {
    return *failure;
  }
  const auto coverage = CoverageFromJson(std::get<Json>(answer));
  if (!coverage.has_value()) {
    return AnswerLost();
  }
  return *coverage;
}

std::optional<boost::json::value> ConfigService::OnCoverage(
    const Json& params) {
  const auto* object = params.if_object();
  const auto* version =
      object != nullptr ? object->if_contains("version") : nullptr;
  boost::system::error_code error;
  const auto number =
      version != nullptr ? version->to_number<std::uint64_t>(error) : 0;
  if (version == nullptr || error) {
    return std::nullopt;
  }
  if (!leads()) {
    return NotLeaderReply();
  }
  return ToJson(
      spread_.spreader().coverage(ConfigVersion(number), SteadyNow()));
}

const config::Configuration& ConfigService::configuration() const {
  return spread_.applied().configuration();
}

std::optional<Duration> ConfigService::config_age(TimePoint now) const {
  return spread_.spreader().config_age(now);
}

const membership::Directory& ConfigService::directory() const {
  return directory_.directory();
}

ReplicaStatus ConfigService::replica_status(TimePoint now) const {
  ReplicaStatus status;
  status.role = "none";
  status.leader = leader_hint_;
  if (replica_ == nullptr) {
    return status;
  }
  const consensus::Replica& replica = replica_->replica();
  status.role = replica.role() == consensus::Role::kLeader     ? "leader"
                : replica.role() == consensus::Role::kFollower ? "follower"
                : replica.role() == consensus::Role::kHalted   ? "halted"
                                                               : "candidate";
  status.term = replica.term().value();
  status.commit_index = replica.commit_index().value();
  status.applied_index = replica.applied_index().value();
  status.has_lease = replica_->is_leader(now);
  const consensus::Membership& membership = replica.log().membership();
  for (const consensus::MemberId& voter : membership.voters) {
    status.members[voter.node] = "voter";
  }
  for (const consensus::MemberId& leaving : membership.outgoing) {
    status.members.emplace(leaving.node, "leaving");
  }
  for (const consensus::Learner& learner : membership.learners) {
    status.members[learner.id.node] = "learner";
  }
  for (const auto& [node, member] : replica.awaiting_admission(now)) {
    status.awaiting_admission.push_back(node);
  }
  return status;
}

std::map<GroupId, ReceivedGroupReport> ConfigService::group_reports() const {
  return groups_ == nullptr ? std::map<GroupId, ReceivedGroupReport>()
                            : groups_->reports();
}

std::vector<std::string> ConfigService::routing_reasons(
    const ServiceId& service) const {
  return reports_.reasons(service);
}

std::optional<std::string> ConfigService::request_outcome(
    const RequestId& request) const {
  return reports_.outcome(request);
}

}  // namespace bilberryspool::control
