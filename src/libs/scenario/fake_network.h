// The simulated clock of a run, the nodes' timers, and links that can lose,
// duplicate and delay frames or be cut. All randomness comes from the seed, so
// a run can be reproduced exactly.

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
  // Runs the task on a node after the delay. Dropped if the node's process ends
  // before, deferred while it is frozen.
  void After(const NodeId& node, Duration delay, Task task);
  // Runs a task that belongs to no node after the delay.
  void At(Duration delay, Task task);
  // Runs the next task that is due by `end`. If there is none, advances the
  // clock to `end` and returns false.
  bool Step(TimePoint end);

  // Drops all frames of one direction, also those in flight.
  void Cut(const NodeId& from, const NodeId& to) { cuts_.insert({from, to}); }
  void Heal() { cuts_.clear(); }

  void Start(const NodeId& node);
  void Kill(const NodeId& node);
  // A frozen node runs nothing while the clock advances. Its timers and
  // received frames are deferred until it is thawed.
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
