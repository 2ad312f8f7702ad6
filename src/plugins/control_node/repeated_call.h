// Calls of control nodes that are repeated on another path.

#ifndef PLUGINS_CONTROL_NODE_REPEATED_CALL_H_
#define PLUGINS_CONTROL_NODE_REPEATED_CALL_H_

#include <functional>

#include "libs/base/time.h"
#include "libs/net/repeated_call.h"

namespace bilberryspool::control_node {

// Engines answer most orders within 4 ms and a few within 20 ms.
inline constexpr Duration kRepeatAfter = Milliseconds(6);

// See net::CallRepeated().
inline int CallRepeated(const std::function<void(std::function<void()>)>& spawn,
                        const std::function<int()>& call,
                        Duration repeat_after = kRepeatAfter) {
  return net::CallRepeated(spawn, call, repeat_after);
}

}  // namespace bilberryspool::control_node

#endif  // PLUGINS_CONTROL_NODE_REPEATED_CALL_H_
