// Knows which other control nodes respond, and when each of them is to be
// polled.
//
// Only nodes that respond read ranks and relay orders for the leader. A node
// that was cut off or restarted must be one of them again soon: until then the
// others do its share, and each order to all ranks of a group takes longer.
// Nodes that do not respond are therefore polled more often than the others.
//
// Pure: no I/O and no clock.

#ifndef PLUGINS_CONTROL_NODE_PEER_CONTACTS_H_
#define PLUGINS_CONTROL_NODE_PEER_CONTACTS_H_

#include <map>
#include <optional>
#include <vector>

#include "libs/base/time.h"
#include "libs/net/endpoint.h"

namespace bilberryspool::control_node {

class PeerContacts {
 public:
  // Returns whether the node is due; it then counts as polled until
  // OnResponse() or OnFailure(). `interval` applies to nodes that respond.
  bool StartPoll(const net::Endpoint& node, Duration interval, TimePoint now);
  void OnResponse(const net::Endpoint& node, TimePoint now);
  void OnFailure(const net::Endpoint& node);
  // Returns the nodes that responded recently.
  std::vector<net::Endpoint> Responding(TimePoint now) const;

 private:
  struct Contact {
    bool is_in_flight = false;
    bool has_failed = false;  // the last poll
    std::optional<TimePoint> polled_at;
    std::optional<TimePoint> responded_at;
  };

  std::map<net::Endpoint, Contact> contacts_;
};

}  // namespace bilberryspool::control_node

#endif  // PLUGINS_CONTROL_NODE_PEER_CONTACTS_H_
