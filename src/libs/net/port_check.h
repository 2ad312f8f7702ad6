// Whether a process listens at an address, asked by opening a connection.

#ifndef LIBS_NET_PORT_CHECK_H_
#define LIBS_NET_PORT_CHECK_H_

#include "libs/base/time.h"
#include "libs/net/endpoint.h"

namespace bilberryspool::net {

class NetworkLoop;

enum class PortState {
  kListening,
  kClosed,   // the machine is there and nobody listens
  kUnknown,  // no answer in time
};

// Suspends the calling fiber for `patience` at most. Nothing is sent on the
// connection, which is closed again.
PortState CheckPort(NetworkLoop& loop,
                    const Endpoint& endpoint,
                    Duration timeout);

}  // namespace bilberryspool::net

#endif  // LIBS_NET_PORT_CHECK_H_
