#include <doctest/doctest.h>

#include <cstdlib>
#include <fstream>
#include <iterator>
#include <set>

#include "libs/settings/key_table.h"
#include "libs/settings/settings_page.h"

namespace bilberryspool::settings {
namespace {

const std::string kPage = BILBERRYSPOOL_SOURCE_FOLDER "/docs/SETTINGS.md";

TEST_CASE("docs/SETTINGS.md is generated from the table of keys") {
  if (std::getenv("BILBERRYSPOOL_WRITE_PAGE") != nullptr) {
    std::ofstream(kPage) << SettingsPage();
  }
  std::ifstream file(kPage);
  const std::string written(std::istreambuf_iterator<char>(file), {});
  CHECK(written == SettingsPage());
}

// Each role reads its own keys and the common ones, so a name may appear for
// several roles but only once within a role.
TEST_CASE("each key is unique within a role, and its default is accepted") {
  std::set<std::pair<KeyScope, std::string>> names;
  for (const KeySpec& spec : KeyTable()) {
    CAPTURE(spec.name);
    CHECK(names.insert({spec.scope, spec.name}).second);
    if (spec.scope != KeyScope::kAll) {
      CHECK_FALSE(names.contains({KeyScope::kAll, spec.name}));
    }
    CHECK_FALSE(spec.meaning.empty());
    const auto* fallback = std::get_if<DefaultValue>(&spec.presence);
    if (fallback == nullptr) {
      continue;
    }
    const auto* integer = std::get_if<IntegerKind>(&spec.kind);
    if (integer != nullptr) {
      const auto number = std::get<std::int64_t>(fallback->value);
      CHECK(number >= integer->min);
      CHECK(number <= integer->max);
    }
  }
}

}  // namespace
}  // namespace bilberryspool::settings
