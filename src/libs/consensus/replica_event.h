// What the shell tells a replica.

#ifndef LIBS_CONSENSUS_REPLICA_EVENT_H_
#define LIBS_CONSENSUS_REPLICA_EVENT_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "libs/consensus/message.h"

namespace bilberryspool::consensus {

// Matches an outcome with its request; chosen by the shell.
using RequestTicket = StrongNumber<struct RequestTicketTag>;
// Counts the writes that a replica asks for.
using PersistTicket = StrongNumber<struct PersistTicketTag>;

// A deadline passed; also the first event after a start.
struct Tick {};

struct MessageReceived {
  Message message;
};

// The write with this ticket, and each one before it, is synced.
struct Persisted {
  PersistTicket ticket;
};

// Asks for a command to be added to the log.
struct Propose {
  RequestTicket ticket;
  std::string bytes;
};

// Asks for a change of membership.
struct ChangeMembership {
  RequestTicket ticket;
  MembershipChange change;
};

// Asks for an index: a reader that has applied it sees everything that was
// accepted before it asked.
struct ReadBarrier {
  RequestTicket ticket;
};

// The application wrote its state after `index`, an index that was applied.
struct SnapshotTaken {
  LogIndex index;
  std::string data;
};

// Asks the leader to hand over, before a planned stop.
struct TransferLeadership {};

// Further nodes that hold replicas. A replica with a new folder makes itself
// known to these as well: the leader may be none of those it was told of.
struct PeersLearned {
  std::vector<NodeId> peers;
};

using Event = std::variant<Tick,
                           MessageReceived,
                           Persisted,
                           Propose,
                           ChangeMembership,
                           ReadBarrier,
                           SnapshotTaken,
                           TransferLeadership,
                           PeersLearned>;

}  // namespace bilberryspool::consensus

#endif  // LIBS_CONSENSUS_REPLICA_EVENT_H_
