#include "libs/limits/fair_queue.h"

#include <doctest/doctest.h>

#include <map>
#include <string>

#include "auto/limits/seeds.h"
#include "libs/base/random.h"

namespace bilberryspool::limits {
namespace {

// Maximum cost of a random request, in seconds.
constexpr double kMaxCost = 2.0;

bool All(const Workspace& /*workspace*/) {
  return true;
}

QueuedRequest Request(std::uint64_t id,
                      const std::string& workspace,
                      Priority priority = Priority::kNormal,
                      Duration run_time = Seconds(1)) {
  QueuedRequest request;
  request.id = AdmissionId(id);
  request.workspace = Workspace(workspace);
  request.priority = priority;
  request.run_time = run_time;
  request.deadline = TimeAt(Seconds(1000));
  request.latest_start = TimeAt(Seconds(900));
  return request;
}

// Guards against requests of a small workspace that time out while a large
// workspace runs. The large one fills the queue and gets all slots if the queue
// serves first come, first served, without regard to workspaces.
TEST_CASE("backlogged workspaces get service in proportion to their weights") {
  ForEachSeed(200, [](std::uint64_t seed) {
    CAPTURE(seed);
    Random random(seed);
    const std::vector<std::string> names = {"a", "b", "c", "d"};
    std::map<std::string, double> weights;
    std::map<std::string, double> served;
    for (const std::string& name : names) {
      weights[name] = 0.5 + 3.0 * random.Fraction();
      served[name] = 0.0;
    }
    FairQueue queue;
    std::uint64_t ids = 0;
    const auto refill = [&](const std::string& name) {
      while (queue.SizeOf(Workspace(name)) < 3 + random.Below(20)) {
        queue.Push(Request(++ids, name, Priority::kNormal,
                           random.Between(Milliseconds(10), Seconds(2))),
                   weights[name]);
      }
    };
    for (int i = 0; i < 400; ++i) {
      for (const std::string& name : names) {
        refill(name);
      }
      const auto popped = queue.Pop(&All);
      REQUIRE(popped.has_value());
      served[popped->workspace.value()] += ToSeconds(popped->run_time);
      for (const std::string& one : names) {
        for (const std::string& other : names) {
          const double apart =
              served[one] / weights[one] - served[other] / weights[other];
          REQUIRE(apart <=
                  kMaxCost / weights[one] + kMaxCost / weights[other] + 1e-6);
        }
      }
    }
  });
}

TEST_CASE("the order within a workspace and over background work") {
  FairQueue queue;
  queue.Push(Request(1, "a", Priority::kBackground), 1.0);
  queue.Push(Request(2, "a", Priority::kNormal), 1.0);
  queue.Push(Request(3, "a", Priority::kHigh), 1.0);
  queue.Push(Request(4, "b", Priority::kBackground), 100.0);
  QueuedRequest urgent = Request(5, "a", Priority::kNormal);
  urgent.deadline = TimeAt(Seconds(500));
  queue.Push(urgent, 1.0);
  for (const std::uint64_t id : {3, 5, 2}) {
    CHECK(queue.Pop(&All)->id == AdmissionId(id));
  }
  CHECK(queue.Pop(&All)->priority == Priority::kBackground);
}

TEST_CASE("the least important request makes room") {
  struct Row {
    const char* workspace;
    Priority priority;
    std::uint64_t victim;
  };
  // Queued: 1 to 4 of "large" (4 is high), 5 of "small".
  const Row rows[] = {
      {"small", Priority::kNormal, 3},      // the longest queue makes room
      {"large", Priority::kNormal, 9},      // is itself the last of its queue
      {"large", Priority::kHigh, 3},        // less important, in the same queue
      {"small", Priority::kBackground, 9},  // background goes first
      {"other", Priority::kHigh, 3}};
  for (const Row& row : rows) {
    FairQueue queue;
    for (const std::uint64_t id : {1, 2, 3}) {
      queue.Push(Request(id, "large"), 1.0);
    }
    queue.Push(Request(4, "large", Priority::kHigh), 1.0);
    queue.Push(Request(5, "small"), 1.0);
    CHECK(queue.Victim(Request(9, row.workspace, row.priority), 1.0) ==
          AdmissionId(row.victim));
  }
}

TEST_CASE(
    "a workspace with little service doesn't wait for the queues of others") {
  FairQueue queue;
  for (std::uint64_t id = 1; id <= 50; ++id) {
    queue.Push(Request(id, "large"), 1.0);
  }
  for (int i = 0; i < 10; ++i) {
    queue.Pop(&All);
  }
  CHECK(queue.RequestsAhead(Request(99, "small"), 1.0) <= 1.0);
  CHECK(queue.RequestsAhead(Request(99, "large"), 1.0) == 40.0);
  CHECK(queue.RequestsAhead(Request(99, "small", Priority::kBackground), 1.0) ==
        40.0);
}

}  // namespace
}  // namespace bilberryspool::limits
