// Shows operators which failure domains are evacuated.

#ifndef PLUGINS_CONTROL_NODE_EVACUATION_SERVICE_H_
#define PLUGINS_CONTROL_NODE_EVACUATION_SERVICE_H_

#include "libs/net/http_server.h"
#include "libs/telemetry/metrics.h"
#include "plugins/control_node/control_node.h"

namespace bilberryspool::control_node {

// HTTP interface on the metrics address of a control node:
//
//     GET /evacuations           the evacuated failure domains, as JSON
//     POST /evacuations/DOMAIN   evacuates that domain
//     DELETE /evacuations/DOMAIN withdraws its evacuation
//
// An order is answered with 200 once it is in force, or with 503 if that is not
// known; it may be sent again.
class EvacuationService {
 public:
  explicit EvacuationService(ControlNode& node) : node_(node) {}

  // Returns false if the request is for something else.
  bool Serve(net::HttpExchange& exchange);
  void SetMetrics(telemetry::Registry& metrics);

 private:
  ControlNode& node_;
  // Domains that were evacuated at an earlier call of SetMetrics().
  std::set<FailureDomain> measured_;
};

// Carries out an order for the operator of `exchange` and answers it.
void ServeEvacuationOrder(ControlNode& node,
                          net::HttpExchange& exchange,
                          const EvacuationOrder& order);

}  // namespace bilberryspool::control_node

#endif  // PLUGINS_CONTROL_NODE_EVACUATION_SERVICE_H_
