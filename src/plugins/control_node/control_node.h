// What a control node does for operators and targets, whatever protocol they
// speak.

#ifndef PLUGINS_CONTROL_NODE_CONTROL_NODE_H_
#define PLUGINS_CONTROL_NODE_CONTROL_NODE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "libs/config/numbered_configuration.h"
#include "libs/links/link_client.h"
#include "libs/links/link_server.h"
#include "libs/net/fiber_signal.h"
#include "libs/packing/packed_text.h"
#include "libs/settings/settings.h"
#include "libs/telemetry/log.h"
#include "libs/traffic/target_book.h"
#include "libs/traffic/wire_dialect.h"
#include "plugins/control_node/limit_manager.h"
#include "plugins/control_node/quarantine_manager.h"
#include "plugins/control_node/replica_host.h"
#include "plugins/control_node/replicated_state.h"

namespace bilberryspool::control_node {

// It is accepted: in force, or overtaken by a higher number.
struct ConfigurationAccepted {
  std::uint64_t version = 0;
};
struct ConfigurationInvalid {
  std::string reason;
};
// Not known to be accepted: no leader, or no answer in time. The same may be
// sent again.
struct ConfigurationOutcomeUnknown {
  std::string reason;
};
using SubmitOutcome = std::variant<ConfigurationAccepted,
                                   ConfigurationInvalid,
                                   ConfigurationOutcomeUnknown>;

// Runs in the control loop; calls may suspend the fiber.
class ControlNode {
 public:
  ControlNode(net::NetworkLoop& loop,
              const settings::CommonSettings& common,
              const settings::ControlSettings& settings,
              std::shared_ptr<const net::LinkAuthenticator> authenticator,
              traffic::ConfigurationReader read_configuration);

  void Register(links::LinkServer& server);
  // Empty, or why it can't start.
  std::string Start();
  void Stop();

  SubmitOutcome Submit(const std::string& text);
  // The newest accepted configuration, where this node can be sure which one
  // that is.
  std::optional<std::string> Read();

  // Both return once the gateways are being told.
  void Announce(const traffic::TargetAnnouncement& announcement);
  void Withdraw(const TargetId& target, Incarnation incarnation);
  // An announcement could not be read; logged once a second at most.
  void OnUnreadableAnnouncement(const TargetId& target);

  // The targets that this node, as the leader, has found slow, by address,
  // with how many times as long as healthy ones they take. To be called again
  // and again: of changes that follow each other closely only some are told.
  void SetSlowTargets(std::map<std::string, double> by_address);
  const std::map<std::string, double>& slow_targets() const {
    return slow_targets_;
  }
  std::uint64_t slow_revision() const { return slow_revision_; }

  // All control nodes that are known: the log's members, and those that have
  // been heard lately. A node that is no member, because there are enough or
  // because it was replaced while it was cut off, still serves targets, so
  // gateways and the other nodes must go on asking it.
  std::vector<net::Endpoint> FindNodes() const;
  // A control node has asked this one, or answered it.
  void OnNodeResponded(const net::Endpoint& node);

  const config::NumberedConfiguration& configuration() const {
    return state_.configuration();
  }
  const traffic::TargetBook& targets() const { return targets_; }
  QuarantineManager& quarantine() { return quarantine_; }
  LimitManager& limits() { return limits_; }
  // Lets a request pass here, and tells the other control nodes. False where
  // nothing is held against it here.
  bool ReleaseRequest(const quarantine::RequestFingerprint& request);
  ReplicaHost& replica() { return replica_; }
  const ReplicaHost& replica() const { return replica_; }
  // Wakes when the configuration or a target changes.
  net::FiberSignal& changed() { return changed_; }
  // Drawn at the start of this process: tells a restarted node's revisions
  // from those before.
  std::uint64_t boot() const { return boot_; }

 private:
  using Json = boost::json::value;

  ReplicaHost::Hooks MakeHooks();
  SubmitOutcome SubmitLocally(std::uint64_t version,
                              const packing::PackedText& text);
  SubmitOutcome SubmitToNode(const net::Endpoint& leader,
                             std::uint64_t version,
                             const packing::PackedText& text);
  std::optional<packing::PackedText> ReadPacked();
  std::optional<packing::PackedText> ReadLocally();
  // The leader, where one is known, or the nodes that may be it.
  std::vector<net::Endpoint> FindLeaderCandidates() const;
  std::optional<Json> OnSubmit(const Json& params);
  std::optional<Json> OnRead();
  std::optional<Json> OnTarget(const Json& params);
  // Tells the other control nodes that a target leaves.
  void NotifyPeersOfTarget(const traffic::TargetRecord& record);
  void NotifyPeers(const std::string& method, const Json& params);
  void LogSlowTargets(const std::map<std::string, double>& by_address);
  void Tick();
  // Proposes the requests that are refused where the log does not have them.
  void SaveRefusals(TimePoint now);

  net::NetworkLoop& loop_;
  links::LinkClient client_;
  traffic::ConfigurationReader read_configuration_;
  telemetry::Logger log_;
  ReplicatedState state_;
  traffic::TargetBook targets_;
  std::map<std::string, double> slow_targets_;
  std::uint64_t slow_revision_ = 0;
  TimePoint slow_targets_published_at_;
  bool is_saving_ = false;
  std::map<net::Endpoint, TimePoint> node_last_seen_at_;
  // Announcements that could not be read.
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
