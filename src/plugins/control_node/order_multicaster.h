// Sends one order to several ranks of a group at once.
//
// A new map is large. Sent by the leader to each of hundreds of ranks, it
// saturates the leader's link, and all its other calls time out meanwhile. When
// the control nodes near the ranks multicast it, the leader sends it only a few
// times, and compressed.

#ifndef PLUGINS_CONTROL_NODE_ORDER_MULTICASTER_H_
#define PLUGINS_CONTROL_NODE_ORDER_MULTICASTER_H_

#include <cstdint>
#include <memory>

#include "libs/groups/rank_round.h"
#include "libs/net/http_server.h"
#include "libs/net/network_loop.h"
#include "libs/telemetry/log.h"
#include "plugins/control_node/engine_calls.h"
#include "plugins/sidecar/engine_protocol.h"

namespace bilberryspool::control_node {

// Runs in the control loop. Has no state.
class OrderMulticaster {
 public:
  OrderMulticaster(net::NetworkLoop& loop,
                   EngineCalls& calls,
                   const sidecar::EngineProtocol& protocol)
      : loop_(loop), calls_(calls), protocol_(protocol), log_("groups") {}

  // Whether a request of another control node is a groups::MulticastOrder.
  static bool Handles(const net::HttpRequest& request);
  static net::HttpRequest RequestFor(const groups::MulticastOrder& order);

  // Blocks the calling fiber until all ranks have answered or timed out. A
  // guarded order is in transit to a few ranks at a time, so that each rank's
  // reply to the poll is followed by its order immediately.
  groups::MulticastResult Multicast(const groups::MulticastOrder& order);
  // Like Multicast(), for another control node; responds with 400 if the order
  // can't be parsed.
  void Answer(net::HttpExchange& exchange);

  // Maximum duration of Multicast().
  static Duration TimeoutFor(const groups::MulticastOrder& order);

 private:
  struct Multicasting;

  void SendToNext(const std::shared_ptr<Multicasting>& state);
  std::uint32_t SendTo(const Multicasting& state, const net::Endpoint& engine);
  std::uint32_t SendGuarded(Multicasting& state, const net::Endpoint& engine);
  int SendRepeated(const Multicasting& state, const net::Endpoint& engine);
  void LogGuarded(const Multicasting& state, Duration took) const;

  net::NetworkLoop& loop_;
  EngineCalls& calls_;
  const sidecar::EngineProtocol& protocol_;
  telemetry::Logger log_;
};

}  // namespace bilberryspool::control_node

#endif  // PLUGINS_CONTROL_NODE_ORDER_MULTICASTER_H_
