// Bounds what all connections of a process hold together.
//
// A client alone decides how much of a request it sends and when the rest
// follows, so the limits of one connection don't bound the sum. Where the sum
// is over its limit, this decides which connection is closed. Pure: `now` is an
// argument.

#ifndef LIBS_NET_CONNECTION_BUDGET_H_
#define LIBS_NET_CONNECTION_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "libs/base/strong_type.h"
#include "libs/base/time.h"

namespace bilberryspool::net {

using ConnectionId = StrongNumber<struct ConnectionIdTag>;

enum class ConnectionPhase {
  kWaiting,   // for the first byte of a request
  kReading,   // a request that is not whole
  kHandling,  // a request that is whole, or a stream; never closed
  kSending,   // a whole answer; closed after kMaxSending only
};

struct ConnectionBudgetOptions {
  // What all connections may hold: what they have read, and
  // kConnectionBytes each.
  std::size_t max_bytes = 256UL * 1024 * 1024;
  std::size_t max_connections = 100'000;
};

// Options for a process that may take `memory_mb` MB in all.
ConnectionBudgetOptions BudgetForMemory(double memory_mb);

class ConnectionBudget {
 public:
  // Stack, socket and buffers of a connection that holds nothing else.
  static constexpr std::size_t kConnectionBytes = 24UL * 1024;

  // A client that has not taken its answer for so long may be closed.
  static constexpr Duration kMaxSending = Seconds(5);

  explicit ConnectionBudget(ConnectionBudgetOptions options)
      : options_(options) {}

  // A new connection, which waits.
  ConnectionId Add(TimePoint now);
  void Remove(ConnectionId id);
  void Enter(ConnectionId id, ConnectionPhase phase, TimePoint now);
  // Sets what the connection holds besides kConnectionBytes.
  void Hold(ConnectionId id, std::size_t bytes);

  // The connection to close next; nothing if all fit, or if each one that is
  // left has a request in progress. Of those that hold no less than the mean,
  // the one that has waited longest for its client: an ordinary request is
  // whole soon after its first byte, and small. Where there are too many
  // connections, one that has had no answer yet.
  std::optional<ConnectionId> FindExcess(TimePoint now) const;

  // Whether the request of the connection may be handled. Long requests leave
  // a part of the bytes to short ones, also where no target answers for long.
  bool MayHandle(ConnectionId id) const;
  // The longest request that is ever handled, in bytes.
  std::size_t max_request_bytes() const { return max_long_bytes() / 2; }

  // Lowers the limit on connections, for good.
  void LimitConnections(std::size_t max_connections);

  std::size_t held_bytes() const { return held_bytes_; }
  std::size_t size() const { return connections_.size(); }

 private:
  struct Connection {
    ConnectionPhase phase = ConnectionPhase::kWaiting;
    TimePoint since;
    std::size_t bytes = kConnectionBytes;
    bool was_handled = false;
  };

  static bool MayClose(const Connection& connection, TimePoint now);
  static bool IsInProgress(const Connection& connection);
  std::optional<ConnectionId> FindSuperfluous(TimePoint now) const;
  std::optional<ConnectionId> FindLong(TimePoint now) const;
  std::size_t max_long_bytes() const;

  ConnectionBudgetOptions options_;
  std::map<ConnectionId, Connection> connections_;
  ConnectionId last_id_;
  std::size_t held_bytes_ = 0;
  // The part of it of requests in progress, answers included.
  std::size_t handled_bytes_ = 0;
};

}  // namespace bilberryspool::net

#endif  // LIBS_NET_CONNECTION_BUDGET_H_
