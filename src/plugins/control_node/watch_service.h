// Tells gateways what changes: configuration, targets, control nodes.

#ifndef PLUGINS_CONTROL_NODE_WATCH_SERVICE_H_
#define PLUGINS_CONTROL_NODE_WATCH_SERVICE_H_

#include <boost/json/value.hpp>
#include <optional>

#include "libs/links/link_server.h"
#include "plugins/control_node/control_node.h"

namespace bilberryspool::control_node {

// A gateway calls "control.watch" with what it knows and gets an answer as
// soon as there is something else, or after a while without.
class WatchService {
 public:
  explicit WatchService(ControlNode& node) : node_(node) {}

  void Register(links::LinkServer& server);

 private:
  using Json = boost::json::value;

  std::optional<Json> OnWatch(const Json& params);

  ControlNode& node_;
};

}  // namespace bilberryspool::control_node

#endif  // PLUGINS_CONTROL_NODE_WATCH_SERVICE_H_
