// Simulates thousands of entries and agents in one process, to measure the cost
// of membership and configuration spreading for each node.

#ifndef TOOLS_SPREAD_BENCH_SCENARIO_H_
#define TOOLS_SPREAD_BENCH_SCENARIO_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "libs/membership/announcer.h"
#include "libs/membership/directory.h"
#include "libs/spread/spreader.h"

namespace bilberryspool::spread_bench {

struct ScenarioOptions {
  int domains = 14;
  int entries = 360;  // over all domains
  int agents = 6200;  // over all domains
  int services = 17;
  int control = 5;    // control nodes, the first of them leads
  double loss = 0.0;  // probability that a message is lost
  Duration min_delay = Microseconds(500);
  Duration max_delay = Milliseconds(5);
  std::size_t delta_bytes = 300;
};

// Messages and bytes that one node sent and received, the events it handled and
// the processor time for them.
struct Traffic {
  std::uint64_t messages = 0;
  std::uint64_t membership_bytes = 0;
  std::uint64_t spread_bytes = 0;
  std::uint64_t events = 0;
  double processor_seconds = 0;
};

class Scenario {
 public:
  Scenario(ScenarioOptions options, std::uint64_t seed);

  void Run(Duration duration);
  // Resets the counters and counts the sizes of messages, as JSON, from now on.
  void StartCounting();
  // Accepts one change and runs until every node has it. Returns the time this
  // took, or nothing if `limit` passed first.
  std::optional<Duration> SpreadChange(Duration limit);

  const std::vector<Traffic>& traffic() const { return traffic_; }
  bool IsEntry(std::size_t node) const { return node < entry_count_; }
  std::size_t size() const { return nodes_.size(); }
  TimePoint now() const { return now_; }
  // Number of targets that the first entry knows individually, and of entries
  // that it considers live.
  std::size_t targets_in_detail() const;
  std::size_t live_entries() const;
  spread::Coverage coverage() const;

 private:
  struct Node {
    std::string name;
    FailureDomain domain;
    std::unique_ptr<membership::Directory> directory;
    std::unique_ptr<membership::Announcer> announcer;
    std::unique_ptr<spread::Spreader> spreader;
    std::string parent;  // of an agent: the entry that it sends heartbeats to
    TimePoint topology_due_at;
  };
  struct Event {
    TimePoint at;
    std::uint64_t order;
    std::function<void()> run;
    bool operator>(const Event& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };

  void AddEntry(int index);
  void AddAgent(int index);
  void AddSpreader(Node* node, spread::SpreaderRole role);
  std::string DomainName(int index) const;
  void ScheduleAt(TimePoint at, std::function<void()> run);
  void Tick(std::size_t node);
  void UpdateTopology(std::size_t node);
  void Deliver(std::size_t from,
               const std::string& to,
               std::size_t bytes,
               bool membership,
               std::function<void(std::size_t)> run);
  // Pass an event to the node's state machine and execute the resulting
  // actions.
  void HandleDirectoryEvent(std::size_t node,
                            const membership::DirectoryEvent& event,
                            const std::string& from);
  void HandleAnnouncerEvent(std::size_t node,
                            const membership::AnnouncerEvent& event);
  void HandleSpreaderEvent(std::size_t node,
                           const spread::SpreaderEvent& event);
  void Execute(std::size_t node, const spread::SpreaderAction& action);
  template <typename Machine, typename MachineEvent>
  auto HandleTimed(std::size_t node,
                   Machine* machine,
                   const MachineEvent& event);
  template <typename Message>
  std::size_t JsonSizeOf(const Message& message) const;

  ScenarioOptions options_;
  Random random_;
  TimePoint now_ = TimeAt(Seconds(1));
  std::uint64_t order_ = 0;
  std::size_t entry_count_ = 0;
  bool counting_ = false;
  spread::ConfigPoint accepted_;
  std::vector<Node> nodes_;
  std::vector<Traffic> traffic_;
  std::vector<std::string> seeds_;
  std::map<std::string, std::vector<std::string>> domain_seeds_;
  std::map<std::string, std::size_t> index_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> queue_;
};

}  // namespace bilberryspool::spread_bench

#endif  // TOOLS_SPREAD_BENCH_SCENARIO_H_
