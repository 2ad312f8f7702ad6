// The state that the control replicas' log determines: the configuration, the
// evacuated failure domains, the roster of gateways, the targets that leave,
// and the requests that are refused because they terminated targets.

#ifndef PLUGINS_CONTROL_NODE_REPLICATED_STATE_H_
#define PLUGINS_CONTROL_NODE_REPLICATED_STATE_H_

#include <string>
#include <string_view>
#include <vector>

#include "libs/cold_targets/gateway_roster.h"
#include "libs/config/numbered_configuration.h"
#include "libs/evacuation/evacuation_registry.h"
#include "libs/quarantine/quarantine_record.h"
#include "libs/traffic/departure_registry.h"

namespace bilberryspool::control_node {

// Deterministic: the same commands result in the same state on each replica.
class ReplicatedState {
 public:
  enum class Change {
    kNone,
    kConfiguration,
    kRefusals,
    kEvacuations,
    kRoster,
    kDepartures,
  };

  // Returns the command that replaces the refusals. Versions that don't know
  // this command ignore it.
  static std::string ProposeRefusals(
      const std::vector<quarantine::QuarantineRecord>& records);

  // The same for the command that evacuates a failure domain or withdraws that.
  static std::string ProposeEvacuation(
      const evacuation::EvacuationChange& change);

  // The same for the command that changes the roster of gateways.
  static std::string ProposeRoster(
      const cold_targets::GatewayRoster::Change& change);

  // The same for the command that records targets that leave.
  static std::string ProposeDepartures(
      const traffic::DepartureRegistry::Change& change);

  Change Apply(std::string_view command);

  // Serializes the state, and restores it. Import() returns false if the bytes
  // are malformed; the state is then unchanged.
  std::string Export() const;
  bool Import(std::string_view bytes);

  const config::NumberedConfiguration& configuration() const {
    return configuration_;
  }
  const evacuation::EvacuationRegistry& evacuations() const {
    return evacuations_;
  }
  const cold_targets::GatewayRoster& roster() const { return roster_; }
  const traffic::DepartureRegistry& departures() const { return departures_; }
  // The refusals as they were proposed; empty if they can't be parsed.
  std::vector<quarantine::QuarantineRecord> refusals() const;

 private:
  config::NumberedConfiguration configuration_;
  // JSON without line breaks; empty before the first proposal.
  std::string refusals_;
  evacuation::EvacuationRegistry evacuations_;
  cold_targets::GatewayRoster roster_;
  traffic::DepartureRegistry departures_;
};

}  // namespace bilberryspool::control_node

#endif  // PLUGINS_CONTROL_NODE_REPLICATED_STATE_H_
