// The part of ControlNode for the evacuation of failure domains.

#include <algorithm>
#include <boost/json/object.hpp>
#include <utility>

#include "libs/base/json_reading.h"
#include "libs/base/overloaded.h"
#include "libs/net/network_loop.h"
#include "libs/net/steady_time.h"
#include "plugins/control_node/control_node.h"

namespace bilberryspool::control_node {

using net::SteadyNow;

namespace {

// Operators switch to another node after one second without a response.
constexpr Duration kOrderTimeout = Milliseconds(950);
constexpr Duration kBarrierTimeout = Milliseconds(500);
constexpr Duration kRetryInterval = Milliseconds(50);
// A node that was frozen finds the order and the operator's disconnection at
// the same time, but reads the order first.
constexpr Duration kDisconnectionDelay = Milliseconds(5);

}  // namespace

EvacuationOutcome ControlNode::Evacuate(
    const EvacuationOrder& order,
    const std::function<bool()>& is_abandoned) {
  const std::string& name = order.domain.value();
  if (name.empty() || name.size() > evacuation::kMaxDomainNameBytes) {
    return EvacuationInvalid{"the name of a failure domain has 1 to " +
                             std::to_string(evacuation::kMaxDomainNameBytes) +
                             " bytes"};
  }
  evacuation::EvacuationChange change{order.domain, order.is_evacuated,
                                      evacuations().RevisionOf(order.domain)};
  loop_.SleepFor(kDisconnectionDelay);
  const TimePoint limit = SteadyNow() + kOrderTimeout;
  std::string reason = "no leader is known";
  while (!is_abandoned() && SteadyNow() < limit) {
    const EvacuationStep step = EvacuateAtLeader(change);
    if (std::holds_alternative<EvacuationAccepted>(step)) {
      log_.Info("Handled an evacuation.",
                {{"domain", name},
                 {"evacuated", order.is_evacuated ? "yes" : "no"},
                 {"outcome", "accepted"}});
      return EvacuationAccepted{};
    }
    if (const auto* outdated = std::get_if<EvacuationOutdated>(&step)) {
      change.expected_revision = outdated->revision;
      continue;
    }
    reason = std::get<EvacuationOutcomeUnknown>(step).reason;
    loop_.SleepFor(kRetryInterval);
  }
  if (is_abandoned()) {
    reason = "the operator did not wait";
  }
  log_.Info("Handled an evacuation.",
            {{"domain", name},
             {"evacuated", order.is_evacuated ? "yes" : "no"},
             {"outcome", reason}});
  return EvacuationOutcomeUnknown{reason};
}

ControlNode::EvacuationStep ControlNode::EvacuateAtLeader(
    const evacuation::EvacuationChange& change) {
  if (replica_.is_leader()) {
    return EvacuateLocally(change);
  }
  EvacuationStep step = EvacuationOutcomeUnknown{"no leader is known"};
  for (const net::Endpoint& node : FindLeaderCandidates()) {
    step = EvacuateAtNode(node, change);
    if (!std::holds_alternative<EvacuationOutcomeUnknown>(step)) {
      break;
    }
  }
  return step;
}

ControlNode::EvacuationStep ControlNode::EvacuateLocally(
    const evacuation::EvacuationChange& change) {
  control::ReplicaDriver* driver = replica_.driver();
  if (driver == nullptr) {
    return EvacuationOutcomeUnknown{"the data folder is being opened"};
  }
  if (!driver->WaitUntilCurrent(kBarrierTimeout)) {
    return EvacuationOutcomeUnknown{"this node may not lead any more"};
  }
  if (evacuations().IsEvacuated(change.domain) == change.is_evacuated) {
    return EvacuationAccepted{};
  }
  const std::uint64_t revision = evacuations().RevisionOf(change.domain);
  if (revision != change.expected_revision) {
    return EvacuationOutdated{revision};
  }
  const auto result = driver->Propose(
      ReplicatedState::ProposeEvacuation(change), kOrderTimeout);
  if (!result.has_value()) {
    return EvacuationOutcomeUnknown{"no majority answered in time"};
  }
  if (!std::holds_alternative<consensus::Accepted>(*result)) {
    return EvacuationOutcomeUnknown{"this node does not lead any more"};
  }
  // The change is in the log, but another one may have come before it.
  if (!driver->WaitUntilCurrent(kBarrierTimeout) ||
      evacuations().IsEvacuated(change.domain) != change.is_evacuated) {
    return EvacuationOutcomeUnknown{"another change came first"};
  }
  return EvacuationAccepted{};
}

ControlNode::EvacuationStep ControlNode::EvacuateAtNode(
    const net::Endpoint& leader,
    const evacuation::EvacuationChange& change) {
  const auto result = client_.Call(
      leader, "control.evacuate",
      Json{{"change", evacuation::EvacuationRegistry::Encode(change)}},
      kOrderTimeout);
  const auto* answer = std::get_if<Json>(&result);
  const auto* object = answer == nullptr ? nullptr : answer->if_object();
  if (object == nullptr) {
    client_.DropIdle(leader);
    return EvacuationOutcomeUnknown{"the leader does not answer"};
  }
  if (json_reading::Flag(*object, "accepted").value_or(false)) {
    return EvacuationAccepted{};
  }
  if (const auto revision = json_reading::Number(*object, "revision")) {
    return EvacuationOutdated{*revision};
  }
  return EvacuationOutcomeUnknown{"the leader did not accept it in time"};
}

std::optional<ControlNode::Json> ControlNode::OnEvacuate(const Json& params) {
  const auto* object = params.if_object();
  const auto text =
      object == nullptr ? std::nullopt : json_reading::Text(*object, "change");
  const auto change = text.has_value()
                          ? evacuation::EvacuationRegistry::Decode(*text)
                          : std::nullopt;
  if (!change.has_value()) {
    return std::nullopt;
  }
  if (!replica_.is_leader()) {
    return Json{{"accepted", false}};
  }
  const EvacuationStep step = EvacuateLocally(*change);
  return std::visit(
      Overloaded{
          [](const EvacuationAccepted&) {
            return Json{{"accepted", true}};
          },
          [](const EvacuationOutdated& outdated) {
            return Json{{"accepted", false}, {"revision", outdated.revision}};
          },
          [](const EvacuationOutcomeUnknown&) {
            return Json{{"accepted", false}};
          }},
      step);
}

void ControlNode::LogEvacuations() {
  const evacuation::EvacuationState state = evacuations().state();
  log_.Info(
      "Evacuated failure domains changed.",
      {{"domains", evacuation::NamesOf(state)}, {"revision", state.revision}});
}

}  // namespace bilberryspool::control_node
