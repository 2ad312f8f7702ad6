// Makes a call that a whole group may be waiting for, and repeats it once on
// another path if it is not answered soon.
//
// A node or engine that leaves a call unanswered is only known to have failed
// after a timeout that allows for the slowest answers. While a step is held or
// released, every stream of the group pauses for that time.

#ifndef LIBS_NET_REPEATED_CALL_H_
#define LIBS_NET_REPEATED_CALL_H_

#include <functional>

#include "libs/base/time.h"

namespace bilberryspool::net {

// Returns the first status other than 0 that `call` returns, or 0 if both calls
// return 0. `call` runs in a fiber started by `spawn`, once or twice at the
// same time, and must not refer to the caller's stack. Blocks the calling
// fiber.
int CallRepeated(const std::function<void(std::function<void()>)>& spawn,
                 const std::function<int()>& call,
                 Duration repeat_after);

}  // namespace bilberryspool::net

#endif  // LIBS_NET_REPEATED_CALL_H_
