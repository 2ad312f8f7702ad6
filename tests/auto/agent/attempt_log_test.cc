#include "plugins/agent/attempt_log.h"

#include <doctest/doctest.h>

namespace bilberryspool::agent {
namespace {

// Guards against a resumed answer that misses bytes or repeats them. An entry
// whose connection became silent asks for the rest from its offset; offsets
// must count the bytes that were dropped.
TEST_CASE("an answer can be followed from any byte that is kept") {
  AttemptLog log(8);
  log.Append("abcdef");
  CHECK(log.Read(0, 100) == "abcdef");
  CHECK(log.Read(2, 3) == "cde");
  CHECK(log.whole() == "abcdef");
  log.Append("ghijkl");
  CHECK(log.size() == 12);
  CHECK_FALSE(log.CanFollowFrom(3));
  CHECK(log.CanFollowFrom(4));
  CHECK(log.CanFollowFrom(12));
  CHECK_FALSE(log.CanFollowFrom(13));
  CHECK(log.Read(4, 100) == "efghijkl");
  CHECK(log.Read(12, 100).empty());
  CHECK_FALSE(log.whole().has_value());
}

}  // namespace
}  // namespace bilberryspool::agent
