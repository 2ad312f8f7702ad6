// Checks by opening a connection whether a process listens at an address.

#ifndef LIBS_NET_PORT_CHECK_H_
#define LIBS_NET_PORT_CHECK_H_

#include "libs/base/time.h"
#include "libs/net/endpoint.h"

namespace bilberryspool::net {

class NetworkLoop;

enum class PortState {
  kListening,
  kClosed,   // the VM is reachable, but nothing listens
  kUnknown,  // no response within the timeout
};

// Suspends the calling fiber for at most `timeout`. Sends nothing on the
// connection and closes it again.
PortState CheckPort(NetworkLoop& loop,
                    const Endpoint& endpoint,
                    Duration timeout);

}  // namespace bilberryspool::net

#endif  // LIBS_NET_PORT_CHECK_H_
