#ifndef LIBS_SCENARIO_CONFIG_CHECKS_H_
#define LIBS_SCENARIO_CONFIG_CHECKS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "libs/base/ids.h"
#include "libs/config/command.h"
#include "libs/config/configuration.h"
#include "libs/config/outcome.h"
#include "libs/consensus/log_entry.h"
#include "libs/scenario/verdict.h"

namespace bilberryspool::scenario {

// Checks the invariants of the accepted configuration:
// - a log index holds one entry, on every replica;
// - a new leader has every entry that was committed before;
// - one replica at a time acts as the leader;
// - a command has one outcome, even when it is resent;
// - a version has one content, on every node;
// - the version in force on a node never decreases while its process runs.
class ConfigChecks {
 public:
  explicit ConfigChecks(Verdict& verdict) : verdict_(verdict) {}

  void OnCommitted(const NodeId& node, const consensus::LogEntry& entry);
  void OnBecameLeader(const NodeId& node, LogIndex last_index);
  // `leaders` is the number of replicas that act as the leader now.
  void OnLeaderCount(std::size_t leaders);
  // An operator received this outcome of its command.
  void OnOrderAnswered(const config::Command& command,
                       const config::Outcome& outcome);
  void OnInForce(const NodeId& node,
                 Incarnation incarnation,
                 const config::Configuration& configuration);

  // The highest version that was reported to an operator; 0 before the first.
  ConfigVersion latest_reported_version() const {
    return latest_reported_version_;
  }

 private:
  Verdict& verdict_;
  std::map<LogIndex, consensus::LogEntry> committed_;
  std::vector<std::pair<config::Command, config::Outcome>> reported_outcomes_;
  std::map<ConfigVersion, config::Digest> contents_;
  std::map<std::pair<NodeId, Incarnation>, ConfigVersion> in_force_;
  ConfigVersion latest_reported_version_;
};

}  // namespace bilberryspool::scenario

#endif  // LIBS_SCENARIO_CONFIG_CHECKS_H_
