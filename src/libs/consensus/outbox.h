#ifndef LIBS_CONSENSUS_OUTBOX_H_
#define LIBS_CONSENSUS_OUTBOX_H_

#include <vector>

#include "libs/consensus/replica_action.h"

namespace bilberryspool::consensus {

// What must be synced to disk before a message may be sent.
enum class SendAfter {
  // The term and vote.
  kHardState,
  // Everything written so far, the log included.
  kEverything,
};

// Numbers the disk writes and delays messages until the writes that they depend
// on are synced. If a vote or an acknowledgement was sent before its sync, a
// crash could lose it: the replica could then vote twice in a term, or an entry
// that counts as committed could be lost.
class Outbox {
 public:
  PersistTicket NextTicket() { return last_ticket_ = last_ticket_.Next(); }
  void NoteHardStateTicket(PersistTicket ticket) { hard_ticket_ = ticket; }

  // Queues a message. The next AssignTickets() determines the write that it
  // waits for.
  void Queue(Message message, SendAfter after);
  // Makes the messages queued since the last call wait for the writes requested
  // so far.
  void AssignTickets();
  void MarkPersisted(PersistTicket ticket);
  // Removes and returns the messages whose writes are synced.
  std::vector<Message> TakeSendable();

  // Whether the term and vote are synced to disk.
  bool is_hard_state_durable() const { return hard_ticket_ <= persisted_; }

 private:
  struct QueuedMessage {
    Message message;
    SendAfter after;
    PersistTicket ticket;
    bool has_ticket = false;
  };

  PersistTicket last_ticket_;
  PersistTicket hard_ticket_;
  PersistTicket persisted_;
  std::vector<QueuedMessage> queue_;
};

}  // namespace bilberryspool::consensus

#endif  // LIBS_CONSENSUS_OUTBOX_H_
