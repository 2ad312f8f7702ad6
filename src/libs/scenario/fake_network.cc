#include "libs/scenario/fake_network.h"

#include <utility>

namespace bilberryspool::scenario {

FakeNetwork::NodeState FakeNetwork::State(const NodeId& node) const {
  const auto found = nodes_.find(node);
  return found == nodes_.end() ? NodeState{} : found->second;
}

void FakeNetwork::Send(const NodeId& from,
                       const NodeId& to,
                       const Frame& frame) {
  if (cuts_.contains({from, to}) || random_.Chance(conditions_.loss)) {
    return;
  }
  const int copies = random_.Chance(conditions_.duplication) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    const Duration delay =
        random_.Between(conditions_.min_delay, conditions_.max_delay);
    At(delay, [this, from, to, frame] {
      // A cut also drops frames in flight.
      if (!cuts_.contains({from, to})) {
        RunOrDefer(to, [this, from, to, frame] { deliver_(from, to, frame); });
      }
    });
  }
}

void FakeNetwork::After(const NodeId& node, Duration delay, Task task) {
  const std::uint64_t process_generation = nodes_[node].process_generation;
  At(delay, [this, node, process_generation, task = std::move(task)] {
    if (nodes_[node].process_generation == process_generation) {
      RunOrDefer(node, task);
    }
  });
}

void FakeNetwork::At(Duration delay, Task task) {
  queue_.emplace(std::pair(now_ + delay, ++sequence_), std::move(task));
}

bool FakeNetwork::Step(TimePoint end) {
  if (queue_.empty() || queue_.begin()->first.first > end) {
    now_ = end;
    return false;
  }
  auto first = queue_.extract(queue_.begin());
  now_ = first.key().first;
  first.mapped()();
  return true;
}

void FakeNetwork::Start(const NodeId& node) {
  NodeState& state = nodes_[node];
  state.alive = true;
  ++state.process_generation;
}

void FakeNetwork::Kill(const NodeId& node) {
  NodeState& state = nodes_[node];
  state.alive = false;
  state.frozen = false;
  state.deferred_tasks.clear();
  // Invalidates the timers of the killed process.
  ++state.process_generation;
}

void FakeNetwork::Freeze(const NodeId& node) {
  nodes_[node].frozen = nodes_[node].alive;
}

void FakeNetwork::Thaw(const NodeId& node) {
  NodeState& state = nodes_[node];
  state.frozen = false;
  const std::vector<Task> deferred_tasks =
      std::exchange(state.deferred_tasks, {});
  for (const Task& task : deferred_tasks) {
    RunOrDefer(node, task);
  }
}

void FakeNetwork::RunOrDefer(const NodeId& node, const Task& task) {
  NodeState& state = nodes_[node];
  if (!state.alive) {
    return;
  }
  if (state.frozen) {
    state.deferred_tasks.push_back(task);
    return;
  }
  task();
}

}  // namespace bilberryspool::scenario
