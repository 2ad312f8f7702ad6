// The clock of a run, the nodes' timers, and links that lose, double, delay
// and cut. Everything random comes from the seed, so a run replays exactly.

#ifndef LIBS_SCENARIO_FAKE_NETWORK_H_
#define LIBS_SCENARIO_FAKE_NETWORK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "libs/base/ids.h"
#include "libs/base/random.h"
#include "libs/base/time.h"
#include "libs/scenario/frame.h"

namespace bilberryspool::scenario {

struct LinkConditions {
  Duration min_delay = Microseconds(200);
  Duration max_delay = Milliseconds(3);
  double loss = 0;
  double duplication = 0;
};

class FakeNetwork {
 public:
  using Deliver = std::function<
      void(const NodeId& from, const NodeId& to, const Frame& frame)>;
  using Task = std::function<void()>;

  FakeNetwork(std::uint64_t seed, Deliver deliver)
      : random_(seed), deliver_(std::move(deliver)) {}

  TimePoint now() const { return now_; }
  Random& random() { return random_; }
  LinkConditions& conditions() { return conditions_; }

  void Send(const NodeId& from, const NodeId& to, const Frame& frame);
  // A timer of a node; it dies with the process and waits while it is frozen.
  void After(const NodeId& node, Duration delay, Task task);
  // Something outside of all nodes.
  void At(Duration delay, Task task);
  // Runs the next thing that is due by `end`. False where there is none; then
  // it is `end`.
  bool Step(TimePoint end);

  // One direction.
  void Cut(const NodeId& from, const NodeId& to) { cuts_.insert({from, to}); }
  void Heal() { cuts_.clear(); }

  void Start(const NodeId& node);
  void Kill(const NodeId& node);
  // While frozen a node does nothing and its clock goes on; what arrives waits.
  void Freeze(const NodeId& node);
  void Thaw(const NodeId& node);
  bool alive(const NodeId& node) const { return State(node).alive; }
  bool frozen(const NodeId& node) const { return State(node).frozen; }
  // Counts the starts of the node's process.
  Incarnation incarnation(const NodeId& node) const {
    return Incarnation(State(node).process_generation);
  }

 private:
  struct NodeState {
    bool alive = false;
    bool frozen = false;
    std::uint64_t process_generation = 0;
    std::vector<Task> deferred_tasks;
  };

  NodeState State(const NodeId& node) const;
  void RunOrDefer(const NodeId& node, const Task& task);

  Random random_;
  Deliver deliver_;
  LinkConditions conditions_;
  TimePoint now_;
  std::uint64_t sequence_ = 0;
  std::map<std::pair<TimePoint, std::uint64_t>, Task> queue_;
  std::map<NodeId, NodeState> nodes_;
  std::set<std::pair<NodeId, NodeId>> cuts_;
};

}  // namespace bilberryspool::scenario

#endif  // LIBS_SCENARIO_FAKE_NETWORK_H_
