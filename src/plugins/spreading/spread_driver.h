// Brings the accepted configuration into force on this node and sends it to
// other nodes.

#ifndef PLUGINS_SPREADING_SPREAD_DRIVER_H_
#define PLUGINS_SPREADING_SPREAD_DRIVER_H_

#include <boost/json/value.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "libs/config/applied_configuration.h"
#include "libs/links/link_client.h"
#include "libs/links/link_server.h"
#include "libs/spread/spreader.h"
#include "libs/telemetry/log.h"

namespace bilberryspool::net {
class NetworkLoop;
}

namespace bilberryspool::spreading {

struct SpreadHooks {
  // Address of this node, sent with each message: an agent learns the addresses
  // of its entries from their messages.
  std::string own_address;
  std::function<std::optional<net::Endpoint>(const NodeId&)> find_node;
  std::function<spread::TopologyChanged()> topology;
  // Called when the configuration in force on this node has changed.
  std::function<void()> in_force_changed;
};

// Runs in the loop of the control thread, or of the agent.
class SpreadDriver {
 public:
  SpreadDriver(net::NetworkLoop& loop,
               links::LinkClient& client,
               spread::SpreaderOptions options,
               std::uint64_t seed,
               SpreadHooks hooks);

  void Register(links::LinkServer& server);
  void Start();

  // Called on a control replica when its log has committed a change, or a whole
  // state that replaces the present one.
  void ApplyCommittedStep(const config::Delta& delta,
                          config::Digest from_digest);
  void ApplyCommittedState(const config::Configuration& state);
  void SetLeading(bool is_leading);
  void SetRole(spread::SpreaderRole role) { spreader_.SetRole(role); }

  // Addresses of the nodes that have sent messages to this one.
  const std::map<NodeId, net::Endpoint>& senders() const { return senders_; }

  const config::AppliedConfiguration& applied() const { return applied_; }
  const spread::Spreader& spreader() const { return spreader_; }

 private:
  using Json = boost::json::value;

  void Run();
  void Handle(const spread::SpreaderEvent& event);
  void Execute(const spread::SpreaderAction& action);
  void Send(const NodeId& to, const std::string& method, const Json& params);
  template <typename Message>
  std::optional<Json> OnMessage(const Json& params,
                                std::optional<Message> (*parse)(const Json&),
                                const std::function<void(Message)>& on_message);
  void ApplySteps(const spread::ApplySteps& apply);
  void ApplyFull(const spread::ApplyFull& apply);
  void ReportApplyResult(config::ApplyResult result);
  spread::ConfigPoint applied_point() const;

  net::NetworkLoop& loop_;
  links::LinkClient& client_;
  spread::Spreader spreader_;
  SpreadHooks hooks_;
  telemetry::Logger log_;
  config::AppliedConfiguration applied_;
  std::map<NodeId, net::Endpoint> senders_;
  TimePoint topology_refreshed_at_;
};

}  // namespace bilberryspool::spreading

#endif  // PLUGINS_SPREADING_SPREAD_DRIVER_H_
