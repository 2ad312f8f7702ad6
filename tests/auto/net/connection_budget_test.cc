#include "libs/net/connection_budget.h"

#include <doctest/doctest.h>

#include <set>
#include <vector>

#include "libs/base/random.h"

namespace bilberryspool::net {
namespace {

constexpr std::size_t kConnection = ConnectionBudget::kConnectionBytes;
constexpr std::size_t kLong = 100 * kConnection;

TimePoint At(std::int64_t seconds) {
  return TimeAt(Seconds(seconds));
}

ConnectionId AddReader(ConnectionBudget& budget,
                       std::size_t bytes,
                       TimePoint now) {
  const ConnectionId id = budget.Add(now);
  budget.Enter(id, ConnectionPhase::kReading, now);
  budget.Hold(id, bytes);
  return id;
}

TEST_CASE("nothing is closed while all fit") {
  ConnectionBudget budget({3 * kConnection + kLong});
  AddReader(budget, kLong, At(0));
  budget.Add(At(1));
  budget.Add(At(2));
  CHECK_FALSE(budget.FindExcess(At(10)).has_value());
}

// Guards against a crowd of long requests that costs ordinary callers theirs.
TEST_CASE("of the long requests that are not whole the oldest goes first") {
  ConnectionBudget budget({4 * kLong});
  const ConnectionId small = AddReader(budget, 0, At(0));
  const ConnectionId waiting = budget.Add(At(0));
  std::vector<ConnectionId> crowd;
  for (int i = 1; i <= 6; ++i) {
    crowd.push_back(AddReader(budget, kLong, At(i)));
  }
  std::vector<ConnectionId> closed;
  while (const auto excess = budget.FindExcess(At(10))) {
    closed.push_back(*excess);
    budget.Remove(*excess);
  }
  CHECK(closed == std::vector<ConnectionId>(crowd.begin(), crowd.begin() + 3));
  CHECK(budget.held_bytes() <= 4 * kLong);
  budget.Remove(small);
  budget.Remove(waiting);
  CHECK(budget.size() == 3);
}

// Guards against a crowd of silent connections without a bound.
TEST_CASE("of equal ones the one that has waited longest goes first") {
  ConnectionBudget budget({2 * kConnection});
  const ConnectionId first = budget.Add(At(1));
  const ConnectionId second = budget.Add(At(2));
  budget.Enter(first, ConnectionPhase::kHandling, At(3));
  budget.Enter(first, ConnectionPhase::kWaiting, At(4));
  budget.Add(At(5));
  CHECK(budget.FindExcess(At(10)) == second);
}

// Guards against answers that are cut for the sake of a crowd.
TEST_CASE("requests in progress are never closed") {
  ConnectionBudget budget({kConnection});
  const ConnectionId running = AddReader(budget, kLong, At(0));
  budget.Enter(running, ConnectionPhase::kHandling, At(1));
  const ConnectionId reading = AddReader(budget, 1, At(2));
  CHECK(budget.FindExcess(At(10)) == reading);
  budget.Remove(reading);
  CHECK_FALSE(budget.FindExcess(At(10)).has_value());
}

// Guards against a crowd of silent connections that keeps out all others.
TEST_CASE("of too many connections one without an answer goes first") {
  ConnectionBudgetOptions options;
  options.max_connections = 2;
  ConnectionBudget budget(options);
  const ConnectionId answered = budget.Add(At(0));
  budget.Enter(answered, ConnectionPhase::kHandling, At(1));
  budget.Enter(answered, ConnectionPhase::kWaiting, At(2));
  const ConnectionId silent = budget.Add(At(3));
  CHECK_FALSE(budget.FindExcess(At(10)).has_value());
  const ConnectionId late = budget.Add(At(4));
  CHECK(budget.FindExcess(At(10)) == silent);
  budget.Remove(silent);
  budget.LimitConnections(1);
  CHECK(budget.FindExcess(At(10)) == late);
  budget.Remove(late);
  CHECK_FALSE(budget.FindExcess(At(10)).has_value());
}

// Guards against clients that never read their answers.
TEST_CASE("an answer that is not taken for long is given up for others") {
  ConnectionBudget budget({2 * kConnection});
  const ConnectionId sending = AddReader(budget, 0, At(0));
  budget.Enter(sending, ConnectionPhase::kHandling, At(1));
  budget.Enter(sending, ConnectionPhase::kSending, At(2));
  budget.Hold(sending, kLong);
  CHECK_FALSE(budget.FindExcess(At(6)).has_value());
  CHECK(budget.FindExcess(At(7)) == sending);
}

// Guards against long requests in progress that leave nothing to others.
TEST_CASE("long requests in progress leave room for short ones") {
  ConnectionBudget budget({8 * kLong});
  int handled = 0;
  for (int i = 0; i < 8; ++i) {
    const ConnectionId id = AddReader(budget, kLong, At(i));
    if (budget.MayHandle(id)) {
      budget.Enter(id, ConnectionPhase::kHandling, At(i));
      ++handled;
    } else {
      budget.Remove(id);
    }
  }
  CHECK(handled == 5);
  const ConnectionId small = AddReader(budget, 1000, At(9));
  CHECK_FALSE(budget.FindExcess(At(10)).has_value());
  CHECK(budget.MayHandle(small));
}

TEST_CASE("the budget follows from the memory of the VM") {
  struct Row {
    double memory_mb;
    std::size_t max_request_bytes;
  };
  const Row rows[] = {{64.0, 6'000'000},
                      {112.0, 16'200'000},
                      {160.0, 27'000'000},
                      {260.0, 49'500'000}};
  for (const Row& row : rows) {
    CAPTURE(row.memory_mb);
    const ConnectionBudget budget(BudgetForMemory(row.memory_mb));
    CHECK(budget.max_request_bytes() == row.max_request_bytes);
  }
}

// A crowd of any make: the sum holds, what is in progress is never closed, and
// an ordinary request beside it is not the one.
TEST_CASE("the sum holds whatever a crowd does") {
  constexpr std::size_t kMax = 50 * kLong;
  constexpr std::size_t kMaxConnections = 200;
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    CAPTURE(seed);
    Random random(seed);
    ConnectionBudget budget({kMax, kMaxConnections});
    std::vector<ConnectionId> open;
    std::set<ConnectionId> in_progress;
    for (int step = 0; step < 2000; ++step) {
      const TimePoint now = At(step);
      const ConnectionId id = budget.Add(now);
      open.push_back(id);
      const ConnectionId grown = open[random.Below(open.size())];
      if (!in_progress.contains(grown)) {
        budget.Enter(grown, ConnectionPhase::kReading, now);
        budget.Hold(grown, random.Below(4 * kLong));
      }
      while (const auto excess = budget.FindExcess(now)) {
        REQUIRE_FALSE(in_progress.contains(*excess));
        std::erase(open, *excess);
        budget.Remove(*excess);
      }
      REQUIRE(budget.held_bytes() <= kMax);
      REQUIRE(budget.size() <= kMaxConnections);
      if (random.Below(10) == 0 && !open.empty()) {
        const ConnectionId whole = open[random.Below(open.size())];
        if (budget.MayHandle(whole)) {
          budget.Enter(whole, ConnectionPhase::kHandling, now);
          in_progress.insert(whole);
        }
      }
      if (in_progress.size() > 20) {
        const ConnectionId ended = *in_progress.begin();
        in_progress.erase(ended);
        std::erase(open, ended);
        budget.Remove(ended);
      }
    }
  }
}

}  // namespace
}  // namespace bilberryspool::net
