// Control VMs, entries and agents that distribute a configuration over a
// simulated network with faults. The configuration is represented by its
// version; the delta bytes are a placeholder.

#ifndef AUTO_SPREAD_FAKE_NODES_H_
#define AUTO_SPREAD_FAKE_NODES_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "libs/spread/spreader.h"

namespace bilberryspool::spread {

struct Faults {
  double loss = 0;
  double duplicate = 0;
  Duration max_delay = Milliseconds(2);
};

class FakeNodes {
 public:
  // The first entry of each domain is a control VM, that of the first domain
  // the leader.
  FakeNodes(int domains, int entries, int agents, std::uint64_t seed);

  void Run(Duration duration);
  TimePoint now() const { return now_; }
  Random& random() { return random_; }

  // The leader accepts the next version.
  void Accept();
  ConfigVersion accepted() const { return accepted_.version; }
  void Restart(const std::string& name);
  void Stop(const std::string& name) { nodes_.erase(name); }
  void Freeze(const std::string& name, Duration span) {
    frozen_until_[name] = now_ + span;
  }
  void Cut(const std::string& from, const std::string& to) {
    cuts_.emplace(from, to);
  }
  void Heal() { cuts_.clear(); }
  bool IsRunning(const std::string& name) const {
    return nodes_.contains(name);
  }

  Spreader& node(const std::string& name) { return *nodes_.at(name); }
  const std::vector<std::string>& names() const { return names_; }
  // Running nodes whose version differs from the accepted one.
  std::vector<std::string> Lagging() const;
  const std::string& leader() const { return names_.front(); }

  Faults faults;
  std::uint64_t full_states = 0;
  std::uint64_t messages = 0;
  std::uint64_t divergences = 0;
  bool version_decreased = false;
  // Makes the next delta that reaches this node fail its digest check.
  std::string corrupt_next_at;

 private:
  using Delivery = std::function<void()>;

  static std::string DomainOf(const std::string& name);
  SpreaderRole RoleOf(const std::string& name) const;
  TopologyChanged TopologyOf(const std::string& name) const;
  // Whether the leader can replicate the log to this control VM.
  bool IsReachedByLeader(const std::string& name) const;
  void CatchUp(const std::string& name);
  void Tick(const std::string& name, std::uint64_t generation);
  void Send(const std::string& from, const NodeId& to, SpreaderEvent event);
  void Handle(const std::string& name, const SpreaderEvent& event);
  void Execute(const std::string& name, const SpreaderAction& action);
  void Finish(const std::string& name,
              const ConfigPoint& from,
              const ConfigPoint& to);

  int domains_;
  int entries_;
  int agents_;
  Random random_;
  TimePoint now_ = TimeAt(Seconds(1));
  ConfigPoint accepted_;
  std::vector<std::string> names_;
  std::multimap<TimePoint, Delivery> queue_;
  std::map<std::string, std::unique_ptr<Spreader>> nodes_;
  std::map<std::string, ConfigPoint> in_force_;
  std::map<std::string, std::uint64_t> generations_;
  std::map<std::string, TimePoint> frozen_until_;
  std::set<std::pair<std::string, std::string>> cuts_;
};

}  // namespace bilberryspool::spread

#endif  // AUTO_SPREAD_FAKE_NODES_H_
