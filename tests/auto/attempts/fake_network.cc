#include "auto/attempts/fake_network.h"

namespace bilberryspool::attempts {

TimePoint FakeNetwork::ClockOf(const std::string& name) const {
  const auto found = nodes_.find(name);
  return found == nodes_.end() ? now_ : now_ - found->second.clock_lag;
}

void FakeNetwork::Send(const std::string& from,
                       const std::string& to,
                       Frame frame) {
  if (IsCut(from, to) || random_.Chance(options_.loss)) {
    return;
  }
  const bool doubled = random_.Chance(options_.duplication);
  for (int copy = 0; copy < (doubled ? 2 : 1); ++copy) {
    At(Delay(), [this, to, frame, doubled] {
      Arrive(to, [frame, doubled] { frame(!doubled); });
    });
  }
}

void FakeNetwork::After(const std::string& name,
                        Duration delay,
                        std::function<void()> act) {
  const std::uint64_t incarnation = nodes_[name].incarnation;
  At(delay, [this, name, incarnation, act = std::move(act)] {
    if (nodes_[name].incarnation == incarnation) {
      Arrive(name, act);
    }
  });
}

void FakeNetwork::At(Duration delay, std::function<void()> act) {
  queue_.emplace(std::pair(now_ + delay, ++sequence_), std::move(act));
}

void FakeNetwork::RunUntil(TimePoint end) {
  while (!queue_.empty() && queue_.begin()->first.first <= end) {
    auto first = queue_.extract(queue_.begin());
    now_ = first.key().first;
    first.mapped()();
  }
  now_ = end;
}

void FakeNetwork::Kill(const std::string& name) {
  Node& node = nodes_[name];
  node.alive = false;
  node.frozen = false;
  node.waiting.clear();
  ++node.incarnation;
}

void FakeNetwork::Freeze(const std::string& name, bool clock_stops) {
  Node& node = nodes_[name];
  if (!node.alive || node.frozen) {
    return;
  }
  node.frozen = true;
  node.clock_stops = clock_stops;
  node.frozen_at = now_;
}

void FakeNetwork::Thaw(const std::string& name) {
  Node& node = nodes_[name];
  if (!node.frozen) {
    return;
  }
  node.frozen = false;
  if (node.clock_stops) {
    node.clock_lag += now_ - node.frozen_at;
  }
  std::vector<std::function<void()>> waiting = std::move(node.waiting);
  node.waiting.clear();
  for (const auto& act : waiting) {
    act();
  }
}

bool FakeNetwork::IsCut(const std::string& a, const std::string& b) const {
  return cuts_.contains({a, b}) || cuts_.contains({b, a});
}

Duration FakeNetwork::Delay() {
  const bool slow = random_.Chance(options_.slow);
  return random_.Between(Microseconds(200),
                         slow ? options_.max_delay : Milliseconds(3));
}

void FakeNetwork::Arrive(const std::string& name, std::function<void()> act) {
  Node& node = nodes_[name];
  if (!node.alive) {
    return;
  }
  if (node.frozen) {
    node.waiting.push_back(std::move(act));
    return;
  }
  act();
}

}  // namespace bilberryspool::attempts
