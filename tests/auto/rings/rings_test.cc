#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

#include "libs/rings/worker.h"

namespace bilberryspool::rings {
namespace {

using Item = std::unique_ptr<int>;

TEST_CASE("a full or closed ring rejects items, and the producer keeps them") {
  int wakes = 0;
  BoundedRing<Item> ring(2, [&] { ++wakes; });
  CHECK(ring.TryPush(std::make_unique<int>(1)));
  CHECK(ring.TryPush(std::make_unique<int>(2)));
  Item kept = std::make_unique<int>(3);
  CHECK_FALSE(ring.TryPush(std::move(kept)));
  REQUIRE(kept != nullptr);
  CHECK(*kept == 3);

  std::vector<int> popped;
  const auto collect = [&](Item&& item) { popped.push_back(*item); };
  CHECK(ring.PopAll(collect) == 2);
  CHECK(popped == std::vector<int>{1, 2});
  ring.Close();
  CHECK_FALSE(ring.TryPush(std::move(kept)));
  CHECK(kept != nullptr);
  CHECK(ring.PopAll(collect) == 0);
  CHECK(wakes == 2);
  CHECK(ring.pushed() == 2);
  CHECK(ring.refused() == 2);
}

// Guards against losing spans or orders of the last moments before a stop.
// Producers push while another thread stops the worker; the fault would be an
// item that is accepted after the worker last drained the ring.
TEST_CASE("a worker handles all accepted items in order until it stops") {
  constexpr std::size_t producers = 3;
  for (const std::size_t capacity : {1UL, 7UL, 256UL}) {
    for (int round = 0; round < 60; ++round) {
      std::vector<std::vector<int>> handled(producers);
      std::vector<std::uint64_t> accepted(producers);
      int batches = 0;
      struct Numbered {
        std::size_t producer = 0;
        int number = 0;
      };
      Worker<Numbered> worker(
          {"test", capacity, producers},
          [&](Numbered&& item) {
            handled[item.producer].push_back(item.number);
          },
          [&] { ++batches; });
      std::vector<std::thread> threads;
      for (std::size_t producer = 0; producer < producers; ++producer) {
        threads.emplace_back([&, producer] {
          for (int number = 0; number < 400; ++number) {
            const bool is_accepted =
                worker.ring(producer).TryPush({producer, number});
            accepted[producer] += is_accepted ? 1 : 0;
          }
        });
      }
      if (round % 2 == 0) {
        worker.Stop();
      }
      for (std::thread& thread : threads) {
        thread.join();
      }
      worker.Stop();
      for (std::size_t producer = 0; producer < producers; ++producer) {
        const std::vector<int>& numbers = handled[producer];
        REQUIRE(numbers.size() == accepted[producer]);
        REQUIRE(std::is_sorted(numbers.begin(), numbers.end()));
        REQUIRE(worker.ring(producer).pushed() == accepted[producer]);
        REQUIRE(worker.ring(producer).refused() == 400 - accepted[producer]);
      }
      CHECK(batches <=
            static_cast<int>(accepted[0] + accepted[1] + accepted[2]));
    }
  }
}

// An item that calls `hook` while it is moved into a ring.
struct HookedItem {
  HookedItem() = default;
  explicit HookedItem(std::function<void()> on_move)
      : hook(std::move(on_move)) {}
  HookedItem(HookedItem&& other) : hook(std::move(other.hook)) {
    other.hook = nullptr;
    if (hook) {
      hook();
    }
  }
  HookedItem& operator=(HookedItem&&) = default;

  std::function<void()> hook;
};

// Guards against an accepted item that is never handled. A producer has checked
// `closed_`, then the ring is closed and drained for the last time, and the
// producer pushes its item: Close() must wait for a push in progress.
TEST_CASE("closing waits for a push in progress") {
  BoundedRing<HookedItem> ring(4);
  std::atomic<bool> is_drained = false;
  std::size_t handled = 0;
  std::thread closer;
  const auto close_concurrently = [&] {
    if (closer.joinable()) {
      return;
    }
    closer = std::thread([&] {
      ring.Close();
      handled = ring.PopAll([](HookedItem&&) {});
      is_drained = true;
    });
    // Gives a faulty Close() enough time to return; a correct one waits for the
    // push in progress.
    for (int i = 0; i < 2000 && !is_drained; ++i) {
      std::this_thread::yield();
    }
  };
  const bool is_accepted = ring.TryPush(HookedItem(close_concurrently));
  closer.join();
  CHECK(handled == (is_accepted ? 1 : 0));
}

TEST_CASE("a notification before the wait is not lost") {
  WakeSignal signal;
  signal.Notify();
  signal.Notify();
  signal.Wait();
  int seen = 0;
  int written = 0;
  std::thread waiter([&] {
    signal.Wait();
    seen = written;
  });
  written = 7;
  signal.Notify();
  waiter.join();
  CHECK(seen == 7);
}

}  // namespace
}  // namespace bilberryspool::rings
