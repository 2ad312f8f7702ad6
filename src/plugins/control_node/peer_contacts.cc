#include "plugins/control_node/peer_contacts.h"

#include <algorithm>

namespace bilberryspool::control_node {

namespace {

// Interval at which a node is polled that did not respond to the last poll.
constexpr Duration kFailedPollInterval = Milliseconds(250);
// Nodes are polled once a second and may take half a second to respond.
constexpr Duration kMaxResponseAge = Milliseconds(1600);

}  // namespace

bool PeerContacts::StartPoll(const net::Endpoint& node,
                             Duration interval,
                             TimePoint now) {
  Contact& contact = contacts_[node];
  const Duration due_after =
      contact.has_failed ? std::min(interval, kFailedPollInterval) : interval;
  if (contact.is_in_flight ||
      (contact.polled_at.has_value() && now - *contact.polled_at < due_after)) {
    return false;
  }
  contact.is_in_flight = true;
  contact.polled_at = now;
  return true;
}

void PeerContacts::OnResponse(const net::Endpoint& node, TimePoint now) {
  Contact& contact = contacts_[node];
  contact.is_in_flight = false;
  contact.has_failed = false;
  contact.responded_at = now;
}

void PeerContacts::OnFailure(const net::Endpoint& node) {
  Contact& contact = contacts_[node];
  contact.is_in_flight = false;
  contact.has_failed = true;
}

std::vector<net::Endpoint> PeerContacts::Responding(TimePoint now) const {
  std::vector<net::Endpoint> nodes;
  for (const auto& [node, contact] : contacts_) {
    if (contact.responded_at.has_value() &&
        now - *contact.responded_at < kMaxResponseAge) {
      nodes.push_back(node);
    }
  }
  return nodes;
}

}  // namespace bilberryspool::control_node
