// Tells gateways what changes: configuration, targets, control nodes.

#ifndef PLUGINS_CONTROL_NODE_WATCH_SERVICE_H_
#define PLUGINS_CONTROL_NODE_WATCH_SERVICE_H_

#include <boost/json/value.hpp>
#include <map>
#include <optional>
#include <string>

#include "libs/links/link_server.h"
#include "libs/net/network_loop.h"
#include "libs/traffic/watch_codec.h"
#include "plugins/control_node/control_node.h"
#include "plugins/control_node/target_updates.h"

namespace bilberryspool::control_node {

// A gateway calls "control.watch" with what it knows and gets an answer as
// soon as there is something else, or after a while without.
class WatchService {
 public:
  WatchService(net::NetworkLoop& loop, ControlNode& node)
      : loop_(loop), node_(node) {}

  void Register(links::LinkServer& server);

 private:
  using Json = boost::json::value;

  std::optional<Json> OnWatch(const Json& params);

  void RecordGateway(const traffic::WatchQuery& query);
  // Forgets those that have not asked for long.
  std::size_t CountGateways(TimePoint now);
  // Divides the limits of targets among the gateways that are known now.
  void ShareLimits();
  // How long news of targets are gathered before they are told.
  Duration BatchingDelay() const;

  net::NetworkLoop& loop_;
  ControlNode& node_;
  TargetUpdates target_updates_;
  // When each gateway last asked, by name.
  std::map<std::string, TimePoint> gateways_;
};

}  // namespace bilberryspool::control_node

#endif  // PLUGINS_CONTROL_NODE_WATCH_SERVICE_H_
