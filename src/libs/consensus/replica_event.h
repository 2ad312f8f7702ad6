// Events that the hosting code passes to a replica.

#ifndef LIBS_CONSENSUS_REPLICA_EVENT_H_
#define LIBS_CONSENSUS_REPLICA_EVENT_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "libs/consensus/message.h"

namespace bilberryspool::consensus {

// Matches an outcome with its request; chosen by the host.
using RequestTicket = StrongNumber<struct RequestTicketTag>;
// Sequence number of the writes that a replica requests.
using PersistTicket = StrongNumber<struct PersistTicketTag>;

// A deadline has passed; also the first event after a start.
struct Tick {};

struct MessageReceived {
  Message message;
};

// The write with this ticket and all earlier writes are synced to disk.
struct Persisted {
  PersistTicket ticket;
};

// Requests that a command is appended to the log.
struct Propose {
  RequestTicket ticket;
  std::string bytes;
};

// Requests a change of membership.
struct ChangeMembership {
  RequestTicket ticket;
  MembershipChange change;
};

// Requests a read index: a reader that has applied it sees everything that was
// accepted before the request.
struct ReadBarrier {
  RequestTicket ticket;
};

// The application has serialized its state as of the applied index `index`.
struct SnapshotTaken {
  LogIndex index;
  std::string data;
};

// Asks the leader to transfer leadership, before a planned stop.
struct TransferLeadership {};

// Other nodes that run replicas. A replica with a new folder sends Hello to
// these as well, because the leader may not be among the configured nodes.
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
