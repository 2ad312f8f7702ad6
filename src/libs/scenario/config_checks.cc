#include "libs/scenario/config_checks.h"

#include <algorithm>

namespace bilberryspool::scenario {

void ConfigChecks::OnCommitted(const NodeId& node,
                               const consensus::LogEntry& entry) {
  const auto [known, is_new] = committed_.emplace(entry.index, entry);
  verdict_.Check(known->second == entry,
                 "the log of " + node.value() + " has another entry at " +
                     std::to_string(entry.index.value()) +
                     " than one that was committed");
}

void ConfigChecks::OnBecameLeader(const NodeId& node, LogIndex last_index) {
  const bool has_all =
      committed_.empty() || committed_.rbegin()->first <= last_index;
  verdict_.Check(has_all,
                 node.value() + " leads without an entry that was committed");
}

void ConfigChecks::OnLeaderCount(std::size_t leaders) {
  verdict_.Check(leaders <= 1, "two replicas lead at once");
}

void ConfigChecks::OnOrderAnswered(const config::Command& command,
                                   const config::Outcome& outcome) {
  for (const auto& [known, first] : reported_outcomes_) {
    verdict_.Check(known != command || first == outcome,
                   "command " + command.id.value() + " has two outcomes");
  }
  reported_outcomes_.emplace_back(command, outcome);
  if (const auto* accepted = std::get_if<config::Accepted>(&outcome)) {
    latest_reported_version_ =
        std::max(latest_reported_version_, accepted->version);
  }
}

void ConfigChecks::OnInForce(const NodeId& node,
                             Incarnation incarnation,
                             const config::Configuration& configuration) {
  const ConfigVersion version = configuration.version();
  const auto [content, is_new] =
      contents_.emplace(version, configuration.digest());
  verdict_.Check(content->second == configuration.digest(),
                 "version " + std::to_string(version.value()) + " on " +
                     node.value() + " has another content than elsewhere");
  ConfigVersion& known = in_force_[{node, incarnation}];
  verdict_.Check(version >= known, node.value() + " goes back from version " +
                                       std::to_string(known.value()) + " to " +
                                       std::to_string(version.value()));
  known = version;
}

}  // namespace bilberryspool::scenario
