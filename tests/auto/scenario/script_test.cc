#include "libs/scenario/script.h"

#include <doctest/doctest.h>

namespace bilberryspool::scenario {
namespace {

struct ErrorCase {
  const char* text;
  // The expected error with its position; "" if the text is valid.
  const char* error;
};

const ErrorCase kErrorCases[] = {
    {"deployment entries 3 domains sahab,marka control 3\nheal\n", ""},
    {"# a remark\n\ndeployment\nafter 2s # and another\n", ""},
    {"deployment\nwithin 4s expect one leader\n", ""},
    {"deployment\noperator A at entry-1: drain target t1 as \"a#b\"\n", ""},
    {"", "f:1:1: expected \"deployment\""},
    {"heal\n", "f:1:1: expected \"deployment\" first"},
    {"deployment\ndeployment\n", "f:2:1: a second \"deployment\""},
    {"deployment\nafter soon\n",
     "f:2:7: expected a duration such as 2s, found \"soon\""},
    {"deployment\ndrop 200%\n",
     "f:2:6: expected a share such as 5%, found \"200%\""},
    {"deployment\ncut a of b\n",
     "f:2:7: expected \",\" or \"from\", found \"of\""},
    // An error of the operators' grammar; the column counts in the whole line.
    {"deployment\noperator A at entry-1: declare service x fast\n",
     "f:2:42: expected \"engine\" or \"plain\", found \"fast\""},
    {"deployment\noperator A at entry-1: show targets\n",
     "f:2:24: expected a change, found \"show targets\""},
};

TEST_CASE("a script error has its line and column") {
  for (const ErrorCase& each : kErrorCases) {
    CAPTURE(each.text);
    const auto parsed = ParseScript("f", each.text);
    const auto* error = std::get_if<ScriptError>(&parsed);
    CHECK((error != nullptr ? error->text : "") == each.error);
  }
}

}  // namespace
}  // namespace bilberryspool::scenario
