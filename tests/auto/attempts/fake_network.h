// Simulated nodes with clocks of their own, and links that lose, duplicate,
// delay and cut frames.

#ifndef AUTO_ATTEMPTS_FAKE_NETWORK_H_
#define AUTO_ATTEMPTS_FAKE_NETWORK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "libs/base/random.h"
#include "libs/base/time.h"

namespace bilberryspool::attempts {

struct NetworkOptions {
  double loss = 0;
  double duplication = 0;
  // Probability of a slow frame, which takes up to `max_delay`; other frames
  // take a few milliseconds.
  double slow = 0;
  Duration max_delay = Seconds(30);
};

class FakeNetwork {
 public:
  // Runs at its destination; `sole_copy` is false if the frame was duplicated.
  using Frame = std::function<void(bool sole_copy)>;

  FakeNetwork(NetworkOptions options, std::uint64_t seed)
      : options_(options), random_(seed) {}

  TimePoint now() const { return now_; }
  Random& random() { return random_; }
  TimePoint ClockOf(const std::string& node) const;

  void Send(const std::string& from, const std::string& to, Frame frame);
  // Starts a timer of a node, which is discarded when the node dies.
  void After(const std::string& node,
             Duration delay,
             std::function<void()> act);
  // Schedules an action that belongs to no node.
  void At(Duration delay, std::function<void()> act);
  void RunUntil(TimePoint end);

  void Cut(const std::string& a, const std::string& b) { cuts_.insert({a, b}); }
  void Heal(const std::string& a, const std::string& b) { cuts_.erase({a, b}); }

  void Kill(const std::string& node);
  void Restart(const std::string& node) { nodes_[node].alive = true; }
  bool alive(const std::string& node) { return nodes_[node].alive; }
  bool frozen(const std::string& node) { return nodes_[node].frozen; }

  // A frozen node handles nothing; what arrives is queued for it. With
  // `clock_stops` its clock stops as well.
  void Freeze(const std::string& node, bool clock_stops);
  void Thaw(const std::string& node);

 private:
  struct Node {
    bool alive = true;
    std::uint64_t incarnation = 0;
    bool frozen = false;
    bool clock_stops = false;
    TimePoint frozen_at;
    Duration clock_lag{};
    std::vector<std::function<void()>> waiting;
  };

  bool IsCut(const std::string& a, const std::string& b) const;
  Duration Delay();
  void Arrive(const std::string& node, std::function<void()> act);

  NetworkOptions options_;
  Random random_;
  TimePoint now_;
  std::uint64_t sequence_ = 0;
  std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> queue_;
  std::map<std::string, Node> nodes_;
  std::set<std::pair<std::string, std::string>> cuts_;
};

}  // namespace bilberryspool::attempts

#endif  // AUTO_ATTEMPTS_FAKE_NETWORK_H_
