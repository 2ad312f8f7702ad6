#include "libs/net/connection_budget.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bilberryspool::net {

ConnectionBudgetOptions BudgetForMemory(double memory_mb) {
  // The process itself, and answers that it keeps until they are whole.
  constexpr double kOtherMb = 40.0;
  constexpr double kMinMb = 16.0;
  // The rest is for blocks of the heap that are free but not returned, and for
  // bodies that are moved as they grow.
  constexpr double kHeldPart = 0.6;
  constexpr double kBytesPerMb = 1e6;
  ConnectionBudgetOptions options;
  options.max_bytes = static_cast<std::size_t>(std::llround(
      std::max((memory_mb - kOtherMb) * kHeldPart, kMinMb) * kBytesPerMb));
  return options;
}

ConnectionId ConnectionBudget::Add(TimePoint now) {
  last_id_ = last_id_.Next();
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
  const Connection& connection = found->second;
  held_bytes_ -= connection.bytes;
  if (IsInProgress(connection)) {
    handled_bytes_ -= connection.bytes;
  }
  connections_.erase(found);
}

void ConnectionBudget::Enter(ConnectionId id,
                             ConnectionPhase phase,
                             TimePoint now) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) {
    return;
  }
  Connection& connection = found->second;
  if (IsInProgress(connection)) {
    handled_bytes_ -= connection.bytes;
  }
  connection.phase = phase;
  if (IsInProgress(connection)) {
    handled_bytes_ += connection.bytes;
    connection.was_handled = true;
  }
  connection.since = now;
}

void ConnectionBudget::Hold(ConnectionId id, std::size_t bytes) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) {
    return;
  }
  Connection& connection = found->second;
  const std::size_t before = connection.bytes;
  connection.bytes = kConnectionBytes + bytes;
  held_bytes_ += connection.bytes - before;
  if (IsInProgress(connection)) {
    handled_bytes_ += connection.bytes - before;
  }
}

bool ConnectionBudget::MayClose(const Connection& connection, TimePoint now) {
  return !IsInProgress(connection) ||
         (connection.phase == ConnectionPhase::kSending &&
          now - connection.since >= kMaxSending);
}

bool ConnectionBudget::IsInProgress(const Connection& connection) {
  return connection.phase == ConnectionPhase::kHandling ||
         connection.phase == ConnectionPhase::kSending;
}

std::optional<ConnectionId> ConnectionBudget::FindExcess(TimePoint now) const {
  if (connections_.size() > options_.max_connections) {
    return FindSuperfluous(now);
  }
  if (held_bytes_ > options_.max_bytes) {
    return FindLong(now);
  }
  return std::nullopt;
}

std::optional<ConnectionId> ConnectionBudget::FindSuperfluous(
    TimePoint now) const {
  std::optional<ConnectionId> excess;
  std::pair<bool, TimePoint> rank;
  for (const auto& [id, connection] : connections_) {
    const std::pair candidate(connection.was_handled, connection.since);
    if (!MayClose(connection, now) ||
        (excess.has_value() && candidate >= rank)) {
      continue;
    }
    excess = id;
    rank = candidate;
  }
  return excess;
}

std::optional<ConnectionId> ConnectionBudget::FindLong(TimePoint now) const {
  std::size_t bytes = 0;
  std::size_t count = 0;
  for (const auto& [id, connection] : connections_) {
    if (!MayClose(connection, now)) {
      continue;
    }
    bytes += connection.bytes;
    ++count;
  }
  std::optional<ConnectionId> excess;
  TimePoint since;
  for (const auto& [id, connection] : connections_) {
    if (!MayClose(connection, now) || connection.bytes * count < bytes) {
      continue;
    }
    if (!excess.has_value() || connection.since < since) {
      excess = id;
      since = connection.since;
    }
  }
  return excess;
}

bool ConnectionBudget::MayHandle(ConnectionId id) const {
  // A request that is no longer than this is never refused.
  constexpr std::size_t kShortBytes = 64UL * 1024;
  const auto found = connections_.find(id);
  return found != connections_.end() &&
         (found->second.bytes <= kConnectionBytes + kShortBytes ||
          handled_bytes_ + found->second.bytes <= max_long_bytes());
}

void ConnectionBudget::LimitConnections(std::size_t max_connections) {
  options_.max_connections =
      std::min(options_.max_connections, max_connections);
}

std::size_t ConnectionBudget::max_long_bytes() const {
  return options_.max_bytes / 4 * 3;
}

}  // namespace bilberryspool::net
