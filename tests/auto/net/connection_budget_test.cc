#include "libs/net/connection_budget.h"

#include <doctest/doctest.h>

#include <vector>

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
  CHECK_FALSE(budget.FindExcess().has_value());
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
  while (const auto excess = budget.FindExcess()) {
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
  CHECK(budget.FindExcess() == second);
}

// Guards against answers that are cut for the sake of a crowd.
TEST_CASE("requests in progress are never closed") {
  ConnectionBudget budget({kConnection});
  const ConnectionId running = AddReader(budget, kLong, At(0));
  budget.Enter(running, ConnectionPhase::kHandling, At(1));
  const ConnectionId reading = AddReader(budget, 1, At(2));
  CHECK(budget.FindExcess() == reading);
  budget.Remove(reading);
  CHECK_FALSE(budget.FindExcess().has_value());
}

}  // namespace
}  // namespace bilberryspool::net
