// Which control node passes the next order about a hold on.
//
// While a step is held the whole group depends on whoever can release it. A VM
// beside an engine that freezes takes its engine along, which can't be reached
// until it wakes: where that VM had just passed the hold on, the group stood
// still for the whole freeze of 4 s. The loss of the node that leads costs an
// election. The loss of another control node costs nothing, so the two orders
// about a hold go by way of one of those: in turn, so that the release does not
// wait for the one that has just passed the hold on, and past those that
// failed.
//
// Pure.

#ifndef PLUGINS_CONTROL_NODE_ORDER_HELPERS_H_
#define PLUGINS_CONTROL_NODE_ORDER_HELPERS_H_

#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

#include "libs/net/endpoint.h"
#include "libs/net/http_status.h"

namespace bilberryspool::control_node {

// What the status that a helper answered says; 0: it did not answer.
enum class RelayResult {
  kAnswered,      // the engine's own answer
  kEngineSilent,  // the helper is well, its engine did not answer it
  kHelperFailed,  // out of reach, or it does not know the engine
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
  // The other control nodes that answer; one that failed may be among them
  // again.
  void Set(std::vector<net::Endpoint> nodes) { nodes_ = std::move(nodes); }

  // Nothing where there is none: the order then goes the usual way.
  std::optional<net::Endpoint> Next() {
    if (nodes_.empty()) {
      return std::nullopt;
    }
    return nodes_[next_index_++ % nodes_.size()];
  }

  // What became of an order by way of `node`. An engine that leaves orders
  // unanswered says nothing against whoever passed them on: were that node left
  // out too, two lost orders would lead back to the VM beside the engine.
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
