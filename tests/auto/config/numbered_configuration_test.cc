#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "libs/config/numbered_configuration.h"

namespace bilberryspool::config {
namespace {

// Guards against an older of two operators' changes being in force, or another
// text under an acknowledged version, because the order of arrival decided.
TEST_CASE("the highest version wins in any order of arrival") {
  std::vector<std::string> commands = {
      NumberedConfiguration::Propose(3, packing::PackedText{"three"}),
      NumberedConfiguration::Propose(7, packing::PackedText{"seven"}),
      NumberedConfiguration::Propose(5, packing::PackedText{"five"}),
      NumberedConfiguration::Propose(2, packing::PackedText{"two\nlines"})};
  std::sort(commands.begin(), commands.end());
  do {
    NumberedConfiguration state;
    for (const std::string& command : commands) {
      state.Apply(command);
    }
    CHECK(state.version() == 7);
    CHECK(state.text().value == "seven");
    CHECK_FALSE(state.Apply(
        NumberedConfiguration::Propose(7, packing::PackedText{"other"})));
    CHECK(state.text().value == "seven");
  } while (std::next_permutation(commands.begin(), commands.end()));
}

// Guards against refusing a configuration that is in force when it is sent
// again: a later version of the program may have stricter rules.
TEST_CASE("the configuration in force is recognized") {
  NumberedConfiguration state;
  CHECK_FALSE(state.Holds(4, ""));
  state.Apply(NumberedConfiguration::Propose(4, packing::Pack("text")));
  CHECK(state.Holds(4, "text"));
  CHECK_FALSE(state.Holds(4, "other"));
  CHECK_FALSE(state.Holds(3, "text"));
  CHECK_FALSE(state.Holds(5, "text"));
}

TEST_CASE("export and import restore the state; bad bytes change nothing") {
  NumberedConfiguration state;
  CHECK(state.Apply(
      NumberedConfiguration::Propose(4, packing::PackedText{"a\nb"})));
  NumberedConfiguration copy;
  CHECK(copy.Import(state.Export()));
  CHECK(copy.version() == 4);
  CHECK(copy.text().value == "a\nb");
  for (const char* bytes : {"", "4", "x\ntext", "-1\ntext", "5 \ntext"}) {
    CAPTURE(bytes);
    CHECK_FALSE(copy.Import(bytes));
    CHECK_FALSE(copy.Apply(bytes));
    CHECK(copy.version() == 4);
  }
}

}  // namespace
}  // namespace bilberryspool::config
