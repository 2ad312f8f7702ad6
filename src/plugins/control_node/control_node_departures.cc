// The part of ControlNode for targets that leave.

#include <algorithm>
#include <boost/json/object.hpp>
#include <variant>

#include "libs/base/json_reading.h"
#include "libs/net/network_loop.h"
#include "libs/net/steady_time.h"
#include "plugins/control_node/control_node.h"

namespace bilberryspool::control_node {

using net::SteadyNow;

namespace {

// Targets switch to another node after one second without a response.
constexpr Duration kSaveTimeout = Milliseconds(900);
constexpr Duration kProposalTimeout = Milliseconds(2500);
constexpr Duration kRetryInterval = Milliseconds(50);

}  // namespace

Incarnation ControlNode::LatestIncarnationOf(const TargetId& target) const {
  Incarnation latest;
  for (const traffic::TargetRegistry* registry : {&targets_, &peer_targets_}) {
    const auto found = registry->records().find(target);
    if (found != registry->records().end()) {
      latest = std::max(latest, found->second.announcement.incarnation);
    }
  }
  return latest;
}

bool ControlNode::SaveDeparture(const TargetRun& run) {
  if (!traffic::IsRecordable(run.target)) {
    log_.Warn("The name of a target that leaves can't be recorded.",
              {{"bytes", run.target.value().size()}});
    return false;
  }
  const TimePoint limit = SteadyNow() + kSaveTimeout;
  // An applied departure is committed, so it survives a restart of all nodes.
  while (!departures().Contains(run)) {
    if (SteadyNow() >= limit) {
      log_.Warn("A departure could not be saved in time.",
                {{"target", run.target.value()},
                 {"incarnation", run.incarnation.value()}});
      return false;
    }
    if (replica_.is_leader()) {
      SaveDepartureLocally(run, limit);
      continue;
    }
    if (SaveDepartureAtLeader(run, limit)) {
      return true;
    }
    loop_.SleepFor(kRetryInterval);
  }
  return true;
}

bool ControlNode::SaveDepartureLocally(const TargetRun& run, TimePoint limit) {
  departure_queue_.Add(run);
  ProposeDepartures();
  while (!departures().Contains(run) && replica_.is_leader() &&
         SteadyNow() < limit) {
    departures_changed_.WaitUntil(
        std::min(limit, SteadyNow() + kRetryInterval));
  }
  return departures().Contains(run);
}

bool ControlNode::SaveDepartureAtLeader(const TargetRun& run, TimePoint limit) {
  for (const net::Endpoint& node : FindLeaderCandidates()) {
    const Duration left = limit - SteadyNow();
    if (left <= Duration::zero()) {
      break;
    }
    const auto result =
        client_.Call(node, "control.depart",
                     Json{{"target", run.target.value()},
                          {"incarnation", run.incarnation.value()}},
                     left);
    const auto* answer = std::get_if<Json>(&result);
    if (answer == nullptr) {
      client_.DropIdle(node);
    } else if (answer->is_bool() && answer->get_bool()) {
      return true;
    }
  }
  return false;
}

std::optional<ControlNode::Json> ControlNode::OnDepart(const Json& params) {
  const auto* object = params.if_object();
  if (object == nullptr) {
    return std::nullopt;
  }
  const auto target = json_reading::Text(*object, "target");
  const auto incarnation = json_reading::Number(*object, "incarnation");
  if (!target || !traffic::IsRecordable(TargetId(*target)) || !incarnation) {
    return std::nullopt;
  }
  const TargetRun run{TargetId(*target), Incarnation(*incarnation)};
  return Json(replica_.is_leader() &&
              SaveDepartureLocally(run, SteadyNow() + kSaveTimeout));
}

void ControlNode::ProposeDepartures() {
  if (is_saving_departures_ || !replica_.is_leader()) {
    return;
  }
  is_saving_departures_ = true;
  loop_.Spawn([this] {
    while (true) {
      control::ReplicaDriver* driver = replica_.driver();
      if (driver == nullptr || !replica_.is_leader()) {
        departure_queue_.Clear();
        break;
      }
      const auto change =
          departure_queue_.NextChange(departures(), SteadyNow());
      if (!change.has_value()) {
        break;
      }
      const auto result = driver->Propose(
          ReplicatedState::ProposeDepartures(*change), kProposalTimeout);
      if (!result.has_value()) {
        log_.Warn("Departures could not be saved in time.",
                  {{"targets", change->runs.size()}});
        departure_queue_.Clear();
        break;
      }
      if (!std::holds_alternative<consensus::Accepted>(*result)) {
        loop_.SleepFor(kRetryInterval);
      }
    }
    is_saving_departures_ = false;
  });
}

void ControlNode::ApplyDepartures(TimePoint now) {
  bool is_change = false;
  for (const TargetRun& run : departures().AddedAfter(applied_departures_)) {
    if (targets_.OnLeaving(run, now)) {
      is_change = true;
      log_.Info("Target leaves, as the log says.",
                {{"target", run.target.value()},
                 {"incarnation", run.incarnation.value()}});
    }
  }
  applied_departures_ = departures().revision();
  departure_queue_.OnApplied(applied_departures_, now);
  departures_changed_.NotifyAll();
  if (is_change) {
    changed_.NotifyAll();
  }
}

}  // namespace bilberryspool::control_node
