#include "libs/net/network_loop.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/context/fixedsize_stack.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/mutex.hpp>
#include <boost/fiber/operations.hpp>
#include <csignal>
#include <thread>

#include "libs/net/internal/fiber_algorithm.h"

namespace bilberryspool::net {

struct NetworkLoop::Private {
  boost::asio::io_context io{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      guard{io.get_executor()};
  boost::fibers::mutex mutex;
  boost::fibers::condition_variable stop_changed;
  bool is_stopping = false;
  // Calls a function for each signal of its set.
  struct SignalWatch {
    explicit SignalWatch(boost::asio::io_context& io) : signals(io) {}

    void Wait() {
      signals.async_wait([this](const boost::system::error_code& error, int) {
        if (error) {
          return;
        }
        on_signal();
        Wait();
      });
    }

    boost::asio::signal_set signals;
    std::function<void()> on_signal;
  };
  SignalWatch stop_watch{io};
  SignalWatch reload_watch{io};
};

NetworkLoop::NetworkLoop() : d_(std::make_unique<Private>()) {}
NetworkLoop::~NetworkLoop() = default;

boost::asio::io_context& NetworkLoop::io() const {
  return d_->io;
}

void NetworkLoop::Run(const std::function<void()>& main) {
  // The fiber scheduler of a thread posts to the io_context until the thread
  // ends, so the loop needs its own thread that ends before this object is
  // destroyed.
  std::thread thread([this, &main] {
    boost::fibers::use_scheduling_algorithm<internal::FiberAlgorithm>(d_->io);
    main();
  });
  thread.join();
}

void NetworkLoop::Spawn(std::function<void()> body) {
  boost::fibers::fiber(boost::fibers::launch::post, std::allocator_arg,
                       boost::context::fixedsize_stack(kStackBytes),
                       std::move(body))
      .detach();
}

void NetworkLoop::Post(std::function<void()> task) {
  boost::asio::post(d_->io, std::move(task));
}

void NetworkLoop::SleepFor(Duration duration) {
  boost::this_fiber::sleep_for(duration);
}

void NetworkLoop::OnStopSignal(std::function<void()> on_signal) {
  d_->stop_watch.on_signal = std::move(on_signal);
  d_->stop_watch.signals.add(SIGTERM);
  d_->stop_watch.signals.add(SIGINT);
  d_->stop_watch.Wait();
}

void NetworkLoop::OnReloadSignal(std::function<void()> on_signal) {
  d_->reload_watch.on_signal = std::move(on_signal);
  d_->reload_watch.signals.add(SIGHUP);
  d_->reload_watch.Wait();
}

void NetworkLoop::WaitForStop() {
  std::unique_lock<boost::fibers::mutex> lock(d_->mutex);
  d_->stop_changed.wait(lock, [this] { return d_->is_stopping; });
}

void NetworkLoop::Stop() {
  Post([this] {
    d_->is_stopping = true;
    d_->stop_changed.notify_all();
  });
}

}  // namespace bilberryspool::net
