#include "libs/scenario/request_host.h"

#include <algorithm>
#include <utility>

#include "libs/base/overloaded.h"
#include "libs/config/control_member_spec.h"
#include "libs/config/drain_spec.h"
#include "libs/config/placement_spec.h"
#include "libs/config/service_spec.h"

namespace bilberryspool::scenario {
namespace {

constexpr Duration kUpdateInterval = Milliseconds(100);
// As long as the ledgers of the holders keep a key.
constexpr Duration kClaimWindow = Seconds(600);
constexpr Duration kDefaultDeadline = Seconds(5);

bool Selects(const config::TargetSelector& selector,
             const routing::TargetView& view) {
  return std::visit(
      Overloaded{
          [&](const TargetId& target) { return target == view.target; },
          [&](const FailureDomain& domain) { return domain == view.domain; },
          [](const config::AnyTarget&) { return true; }},
      selector);
}

}  // namespace

RequestHost::RequestHost(FakeNetwork& network,
                         Verdict& verdict,
                         RequestRegistry& request_registry,
                         NodeId self,
                         FailureDomain domain,
                         Hooks hooks)
    : network_(network),
      verdict_(verdict),
      request_registry_(request_registry),
      self_(std::move(self)),
      domain_(std::move(domain)),
      hooks_(std::move(hooks)),
      holder_(MakeHolder(false)),
      rosters_(kClaimWindow),
      stall_({}, network.now()),
      router_({}, network.random().engine()()) {}

attempts::ClaimHolder RequestHost::MakeHolder(bool first_start) const {
  return attempts::ClaimHolder({}, self_, network_.incarnation(self_),
                               first_start, network_.now());
}

void RequestHost::MarkFirstStart() {
  holder_ = MakeHolder(true);
}

void RequestHost::Start() {
  UpdatePeriodically();
}

void RequestHost::UpdatePeriodically() {
  Beat();
  UpdateTargets();
  UpdatePlacements();
  UpdateRoster();
  network_.After(self_, kUpdateInterval, [this] { UpdatePeriodically(); });
}

void RequestHost::UpdateTargets() {
  const auto& drains = hooks_.configuration().table<config::DrainSpec>();
  std::map<TargetId, routing::TargetView> views;
  for (routing::TargetView& view : hooks_.targets()) {
    const bool is_drained =
        std::any_of(drains.begin(), drains.end(),
                    [&](const auto& row) { return Selects(row.first, view); });
    if (is_drained && view.state == routing::TargetState::kServing) {
      view.state = routing::TargetState::kDraining;
    }
    router_.Handle(routing::TargetUpdated{view}, network_.now());
    views.emplace(view.target, std::move(view));
  }
  for (const auto& [target, view] : views_) {
    if (!views.contains(target)) {
      router_.Handle(routing::TargetRemoved{target}, network_.now());
    }
  }
  views_ = std::move(views);
}

void RequestHost::UpdatePlacements() {
  std::map<ServiceId, routing::Placement> placements;
  const auto& declared = hooks_.configuration().table<config::PlacementSpec>();
  for (const auto& [key, row] : declared) {
    routing::Placement& placement = placements[row.spec.service];
    placement.service = row.spec.service;
    for (const auto& [target, view] : views_) {
      if (Selects(row.spec.targets, view)) {
        placement.targets.push_back(target);
      }
    }
  }
  routing::ConfigChanged changed;
  for (auto& [service, placement] : placements) {
    changed.placements.push_back(std::move(placement));
  }
  router_.Handle(changed, network_.now());
}

// The holders of claims are the control replicas that vote.
void RequestHost::UpdateRoster() {
  attempts::Roster roster;
  const auto& members =
      hooks_.configuration().table<config::ControlMemberSpec>();
  for (const auto& [node, row] : members) {
    const attempts::RosterVersion version(row.modified_at.value());
    roster.version = std::max(roster.version, version);
    if (row.spec.standing != config::MemberStanding::kLearner) {
      roster.members.push_back({node, row.spec.domain});
    }
  }
  if (roster.members.empty()) {
    return;
  }
  holder_.AdoptRoster(roster.version);
  rosters_.Adopt(std::move(roster), network_.now());
}

bool RequestHost::offers(const TargetId& target) const {
  const auto view = views_.find(target);
  return view != views_.end() &&
         view->second.state == routing::TargetState::kServing;
}

attempts::RequestSpec RequestHost::MakeSpec(SendId send) {
  const CallerRequest& request = request_registry_.send(send).request;
  const auto* service =
      hooks_.configuration().Find<config::ServiceSpec>(request.service);
  const TimePoint now = network_.now();
  attempts::RequestSpec spec;
  spec.key = {Workspace("plants"), request.id};
  spec.fingerprint =
      attempts::Fingerprint(std::hash<std::string>()(request.id.value()));
  spec.claimant = {self_, network_.incarnation(self_),
                   attempts::ClaimNumber(send.value() + 1)};
  spec.idempotent = request.idempotent;
  spec.deadline =
      now + (service != nullptr ? service->deadline : kDefaultDeadline);
  spec.may_predate_stall = stall_.MayPredateStall(now);
  if (!request.idempotent) {
    spec.holders = rosters_.HoldersOf(spec.key, now);
  }
  return spec;
}

void RequestHost::Open(SendId send) {
  Beat();
  attempts::RequestSpec spec = MakeSpec(send);
  request_registry_.send(send).deadline = spec.deadline;
  machines_.emplace(send, attempts::RequestMachine({}, std::move(spec)));
  HandleEvent(send, attempts::RequestStarted{});
}

void RequestHost::Beat() {
  if (stall_.Beat(network_.now())) {
    OnStallDetected();
  }
}

void RequestHost::OnStallDetected() {
  verdict_.Note(self_, "detects that it was stalled");
  std::vector<SendId> open;
  for (const auto& [send, machine] : machines_) {
    open.push_back(send);
  }
  for (const SendId send : open) {
    HandleEvent(send, attempts::EntryStalled{});
  }
}

void RequestHost::HandleEvent(SendId send,
                              const attempts::RequestEvent& event) {
  const auto found = machines_.find(send);
  if (found == machines_.end() || found->second.done()) {
    return;
  }
  UpdateRouter(event);
  for (const auto& action : found->second.Handle(event, network_.now())) {
    // Deferred, so that an entry that is frozen here executes the actions it
    // already decided on after it is thawed.
    network_.After(self_, Microseconds(10), [this, send, action] {
      std::visit([&](const auto& typed) { Execute(send, typed); }, action);
    });
  }
  ScheduleTick(send);
}

void RequestHost::ScheduleTick(SendId send) {
  const auto next = machines_.at(send).next_deadline();
  if (!next.has_value()) {
    return;
  }
  const Duration wait =
      std::max<Duration>(*next - network_.now(), Microseconds(1));
  network_.After(self_, wait, [this, send] {
    Beat();
    HandleEvent(send, attempts::RequestTick{});
  });
}

void RequestHost::UpdateRouter(const attempts::RequestEvent& event) {
  std::visit(Overloaded{[this](const attempts::AttemptRefused& refused) {
                          FinishAttempt(refused.attempt,
                                        routing::AttemptOutcome::kRefusedBusy);
                        },
                        [this](const attempts::AttemptFinished& finished) {
                          FinishAttempt(finished.attempt,
                                        routing::AttemptOutcome::kSucceeded);
                        },
                        [this](const attempts::AttemptHead& head) {
                          router_.Handle(routing::FirstToken{head.attempt},
                                         network_.now());
                        },
                        [](const auto&) {}},
             event);
}

void RequestHost::FinishAttempt(const AttemptId& attempt,
                                routing::AttemptOutcome outcome) {
  router_.Handle(routing::AttemptFinished{attempt, outcome, std::nullopt},
                 network_.now());
}

}  // namespace bilberryspool::scenario
