// Selects the control node that relays the next order about a hold.
//
// While a step is held, the whole group depends on the node that can release
// it. If the VM beside an engine freezes, its engine freezes too and can't be
// reached until the VM is awake: when that VM had just relayed the hold, the
// group was stalled for the whole freeze of 4 s. Losing the leader costs an
// election; losing any other control node costs nothing. Both orders about a
// hold therefore go through one of the other nodes: in turn, so that the
// release does not depend on the node that has just relayed the hold, and
// skipping nodes that failed.
//
// Pure: no I/O and no clock.

#ifndef PLUGINS_CONTROL_NODE_ORDER_HELPERS_H_
#define PLUGINS_CONTROL_NODE_ORDER_HELPERS_H_

#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

#include "libs/net/endpoint.h"
#include "libs/net/http_status.h"

namespace bilberryspool::control_node {

// Meaning of the status that a helper returned; 0: it did not respond.
enum class RelayResult {
  kAnswered,      // the engine's own answer
  kEngineSilent,  // the helper responded, the engine did not
  kHelperFailed,  // unreachable, or it does not know the engine
};

inline RelayResult ClassifyRelayStatus(int status) {
  if (status == 0 || status == net::status::kNotFound) {
    return RelayResult::kHelperFailed;
  }
  return status < net::status::kServerError ? RelayResult::kAnswered
                                            : RelayResult::kEngineSilent;
}

class OrderHelpers {
 public:
  // Sets the other control nodes that respond; a node that failed may be among
  // them again.
  void Set(std::vector<net::Endpoint> nodes) { nodes_ = std::move(nodes); }

  // Returns nothing if there is no other node; the order then takes the usual
  // path.
  std::optional<net::Endpoint> Next() {
    if (nodes_.empty()) {
      return std::nullopt;
    }
    return nodes_[next_index_++ % nodes_.size()];
  }

  // Handles the result of an order relayed by `node`. Only a failure of the
  // helper removes it: an engine that does not answer says nothing about the
  // helper. If helpers were removed for that as well, two lost orders would
  // lead back to the VM beside the engine.
  void OnRelayed(const net::Endpoint& node, RelayResult result) {
    if (result == RelayResult::kHelperFailed) {
      std::erase(nodes_, node);
    }
  }

 private:
  std::vector<net::Endpoint> nodes_;
  std::size_t next_index_ = 0;
};

}  // namespace bilberryspool::control_node

#endif  // PLUGINS_CONTROL_NODE_ORDER_HELPERS_H_
