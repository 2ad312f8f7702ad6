// The operations of a control node for operators and targets, independent of
// the protocol that they use.

#ifndef PLUGINS_CONTROL_NODE_CONTROL_NODE_H_
#define PLUGINS_CONTROL_NODE_CONTROL_NODE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "libs/cold_targets/seat_confirmations.h"
#include "libs/config/numbered_configuration.h"
#include "libs/evacuation/evacuation_registry.h"
#include "libs/group_loads/group_load_publisher.h"
#include "libs/links/link_client.h"
#include "libs/links/link_server.h"
#include "libs/net/fiber_signal.h"
#include "libs/packing/packed_text.h"
#include "libs/settings/settings.h"
#include "libs/telemetry/log.h"
#include "libs/traffic/departure_queue.h"
#include "libs/traffic/departure_registry.h"
#include "libs/traffic/header_names.h"
#include "libs/traffic/target_registry.h"
#include "plugins/control_node/limit_manager.h"
#include "plugins/control_node/quarantine_manager.h"
#include "plugins/control_node/replica_host.h"
#include "plugins/control_node/replicated_state.h"

namespace bilberryspool::control_node {

// The configuration was accepted: it is in force, or a higher version is.
struct ConfigurationAccepted {
  std::uint64_t version = 0;
};
struct ConfigurationInvalid {
  std::string reason;
};
// It is not known whether the configuration was accepted: there was no leader,
// or no response in time. The same configuration may be submitted again.
struct ConfigurationOutcomeUnknown {
  std::string reason;
};
using SubmitOutcome = std::variant<ConfigurationAccepted,
                                   ConfigurationInvalid,
                                   ConfigurationOutcomeUnknown>;

// What an operator wants of a failure domain.
struct EvacuationOrder {
  FailureDomain domain;
  bool is_evacuated = false;
};
// The order is in force and survives the loss of any tolerated nodes.
struct EvacuationAccepted {};
struct EvacuationInvalid {
  std::string reason;
};
// It is not known whether the order will take effect. It may be sent again.
struct EvacuationOutcomeUnknown {
  std::string reason;
};
using EvacuationOutcome = std::
    variant<EvacuationAccepted, EvacuationInvalid, EvacuationOutcomeUnknown>;

// Runs in the control loop; calls may suspend the fiber.
class ControlNode {
 public:
  ControlNode(net::NetworkLoop& loop,
              const settings::CommonSettings& common,
              const settings::ControlSettings& settings,
              std::shared_ptr<const net::LinkAuthenticator> authenticator,
              traffic::ConfigurationReader read_configuration);

  void Register(links::LinkServer& server);
  // Returns an empty string, or the reason why the node can't start.
  std::string Start();
  void Stop();

  SubmitOutcome Submit(const std::string& text);
  // Returns the newest accepted configuration, or nothing if this node can't
  // determine it.
  std::optional<std::string> Read();

  // Evacuates a failure domain, or withdraws that. `is_abandoned` says whether
  // the operator has stopped waiting: an order that is then still on its way
  // must not take effect after later ones.
  EvacuationOutcome Evacuate(const EvacuationOrder& order,
                             const std::function<bool()>& is_abandoned);

  // Both start the notification of the gateways at once. If the target leaves,
  // they then wait until that survives the loss of any tolerated nodes, and
  // return false if it is not known to do so in time: the target must not be
  // told that its departure is known.
  bool Announce(const traffic::TargetAnnouncement& announcement);
  bool Withdraw(const TargetId& target, Incarnation incarnation);
  // Counts an announcement that could not be parsed; logged at most once a
  // second.
  void OnUnreadableAnnouncement(const TargetId& target);

  // Sets the slow targets that this node has detected as the leader: by
  // address, with the time that they take as a multiple of a healthy target's.
  // Meant to be called periodically: changes in quick succession are not all
  // published.
  void SetSlowTargets(std::map<std::string, double> by_address);
  const std::map<std::string, double>& slow_targets() const {
    return slow_targets_;
  }
  std::uint64_t slow_revision() const { return slow_revision_; }
  // Offers the loads of the groups that this node leads, to be published when
  // that is due if the settings say so. Meant to be called periodically.
  void OfferGroupLoads(std::vector<group_loads::GroupLoad> loads);
  // Whether the settings let gateways hear of the loads of groups.
  bool shares_group_loads() const { return shares_group_loads_; }
  group_loads::GroupLoadPublisher& group_loads() { return group_loads_; }

  // Returns all known control nodes: the members of the log, and those that
  // were in contact recently. A node that is not a member (because there are
  // enough members, or because it was replaced during a network partition)
  // still serves targets, so gateways and the other nodes must keep polling it.
  std::vector<net::Endpoint> FindNodes() const;
  // Records that a control node has sent a request to this one, or responded to
  // it.
  void OnNodeContact(const net::Endpoint& node);

  const config::NumberedConfiguration& configuration() const {
    return state_.configuration();
  }
  // The evacuated failure domains, as far as this node knows.
  const evacuation::EvacuationRegistry& evacuations() const {
    return state_.evacuations();
  }
  // Records a gateway that needs a seat in the roster and knows one of
  // `known_count` gateways; 0 if it knows none.
  void NoteGateway(const std::string& name, std::uint64_t known_count);
  const cold_targets::GatewayRoster& roster() const { return state_.roster(); }
  const traffic::TargetRegistry& targets() const { return targets_; }
  // The targets that announce themselves to other control nodes.
  traffic::TargetRegistry& peer_targets() { return peer_targets_; }
  const traffic::TargetRegistry& peer_targets() const { return peer_targets_; }
  // The targets that leave, as far as this node knows.
  const traffic::DepartureRegistry& departures() const {
    return state_.departures();
  }
  QuarantineManager& quarantine() { return quarantine_; }
  LimitManager& limits() { return limits_; }
  // Releases a request from quarantine here and on the other control nodes.
  // Returns false if it is not in quarantine at this node.
  bool ReleaseRequest(const quarantine::RequestFingerprint& request);
  ReplicaHost& replica() { return replica_; }
  const ReplicaHost& replica() const { return replica_; }
  // Notified when the configuration or a target changes.
  net::FiberSignal& changed() { return changed_; }
  // Random number of this process. It distinguishes the revisions of a
  // restarted node from those before the restart.
  std::uint64_t boot() const { return boot_; }

 private:
  using Json = boost::json::value;

  ReplicaHost::Hooks MakeHooks();
  SubmitOutcome SubmitLocally(std::uint64_t version,
                              const packing::PackedText& text);
  SubmitOutcome SubmitToNode(const net::Endpoint& leader,
                             std::uint64_t version,
                             const packing::PackedText& text);
  // The domain has changed since the revision that the order was based on.
  struct EvacuationOutdated {
    std::uint64_t revision = 0;  // of the domain
  };
  using EvacuationStep = std::
      variant<EvacuationAccepted, EvacuationOutdated, EvacuationOutcomeUnknown>;
  EvacuationStep EvacuateLocally(const evacuation::EvacuationChange& change);
  EvacuationStep EvacuateAtNode(const net::Endpoint& leader,
                                const evacuation::EvacuationChange& change);
  // Passes the change to the leader.
  EvacuationStep EvacuateAtLeader(const evacuation::EvacuationChange& change);
  std::optional<Json> OnEvacuate(const Json& params);
  void LogEvacuations();
  std::optional<packing::PackedText> ReadPacked();
  std::optional<packing::PackedText> ReadLocally();
  // Returns the leader if it is known, otherwise the nodes that may be the
  // leader.
  std::vector<net::Endpoint> FindLeaderCandidates() const;
  std::optional<Json> OnSubmit(const Json& params);
  std::optional<Json> OnRead();
  std::optional<Json> OnTarget(const Json& params);
  // Tells gateways and other nodes of a changed announcement.
  void OnTargetChanged(const traffic::TargetAnnouncement& announcement);
  // The latest incarnation of the target that any control node has reported;
  // Incarnation() if there is none.
  Incarnation LatestIncarnationOf(const TargetId& target) const;
  // Waits until the log has the departure of the run. Returns false if that is
  // not known in time.
  bool SaveDeparture(const TargetRun& run);
  bool SaveDepartureLocally(const TargetRun& run, TimePoint limit);
  bool SaveDepartureAtLeader(const TargetRun& run, TimePoint limit);
  std::optional<Json> OnDepart(const Json& params);
  // Proposes waiting departures to the log, one change at a time.
  void ProposeDepartures();
  // Adds the departures that the log has gained to the targets on record.
  void ApplyDepartures(TimePoint now);
  // Notifies the other control nodes that a target is leaving.
  void NotifyPeersOfTarget(const traffic::TargetRecord& record);
  void NotifyPeers(const std::string& method, const Json& params);
  void LogSlowTargets(const std::map<std::string, double>& by_address);
  void Tick();
  // Proposes changes of the roster to the log: new gateways, and those that all
  // others have heard of.
  void SaveRoster();
  // Proposes the refused requests to the log if the log does not have them yet.
  void SaveRefusals(TimePoint now);

  net::NetworkLoop& loop_;
  links::LinkClient client_;
  traffic::ConfigurationReader read_configuration_;
  telemetry::Logger log_;
  ReplicatedState state_;
  traffic::TargetRegistry targets_;
  traffic::TargetRegistry peer_targets_{traffic::TargetRegistryOptions{}};
  traffic::DepartureQueue departure_queue_{traffic::DepartureQueueOptions{}};
  bool is_saving_departures_ = false;
  // Revision of the departures that `targets_` has.
  std::uint64_t applied_departures_ = 0;
  net::FiberSignal departures_changed_;
  std::map<std::string, double> slow_targets_;
  std::uint64_t slow_revision_ = 0;
  TimePoint slow_targets_published_at_;
  bool shares_group_loads_;
  group_loads::GroupLoadPublisher group_loads_{
      group_loads::GroupLoadPublisherOptions{}};
  bool is_saving_ = false;
  std::set<std::string> new_gateways_;
  bool is_saving_roster_ = false;
  cold_targets::SeatConfirmations confirmations_;
  std::map<net::Endpoint, TimePoint> node_last_seen_at_;
  // Number of announcements that could not be parsed.
  std::uint64_t unreadable_announcements_ = 0;
  TimePoint unreadable_logged_at_;
  net::FiberSignal changed_;
  QuarantineManager quarantine_{changed_};
  LimitManager limits_{changed_};
  std::uint64_t boot_;
  ReplicaHost replica_;
};

}  // namespace bilberryspool::control_node

#endif  // PLUGINS_CONTROL_NODE_CONTROL_NODE_H_
