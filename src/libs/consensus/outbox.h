#ifndef LIBS_CONSENSUS_OUTBOX_H_
#define LIBS_CONSENSUS_OUTBOX_H_

#include <vector>

#include "libs/consensus/replica_action.h"

namespace bilberryspool::consensus {

// What must be synced before a message may leave.
enum class SendAfter {
  // The term and vote.
  kHardState,
  // Everything written so far, the log included.
  kEverything,
};

// Numbers the writes and holds back messages that depend on them. A vote or an
// acknowledgement that left before its sync would be forgotten by a crash: the
// replica could then vote twice in a term, or an entry counted as committed
// could vanish.
class Outbox {
 public:
  PersistTicket NextTicket() { return last_ticket_ = last_ticket_.Next(); }
  void NoteHardStateTicket(PersistTicket ticket) { hard_ticket_ = ticket; }

  // Queued until TakeSendable; what it waits for is settled at the next
  // AssignTickets.
  void Queue(Message message, SendAfter after);
  // Ties the messages queued since the last AssignTickets to the writes asked
  // for.
  void AssignTickets();
  void MarkPersisted(PersistTicket ticket);
  // Takes out the messages that may leave.
  std::vector<Message> TakeSendable();

  // Whether the term and vote are synced.
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
