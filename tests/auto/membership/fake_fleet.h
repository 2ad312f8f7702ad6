// Entries and agents in one process, connected by a simulated network that
// loses, delays, duplicates and reorders messages and that can be partitioned
// in one direction.

#ifndef AUTO_MEMBERSHIP_FAKE_FLEET_H_
#define AUTO_MEMBERSHIP_FAKE_FLEET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "libs/membership/announcer.h"
#include "libs/membership/directory.h"

namespace bilberryspool::membership {

struct Faults {
  double loss = 0;
  double duplicate = 0;
  Duration min_delay = Microseconds(200);
  Duration max_delay = Milliseconds(2);
};

class FakeFleet {
 public:
  FakeFleet(int domains, int entries, int agents, std::uint64_t seed);

  static std::string Domain(int domain);
  static std::string Entry(int domain, int index);
  static std::string Agent(int domain, int index);

  void Run(Duration duration);
  TimePoint now() const { return now_; }
  Random& random() { return random_; }

  void StartAgent(const std::string& name,
                  const std::string& address,
                  const std::string& domain);
  void StopAgent(const std::string& address);
  void RestartEntry(const std::string& address);
  void StopEntry(const std::string& address) { entries_.erase(address); }
  bool IsRunning(const std::string& entry) const {
    return entries_.contains(entry);
  }
  void Freeze(const std::string& address, Duration span) {
    frozen_until_[address] = now_ + span;
  }
  void SetState(const std::string& address, TargetState state);
  // Drops all messages from domain `from` to domain `to` until Heal().
  void Cut(const std::string& from, const std::string& to) {
    cuts_.emplace(from, to);
  }
  void Heal() { cuts_.clear(); }

  Directory& entry(const std::string& address) { return *entries_.at(address); }
  Announcer& agent(const std::string& address) { return *agents_.at(address); }
  std::vector<std::string> entry_addresses() const;
  std::vector<std::string> agent_addresses() const;
  Liveness LivenessAt(const std::string& entry, const std::string& target);
  OfferReason ReasonAt(const std::string& entry, const std::string& target);

  Faults faults;
  std::vector<ReportConflict> conflicts;
  std::vector<std::string> lost_identities;
  // Called for each TargetChanged action of each entry.
  std::function<void(const std::string& entry, const TargetChanged&)> observer;

 private:
  using Delivery = std::function<void()>;

  static std::string DomainOf(const std::string& address);
  void Send(const std::string& from, const std::string& to, Delivery deliver);
  void Schedule(TimePoint at, Delivery deliver);
  void TickEntry(const std::string& address, std::uint64_t generation);
  void TickAgent(const std::string& address, std::uint64_t generation);
  // If the process is frozen, schedules `again` for when it resumes and returns
  // true.
  bool DeferIfFrozen(const std::string& address, Delivery again);
  void ToEntry(const std::string& entry,
               const DirectoryEvent& event,
               const std::string& from);
  void ToAgent(const std::string& agent, const AnnouncerEvent& event);

  Random random_;
  TimePoint now_ = TimeAt(Seconds(1));
  std::multimap<TimePoint, Delivery> queue_;
  std::map<std::string, std::unique_ptr<Directory>> entries_;
  std::map<std::string, std::unique_ptr<Announcer>> agents_;
  std::map<std::string, std::uint64_t> generations_;
  std::map<std::string, TimePoint> frozen_until_;
  std::set<std::pair<std::string, std::string>> cuts_;
  std::vector<std::string> seeds_;
  std::map<std::string, std::vector<std::string>> domain_seeds_;
  std::uint64_t incarnations_ = 1;
};

}  // namespace bilberryspool::membership

#endif  // AUTO_MEMBERSHIP_FAKE_FLEET_H_
