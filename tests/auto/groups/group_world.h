// Simulates a group in one process: real controllers and rank machines with a
// fake network, configuration and engines. Checks the invariants at each step.

#ifndef AUTO_GROUPS_GROUP_WORLD_H_
#define AUTO_GROUPS_GROUP_WORLD_H_

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "libs/base/random.h"
#include "libs/groups/group_controller.h"
#include "libs/groups/rank_machine.h"

namespace bilberryspool::groups {

struct WorldOptions {
  std::uint32_t ranks = 6;
  std::uint32_t experts = 6;
  std::uint32_t slots = 2;
  double loss = 0;
  double duplicated = 0;
  double long_delay = 0;  // share of messages that take up to 5 s
  double fetch_failure = 0;
};

class GroupWorld {
 public:
  static constexpr std::uint32_t kDomains = 3;
  static constexpr double kExpertBytes = 1e6;

  GroupWorld(WorldOptions options, std::uint64_t seed);

  TimePoint now() const { return now_; }
  Random& random() { return random_; }
  void RunFor(Duration span);
  // Runs until the group serves with all its ranks; false after `limit`.
  bool RunUntilComplete(Duration limit);
  // Runs until the controller's view has `members` members and steps run; false
  // after `limit`.
  bool RunUntilMembers(std::size_t members, Duration limit);

  void RestartRank(std::uint32_t rank);
  void FreezeRank(std::uint32_t rank, Duration span);
  void SetEngineStuck(std::uint32_t rank, bool stuck);
  void FreezeController(std::uint32_t controller, Duration span);
  void CutDomain(std::uint32_t domain, bool cut);
  void CutRanks(std::uint32_t one, std::uint32_t other);
  // Delivers an order to a rank as if it had just arrived.
  void Inject(std::uint32_t rank, const Order& order);
  void ChooseRandomMap();
  void Choose(const placement::ExpertMap& map);
  // Stops the loss, duplication and delay of messages and the failure of
  // fetches.
  void StopFaults();

  RankMachine& rank(std::uint32_t index) { return *ranks_[index].machine; }
  GroupController& controller(std::uint32_t index) {
    return controllers_[index].machine;
  }
  std::optional<std::uint32_t> holder() const { return holder_; }
  FencingToken token() const { return token_; }
  const placement::ExpertMap& map() const { return record_.in_force; }
  MapVersion map_version() const { return record_.version; }
  std::size_t steps_done() const { return steps_done_; }
  const std::vector<std::string>& violations() const { return violations_; }

 private:
  struct RankNode {
    std::optional<RankMachine> machine;
    std::uint64_t incarnation = 0;
    TimePoint frozen_until;
    bool stuck = false;
    std::optional<StepId> running;
    MapVersion last_version;
  };
  struct ControllerNode {
    GroupController machine;
    TimePoint frozen_until;
  };
  struct StepRecord {
    MapVersion version;
    std::set<RankIndex> started;
    std::size_t members = 0;
  };

  void At(TimePoint when, std::function<void()> what);
  void Send(std::uint32_t from, std::uint32_t to, std::function<void()> what);
  void Tick();
  void MaintainLease();
  void DeliverToRank(std::uint32_t rank, const RankEvent& event);
  void DeliverToController(std::uint32_t controller,
                           const ControllerEvent& event);
  void HandleActions(std::uint32_t rank,
                     const std::vector<RankAction>& actions);
  void HandleActions(std::uint32_t controller,
                     const std::vector<ControllerAction>& actions);
  void Perform(std::uint32_t rank, const RankAction& action);
  void OnStart(std::uint32_t rank, const StartStep& start);
  void OnComplete(const StepId& step);
  void ChargeStore();
  void Record(const RecordMap& request);
  void Expect(bool holds, const std::string& what);

  WorldOptions options_;
  Random random_;
  TimePoint now_;
  std::multimap<TimePoint, std::function<void()>> queue_;
  std::vector<RankNode> ranks_;
  std::vector<ControllerNode> controllers_;
  std::array<bool, kDomains> cut_{};
  std::set<std::pair<std::uint32_t, std::uint32_t>> cut_ranks_;

  MapRecord record_;
  FencingToken token_;
  std::optional<std::uint32_t> holder_;
  TimePoint lease_until_;

  std::map<StepId, StepRecord> steps_;
  std::set<std::pair<Member, StepId>> promises_;
  std::map<ViewId, View> views_;
  std::map<ViewId, MapVersion> versions_;
  std::optional<ViewId> newest_started_;
  std::size_t steps_done_ = 0;
  double store_bytes_;
  TimePoint store_refilled_;
  std::vector<std::string> violations_;
};

}  // namespace bilberryspool::groups

#endif  // AUTO_GROUPS_GROUP_WORLD_H_
