// Timeouts of the connections between the system's processes.

#ifndef LIBS_LINKS_LINK_TIMEOUTS_H_
#define LIBS_LINKS_LINK_TIMEOUTS_H_

#include "libs/base/time.h"

namespace bilberryspool::links {

// The first packet to a VM that is just starting is dropped, and the kernel
// retransmits it only after a second; a new connection attempt is faster.
inline constexpr Duration kConnectTimeout = Milliseconds(400);
// The client closes idle connections well before the server does: if a request
// meets a connection that the server has just closed, the client can't know
// whether the request ran.
inline constexpr Duration kClientIdleTimeout = Seconds(5);
// If a network device in between has lost track of a connection, its peer never
// closes it; without this limit its file descriptor would leak.
inline constexpr Duration kServerIdleTimeout = Seconds(10);

}  // namespace bilberryspool::links

#endif  // LIBS_LINKS_LINK_TIMEOUTS_H_
