// Soak test of real processes under faults: starts a small deployment on
// loopback, injects faults by a plan drawn from a seed, and reports violated
// guarantees. Exit status 0: none; 1: some, or the run could not be executed.

#include <gflags/gflags.h>

#include <cstdlib>
#include <iostream>

#include "tools/soak/soak_run.h"

DEFINE_uint64(seed, 1, "seed of the faults, the calls and the changes");
DEFINE_uint32(seconds, 30, "duration of the fault plan");
DEFINE_uint32(callers,
              12,
              "number of callers that send one call after the other");
DEFINE_string(binary, "", "path of the program");
DEFINE_string(folder, "", "an empty folder for settings, logs and data");
DEFINE_uint32(first_port,
              0,
              "first of 100 ports that are free on 127.0.0.0/24");
DEFINE_bool(plan_only, false, "print the plan and exit");

namespace bilberryspool::soak {
namespace {

void Report(const SoakRun& run, const std::vector<Violation>& violations) {
  const Ledger::Totals totals = run.ledger().totals();
  std::cout << "calls " << totals.sent << " served " << totals.served
            << " refused " << totals.refused << " failed " << totals.failed
            << " broken " << totals.broken << " not_sent " << totals.not_sent
            << " left " << totals.left << " runs " << totals.runs << " changes "
            << totals.confirmed << "\n";
  run.PrintPeakMemory(std::cout);
  for (const Violation& violation : violations) {
    std::cout << "BROKEN " << violation.promise << ": " << violation.what
              << "\n";
  }
  std::cout << "seed " << FLAGS_seed << ": " << violations.size()
            << " broken promises\n";
}

int Execute(const SoakOptions& options) {
  int status = 1;
  net::NetworkLoop loop;
  loop.Run([&] {
    SoakRun run(loop, options);
    for (const FaultEvent& fault_event : run.plan()) {
      std::cout << "fault " << fault_event.ToText() << "\n";
    }
    std::cout << std::flush;
    if (FLAGS_plan_only) {
      std::_Exit(0);
    }
    loop.OnStopSignal([&run] {
      run.EndAll();
      std::_Exit(1);
    });
    const std::string error = run.Execute();
    if (!error.empty()) {
      std::cout << "soak: " << error << "\n";
    } else {
      const std::vector<Violation> violations = run.ledger().FindViolations();
      Report(run, violations);
      status = violations.empty() ? 0 : 1;
    }
    std::cout << std::flush;
    run.EndAll();
    // Fibers of targets and relays never end.
    std::_Exit(status);
  });
  return status;
}

}  // namespace
}  // namespace bilberryspool::soak

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (FLAGS_binary.empty() || FLAGS_folder.empty() || FLAGS_first_port == 0) {
    std::cerr << "soak: --binary, --folder and --first_port are needed\n";
    return 1;
  }
  bilberryspool::soak::SoakOptions options;
  options.plan.seed = FLAGS_seed;
  options.plan.length = bilberryspool::Seconds(FLAGS_seconds);
  options.deployment.binary = FLAGS_binary;
  options.deployment.folder = FLAGS_folder;
  options.deployment.first_port = static_cast<std::uint16_t>(FLAGS_first_port);
  options.callers = FLAGS_callers;
  return bilberryspool::soak::Execute(options);
}
