// Lets operators list and release requests in quarantine.

#ifndef PLUGINS_CONTROL_NODE_QUARANTINE_SERVICE_H_
#define PLUGINS_CONTROL_NODE_QUARANTINE_SERVICE_H_

#include "libs/net/http_server.h"
#include "libs/telemetry/metrics.h"
#include "plugins/control_node/control_node.h"

namespace bilberryspool::control_node {

// HTTP interface on the metrics address of a control node:
//
//     GET /quarantine            the requests in quarantine, as JSON
//     DELETE /quarantine/CONTENT releases that request: 200, or 404 if it is
//                                not in quarantine at this node
class QuarantineService {
 public:
  explicit QuarantineService(ControlNode& node) : node_(node) {}

  // Returns false if the request is for something else.
  bool Serve(net::HttpExchange& exchange);
  void SetMetrics(telemetry::Registry& metrics);

 private:
  void ServeList(net::HttpExchange& exchange);
  void ServeRelease(net::HttpExchange& exchange, std::string_view content);

  ControlNode& node_;
};

}  // namespace bilberryspool::control_node

#endif  // PLUGINS_CONTROL_NODE_QUARANTINE_SERVICE_H_
