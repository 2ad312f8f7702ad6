// Follows all control nodes: configuration, targets, and the nodes themselves.

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
#include "libs/traffic/text_fetch.h"
#include "libs/traffic/watch_codec.h"
#include "libs/traffic/wire_dialect.h"
#include "plugins/gateway/gateway_state.h"

namespace bilberryspool::gateway {

// Runs in the gateway's loop; one fiber for each control node that is known.
class ControlFollower {
 public:
  ControlFollower(net::NetworkLoop& loop,
                  std::shared_ptr<const net::LinkAuthenticator> authenticator,
                  GatewayState& state,
                  std::string name,
                  traffic::ConfigurationReader read_configuration);

  // Adds control nodes to follow; those that are followed already go on.
  void Follow(const std::vector<net::Endpoint>& nodes);

  // Whether the configuration in force is known not to be an old one: a
  // process that starts anew must not serve by less than was in force before.
  bool is_current(TimePoint now) const;
  std::size_t reachable_nodes() const { return reachable_.size(); }

  // Calls all control nodes that can be reached; does not wait for them. Each
  // is called once more where it does not answer.
  void CallAll(const std::string& method, const boost::json::value& params);
  // Calls one, the same for the same `key` at all gateways that reach the same
  // nodes, or else the next; nothing where neither answers. `make_params` gets
  // the rank of the node that is asked, from 0.
  std::optional<boost::json::value> CallOne(
      const std::string& key,
      const std::string& method,
      const std::function<boost::json::value(std::size_t rank)>& make_params);

 private:
  struct Node {
    net::Endpoint endpoint;
    std::uint64_t boot = 0;
    std::uint64_t revision = 0;
    // The newest configuration that the node has told of.
    std::uint64_t reported_version = 0;
    std::uint64_t reported_bytes = 0;  // of its text
    bool is_leader = false;
    std::uint64_t slow_revision = 0;
    std::uint64_t quarantine_revision = 0;
    std::uint64_t limits_revision = 0;
    bool is_reachable = false;
    TimePoint last_response_at;
  };

  void Run(const std::shared_ptr<Node>& node);
  // False where the node did not answer.
  bool SendWatchQuery(Node& node, bool wants_configuration);
  // Asks the node for the text of the configuration that it told of, where it
  // is the one to ask.
  void FetchConfiguration(Node& node);
  // Of the nodes that this gateway reaches, the one for its own texts; another
  // one for each gateway.
  bool is_home_node(const Node& node) const;
  // The reachable nodes that are best for `key`, best first.
  std::vector<net::Endpoint> RankReachable(std::string_view key,
                                           std::size_t count) const;
  bool CallNode(const net::Endpoint& node,
                const std::string& method,
                const boost::json::value& params);
  std::uint64_t version_in_force() const;
  void Adopt(Node& node,
             const traffic::WatchAnswer& answer,
             const std::vector<traffic::TargetRecord>& targets);
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
  traffic::TextFetch configuration_fetch_{traffic::TextFetchOptions{}};
  bool has_leader_responded_ = false;
};

}  // namespace bilberryspool::gateway

#endif  // PLUGINS_GATEWAY_CONTROL_FOLLOWER_H_
