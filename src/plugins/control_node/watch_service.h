// Notifies gateways of changes to the configuration, targets and control nodes.

#ifndef PLUGINS_CONTROL_NODE_WATCH_SERVICE_H_
#define PLUGINS_CONTROL_NODE_WATCH_SERVICE_H_

#include <boost/json/value.hpp>
#include <map>
#include <optional>
#include <string>

#include "libs/links/link_server.h"
#include "libs/net/network_loop.h"
#include "libs/traffic/gateway_census.h"
#include "libs/traffic/watch_codec.h"
#include "plugins/control_node/control_node.h"
#include "plugins/control_node/target_updates.h"

namespace bilberryspool::control_node {

// A gateway calls "control.watch" with the state that it knows, and gets an
// answer as soon as there is a change, or after a timeout.
class WatchService {
 public:
  WatchService(net::NetworkLoop& loop, ControlNode& node);

  void Register(links::LinkServer& server);

 private:
  using Json = boost::json::value;

  std::optional<Json> OnWatch(const Json& params);

  void RecordGateway(const traffic::WatchQuery& query);
  // Removes gateways that have not sent a request for a long time, and returns
  // the number of the others.
  std::size_t CountGateways(TimePoint now);
  // Divides the limits of targets among the gateways that are known now.
  void ShareLimits();
  // How long changes of targets are collected before they are sent.
  Duration BatchingDelay() const;

  net::NetworkLoop& loop_;
  ControlNode& node_;
  TargetUpdates target_updates_;
  // When each gateway last sent a request, by name.
  std::map<std::string, TimePoint> gateways_;
  traffic::GatewayCensus census_;
};

}  // namespace bilberryspool::control_node

#endif  // PLUGINS_CONTROL_NODE_WATCH_SERVICE_H_
