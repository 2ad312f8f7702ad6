#include "plugins/control/controlled_group.h"

#include <utility>

#include "libs/groups/message_codec.h"
#include "libs/net/network_loop.h"
#include "libs/net/steady_time.h"
#include "plugins/control/config_service.h"
#include "plugins/control/group_maps.h"

namespace bilberryspool::control {

namespace json = boost::json;
using net::SteadyNow;

namespace {

// How long the controller may act after the last check of its lease.
constexpr Duration kLeaseTime = Seconds(1);
constexpr Duration kProposalTimeout = Seconds(2);
// Short, as orders are repeated and a late one is of no use.
constexpr Duration kCallTimeout = Milliseconds(300);
constexpr Duration kContactsInterval = Milliseconds(300);
constexpr Duration kDecisionInterval = Seconds(5);
constexpr std::uint64_t kMinuteNanoseconds = 60ULL * 1000 * 1000 * 1000;
constexpr std::uint64_t kMinutesOfDay = 24ULL * 60;
// Size assumed for each expert, as engines do not announce it yet.
constexpr double kAssumedExpertBytes = 5e7;

groups::ControllerOptions MakeControllerOptions(const config::GroupSpec& spec) {
  groups::ControllerOptions options;
  options.group = spec.id;
  options.ranks = spec.ranks;
  options.slots = SlotsOf(spec);
  options.expert_bytes = kAssumedExpertBytes;
  return options;
}

const char* StateName(groups::GroupState state) {
  switch (state) {
    case groups::GroupState::kServing:
      return "serving";
    case groups::GroupState::kChanging:
      return "changing";
    case groups::GroupState::kStalled:
      return "stalled";
    case groups::GroupState::kOut:
      return "out";
  }
  return "";
}

config::Command MakeCommand(CommandId id, config::Change change) {
  config::Command command;
  command.id = std::move(id);
  command.operator_id = config::OperatorId("system");
  command.changes.push_back(std::move(change));
  return command;
}

const config::Accepted* AcceptedOf(
    const std::variant<config::Outcome, ControlFailure>& result) {
  const auto* outcome = std::get_if<config::Outcome>(&result);
  return outcome == nullptr ? nullptr : std::get_if<config::Accepted>(outcome);
}

}  // namespace

ControlledGroup::ControlledGroup(net::NetworkLoop& loop,
                                 links::LinkClient& client,
                                 ConfigService& config,
                                 GroupDriverOptions options,
                                 config::GroupSpec spec)
    : loop_(loop),
      client_(client),
      config_(config),
      options_(std::move(options)),
      spec_(std::move(spec)),
      log_("group"),
      controller_(MakeControllerOptions(spec_)),
      policy_(spec_) {
  contacts_.group = spec_.id;
  contacts_.controller = options_.address;
}

CommandId ControlledGroup::MakeCommandId(const std::string& id_prefix) {
  return CommandId(id_prefix + "-" + options_.self.value() + "-" +
                   std::to_string(net::WallNanoseconds()) + "-" +
                   std::to_string(++command_count_));
}

void ControlledGroup::Tick(TimePoint now) {
  if (!MaintainLease(now)) {
    return;
  }
  RefreshContacts(now);
  RequestMapChange(now);
  Handle(groups::ControllerTick{}, now);
}

// A view is identified by the token and a counter that the controller keeps in
// memory. A controller that was frozen past its lease, or that restarts, counts
// from 1 again: under the old token two views could get the same identifier,
// and ranks with different maps would treat each other as members of one view.
// So each such start gets a new token.
bool ControlledGroup::MaintainLease(TimePoint now) {
  const auto* lease = config_.committed().Find<config::LeaseSpec>(spec_.id);
  const bool is_ours = token_.has_value() && now < lease_until_ &&
                       lease != nullptr && lease->token == *token_;
  if (!is_ours) {
    token_.reset();
    Handle(groups::LeaseLost{}, now);
    RequestLease(lease == nullptr ? FencingToken() : lease->token);
    return false;
  }
  lease_until_ = now + kLeaseTime;
  groups::LeaseGranted granted{*token_, lease_until_, {}};
  if (controller_token_ != token_) {
    controller_token_ = token_;
    contacts_.token = *token_;
    last_requested_map_.reset();
    granted.record = InitialRecord(
        spec_, config_.committed().Find<config::MapSpec>(spec_.id));
  }
  Handle(granted, now);
  return true;
}

void ControlledGroup::RequestLease(FencingToken previous) {
  if (is_requesting_lease_) {
    return;
  }
  is_requesting_lease_ = true;
  loop_.Spawn([self = shared_from_this(), previous] {
    const auto result = self->config_.Propose(
        MakeCommand(self->MakeCommandId("lease"),
                    config::GrantLease{self->spec_.id, self->options_.self,
                                       self->options_.incarnation, previous}),
        kProposalTimeout);
    const auto* accepted = AcceptedOf(result);
    if (accepted != nullptr && accepted->token.has_value()) {
      self->token_ = *accepted->token;
      self->lease_until_ = SteadyNow() + kLeaseTime;
      self->log_.Info("Acquired the lease of a group.",
                      {{"group", self->spec_.id.value()},
                       {"token", self->token_->value()}});
    }
    self->is_requesting_lease_ = false;
  });
}

// Sends the contacts to every target that may hold a rank. Which rank it holds
// is known from its statuses.
void ControlledGroup::RefreshContacts(TimePoint now) {
  if (now < next_contacts_at_) {
    return;
  }
  next_contacts_at_ = now + kContactsInterval;
  candidates_.clear();
  for (const membership::TargetView& view : config_.directory().targets(now)) {
    const membership::Announcement* target = view.announcement;
    const bool is_candidate =
        target != nullptr &&
        config::MayHoldRank(spec_, target->target, target->domain);
    if (is_candidate) {
      candidates_[target->target] = target->address;
    }
  }
  for (const auto& [target, address] : candidates_) {
    Send(address, "group.contacts", groups::ToJson(contacts_));
  }
}

void ControlledGroup::RequestMapChange(TimePoint now) {
  placement::ExpertMap base =
      ConsultPolicy(now).value_or(controller_.record().chosen);
  placement::ExpertMap desired_map =
      WithOperatorOrders(std::move(base), spec_.id, config_.committed());
  const bool is_new = desired_map != controller_.record().chosen &&
                      desired_map != last_requested_map_;
  if (!is_new) {
    return;
  }
  last_requested_map_ = desired_map;
  Handle(groups::MapChosen{std::move(desired_map)}, now);
}

std::optional<placement::ExpertMap> ControlledGroup::ConsultPolicy(
    TimePoint now) {
  if (now < next_decision_at_) {
    return std::nullopt;
  }
  next_decision_at_ = now + kDecisionInterval;
  const auto& view = controller_.view();
  PlacementSituation situation;
  situation.chosen = controller_.record().chosen;
  situation.is_settled = view.has_value() &&
                         view->members.size() == spec_.ranks &&
                         controller_.state() == groups::GroupState::kServing;
  situation.seconds_per_fetch =
      kAssumedExpertBytes / groups::FetchBudgetOptions().bytes_per_second;
  situation.minute_of_day = static_cast<std::uint32_t>(
      net::WallNanoseconds() / kMinuteNanoseconds % kMinutesOfDay);
  auto map = policy_.Decide(situation, config_.committed(), now);
  if (map.has_value()) {
    log_.Info("The placement policy chose a new map.",
              {{"group", spec_.id.value()}, {"why", policy_.why()}});
  }
  return map;
}

void ControlledGroup::OnCounts(const groups::ExpertCounts& counts,
                               TimePoint now) {
  policy_.Observe(counts, now);
}

void ControlledGroup::OnStatus(const TargetId& target,
                               const groups::RankStatus& status,
                               TimePoint now) {
  const auto candidate = candidates_.find(target);
  const bool is_member = candidate != candidates_.end() &&
                         status.group == spec_.id &&
                         status.rank.value() < spec_.ranks;
  if (!is_member) {
    return;
  }
  Incarnation& incarnation = incarnations_[status.rank];
  if (status.incarnation >= incarnation) {
    incarnation = status.incarnation;
    contacts_.ranks[status.rank] = candidate->second;
  }
  Handle(groups::StatusReceived{status}, now);
}

std::optional<GroupReport> ControlledGroup::report() const {
  if (!token_.has_value()) {
    return std::nullopt;
  }
  GroupReport report;
  report.group = spec_.id;
  report.token = *token_;
  report.state = StateName(controller_.state());
  report.why = controller_.why();
  report.pending_fetches = controller_.pending_fetches();
  report.decision = policy_.why();
  if (controller_.view().has_value()) {
    report.map = controller_.view()->map_version;
    for (const groups::Member& member : controller_.view()->members) {
      report.ranks.push_back(member.rank);
    }
  }
  return report;
}

void ControlledGroup::Handle(const groups::ControllerEvent& event,
                             TimePoint now) {
  if (is_closed_) {
    return;
  }
  for (const groups::ControllerAction& action :
       controller_.Handle(event, now)) {
    std::visit([this](const auto& each) { Execute(each); }, action);
  }
}

void ControlledGroup::Execute(const groups::SendOrder& action) {
  const auto found = contacts_.ranks.find(action.rank);
  if (found != contacts_.ranks.end()) {
    Send(found->second, "group.order", groups::ToJson(action.order));
  }
}

void ControlledGroup::Execute(const groups::RecordMap& action) {
  if (is_recording_) {
    return;
  }
  is_recording_ = true;
  loop_.Spawn([self = shared_from_this(), action] {
    const auto result = self->config_.Propose(
        MakeCommand(self->MakeCommandId("map"),
                    config::RecordMap{ToMapSpec(self->spec_.id, action.token,
                                                action.record)}),
        kProposalTimeout);
    self->is_recording_ = false;
    // If an earlier proposal took effect but its answer was lost, this one is
    // refused. So the recorded map decides whether it is done.
    const auto* recorded =
        self->config_.committed().Find<config::MapSpec>(self->spec_.id);
    const bool is_done = recorded != nullptr &&
                         recorded->token == action.token &&
                         recorded->version == action.record.version;
    if (is_done) {
      self->Handle(groups::MapRecorded{action.record.version}, SteadyNow());
    } else if (AcceptedOf(result) == nullptr) {
      self->log_.Warn("Failed to record the map of a group.",
                      {{"group", self->spec_.id.value()}});
    }
  });
}

void ControlledGroup::Execute(const groups::GroupStateChanged& action) {
  log_.Info("Group state.", {{"group", spec_.id.value()}, {"why", action.why}});
}

void ControlledGroup::Execute(const groups::MapRefused& action) {
  log_.Warn("The group controller refused a map.",
            {{"group", spec_.id.value()}, {"why", action.why}});
}

void ControlledGroup::Send(const std::string& address,
                           const std::string& method,
                           const Json& params) {
  const auto endpoint = net::ParseEndpoint(address);
  if (!endpoint.has_value()) {
    return;
  }
  loop_.Spawn([self = shared_from_this(), endpoint, method, params] {
    const auto result =
        self->client_.Call(*endpoint, method, params, kCallTimeout);
    if (std::holds_alternative<links::LinkError>(result)) {
      // Idle connections to an unreachable address must not be reused.
      self->client_.DropIdle(*endpoint);
    }
  });
}

}  // namespace bilberryspool::control
