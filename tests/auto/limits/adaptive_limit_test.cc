#include "libs/limits/adaptive_limit.h"

#include <doctest/doctest.h>

namespace bilberryspool::limits {
namespace {

// An engine whose first token takes 100 ms, and longer while it has more
// requests than slots.
Duration LatencyAt(std::size_t in_flight, std::size_t slots) {
  const std::size_t waiting = in_flight > slots ? in_flight - slots : 0;
  return Milliseconds(100 + static_cast<std::int64_t>(waiting * 50));
}

TEST_CASE("the limit finds what the engine can run, from either side") {
  struct Row {
    std::uint32_t declared;
    std::size_t slots;
  };
  const Row rows[] = {{1, 8}, {8, 8}, {64, 8}, {4, 32}, {200, 32}};
  for (const Row& row : rows) {
    CAPTURE(row.declared);
    CAPTURE(row.slots);
    AdaptiveLimit limit(AdaptiveLimitOptions{}, row.declared);
    TimePoint now = TimeAt(Seconds(1));
    limit.Observe(LatencyAt(1, row.slots), 1, now);
    for (int i = 0; i < 400; ++i) {
      now += Milliseconds(20);
      limit.Observe(LatencyAt(limit.limit(), row.slots), limit.limit(), now);
    }
    CHECK(limit.limit() >= row.slots);
    CHECK(limit.limit() <= 2 * row.slots + 6);
  }
}

TEST_CASE("an idle target's limit doesn't grow") {
  AdaptiveLimit limit(AdaptiveLimitOptions{}, 8);
  for (int i = 0; i < 1000; ++i) {
    limit.Observe(Milliseconds(100), 2, TimeAt(Milliseconds(100) * i));
  }
  CHECK(limit.limit() == 8);
}

TEST_CASE("one incident lowers the limit once") {
  AdaptiveLimit limit(AdaptiveLimitOptions{}, 10);
  const TimePoint now = TimeAt(Seconds(5));
  for (int i = 0; i < 50; ++i) {
    limit.OnOverload(now + Milliseconds(i));
  }
  CHECK(limit.limit() == 8);
  limit.OnOverload(now + Seconds(1));
  CHECK(limit.limit() == 6);
}

}  // namespace
}  // namespace bilberryspool::limits
