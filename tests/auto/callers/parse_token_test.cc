#include <doctest/doctest.h>

#include "plugins/callers/agent_registry.h"

namespace bilberryspool::callers {
namespace {

TEST_CASE("a token is three numbers joined by dots") {
  struct Row {
    const char* text;
    bool is_valid;
  };
  const Row rows[] = {{"1.2.3", true},    {"0.0.0", true},  {"1.2", false},
                      {"1", false},       {"", false},      {"1..3", false},
                      {"1.2.3.4", false}, {"a.2.3", false}, {"1.2.3 ", false}};
  for (const Row& row : rows) {
    CAPTURE(row.text);
    CHECK(ParseToken(row.text).has_value() == row.is_valid);
  }
  CHECK(ParseToken("1.2.3")->epoch == attempts::Epoch(3));
}

}  // namespace
}  // namespace bilberryspool::callers
