#include <doctest/doctest.h>

#include <type_traits>
#include <unordered_set>

#include "libs/base/ids.h"

namespace bilberryspool {
namespace {

static_assert(!std::is_convertible_v<Workspace, TargetId>);
static_assert(!std::is_convertible_v<std::string, Workspace>);

TEST_CASE("numbers are ordered and can be incremented") {
  const Term term(3);
  CHECK(term.Next() == Term(4));
  CHECK(term < term.Next());
}

TEST_CASE("ids serve as keys of hashed containers") {
  std::unordered_set<TargetId> targets{TargetId("a"), TargetId("b")};
  CHECK(targets.contains(TargetId("a")));
  CHECK_FALSE(targets.contains(TargetId("c")));
}

}  // namespace
}  // namespace bilberryspool
