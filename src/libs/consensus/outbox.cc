#include "libs/consensus/outbox.h"

#include <algorithm>
#include <utility>

namespace bilberryspool::consensus {

void Outbox::Queue(Message message, SendAfter after) {
  queue_.push_back({std::move(message), after, PersistTicket(0), false});
}

void Outbox::AssignTickets() {
  for (QueuedMessage& queued : queue_) {
    if (queued.has_ticket) {
      continue;
    }
    queued.has_ticket = true;
    queued.ticket =
        queued.after == SendAfter::kHardState ? hard_ticket_ : last_ticket_;
  }
}

void Outbox::MarkPersisted(PersistTicket ticket) {
  persisted_ = std::max(persisted_, ticket);
}

std::vector<Message> Outbox::TakeSendable() {
  std::vector<Message> released;
  std::vector<QueuedMessage> remaining;
  for (QueuedMessage& queued : queue_) {
#if defined(BILBERRYSPOOL_MUTATION_SKIP_SYNC)
    const bool may_send = true;
#else
    const bool may_send = queued.has_ticket && queued.ticket <= persisted_;
#endif
    if (may_send) {
      released.push_back(std::move(queued.message));
      continue;
    }
    remaining.push_back(std::move(queued));
  }
  queue_ = std::move(remaining);
  return released;
}

}  // namespace bilberryspool::consensus
