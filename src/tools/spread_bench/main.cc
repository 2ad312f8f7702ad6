// Prints the cost of membership and of configuration spreading for each node,
// in simulated time.
//
//   spread_bench DOMAINS ENTRIES AGENTS [LOSS]
//
// Counts the bytes of the JSON messages sent and received. The overhead of HTTP
// and TCP is in a line of its own, at kOverheadBytes per message.

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include "tools/spread_bench/scenario.h"

namespace bilberryspool::spread_bench {
namespace {

constexpr double kOverheadBytes = 250;
constexpr Duration kWarmUp = Seconds(40);
constexpr Duration kWindow = Seconds(15);
constexpr int kChanges = 5;

// Sum and maximum of a rate over the nodes of one role.
struct PerNodeRate {
  double sum = 0;
  double max_value = 0;

  void Add(double value) {
    sum += value;
    max_value = std::max(max_value, value);
  }
};

void PrintRole(const Scenario& scenario, bool entries, Duration window) {
  const double seconds = ToSeconds(window);
  PerNodeRate messages;
  PerNodeRate membership;
  PerNodeRate spread;
  PerNodeRate total;
  double events = 0;
  double processor = 0;
  int count = 0;
  for (std::size_t node = 0; node < scenario.size(); ++node) {
    if (scenario.IsEntry(node) != entries) {
      continue;
    }
    const Traffic& traffic = scenario.traffic()[node];
    const auto sent = static_cast<double>(traffic.messages);
    const auto bytes =
        static_cast<double>(traffic.membership_bytes + traffic.spread_bytes);
    messages.Add(sent / seconds);
    membership.Add(static_cast<double>(traffic.membership_bytes) / seconds);
    spread.Add(static_cast<double>(traffic.spread_bytes) / seconds);
    total.Add((bytes + sent * kOverheadBytes) / seconds);
    events += static_cast<double>(traffic.events);
    processor += traffic.processor_seconds;
    ++count;
  }
  const auto print = [&](const char* name, const PerNodeRate& rate) {
    std::cout << "  " << name << ": mean " << rate.sum / count << ", most "
              << rate.max_value << "\n";
  };
  std::cout << (entries ? "entries" : "agents") << " (" << count << ")\n";
  print("messages/s", messages);
  print("membership bytes/s", membership);
  print("spread bytes/s", spread);
  print("bytes/s with overhead", total);
  std::cout << "  microseconds per event: " << 1e6 * processor / events
            << ", percent of a core per node: "
            << 100 * processor / count / seconds << "\n";
}

int Main(const std::vector<std::string>& arguments) {
  ScenarioOptions options;
  if (arguments.size() >= 3) {
    options.domains = std::stoi(arguments[0]);
    options.entries = std::stoi(arguments[1]);
    options.agents = std::stoi(arguments[2]);
  }
  if (arguments.size() >= 4) {
    options.loss = std::stod(arguments[3]);
  }
  options.control = std::min(options.control, options.entries);
  Scenario scenario(options, 1);
  scenario.Run(kWarmUp);
  scenario.SpreadChange(Seconds(20));
  scenario.Run(Seconds(10));
  std::cout << options.domains << " domains, " << options.entries
            << " entries, " << options.agents << " agents, loss "
            << options.loss << "\nfirst entry: targets in detail "
            << scenario.targets_in_detail() << ", live entries of its domain "
            << scenario.live_entries() << "\n";
  scenario.StartCounting();
  scenario.Run(kWindow);
  PrintRole(scenario, true, kWindow);
  PrintRole(scenario, false, kWindow);
  std::vector<double> times;
  for (int i = 0; i < kChanges; ++i) {
    const auto elapsed = scenario.SpreadChange(Seconds(20));
    times.push_back(elapsed ? ToMilliseconds(*elapsed) : 1e9);
    scenario.Run(Seconds(2));
  }
  std::sort(times.begin(), times.end());
  const spread::Coverage coverage = scenario.coverage();
  std::cout << "change to all nodes, ms: median " << times[times.size() / 2]
            << ", most " << times.back() << " of " << kChanges
            << "\nleader sees in force on " << coverage.in_force << " of "
            << coverage.nodes << "\n";
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace bilberryspool::spread_bench

int main(int argc, char** argv) {
  return bilberryspool::spread_bench::Main({argv + 1, argv + argc});
}
