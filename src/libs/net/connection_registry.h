// The open connections of a process, and what closes those that its
// ConnectionBudget has no room for.

#ifndef LIBS_NET_CONNECTION_REGISTRY_H_
#define LIBS_NET_CONNECTION_REGISTRY_H_

#include <cstdint>
#include <functional>
#include <map>

#include "libs/net/connection_budget.h"

namespace bilberryspool::net {

// Shared by the servers of one NetworkLoop; used on its thread only.
class ConnectionRegistry {
 public:
  // Closes a connection, or lets it refuse its request. Must not suspend.
  using Evict = std::function<void()>;

  explicit ConnectionRegistry(ConnectionBudgetOptions options)
      : budget_(options) {}

  ConnectionId Add(Evict evict, TimePoint now);
  void Remove(ConnectionId id);
  void Enter(ConnectionId id, ConnectionPhase phase, TimePoint now);
  // Sets what the connection holds, then evicts connections, this one perhaps,
  // until all fit.
  void Hold(ConnectionId id, std::size_t bytes, TimePoint now);
  // Called where the process has no descriptor left: from now on a quarter of
  // those that connections have now is left to calls to other processes.
  void ReserveDescriptors(TimePoint now);

  const ConnectionBudget& budget() const { return budget_; }
  // Connections evicted so far.
  std::uint64_t evicted() const { return evicted_; }

 private:
  void EvictExcess(TimePoint now);

  ConnectionBudget budget_;
  std::map<ConnectionId, Evict> evictions_;
  std::uint64_t evicted_ = 0;
};

}  // namespace bilberryspool::net

#endif  // LIBS_NET_CONNECTION_REGISTRY_H_
