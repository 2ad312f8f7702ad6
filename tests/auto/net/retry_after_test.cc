#include "libs/net/retry_after.h"

#include <doctest/doctest.h>

namespace bilberryspool::net {
namespace {

// Guards against a malformed delay that is taken for an endless one or none.
TEST_CASE("a delay is read in seconds; anything else is no delay") {
  struct Row {
    const char* text;
    std::optional<Duration> delay;
  };
  const Row rows[] = {
      {"3", Seconds(3)},
      {"0", Duration::zero()},
      {"0.25", Milliseconds(250)},
      {"86400", Seconds(86400)},
      {"1e9", Seconds(86400)},
      {"", std::nullopt},
      {"-1", std::nullopt},
      {"inf", std::nullopt},
      {"nan", std::nullopt},
      {"3 s", std::nullopt},
      {" 3", std::nullopt},
      {"soon", std::nullopt},
      {"Fri, 31 Dec 2027 23:59:59 GMT", std::nullopt},
  };
  for (const Row& row : rows) {
    CAPTURE(row.text);
    CHECK(ReadRetryAfter(row.text) == row.delay);
  }
}

}  // namespace
}  // namespace bilberryspool::net
