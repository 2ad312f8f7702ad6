// Receives the configuration, the targets and the list of control nodes from
// all control nodes.

#ifndef PLUGINS_GATEWAY_CONTROL_FOLLOWER_H_
#define PLUGINS_GATEWAY_CONTROL_FOLLOWER_H_

#include <boost/json/value.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "libs/links/link_client.h"
#include "libs/telemetry/log.h"
#include "libs/traffic/configuration_fetch.h"
#include "libs/traffic/header_names.h"
#include "libs/traffic/watch_codec.h"
#include "plugins/gateway/gateway_state.h"

namespace bilberryspool::gateway {

// Keeps a long-polling query open at each known control node. Runs in the
// gateway's loop, with one fiber per control node.
class ControlFollower {
 public:
  ControlFollower(net::NetworkLoop& loop,
                  std::shared_ptr<const net::LinkAuthenticator> authenticator,
                  GatewayState& state,
                  std::string name,
                  traffic::ConfigurationReader read_configuration);

  // Starts to follow the control nodes that are not followed yet.
  void Follow(const std::vector<net::Endpoint>& nodes);

  // Whether the configuration in force may be served. A process that has just
  // started must not serve an older configuration than the one that was in
  // force before, so it waits for an answer of the leader or for
  // kLeaderWaitTimeout.
  bool is_current(TimePoint now) const;
  std::size_t reachable_nodes() const { return reachable_.size(); }

  // Calls all reachable control nodes and returns without waiting for them. A
  // call that fails is repeated once.
  void CallAll(const std::string& method, const boost::json::value& params);
  // Calls the reachable control node that ranks first for `key`, and the second
  // one if the first does not answer. Gateways that reach the same nodes choose
  // the same node. Returns nothing if neither answers. `make_params` is called
  // with the rank of the called node, starting at 0. Suspends the calling
  // fiber.
  std::optional<boost::json::value> CallOne(
      const std::string& key,
      const std::string& method,
      const std::function<boost::json::value(std::size_t rank)>& make_params);

 private:
  struct Node {
    net::Endpoint endpoint;
    std::uint64_t boot = 0;
    std::uint64_t revision = 0;
    // The newest configuration version that the node has reported.
    std::uint64_t reported_version = 0;
    std::uint64_t reported_bytes = 0;  // size of its text
    bool is_leader = false;
    std::uint64_t slow_revision = 0;
    std::uint64_t quarantine_revision = 0;
    std::uint64_t limits_revision = 0;
    std::uint64_t evacuation_revision = 0;
    std::uint64_t group_loads_revision = 0;
    std::uint64_t seat_count = 0;
    bool is_seat_confirmed = false;
    bool is_reachable = false;
    TimePoint last_response_at;
  };

  void Run(const std::shared_ptr<Node>& node);
  // Sends one "control.watch" query and applies the answer. Returns false if
  // the node did not answer.
  bool SendWatchQuery(Node& node, bool wants_configuration);
  // Fetches the configuration that the node has reported, if this node is the
  // one to fetch it from.
  void FetchConfiguration(Node& node);
  // Whether the node is the home node of this gateway: the reachable node from
  // which it fetches configurations by preference. Gateways have different home
  // nodes.
  bool is_home_node(const Node& node) const;
  // The `count` reachable nodes that rank highest for `key`, highest first.
  std::vector<net::Endpoint> RankReachable(std::string_view key,
                                           std::size_t count) const;
  // Returns false if the node did not answer.
  bool CallNode(const net::Endpoint& node,
                const std::string& method,
                const boost::json::value& params);
  std::uint64_t version_in_force() const;
  // Applies the answer of a control node to the gateway's state.
  void Adopt(Node& node,
             const traffic::WatchAnswer& answer,
             const std::vector<traffic::TargetRecord>& targets);
  void AdoptEvacuations(const evacuation::EvacuationState& reported);
  // Puts the configuration of the answer in force if it is newer than the
  // present one.
  void AdoptConfiguration(const traffic::WatchAnswer& answer);

  net::NetworkLoop& loop_;
  links::LinkClient client_;
  GatewayState& state_;
  std::string name_;
  traffic::ConfigurationReader read_configuration_;
  telemetry::Logger log_;
  std::set<net::Endpoint> followed_;
  std::set<net::Endpoint> reachable_;
  std::set<net::Endpoint> members_;
  TimePoint started_at_;
  traffic::ConfigurationFetch configuration_fetch_{
      traffic::ConfigurationFetchOptions{}};
  bool has_leader_responded_ = false;
};

}  // namespace bilberryspool::gateway

#endif  // PLUGINS_GATEWAY_CONTROL_FOLLOWER_H_
