// What operators see of requests that end targets, and can do about them.

#ifndef PLUGINS_CONTROL_NODE_QUARANTINE_SERVICE_H_
#define PLUGINS_CONTROL_NODE_QUARANTINE_SERVICE_H_

#include "libs/net/http_server.h"
#include "libs/telemetry/metrics.h"
#include "plugins/control_node/control_node.h"

namespace bilberryspool::control_node {

// On the metrics address of a control node:
//
//     GET /quarantine            what is held against which request, as JSON
//     DELETE /quarantine/CONTENT lets that one pass: 200, or 404 where nothing
//                                is held against it at this node
class QuarantineService {
 public:
  explicit QuarantineService(ControlNode& node) : node_(node) {}

  // False where the request is for something else.
  bool Serve(net::HttpExchange& exchange);
  void SetMetrics(telemetry::Registry& metrics);

 private:
  void ServeList(net::HttpExchange& exchange);
  void ServeRelease(net::HttpExchange& exchange, std::string_view content);

  ControlNode& node_;
};

}  // namespace bilberryspool::control_node

#endif  // PLUGINS_CONTROL_NODE_QUARANTINE_SERVICE_H_
