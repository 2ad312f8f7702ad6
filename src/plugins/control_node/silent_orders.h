// Orders that a reader did not send because the ranks did not respond to it, or
// that were not answered to it.
//
// A reader may be cut off from ranks that the leader reaches, for seconds and
// while it answers the leader itself. If its word were final, every change of
// the map would be given up for as long as the cut lasts, or the group would be
// stalled while the order is repeated on the same path.

#ifndef PLUGINS_CONTROL_NODE_SILENT_ORDERS_H_
#define PLUGINS_CONTROL_NODE_SILENT_ORDERS_H_

#include "libs/groups/rank_round.h"

namespace bilberryspool::control_node {

// The same order for the ranks that did not answer; without ranks if all did.
groups::MulticastOrder OrderForSilent(const groups::MulticastOrder& order,
                                      const groups::MulticastResult& result);

// Replaces the statuses of these ranks by those of `second`, the result of
// OrderForSilent(). An order that may have reached its rank stays unanswered if
// the second one was not sent.
void MergeSilent(const groups::MulticastResult& second,
                 groups::MulticastResult& result);

}  // namespace bilberryspool::control_node

#endif  // PLUGINS_CONTROL_NODE_SILENT_ORDERS_H_
