// How long connections between the system's processes are kept without use.

#ifndef LIBS_LINKS_LINK_TIMEOUTS_H_
#define LIBS_LINKS_LINK_TIMEOUTS_H_

#include "libs/base/time.h"

namespace bilberryspool::links {

// The first packet to a VM that is just starting is dropped and sent again by
// the kernel only after a second; trying anew is sooner.
inline constexpr Duration kConnectTimeout = Milliseconds(400);
// The client lets go well before the server does: a request that meets a
// connection just closed by its server may have run, for all the client knows.
inline constexpr Duration kClientIdleTimeout = Seconds(5);
// A connection that something in between lost track of is never closed by its
// other end; without this bound its descriptor would stay.
inline constexpr Duration kServerIdleTimeout = Seconds(10);

}  // namespace bilberryspool::links

#endif  // LIBS_LINKS_LINK_TIMEOUTS_H_
