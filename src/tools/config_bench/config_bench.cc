// Measures the cost of the accepted configuration for several numbers of
// workspaces: time to apply a change, sizes, snapshots and memory.
//
//   config_bench [WORKSPACES...]

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <string>
#include <utility>
#include <vector>

#include "libs/config/applied_configuration.h"
#include "libs/config/codec.h"
#include "libs/config/snapshot.h"

namespace bilberryspool::config {
namespace {

constexpr std::uint64_t kServices = 17;
constexpr std::uint64_t kChanges = 2000;

class Stopwatch {
 public:
  double Microseconds() const {
    const auto elapsed = std::chrono::steady_clock::now() - start_;
    return std::chrono::duration<double, std::micro>(elapsed).count();
  }

 private:
  std::chrono::steady_clock::time_point start_ =
      std::chrono::steady_clock::now();
};

Command MakeCommand(std::uint64_t index, std::vector<Change> changes) {
  return {CommandId("bench-command-" + std::to_string(index)),
          OperatorId("bench"), std::nullopt, std::move(changes)};
}

DeclareWorkspace WorkspaceChange(std::uint64_t number, std::uint32_t limit) {
  return {{Workspace("workspace-" + std::to_string(number)), limit, 64U, 50000U,
           4, PriorityName("normal"),
           "2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae"}};
}

StateMachine Prepare(std::uint64_t workspaces) {
  StateMachine machine;
  std::vector<Change> changes{DeclarePriority{{PriorityName("normal"), 1}}};
  for (std::uint64_t i = 0; i < kServices; ++i) {
    const ServiceId service("model-" + std::to_string(i));
    changes.emplace_back(DeclareService{{service}});
    changes.emplace_back(Allow{{service, AnyTarget()}});
  }
  machine.Apply(MakeCommand(1, changes), LogIndex(1));
  for (std::uint64_t i = 0; i < workspaces; ++i) {
    const LogIndex index = machine.applied_index().Next();
    machine.Apply(MakeCommand(index.value(), {WorkspaceChange(i, 1)}), index);
  }
  return machine;
}

// Resident memory of this process, as reported by the kernel.
std::uint64_t ResidentKilobytes() {
  std::ifstream status("/proc/self/status");
  std::string word;
  while (status >> word) {
    if (word == "VmRSS:") {
      std::uint64_t kilobytes = 0;
      status >> kilobytes;
      return kilobytes;
    }
  }
  return 0;
}

void Measure(std::uint64_t workspaces) {
  StateMachine machine = Prepare(workspaces);
  AppliedConfiguration node;
  node.Replace(machine.configuration());
  const std::uint64_t resident = ResidentKilobytes();
  double apply = 0;
  double delta_apply = 0;
  std::size_t delta_bytes = 0;
  for (std::uint64_t i = 0; i < kChanges; ++i) {
    const LogIndex index = machine.applied_index().Next();
    const auto limit = static_cast<std::uint32_t>(2 + i);
    const Command command =
        MakeCommand(index.value(), {WorkspaceChange(i % workspaces, limit)});
    const Stopwatch apply_watch;
    machine.Apply(command, index);
    apply += apply_watch.Microseconds();
    const std::string bytes = ToBytes(*machine.DeltaFrom(node.version()));
    delta_bytes += bytes.size();
    const Stopwatch delta_apply_watch;
    node.Apply(*DeltaFromBytes(bytes));
    delta_apply += delta_apply_watch.Microseconds();
  }
  const Stopwatch write_watch;
  const std::string snapshot = WriteSnapshot(machine.state());
  const double write = write_watch.Microseconds();
  const Stopwatch read_watch;
  const bool read = ReadSnapshot(snapshot).has_value();
  const double read_time = read_watch.Microseconds();
  const Stopwatch copy_watch;
  const Configuration copy = machine.configuration();
  const double copy_time = copy_watch.Microseconds();
  std::cout << workspaces << " workspaces: apply " << apply / kChanges
            << " us, delta " << delta_bytes / kChanges << " bytes, taken in "
            << delta_apply / kChanges << " us, full state "
            << ToBytes(copy).size() << " bytes, copied in " << copy_time
            << " us, snapshot " << snapshot.size() << " bytes, written in "
            << write << " us, read in " << read_time
            << " us, process with machine and one node " << resident << " KB"
            << (read ? "" : " (NOT READ)") << "\n";
}

}  // namespace
}  // namespace bilberryspool::config

int main(int argc, char** argv) {
  std::vector<std::uint64_t> sizes{10, 460, 4600};
  if (argc > 1) {
    sizes.clear();
  }
  for (int i = 1; i < argc; ++i) {
    sizes.push_back(std::max(1ULL, std::strtoull(argv[i], nullptr, 10)));
  }
  for (const std::uint64_t size : sizes) {
    bilberryspool::config::Measure(size);
  }
  return 0;
}
