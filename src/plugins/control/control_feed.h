// Messages between the control thread and the callers thread, which are passed
// through one bounded ring per direction.

#ifndef PLUGINS_CONTROL_CONTROL_FEED_H_
#define PLUGINS_CONTROL_CONTROL_FEED_H_

#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "libs/attempts/roster.h"
#include "libs/base/ids.h"
#include "libs/config/configuration.h"
#include "libs/limits/admission_event.h"
#include "libs/net/endpoint.h"
#include "libs/routing/target_view.h"

namespace bilberryspool::control {

// One target with the address of its agent.
struct TargetRow {
  routing::TargetView view;
  net::Endpoint agent;
  // As announced; a change means that the agent has restarted.
  Incarnation incarnation;
};

// All targets that this entry knows of.
struct TargetsUpdate {
  std::vector<TargetRow> targets;
};

// The entries that vote on claims, and their addresses.
struct RosterUpdate {
  attempts::Roster roster;
  std::map<NodeId, net::Endpoint> addresses;
};

// The configuration in force on this entry.
struct ConfigUpdate {
  std::shared_ptr<const config::Configuration> configuration;
  bool is_stale = false;
};

// The other entries known to be alive, with their addresses.
struct EntriesUpdate {
  std::map<NodeId, net::Endpoint> entries;
};

// The demand of another entry's callers, as reported by that entry.
struct DemandUpdate {
  NodeId entry;
  std::vector<limits::WorkspaceDemand> demands;
};

using ControlFeed = std::variant<TargetsUpdate,
                                 RosterUpdate,
                                 ConfigUpdate,
                                 EntriesUpdate,
                                 DemandUpdate>;

// Report of the callers thread to the control thread, for operators' `why`
// statements: a routing decision for a service, or the outcome of a request.
struct CallerReport {
  ServiceId service;
  // Empty for a routing decision.
  RequestId request;
  std::string text;
};

}  // namespace bilberryspool::control

#endif  // PLUGINS_CONTROL_CONTROL_FEED_H_
