#include "plugins/control/directory_driver.h"

#include <algorithm>
#include <set>

#include "libs/base/overloaded.h"
#include "libs/membership/membership_codec.h"
#include "libs/net/network_loop.h"
#include "libs/net/steady_time.h"

namespace bilberryspool::control {

using net::SteadyNow;

namespace {

constexpr Duration kGossipTimeout = Milliseconds(800);
constexpr Duration kMaxTickInterval = Milliseconds(100);

routing::TargetState ToRoutingState(const membership::TargetView& view) {
  if (view.offer != membership::Offer::kNo) {
    return routing::TargetState::kServing;
  }
  switch (view.reason) {
    case membership::OfferReason::kLeaving:
      return routing::TargetState::kLeaving;
    case membership::OfferReason::kDraining:
      return routing::TargetState::kDraining;
    default:
      return routing::TargetState::kStale;
  }
}

// `has_offered_alternative`: a fully offered target serves one of the same
// services. A target of last resort gets a small weight beside it. Without such
// an alternative it keeps its weight: otherwise an entry that receives no
// heartbeats would assume that there is no capacity at all and refuse requests
// that its targets could run.
routing::TargetView ToRoutingView(const membership::TargetView& view,
                                  bool has_offered_alternative) {
  constexpr double kLastResortWeight = 0.05;
  const membership::Announcement& description = *view.announcement;
  routing::TargetView target;
  target.target = description.target;
  target.domain = description.domain;
  target.services = description.services;
  target.adapters = description.adapters;
  target.slots = std::max(1U, description.slots);
  target.state = ToRoutingState(view);
  target.load.running = view.load.running;
  target.load.queued = view.load.queued;
  target.load.limit = view.load.limit;
  target.load.age = view.load.age;
  target.group_weight = view.share;
  if (view.offer == membership::Offer::kLastResort && has_offered_alternative) {
    target.group_weight = std::min(view.share, kLastResortWeight);
  }
  return target;
}

}  // namespace

DirectoryDriver::DirectoryDriver(net::NetworkLoop& loop,
                                 links::LinkClient& client,
                                 membership::DirectoryOptions options,
                                 std::uint64_t seed)
    : loop_(loop),
      client_(client),
      directory_(std::move(options), seed),
      log_("membership") {}

void DirectoryDriver::Register(links::LinkServer& server) {
  server.Register("membership.announce",
                  [this](const Json& params) { return OnAnnounce(params); });
  server.Register("membership.heartbeat",
                  [this](const Json& params) { return OnHeartbeat(params); });
  server.Register("membership.gossip",
                  [this](const Json& params) { return OnGossip(params); });
}

void DirectoryDriver::Start() {
  loop_.Spawn([this] { Run(); });
}

void DirectoryDriver::Run() {
  while (true) {
    Handle(membership::DirectoryTick{});
    const TimePoint now = SteadyNow();
    const TimePoint due =
        directory_.next_deadline().value_or(now + kMaxTickInterval);
    loop_.SleepFor(std::clamp(due - now, Milliseconds(1), kMaxTickInterval));
  }
}

std::optional<membership::AnnounceReply> DirectoryDriver::Handle(
    const membership::DirectoryEvent& event) {
  std::optional<membership::AnnounceReply> reply;
  for (const auto& action : directory_.Handle(event, SteadyNow())) {
    Execute(action, &reply);
  }
  return reply;
}

void DirectoryDriver::Execute(const membership::DirectoryAction& action,
                              std::optional<membership::AnnounceReply>* reply) {
  std::visit(
      Overloaded{[&](const membership::ReplyToAgent& answer) {
                   *reply = answer.reply;
                 },
                 [&](const membership::SendToPeer& send) { SendToPeer(send); },
                 [&](const membership::ReportConflict& conflict) {
                   log_.Error("Two processes claim one target.",
                              {{"target", conflict.winner.target.value()},
                               {"winner", conflict.winner.address},
                               {"loser", conflict.loser.address}});
                 },
                 [&](const membership::TargetChanged& change) {
                   log_.Info("Target changed.",
                             {{"target", change.target.value()},
                              {"state", static_cast<int>(change.state)},
                              {"liveness", static_cast<int>(change.liveness)}});
                   if (on_target_changed_) {
                     on_target_changed_();
                   }
                 },
                 [&](const membership::DomainChanged& change) {
                   log_.Warn(change.state.reachable
                                 ? "Failure domain is back."
                                 : "Failure domain is silent.",
                             {{"domain", change.state.domain.value()}});
                 }},
      action);
}

void DirectoryDriver::SendToPeer(const membership::SendToPeer& send) {
  const auto endpoint = net::ParseEndpoint(send.address);
  if (!endpoint.has_value()) {
    return;
  }
  loop_.Spawn([this, endpoint, params = membership::ToJson(send.message)] {
    const auto result =
        client_.Call(*endpoint, "membership.gossip", params, kGossipTimeout);
    if (std::holds_alternative<links::LinkError>(result)) {
      client_.DropIdle(*endpoint);
    }
  });
}

std::optional<boost::json::value> DirectoryDriver::OnAnnounce(
    const Json& params) {
  auto announcement = membership::AnnouncementFromJson(params);
  if (!announcement.has_value()) {
    return std::nullopt;
  }
  const auto reply =
      Handle(membership::AnnouncementReceived{std::move(*announcement)});
  return membership::ToJson(reply.value_or(membership::AnnounceReply{}));
}

std::optional<boost::json::value> DirectoryDriver::OnHeartbeat(
    const Json& params) {
  const auto heartbeat = membership::HeartbeatFromJson(params);
  if (!heartbeat.has_value()) {
    return std::nullopt;
  }
  const auto reply = Handle(membership::HeartbeatReceived{*heartbeat});
  return membership::ToJson(reply.value_or(membership::AnnounceReply{}));
}

std::optional<boost::json::value> DirectoryDriver::OnGossip(
    const Json& params) {
  auto message = membership::PeerMessageFromJson(params);
  if (!message.has_value()) {
    return std::nullopt;
  }
  Handle(membership::PeerMessageReceived{std::move(*message)});
  return Json(true);
}

TargetsUpdate DirectoryDriver::MakeTargetsUpdate(TimePoint now) const {
  const std::vector<membership::TargetView> views = directory_.targets(now);
  std::set<ServiceId> offered_services;
  for (const membership::TargetView& view : views) {
    if (view.offer == membership::Offer::kYes) {
      offered_services.insert(view.announcement->services.begin(),
                              view.announcement->services.end());
    }
  }
  TargetsUpdate update;
  for (const membership::TargetView& view : views) {
    if (view.announcement == nullptr ||
        view.reason == membership::OfferReason::kGone) {
      continue;
    }
    const auto agent = net::ParseEndpoint(view.announcement->address);
    if (!agent.has_value()) {
      continue;
    }
    const auto& services = view.announcement->services;
    const bool has_offered_alternative =
        std::any_of(services.begin(), services.end(),
                    [&offered_services](const ServiceId& service) {
                      return offered_services.contains(service);
                    });
    update.targets.push_back({ToRoutingView(view, has_offered_alternative),
                              *agent, view.announcement->claim.incarnation});
  }
  return update;
}

}  // namespace bilberryspool::control
