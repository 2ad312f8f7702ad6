// A thread that runs fibers over sockets and timers.

#ifndef LIBS_NET_NETWORK_LOOP_H_
#define LIBS_NET_NETWORK_LOOP_H_

#include <functional>
#include <memory>

#include "libs/base/time.h"

namespace boost::asio {
class io_context;
}

namespace bilberryspool::net {

// One thread's fibers and I/O. All calls but Run(), Post() and Stop() belong
// to that thread.
class NetworkLoop {
 public:
  NetworkLoop();
  ~NetworkLoop();
  NetworkLoop(const NetworkLoop&) = delete;
  NetworkLoop& operator=(const NetworkLoop&) = delete;

  // Runs `main` in the first fiber of a new thread; returns once it and all
  // fibers have ended. A fiber that waits for good keeps it from returning.
  void Run(const std::function<void()>& main);

  // Starts a fiber. Its stack is kStackBytes large.
  void Spawn(std::function<void()> body);

  // Runs `task` on the loop's thread, from any thread. The task must not
  // suspend; it may Spawn().
  void Post(std::function<void()> task);

  // Suspends the calling fiber.
  void SleepFor(Duration duration);

  // Calls `on_signal` on the loop's thread for SIGTERM and SIGINT, each time.
  // It must not suspend; it may Spawn().
  void OnStopSignal(std::function<void()> on_signal);

  // The same for SIGHUP, the sign that the settings file has changed.
  void OnReloadSignal(std::function<void()> on_signal);

  // Suspends the calling fiber until Stop() is called.
  void WaitForStop();
  void Stop();

  boost::asio::io_context& io() const;

  static constexpr std::size_t kStackBytes = 96UL * 1024;

 private:
  struct Private;
  std::unique_ptr<Private> d_;
};

}  // namespace bilberryspool::net

#endif  // LIBS_NET_NETWORK_LOOP_H_
