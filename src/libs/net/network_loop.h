// A thread that runs fibers, sockets and timers.

#ifndef LIBS_NET_NETWORK_LOOP_H_
#define LIBS_NET_NETWORK_LOOP_H_

#include <functional>
#include <memory>

#include "libs/base/time.h"

namespace boost::asio {
class io_context;
}

namespace bilberryspool::net {

// Fibers and I/O of one thread. All calls except Run(), Post() and Stop() must
// be made on that thread.
class NetworkLoop {
 public:
  NetworkLoop();
  ~NetworkLoop();
  NetworkLoop(const NetworkLoop&) = delete;
  NetworkLoop& operator=(const NetworkLoop&) = delete;

  // Runs `main` in the first fiber of a new thread; returns when it and all
  // other fibers have ended. A fiber that never ends keeps Run() from
  // returning.
  void Run(const std::function<void()>& main);

  // Starts a fiber with a stack of kStackBytes bytes.
  void Spawn(std::function<void()> body);

  // Runs `task` on the loop's thread; may be called from any thread. The task
  // must not suspend; it may call Spawn().
  void Post(std::function<void()> task);

  // Suspends the calling fiber.
  void SleepFor(Duration duration);

  // Calls `on_signal` on the loop's thread for each SIGTERM and SIGINT. It must
  // not suspend; it may call Spawn().
  void OnStopSignal(std::function<void()> on_signal);

  // Same for SIGHUP, which tells the process to reload its settings file.
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
