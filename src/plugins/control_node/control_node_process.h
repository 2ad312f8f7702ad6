// A control node: a replica of the control state that serves operators, targets
// and gateways, but no callers.

#ifndef PLUGINS_CONTROL_NODE_CONTROL_NODE_PROCESS_H_
#define PLUGINS_CONTROL_NODE_CONTROL_NODE_PROCESS_H_

#include <functional>

#include "libs/net/http_server.h"
#include "libs/settings/settings.h"
#include "libs/traffic/header_names.h"
#include "plugins/sidecar/engine_protocol.h"

namespace bilberryspool::control_node {

class ControlNode;

// The protocols of operators, targets and engines; chosen by the application.
struct ControlInterface {
  traffic::ConfigurationReader read_configuration;
  std::function<net::HttpHandler(ControlNode&)> make_handler;
  sidecar::EngineProtocol engines;
};

// Runs until a stop signal. Returns the exit status, which is 1 if the node
// can't start.
int RunControlNode(const settings::CommonSettings& common,
                   const settings::ControlSettings& settings,
                   const ControlInterface& interface);

}  // namespace bilberryspool::control_node

#endif  // PLUGINS_CONTROL_NODE_CONTROL_NODE_PROCESS_H_
