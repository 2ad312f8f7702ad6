#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "libs/scenario/runner.h"

namespace bilberryspool::scenario {
namespace {

constexpr std::uint64_t kSeeds = 5;
constexpr std::uint64_t kRandomSeeds = 20;
// Simulating 11 minutes of every node's timers takes about 1 s.
constexpr std::uint64_t kLongScenarioSeeds = 1;

std::uint64_t SeedsOf(const std::string& name) {
  if (const char* asked = std::getenv("BILBERRYSPOOL_SEEDS")) {
    return std::stoull(asked);
  }
  if (name == "frozen_entry.scenario") {
    return kLongScenarioSeeds;
  }
  return name == "random.scenario" ? kRandomSeeds : kSeeds;
}

std::set<std::filesystem::path> Files() {
  std::set<std::filesystem::path> files;
  for (const auto& each :
       std::filesystem::directory_iterator(BILBERRYSPOOL_SCENARIOS)) {
    if (each.path().extension() == ".scenario") {
      files.insert(each.path());
    }
  }
  return files;
}

Script Read(const std::filesystem::path& path) {
  std::ostringstream text;
  text << std::ifstream(path).rdbuf();
  auto parsed = ParseScript(path.filename().string(), text.str());
  if (const auto* error = std::get_if<ScriptError>(&parsed)) {
    FAIL(error->text);
  }
  return std::get<Script>(std::move(parsed));
}

TEST_CASE("each scenario file holds with each seed") {
  const auto files = Files();
  REQUIRE(!files.empty());
  for (const auto& path : files) {
    const Script script = Read(path);
    for (std::uint64_t seed = 1; seed <= SeedsOf(script.name); ++seed) {
      const RunResult result = RunScript(script, seed, {});
      const std::string told = result.passed ? "" : Describe(script, result);
      CHECK_MESSAGE(result.passed, told);
    }
  }
}

// Guards against failures that can't be reproduced because something in a run
// does not come from the seed.
TEST_CASE("a run replays event by event") {
  const Script script =
      Read(std::filesystem::path(BILBERRYSPOOL_SCENARIOS) / "random.scenario");
  std::vector<std::string> runs[2];
  for (auto& events : runs) {
    RunScript(script, 3,
              [&](const std::string& event) { events.push_back(event); });
  }
  CHECK(runs[0].size() > 100);
  CHECK(runs[0] == runs[1]);
}

// Guards against an expectation that can't fail: each kind must be able to fail
// its run.
TEST_CASE("an expectation that doesn't hold fails its run") {
  const char* expectations[] = {
      "expect no leader within 100ms",
      "expect leader at entry-2",
      "expect in force 99 everywhere",
      "expect outcome q answered",
      "expect ran q once",
      "expect target t1 not offered at all",
      "expect operator A refused",
      "expect voter entry-1 gone",
      "expect operator A accepted as version 9",
  };
  for (const char* expectation : expectations) {
    CAPTURE(expectation);
    const std::string text =
        "deployment entries 3 control 1 agents 1\n"
        "expect leader at entry-1 within 10s\n"
        "operator A at entry-3: declare service drafter engine\n"
        "expect accepted within 8s\n"
        "expect target t1 offered within 30s\n" +
        std::string(expectation) + "\n";
    const auto parsed = ParseScript("f", text);
    REQUIRE(std::holds_alternative<Script>(parsed));
    const RunResult result = RunScript(std::get<Script>(parsed), 1, {});
    CHECK(!result.passed);
    CHECK(result.line == 6);
  }
}

}  // namespace
}  // namespace bilberryspool::scenario
