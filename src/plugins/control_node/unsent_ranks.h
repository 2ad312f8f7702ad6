// Orders that a reader did not send because the ranks did not respond to it.
//
// A reader may be cut off from ranks that the leader reaches, for seconds and
// while it answers the leader itself. If its word were final, every change of
// the map would be given up for as long as the cut lasts.

#ifndef PLUGINS_CONTROL_NODE_UNSENT_RANKS_H_
#define PLUGINS_CONTROL_NODE_UNSENT_RANKS_H_

#include "libs/groups/rank_round.h"

namespace bilberryspool::control_node {

// The same order for the ranks to which `result` says it was not sent; without
// ranks if there are none.
groups::MulticastOrder OrderForUnsent(const groups::MulticastOrder& order,
                                      const groups::MulticastResult& result);

// Replaces the statuses of these ranks by those of `second`, the result of
// OrderForUnsent().
void MergeUnsent(const groups::MulticastResult& second,
                 groups::MulticastResult& result);

}  // namespace bilberryspool::control_node

#endif  // PLUGINS_CONTROL_NODE_UNSENT_RANKS_H_
