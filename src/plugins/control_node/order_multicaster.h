// Passes one order on to several ranks of a group, all at once.
//
// A new map is long. Sent by the leader to each of hundreds of ranks it fills
// the leader's link, and all its other calls time out meanwhile. Multicast by
// the control nodes near the ranks it leaves the leader a few times, and
// packed.

#ifndef PLUGINS_CONTROL_NODE_ORDER_MULTICASTER_H_
#define PLUGINS_CONTROL_NODE_ORDER_MULTICASTER_H_

#include "libs/groups/rank_round.h"
#include "libs/net/http_server.h"
#include "libs/net/network_loop.h"
#include "plugins/control_node/engine_calls.h"

namespace bilberryspool::control_node {

// Runs in the control loop. Keeps nothing.
class OrderMulticaster {
 public:
  OrderMulticaster(net::NetworkLoop& loop, EngineCalls& calls)
      : loop_(loop), calls_(calls) {}

  // Whether a request of another control node is a groups::WideOrder.
  static bool Handles(const net::HttpRequest& request);
  static net::HttpRequest RequestFor(const groups::WideOrder& order);

  // Blocks the calling fiber until all ranks have answered or were given up.
  groups::WideAnswer Multicast(const groups::WideOrder& order);
  // The same for another control node; 400 for what can't be read.
  void Answer(net::HttpExchange& exchange);

  // How long Multicast() may take.
  static Duration TimeoutFor(const groups::WideOrder& order);

 private:
  net::NetworkLoop& loop_;
  EngineCalls& calls_;
};

}  // namespace bilberryspool::control_node

#endif  // PLUGINS_CONTROL_NODE_ORDER_MULTICASTER_H_
