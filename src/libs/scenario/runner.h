// Runs a scenario with one seed.
//
//   const RunResult result = RunScript(script, 1, {});
//
// The same script and seed give the same sequence of events.

#ifndef LIBS_SCENARIO_RUNNER_H_
#define LIBS_SCENARIO_RUNNER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "libs/scenario/script.h"
#include "libs/scenario/verdict.h"

namespace bilberryspool::scenario {

struct RunResult {
  bool passed = false;
  std::uint64_t seed = 0;
  // Line number of the statement that ran last; the failed one of a failed run.
  std::size_t line = 0;
  std::string line_text;
  std::string failure;
  // The latest events before the failure, oldest first.
  std::vector<std::string> events;
  // Simulated duration of the run.
  Duration length{};
};

// Calls `listener`, if not empty, for each event of the run.
RunResult RunScript(const Script& script,
                    std::uint64_t seed,
                    const Verdict::Listener& listener);

// Describes a failed run for people: the latest events, file and line, the
// failure, and the command that replays it.
std::string Describe(const Script& script, const RunResult& result);

}  // namespace bilberryspool::scenario

#endif  // LIBS_SCENARIO_RUNNER_H_
