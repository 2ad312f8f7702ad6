#ifndef LIBS_NET_INTERNAL_AWAIT_H_
#define LIBS_NET_INTERNAL_AWAIT_H_

#include <boost/fiber/context.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <utility>

namespace bilberryspool::net::internal {

// Result of an asynchronous operation.
struct IoOutcome {
  boost::system::error_code error;
  std::size_t bytes = 0;
};

// Starts an asynchronous operation and suspends the calling fiber until its
// completion handler has run. `start` receives the handler. Handlers run only
// on the dispatcher of this thread (see FiberAlgorithm), never inside `start`,
// so the fiber is always suspended before it is resumed.
template <typename Start>
IoOutcome Await(Start&& start) {
  IoOutcome outcome;
  boost::fibers::context* waiting = boost::fibers::context::active();
  std::forward<Start>(start)(
      [&outcome, waiting](boost::system::error_code error,
                          std::size_t bytes = 0) {
        outcome.error = error;
        outcome.bytes = bytes;
        boost::fibers::context::active()->schedule(waiting);
      });
  waiting->suspend();
  return outcome;
}

}  // namespace bilberryspool::net::internal

#endif  // LIBS_NET_INTERNAL_AWAIT_H_
