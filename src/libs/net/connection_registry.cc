#include "libs/net/connection_registry.h"

#include <algorithm>
#include <utility>

namespace bilberryspool::net {

ConnectionId ConnectionRegistry::Add(Evict evict, TimePoint now) {
  const ConnectionId id = budget_.Add(now);
  evictions_.emplace(id, std::move(evict));
  EvictExcess(now);
  return id;
}

void ConnectionRegistry::Remove(ConnectionId id) {
  budget_.Remove(id);
  evictions_.erase(id);
}

void ConnectionRegistry::Enter(ConnectionId id,
                               ConnectionPhase phase,
                               TimePoint now) {
  budget_.Enter(id, phase, now);
}

void ConnectionRegistry::Hold(ConnectionId id,
                              std::size_t bytes,
                              TimePoint now) {
  budget_.Hold(id, bytes);
  EvictExcess(now);
}

void ConnectionRegistry::ReserveDescriptors(TimePoint now) {
  constexpr std::size_t kMinConnections = 16;
  const std::size_t open = budget_.size();
  budget_.LimitConnections(std::max(open - open / 4, kMinConnections));
  EvictExcess(now);
}

void ConnectionRegistry::EvictExcess(TimePoint now) {
  while (const auto excess = budget_.FindExcess(now)) {
    const auto found = evictions_.find(*excess);
    const Evict evict = std::move(found->second);
    Remove(*excess);
    ++evicted_;
    evict();
  }
}

}  // namespace bilberryspool::net
