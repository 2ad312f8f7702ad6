// Runs scenario files: bilberryspool-scenario FILE... [--seed=N] [--seeds=A..B]
// [--trace]. Exit status: 1 if a run failed, 2 if a file can't be read or the
// arguments are wrong.

#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <string>
#include <utility>

#include <gflags/gflags.h>

#include "libs/scenario/runner.h"

DEFINE_uint64(seed, 1, "Seed of the run.");
DEFINE_string(seeds, "", "Seeds A..B, one run each, instead of --seed.");
DEFINE_bool(trace, false, "Print each event of the runs.");

namespace bilberryspool::scenario {
namespace {

constexpr int kFailed = 1;
constexpr int kUnreadable = 2;

struct SeedRange {
  std::uint64_t first = 1;
  std::uint64_t last = 1;
};

std::optional<SeedRange> ReadSeeds() {
  if (FLAGS_seeds.empty()) {
    return SeedRange{FLAGS_seed, FLAGS_seed};
  }
  std::istringstream text(FLAGS_seeds);
  SeedRange range;
  std::string dots(2, ' ');
  text >> range.first;
  text.read(dots.data(), 2);
  text >> range.last;
  const bool is_valid = !text.fail() && text.peek() == EOF && dots == ".." &&
                        range.first <= range.last;
  return is_valid ? std::optional(range) : std::nullopt;
}

// Runs the script once with each seed. Returns the number of failed runs.
std::uint64_t RunSeeds(const Script& script, const SeedRange& seeds) {
  Verdict::Listener listener;
  if (FLAGS_trace) {
    listener = [](const std::string& event) { std::cout << event << '\n'; };
  }
  std::uint64_t failed = 0;
  for (std::uint64_t seed = seeds.first; seed <= seeds.last; ++seed) {
    const RunResult result = RunScript(script, seed, listener);
    if (!result.passed) {
      ++failed;
      std::cout << Describe(script, result);
    }
  }
  const std::uint64_t runs = seeds.last - seeds.first + 1;
  std::cout << script.name << ": " << runs - failed << " of " << runs
            << " runs passed" << std::endl;
  return failed;
}

int RunFile(const std::string& name, const SeedRange& seeds) {
  std::ifstream file(name);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    std::cerr << name << ": can't be read\n";
    return kUnreadable;
  }
  const auto script = ParseScript(name, text.str());
  if (const auto* error = std::get_if<ScriptError>(&script)) {
    std::cerr << error->text << '\n';
    return kUnreadable;
  }
  return RunSeeds(std::get<Script>(script), seeds) == 0 ? EXIT_SUCCESS
                                                        : kFailed;
}

int RunFiles(int count, char** names) {
  const auto seeds = ReadSeeds();
  if (!seeds.has_value() || count < 2) {
    std::cerr << "usage: bilberryspool-scenario FILE... [--seed=N]"
                 " [--seeds=A..B] [--trace]\n";
    return kUnreadable;
  }
  int worst = EXIT_SUCCESS;
  for (int i = 1; i < count; ++i) {
    worst = std::max(worst, RunFile(names[i], *seeds));
  }
  return worst;
}

}  // namespace
}  // namespace bilberryspool::scenario

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return bilberryspool::scenario::RunFiles(argc, argv);
}
