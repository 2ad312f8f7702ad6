#include "libs/base/random.h"

#include <doctest/doctest.h>

namespace bilberryspool {
namespace {

TEST_CASE("a generator with the same seed repeats its sequence") {
  Random first(7);
  Random second(7);
  for (int i = 0; i < 100; ++i) {
    CHECK(first.Below(1000) == second.Below(1000));
  }
}

TEST_CASE("Between() stays within its limits, also for empty ranges") {
  struct Row {
    Duration low;
    Duration high;
  };
  const Row rows[] = {{Milliseconds(1), Milliseconds(1)},
                      {Milliseconds(2), Milliseconds(1)},
                      {Milliseconds(1), Milliseconds(9)}};
  Random random(1);
  for (const Row& row : rows) {
    const Duration drawn = random.Between(row.low, row.high);
    CHECK(drawn >= row.low);
    CHECK(drawn <= std::max(row.low, row.high));
  }
  CHECK(random.Below(0) == 0);
}

}  // namespace
}  // namespace bilberryspool
