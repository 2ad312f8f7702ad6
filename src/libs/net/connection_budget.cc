#include "libs/net/connection_budget.h"

namespace bilberryspool::net {

ConnectionId ConnectionBudget::Add(TimePoint now) {
  last_id_ = ConnectionId(last_id_.value() + 1);
  Connection connection;
  connection.since = now;
  held_bytes_ += connection.bytes;
  connections_.emplace(last_id_, connection);
  return last_id_;
}

void ConnectionBudget::Remove(ConnectionId id) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) {
    return;
  }
  held_bytes_ -= found->second.bytes;
  connections_.erase(found);
}

void ConnectionBudget::Enter(ConnectionId id,
                             ConnectionPhase phase,
                             TimePoint now) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) {
    return;
  }
  found->second.phase = phase;
  found->second.since = now;
}

void ConnectionBudget::Hold(ConnectionId id, std::size_t bytes) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) {
    return;
  }
  held_bytes_ -= found->second.bytes;
  found->second.bytes = kConnectionBytes + bytes;
  held_bytes_ += found->second.bytes;
}

std::optional<ConnectionId> ConnectionBudget::FindExcess() const {
  if (held_bytes_ <= options_.max_bytes) {
    return std::nullopt;
  }
  std::size_t bytes = 0;
  std::size_t count = 0;
  for (const auto& [id, connection] : connections_) {
    if (connection.phase == ConnectionPhase::kHandling) {
      continue;
    }
    bytes += connection.bytes;
    ++count;
  }
  std::optional<ConnectionId> excess;
  TimePoint since;
  for (const auto& [id, connection] : connections_) {
    if (connection.phase == ConnectionPhase::kHandling ||
        connection.bytes * count < bytes) {
      continue;
    }
    if (!excess.has_value() || connection.since < since) {
      excess = id;
      since = connection.since;
    }
  }
  return excess;
}

}  // namespace bilberryspool::net
