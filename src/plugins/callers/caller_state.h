// State that all requests of an entry share.

#ifndef PLUGINS_CALLERS_CALLER_STATE_H_
#define PLUGINS_CALLERS_CALLER_STATE_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "libs/attempts/request_machine.h"
#include "libs/attempts/roster.h"
#include "libs/attempts/stall_detector.h"
#include "libs/limits/retry_budget.h"
#include "libs/links/link_client.h"
#include "libs/routing/router.h"
#include "libs/telemetry/log.h"
#include "plugins/callers/admission_controller.h"
#include "plugins/callers/agent_registry.h"
#include "plugins/callers/service_table.h"

namespace bilberryspool::telemetry {
class Registry;
}  // namespace bilberryspool::telemetry

namespace bilberryspool::callers {

class RequestRunner;

// Used in the callers loop only.
struct CallerState {
  CallerState(net::NetworkLoop& network_loop,
              std::shared_ptr<const net::LinkAuthenticator> authenticator,
              NodeId entry,
              FailureDomain domain,
              Incarnation entry_incarnation,
              telemetry::Registry& registry,
              std::uint64_t seed);

  // To be called before any received data is handled. If this process was
  // stalled since the last call, all open requests are notified.
  void Beat();
  // Records the token of an answer of the target's agent.
  void RecordToken(const TargetId& target, std::string_view text);
  // Records the load of an answer of the target's agent,
  // "RUNNING/QUEUED/LIMIT".
  void RecordLoad(const TargetId& target, std::string_view text);

  // Records that an agent refuses all work for `length`, because its target is
  // leaving, which membership may not know yet, or its engine has asked for a
  // pause. Such a target is excluded meanwhile; otherwise each request would
  // spend a retry on it until the retry budget is used up.
  void RecordRefusingTarget(const TargetId& target, Duration length);
  // The targets that are excluded for now.
  std::vector<TargetId> RefusingTargets();

  net::NetworkLoop& loop;
  NodeId self;
  FailureDomain own_domain;
  Incarnation incarnation;
  telemetry::Registry& metrics;
  telemetry::Logger log;
  // Receives the reports that operators may query; may be empty.
  std::function<void(control::CallerReport&&)> report;
  links::LinkClient links;
  AgentRegistry agents;
  ServiceTable services;
  routing::Router router;
  AdmissionController admission;
  limits::RetryBudget retries;
  attempts::RosterHistory rosters;
  std::map<NodeId, net::Endpoint> holder_addresses;
  attempts::RequestMachineOptions machine_options;
  attempts::StallDetector stall;
  std::map<TargetId, TimePoint> refusing_until;
  std::uint64_t last_claim = 0;
  std::set<RequestRunner*> runners;
};

}  // namespace bilberryspool::callers

#endif  // PLUGINS_CALLERS_CALLER_STATE_H_
